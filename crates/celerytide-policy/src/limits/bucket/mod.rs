//! A token bucket that computes its refill on access and needs no timer.

use std::time::Duration;

use celerytide_types::BootTime;

use super::Limit;

/// Longest wait that is returned, in seconds.
const WAIT_MAX_SECONDS: f64 = 3600.0;

/// Token bucket of one customer.
#[derive(Debug, Clone)]
pub struct Bucket {
    tokens: f64,
    limit: Limit,
    updated: BootTime,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn full(now: BootTime, limit: Limit) -> Bucket {
        Bucket {
            tokens: limit.burst,
            limit,
            updated: now,
        }
    }

    /// Takes a token under a limit that may have changed. Returns the time until the next token if there is none.
    pub fn take(&mut self, now: BootTime, limit: Limit) -> Option<Duration> {
        self.limit = limit;
        self.tokens = self.tokens_at(now);
        self.updated = self.updated.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        let seconds = (1.0 - self.tokens) / limit.per_second.max(1e-9);
        Some(Duration::from_secs_f64(seconds.min(WAIT_MAX_SECONDS)))
    }

    /// Whether the bucket has refilled, so that it can be dropped.
    pub fn is_full(&self, now: BootTime) -> bool {
        self.tokens_at(now) >= self.limit.burst
    }

    fn tokens_at(&self, now: BootTime) -> f64 {
        let earned = now.since(self.updated).as_secs_f64() * self.limit.per_second;
        (self.tokens + earned).min(self.limit.burst)
    }
}
