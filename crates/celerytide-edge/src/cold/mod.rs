//! Shares of what a cold endpoint bears.
//!
//! Answers this load: endpoints start, or come back, while all instances have work waiting. The bound holds for the sum
//! over all instances, so each cold endpoint is served by a few of them, chosen by rendezvous hashing among those known;
//! each of these takes a whole part. An instance that has just started knows few others: it sends nothing to cold
//! endpoints until it has had time to hear of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, rendezvous_weight};

/// Requests a second that one instance's part is worth.
const PART_PER_S: f64 = 3.0;
/// Share of what an endpoint bears that is handed out, since views of the fleet differ.
const USED: f64 = 0.7;
/// Time after the start for which nothing goes to cold endpoints.
const SETTLE: Duration = Duration::from_secs(4);

/// When this instance last used its parts.
#[derive(Debug)]
pub struct ColdShares {
    own: SocketAddr,
    started: BootTime,
    next: HashMap<EndpointId, BootTime>,
}

impl ColdShares {
    /// Shares of the instance with address `own`, which started at `started`.
    pub fn new(own: SocketAddr, started: BootTime) -> ColdShares {
        ColdShares {
            own,
            started,
            next: HashMap::new(),
        }
    }

    /// Whether a request may go to the cold `endpoint`, which bears `per_s` requests a second from all `instances`
    /// (this one among them).
    pub fn allows(&self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) -> bool {
        if now.since(self.started) < SETTLE || self.interval(endpoint, per_s, instances).is_none() {
            return false;
        }
        self.next.get(endpoint).is_none_or(|next| *next <= now)
    }

    /// Counts a request that was sent to the cold `endpoint`.
    pub fn note(&mut self, endpoint: &str, per_s: f64, instances: &[SocketAddr], now: BootTime) {
        if let Some(interval) = self.interval(endpoint, per_s, instances) {
            self.next.insert(endpoint.to_owned(), now.after(interval));
        }
    }

    /// Forgets endpoints whose parts were last used long ago.
    pub fn sweep(&mut self, now: BootTime) {
        self.next.retain(|_, next| *next > now);
    }

    /// Time between two requests of this instance; `None` if it has no part.
    fn interval(&self, endpoint: &str, per_s: f64, instances: &[SocketAddr]) -> Option<Duration> {
        let usable = per_s * USED;
        if usable <= 0.0 {
            return None;
        }
        let parts = ((usable / PART_PER_S).floor() as usize).clamp(1, instances.len().max(1));
        let own = rendezvous_weight(endpoint, &self.own.to_string());
        let before = instances.iter().filter(|i| **i != self.own);
        let before = before
            .filter(|i| rendezvous_weight(endpoint, &i.to_string()) > own)
            .count();
        (before < parts).then(|| Duration::from_secs_f64(parts as f64 / usable))
    }
}
