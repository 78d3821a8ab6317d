//! Latency histograms and their quantiles.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that is recorded, in nanoseconds; longer ones count as this one.
const MAX_LATENCY_NANOS: u64 = 600_000_000_000;
/// Significant digits of each recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;
const NANOS_PER_MILLI: f64 = 1e6;

celerytide_types::data! {
    /// Quantiles of a histogram, in milliseconds.
    #[derive(Copy, Default)]
    pub struct Quantiles {
        /// Number of values.
        pub count: u64,
        /// Median.
        pub p50_ms: f64,
        /// 95th percentile.
        pub p95_ms: f64,
        /// 99th percentile.
        pub p99_ms: f64,
        /// Maximum.
        pub max_ms: f64,
    }
}

impl Quantiles {
    /// Reads the quantiles of a histogram of nanoseconds.
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

/// Creates an empty histogram of nanoseconds.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS).expect("the constant bounds are valid")
}

/// Adds a latency to a histogram of nanoseconds.
pub fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX));
}
