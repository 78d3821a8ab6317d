//! Learned distribution of response lengths.
//!
//! The length of a response is not known in advance. Each class keeps a histogram of past lengths: its mean gives the
//! expected cost of a request, and a quantile tells whether a request can finish in the remaining time.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest response that the histogram tells apart, in tokens.
const TOKENS_MAX: u64 = 1 << 20;
/// Significant digits of a recorded length.
const DIGITS: u8 = 2;
/// Number of responses after which older ones have half the weight.
const HALF_LIFE: u64 = 4096;
/// Length assumed before the first response, in tokens.
const DEFAULT_TOKENS: u64 = 256;

/// Response lengths of one class.
#[derive(Debug, Clone)]
pub struct Lengths {
    histogram: Option<Histogram<u32>>,
    mean: f64,
    count: u64,
}

impl Default for Lengths {
    fn default() -> Self {
        Lengths {
            histogram: Histogram::new_with_bounds(1, TOKENS_MAX, DIGITS).ok(),
            mean: DEFAULT_TOKENS as f64,
            count: 0,
        }
    }
}

impl Lengths {
    /// Records the length of a whole response in tokens.
    pub fn record(&mut self, tokens: u32) {
        self.count += 1;
        let gain = (1.0 / self.count as f64).max(1.0 / HALF_LIFE as f64);
        self.mean += (f64::from(tokens) - self.mean) * gain;
        let Some(histogram) = &mut self.histogram else { return };
        histogram.saturating_record(u64::from(tokens.max(1)));
        if histogram.len() >= 2 * HALF_LIFE {
            halve(histogram);
        }
    }

    /// Number of recorded responses.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Mean length in tokens, at most `max_tokens`.
    pub fn mean(&self, max_tokens: Option<u32>) -> u64 {
        let mean = self.mean.round().max(1.0) as u64;
        max_tokens.map_or(mean, |max| mean.min(u64::from(max.max(1))))
    }

    /// Length in tokens that a fraction `q` of responses doesn't exceed, at most `max_tokens`.
    pub fn quantile(&self, q: f64, max_tokens: Option<u32>) -> u64 {
        let histogram = self.histogram.as_ref().filter(|histogram| !histogram.is_empty());
        let tokens = histogram.map_or(DEFAULT_TOKENS, |histogram| histogram.value_at_quantile(q));
        max_tokens.map_or(tokens, |max| tokens.min(u64::from(max.max(1))))
    }

    /// Length that a fraction `q` of responses doesn't exceed, given that `so_far` tokens have already arrived.
    pub fn quantile_beyond(&self, q: f64, so_far: u32) -> u64 {
        let so_far = u64::from(so_far);
        let Some(histogram) = self.histogram.as_ref().filter(|histogram| !histogram.is_empty()) else {
            return DEFAULT_TOKENS.max(so_far);
        };
        let passed = histogram.quantile_below(so_far);
        histogram.value_at_quantile(passed + (1.0 - passed) * q).max(so_far)
    }

    /// Whether a fraction `q` of responses would finish within `left` at `per_token` for each token.
    pub fn fits(&self, q: f64, max_tokens: Option<u32>, per_token: Duration, left: Duration) -> bool {
        let tokens = self.quantile(q, max_tokens);
        per_token.as_secs_f64() * tokens as f64 <= left.as_secs_f64()
    }
}

fn halve(histogram: &mut Histogram<u32>) {
    let kept: Vec<(u64, u32)> = histogram
        .iter_recorded()
        .map(|step| (step.value_iterated_to(), step.count_at_value() / 2))
        .collect();
    histogram.reset();
    for (value, count) in kept {
        histogram.saturating_record_n(value, count);
    }
}
