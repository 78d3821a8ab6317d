//! Counters of this daemon.

use celerytide_types::ExecutionStatus;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WordLabel {
    word: &'static str,
}

/// The entry's metrics.
#[derive(Default)]
pub struct EntryMetrics {
    requests: Counter,
    words: Family<WordLabel, Counter>,
    permits: Gauge,
    running: Gauge,
    tickets: Gauge,
}

impl EntryMetrics {
    /// Adds them to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let entry = registry.sub_registry_with_prefix("entry");
        entry.register("requests", "Requests accepted", self.requests.clone());
        entry.register("final_words", "Final words said, by word", self.words.clone());
        entry.register("permits_held", "Permits held now", self.permits.clone());
        entry.register("requests_running", "Requests running now", self.running.clone());
        entry.register("tickets_held", "Tickets held now, in any state", self.tickets.clone());
    }

    /// Counts an accepted request.
    pub fn request(&self) {
        self.requests.inc();
    }

    /// Counts a final word.
    pub fn word(&self, word: ExecutionStatus) {
        self.words.get_or_create(&WordLabel { word: word.as_str() }).inc();
    }

    /// Sets the gauges.
    pub fn levels(&self, permits: usize, running: usize, tickets: usize) {
        self.permits.set(as_gauge(permits));
        self.running.set(as_gauge(running));
        self.tickets.set(as_gauge(tickets));
    }

    /// Requests accepted so far.
    pub fn requests_so_far(&self) -> u64 {
        self.requests.get()
    }
}

fn as_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
