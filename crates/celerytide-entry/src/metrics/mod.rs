//! Prometheus metrics of the entry.

use celerytide_types::ExecutionStatus;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    word: &'static str,
}

/// Counters and gauges under the prefix `entry`.
#[derive(Default)]
pub struct EntryMetrics {
    requests: Counter,
    outcomes: Family<StatusLabel, Counter>,
    permits: Gauge,
    running: Gauge,
    tickets: Gauge,
}

impl EntryMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let entry = registry.sub_registry_with_prefix("entry");
        entry.register("requests", "Requests accepted", self.requests.clone());
        entry.register("final_words", "Final words said, by word", self.outcomes.clone());
        entry.register("permits_held", "Permits held now", self.permits.clone());
        entry.register("requests_running", "Requests running now", self.running.clone());
        entry.register("tickets_held", "Tickets held now, in any state", self.tickets.clone());
    }

    /// Counts an accepted request.
    pub fn inc_requests(&self) {
        self.requests.inc();
    }

    /// Counts the outcome of a request.
    pub fn inc_outcome(&self, status: ExecutionStatus) {
        self.outcomes
            .get_or_create(&StatusLabel { word: status.as_str() })
            .inc();
    }

    /// Sets the gauges to current values.
    pub fn set_gauges(&self, permits: usize, running: usize, tickets: usize) {
        self.permits.set(gauge_value(permits));
        self.running.set(gauge_value(running));
        self.tickets.set(gauge_value(tickets));
    }

    /// Requests accepted since the process started.
    pub fn request_count(&self) -> u64 {
        self.requests.get()
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
