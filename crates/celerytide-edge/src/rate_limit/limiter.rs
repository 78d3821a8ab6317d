//! Shares an endpoint's rate among the instances.
//!
//! Only a few instances send to a limited endpoint. They are selected by rendezvous hashing among the known ones, and each
//! uses an equal part of the rate. An instance that has just started knows few others; it sends nothing to limited
//! endpoints until it has had time to learn of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, rendezvous_weight};

/// Requests per second in the part of one instance.
const RATE_PER_INSTANCE: f64 = 3.0;
/// Time after startup during which no request goes to limited endpoints.
const STARTUP_TIME: Duration = Duration::from_secs(4);

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

    /// Whether a request may go to `endpoint`, which gets `per_s` requests per second from all `instances` (including
    /// this one).
    pub fn allows(&self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) -> bool {
        if now.since(self.started) < STARTUP_TIME || self.interval(endpoint, per_s, instances).is_none() {
            return false;
        }
        self.next_at.get(endpoint).is_none_or(|next_at| *next_at <= now)
    }

    /// Counts a request sent to `endpoint`.
    pub fn record(&mut self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) {
        if let Some(interval) = self.interval(endpoint, per_s, instances) {
            self.next_at.insert(endpoint.to_owned(), now.after(interval));
        }
    }

    /// Removes the endpoints for which this instance's wait is over.
    pub fn sweep(&mut self, now: BootTime) {
        self.next_at.retain(|_, next_at| *next_at > now);
    }

    /// Time between two requests of this instance; `None` if it isn't selected for the endpoint.
    fn interval(&self, endpoint: &str, per_s: f64, instances: &[SocketAddr]) -> Option<Duration> {
        if per_s <= 0.0 {
            return None;
        }
        let selected_instances = ((per_s / RATE_PER_INSTANCE).floor() as usize).clamp(1, instances.len().max(1));
        let own = rendezvous_weight(endpoint, &self.own.to_string());
        let ranked_higher = instances.iter().filter(|i| **i != self.own);
        let ranked_higher = ranked_higher
            .filter(|i| rendezvous_weight(endpoint, &i.to_string()) > own)
            .count();
        (ranked_higher < selected_instances).then(|| Duration::from_secs_f64(selected_instances as f64 / per_s))
    }
}
