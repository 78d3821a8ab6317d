//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

const MAX_DOUBLINGS: u32 = 20;

/// Delays that double from `min` to `max`, each drawn at random from the upper half of its range.
#[derive(Debug, Clone)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(min: Duration, max: Duration) -> Backoff {
        Backoff { min, max, failures: 0 }
    }

    /// Counts a failure and returns the delay after it.
    pub fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let full = self
            .min
            .saturating_mul(1 << self.failures.min(MAX_DOUBLINGS))
            .min(self.max);
        self.failures = self.failures.saturating_add(1);
        full.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Resets the delay to `min` after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
