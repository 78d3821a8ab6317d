//! Histograms of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that is told apart.
const MAX_NANOS: u64 = 600_000_000_000;
/// Digits that are kept of each latency.
const DIGITS: u8 = 3;
const NANOS_PER_MILLI: f64 = 1e6;

celerytide_types::data! {
    /// Quantiles in milliseconds.
    #[derive(Copy, Default)]
    pub struct Quantiles {
        /// Count of values.
        pub count: u64,
        /// Median.
        pub p50_ms: f64,
        /// 95 of 100 are below.
        pub p95_ms: f64,
        /// 99 of 100 are below.
        pub p99_ms: f64,
        /// The largest value.
        pub max_ms: f64,
    }
}

impl Quantiles {
    /// The quantiles of a histogram of nanoseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / NANOS_PER_MILLI;
        Self {
            count: histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / NANOS_PER_MILLI,
        }
    }
}

/// A histogram of nanoseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_NANOS, DIGITS).expect("the bounds are constants that the library takes")
}

/// Adds a latency to a histogram of nanoseconds.
pub fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX));
}
