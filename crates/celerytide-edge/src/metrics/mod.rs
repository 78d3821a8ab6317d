//! Counters and histograms of the process.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of an ended request.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Ended {
    /// How it ended.
    pub outcome: &'static str,
    /// Status of the answer.
    pub status: u16,
}

/// What is counted.
#[derive(Debug)]
pub struct Counters {
    /// Requests by how they ended.
    pub ended: Family<Ended, Counter>,
    /// Requests sent again.
    pub repeats: Counter,
    /// Time to the first byte of an endpoint's answer, in seconds.
    pub first_byte: Histogram,
    /// Time to the end of an answer, in seconds.
    pub whole: Histogram,
    /// Requests being served.
    pub busy: Gauge,
    /// Log lines dropped.
    pub dropped_lines: Gauge,
    /// Revision of the view.
    pub revision: Gauge,
    /// 1 while this instance reads the store, 0 while it follows one that does or has lost it.
    pub reading: Gauge,
}

impl Default for Counters {
    fn default() -> Counters {
        let buckets = || exponential_buckets(0.005, 2.0, 12);
        Counters {
            ended: Family::default(),
            repeats: Counter::default(),
            first_byte: Histogram::new(buckets()),
            whole: Histogram::new(buckets()),
            busy: Gauge::default(),
            dropped_lines: Gauge::default(),
            revision: Gauge::default(),
            reading: Gauge::default(),
        }
    }
}

impl Counters {
    /// Adds them to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by how they ended", self.ended.clone());
        registry.register("repeats", "Requests sent again", self.repeats.clone());
        let first = "Seconds to the first byte of an endpoint's answer";
        registry.register("first_byte_seconds", first, self.first_byte.clone());
        registry.register("answer_seconds", "Seconds to the end of an answer", self.whole.clone());
        registry.register("busy", "Requests being served", self.busy.clone());
        registry.register("dropped_log_lines", "Log lines dropped", self.dropped_lines.clone());
        registry.register(
            "view_revision",
            "Revision of the store that the view rests on",
            self.revision.clone(),
        );
        let reading = "1 while this instance reads the store, 0 while it follows another or has lost it";
        registry.register("store_reading", reading, self.reading.clone());
    }
}
