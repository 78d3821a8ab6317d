//! Admission control for requests to engines.
//!
//! Designed for overload: for seconds, more prompts arrive than the engines hold. If all were accepted, they would evict
//! shared prompt blocks from the engines' memory, which then need another prefill, and finish after their callers gave
//! up. All instances together may have in flight a share of the tokens that the usable engines hold. For less urgent
//! requests the share is smaller, so that they are refused first and at once. The load of other instances comes from
//! their digests; an instance that receives none assumes that each other one has the same load as itself.

use std::collections::HashMap;

use celerytide_catalog::Urgency;
use celerytide_types::ServiceId;

use crate::peers::digest::{ServiceTokens, id_hash};

/// Shares of the engines' memory up to which the least urgent and the most urgent requests are admitted.
const CAPACITY_SHARES: (f64, f64) = (0.35, 0.8);
/// Requests, of any size, that an instance may always have in flight.
const ALWAYS_ADMITTED: u32 = 2;

/// Tokens and requests that this instance has in flight at the engines of each service.
#[derive(Debug, Default)]
pub struct TokensInFlight {
    by_service: HashMap<ServiceId, Totals>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    tokens: f64,
    requests: u32,
}

/// Memory of a service's engines and its use by other instances.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Tokens that all usable engines hold together.
    pub tokens: f64,
    /// Tokens that other instances have in flight there; `None` without fresh digests.
    pub remote_tokens: Option<f64>,
    /// Number of instances, including this one.
    pub instances: usize,
}

impl TokensInFlight {
    /// Whether a request of `tokens` with this urgency may be sent.
    pub fn admits(&self, service: &str, tokens: f64, capacity: Capacity, urgency: Urgency) -> bool {
        let totals = self.by_service.get(service).copied().unwrap_or_default();
        let share = CAPACITY_SHARES.1 + (CAPACITY_SHARES.0 - CAPACITY_SHARES.1) * urgency.rank();
        let extrapolated = totals.tokens * (capacity.instances.max(1) - 1) as f64;
        let in_flight = totals.tokens + capacity.remote_tokens.unwrap_or(extrapolated);
        totals.requests < ALWAYS_ADMITTED || in_flight + tokens <= capacity.tokens * share
    }

    /// Tokens in flight by service, for the digest.
    pub fn entries(&self) -> Vec<ServiceTokens> {
        let busy = self.by_service.iter().filter(|(_, totals)| totals.requests > 0);
        let entries = busy.map(|(service, totals)| ServiceTokens {
            service: id_hash(service),
            tokens: totals.tokens as u32,
        });
        let mut entries: Vec<ServiceTokens> = entries.collect();
        entries.sort_unstable_by_key(|entry| entry.service);
        entries
    }

    /// Counts a request as it is sent.
    pub fn begin(&mut self, service: &str, tokens: f64) {
        let totals = self.by_service.entry(service.to_owned()).or_default();
        totals.tokens += tokens;
        totals.requests += 1;
    }

    /// Removes an ended request from the count.
    pub fn end(&mut self, service: &str, tokens: f64) {
        let totals = self.by_service.entry(service.to_owned()).or_default();
        totals.tokens = (totals.tokens - tokens).max(0.0);
        totals.requests = totals.requests.saturating_sub(1);
    }
}
