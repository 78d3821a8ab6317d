//! Whether a request is sent to an engine at all.
//!
//! Answers this load: for seconds more prompts come than engines hold. Accepted all the same, they push shared parts out
//! of the engines' memory, which then have to be read again, and end after their callers have given up. All instances
//! together may have as much in flight as the usable engines hold. Less urgent requests may use a smaller part of that, so
//! that they are refused first, and at once. What the others have in flight comes from their digests; an instance that
//! hears none takes them to be like itself.

use std::collections::HashMap;

use celerytide_catalog::Urgency;
use celerytide_types::ServiceId;

use crate::peers::digest::{HeldAt, id_hash};

/// Parts of the engines' memory that the least and the most urgent requests may use.
const PARTS: (f64, f64) = (0.35, 0.8);
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
    /// Tokens that other instances have in flight there; `None` if they aren't heard.
    pub elsewhere: Option<f64>,
    /// Instances, this one among them.
    pub instances: usize,
}

impl Held {
    /// Whether a request of `tokens` and that urgency may be sent.
    pub fn admits(&self, service: &str, tokens: f64, capacity: Capacity, urgency: Urgency) -> bool {
        let sum = self.by_service.get(service).copied().unwrap_or_default();
        let part = PARTS.1 + (PARTS.0 - PARTS.1) * urgency.rank();
        let like_own = sum.tokens * (capacity.instances.max(1) - 1) as f64;
        let in_flight = sum.tokens + capacity.elsewhere.unwrap_or(like_own);
        sum.requests < ALWAYS || in_flight + tokens <= capacity.tokens * part
    }

    /// What is in flight, for other instances.
    pub fn told(&self) -> Vec<HeldAt> {
        let busy = self.by_service.iter().filter(|(_, sum)| sum.requests > 0);
        let told = busy.map(|(service, sum)| HeldAt {
            service: id_hash(service),
            tokens: sum.tokens as u32,
        });
        let mut told: Vec<HeldAt> = told.collect();
        told.sort_unstable_by_key(|held| held.service);
        told
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
