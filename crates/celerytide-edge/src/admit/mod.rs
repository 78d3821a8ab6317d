//! Whether a request is sent to an engine at all.
//!
//! Answers this load: for seconds more prompts come than engines hold. Accepted all the same, they push shared parts out
//! of the engines' memory, which then have to be read again, and end after their callers have given up. Each instance may
//! have its share of the memory of all usable engines in flight. Less urgent requests may use a smaller part of that, so
//! that they are refused first, and at once.

use celerytide_types::ServiceId;
use std::collections::HashMap;

/// Parts of an instance's share that the least and the most urgent requests may use.
const PARTS: (f64, f64) = (0.6, 1.0);
/// Requests of any size that an instance may always have in flight.
const ALWAYS: u32 = 2;

/// What this instance has in flight at the engines of each service.
#[derive(Debug, Default)]
pub struct Held {
    by_service: HashMap<ServiceId, Sum>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    tokens: f64,
    requests: u32,
}

/// What the engines of a service hold, as far as this instance knows.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Tokens that all usable engines hold.
    pub tokens: f64,
    /// Instances that share them.
    pub instances: usize,
}

impl Held {
    /// Whether a request of `tokens` at `position` of `count` in order of urgency may be sent.
    pub fn admits(&self, service: &str, tokens: f64, capacity: Capacity, (position, count): (usize, usize)) -> bool {
        let sum = self.by_service.get(service).copied().unwrap_or_default();
        let rank = position as f64 / (count.max(2) - 1) as f64;
        let part = PARTS.1 + (PARTS.0 - PARTS.1) * rank.min(1.0);
        let share = capacity.tokens / capacity.instances.max(1) as f64;
        sum.requests < ALWAYS || sum.tokens + tokens <= share * part
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, service: &str, tokens: f64) {
        let sum = self.by_service.entry(service.to_owned()).or_default();
        sum.tokens += tokens;
        sum.requests += 1;
    }

    /// The request has ended.
    pub fn end(&mut self, service: &str, tokens: f64) {
        let sum = self.by_service.entry(service.to_owned()).or_default();
        sum.tokens = (sum.tokens - tokens).max(0.0);
        sum.requests = sum.requests.saturating_sub(1);
    }
}
