//! Shares an endpoint's rate among the instances.
//!
//! Only a few instances send to a limited endpoint. They are selected by rendezvous hashing among the known ones, and each
//! uses an equal part of the rate. An instance that has just started knows few others; it sends nothing to limited
//! endpoints until it has had time to learn of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, rendezvous_weight};

/// Requests per second in the part of one instance, if that selects more than [`MIN_SELECTED`] instances.
const RATE_PER_INSTANCE: f64 = 3.0;
/// Instances that are selected however low the rate is: an instance that isn't selected may know no other endpoint, and
/// each one selected may send its first request in the same moment.
const MIN_SELECTED: usize = 4;
/// Least rate in requests per second: an endpoint that takes less is still asked now and then, since only a response can
/// tell that its limit has ended.
pub const MIN_RATE: f64 = 0.1;
/// Time after startup during which no request goes to limited endpoints.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Part of an instance's interval for which a turn is kept from the least urgent requests; the others wait for less. Gaps
/// between two requests are at least the rest of it.
const RESERVED_PART: f64 = 0.5;

/// When this instance may next send to each limited endpoint.
#[derive(Debug)]
pub struct RateLimiter {
    own: SocketAddr,
    started: BootTime,
    next_at: HashMap<EndpointId, BootTime>,
}

impl RateLimiter {
    /// Creates the limiter of the instance with address `own`, which started at `started`.
    pub fn new(own: SocketAddr, started: BootTime) -> RateLimiter {
        RateLimiter {
            own,
            started,
            next_at: HashMap::new(),
        }
    }

    /// Whether a request may go to `endpoint` now, which gets `per_s` requests per second from all `instances` (including
    /// this one).
    pub fn allows(&self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) -> bool {
        self.allows_rank(endpoint, per_s, instances, 0.0, now)
    }

    /// As [`RateLimiter::allows`] for a request of this rank, from 0 for the most urgent ones to 1: the less urgent leave a
    /// turn to others for a while.
    pub fn allows_rank(&self, endpoint: &str, per_s: f64, instances: &[SocketAddr], rank: f64, now: BootTime) -> bool {
        if now.since(self.started) < STARTUP_TIME {
            return false;
        }
        let Some(part) = self.part(endpoint, per_s, instances) else {
            return false;
        };
        let next_at = self.next_at.get(endpoint);
        next_at.is_none_or(|next_at| next_at.after(part.reserved(rank)) <= now)
    }

    /// Counts a request sent to `endpoint`.
    pub fn record(&mut self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) {
        self.record_rank(endpoint, per_s, instances, 0.0, now);
    }

    /// As [`RateLimiter::record`] for a request of this rank. The time for which its turn was reserved isn't lost: the next
    /// turn comes that much sooner.
    pub fn record_rank(&mut self, endpoint: &str, per_s: f64, instances: &[SocketAddr], rank: f64, now: BootTime) {
        let Some(part) = self.part(endpoint, per_s, instances) else {
            return;
        };
        let turn = self.next_at.get(endpoint).copied().unwrap_or(now);
        let waited = now.since(turn).min(part.reserved(rank));
        let next_at = now.after(part.interval - waited);
        self.next_at.insert(endpoint.to_owned(), next_at);
    }

    /// Begins with the part of a rate that became known: the selected instances send their first requests one after the
    /// other.
    pub fn begin(&mut self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) {
        let Some(part) = self.part(endpoint, per_s, instances) else {
            return;
        };
        let turn = (part.rank + 1) as f64 / part.selected as f64;
        self.begin_at(endpoint, now.after(part.interval.mul_f64(turn)), now);
    }

    /// Begins with the part of a rate that became known to instances that don't all hear each other: no order is common to
    /// them, so each sends its first request at a time of its own within its interval.
    pub fn begin_apart(&mut self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) {
        let Some(part) = self.part(endpoint, per_s, instances) else {
            return;
        };
        // The weight that selects instances is high for all that are selected; this one is independent of it.
        let weight = rendezvous_weight(&self.own.to_string(), endpoint);
        let turn = weight as f64 / u64::MAX as f64;
        self.begin_at(endpoint, now.after(part.interval.mul_f64(turn)), now);
    }

    /// Whether this instance has begun with its part of an endpoint's rate.
    pub fn has_begun(&self, endpoint: &str) -> bool {
        self.next_at.contains_key(endpoint)
    }

    fn begin_at(&mut self, endpoint: &str, first_at: BootTime, now: BootTime) {
        let next_at = self.next_at.entry(endpoint.to_owned()).or_insert(first_at);
        // A wait that a lower rate left behind ends sooner.
        *next_at = if *next_at > now {
            (*next_at).min(first_at)
        } else {
            first_at
        };
    }

    /// Removes the endpoints that have no rate any more and for which this instance's wait is over.
    pub fn sweep(&mut self, is_limited: impl Fn(&str) -> bool, now: BootTime) {
        self.next_at
            .retain(|endpoint, next_at| *next_at > now || is_limited(endpoint));
    }

    /// This instance's part of the rate; `None` if it isn't selected for the endpoint.
    fn part(&self, endpoint: &str, per_s: f64, instances: &[SocketAddr]) -> Option<Part> {
        let per_s = per_s.max(MIN_RATE);
        let by_rate = (per_s / RATE_PER_INSTANCE).floor() as usize;
        let selected = by_rate.max(MIN_SELECTED).min(instances.len().max(1));
        let own = rendezvous_weight(endpoint, &self.own.to_string());
        let others = instances.iter().filter(|i| **i != self.own);
        let rank = others
            .filter(|i| rendezvous_weight(endpoint, &i.to_string()) > own)
            .count();
        (rank < selected).then(|| Part {
            rank,
            selected,
            interval: Duration::from_secs_f64(selected as f64 / per_s),
        })
    }
}

/// One instance's part of an endpoint's rate.
struct Part {
    /// Number of selected instances that rank higher.
    rank: usize,
    /// Number of selected instances.
    selected: usize,
    /// Time between two requests of this instance.
    interval: Duration,
}

impl Part {
    /// Time for which a turn is kept from requests of this rank.
    fn reserved(&self, rank: f64) -> Duration {
        self.interval.mul_f64(RESERVED_PART * rank)
    }
}
