//! What other instances have in flight.
//!
//! Answers this load: instances that decide alone send long prompts to the same endpoint within a moment, and short ones
//! behind them come late. Each instance tells the others what it has in flight, as a state and not as changes, so that a
//! lost datagram does no harm; what is not repeated in time no longer counts. In a large fleet an instance hears a few of
//! the others only, and a prompt is read before that goes round: what waits at single endpoints is left out there, since
//! the few that are heard would draw prompts away from the engines that hold their parts. Sums by service stay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, data};
use xxhash_rust::xxh3::xxh3_64;

use super::members::is_large;
use crate::split::{Demand, WorkAt};

/// Age up to which a digest counts.
const FRESH: Duration = Duration::from_millis(600);
/// Age up to which it tells of the work that an instance has: that changes slowly, and in a large fleet more instances
/// are heard in this time.
const KEPT: Duration = Duration::from_secs(3);
/// Instances that have to be heard before the rest is taken to be like them.
const LEAST_HEARD: usize = 4;
/// Entries of one digest.
const MAX_ENTRIES: usize = 80;

data! {
    /// What one instance has in flight at one endpoint.
    #[derive(Copy, Eq)]
    pub struct Backlog {
        /// Hash of the endpoint's id.
        pub endpoint: u32,
        /// Prompt tokens of requests without a first event.
        pub unread: u32,
        /// Requests in flight.
        pub running: u16,
    }

    /// What one instance has in flight at the engines of one service.
    #[derive(Copy, Eq)]
    pub struct HeldAt {
        /// Hash of the service's id.
        pub service: u32,
        /// Tokens of prompts and answers.
        pub tokens: u32,
    }

    /// What one instance has in flight.
    #[derive(Default)]
    pub struct Digest {
        /// By endpoint; those with nothing in flight are left out.
        pub backlogs: Vec<Backlog>,
        /// By service.
        pub held: Vec<HeldAt>,
        /// By service: the engine time that its work takes.
        pub work: Vec<WorkAt>,
    }
}

/// Hash of an id in digests.
pub fn id_hash(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

/// The digests of other instances.
#[derive(Debug, Default)]
pub struct Digests {
    by_peer: HashMap<SocketAddr, Received>,
}

#[derive(Debug)]
struct Received {
    at: BootTime,
    digest: Digest,
}

/// What all other instances have in flight at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Elsewhere {
    /// Prompt tokens of requests without a first event.
    pub unread: u64,
    /// Requests in flight.
    pub running: u32,
}

impl Digests {
    /// Takes a peer's newest digest.
    pub fn take(&mut self, from: SocketAddr, digest: Digest, now: BootTime) {
        self.by_peer.retain(|_, received| now.since(received.at) < KEPT);
        self.by_peer.insert(from, Received { at: now, digest });
    }

    /// Tokens that the `others` have in flight at the engines of `service`; `None` if too few were heard.
    pub fn held(&self, service: &str, others: usize, now: BootTime) -> Option<f64> {
        let (fresh, times) = self.fresh(others, now);
        if fresh.is_empty() {
            return None;
        }
        let hash = id_hash(service);
        let held = fresh
            .iter()
            .flat_map(|r| &r.digest.held)
            .filter(|held| held.service == hash);
        Some(held.map(|held| f64::from(held.tokens)).sum::<f64>() * times)
    }

    /// Engine time that the work of those that were heard takes at `service`; its parts matter, not its sum.
    pub fn work(&self, service: &str, now: BootTime) -> Demand {
        let hash = id_hash(service);
        let fresh = self.by_peer.values().filter(|r| now.since(r.at) < KEPT);
        let work = fresh.flat_map(|r| &r.digest.work).filter(|w| w.service == hash);
        work.fold(Demand::default(), Demand::with)
    }

    /// Digests that still count, and for how many instances each stands.
    fn fresh(&self, others: usize, now: BootTime) -> (Vec<&Received>, f64) {
        let fresh: Vec<&Received> = self.by_peer.values().filter(|r| now.since(r.at) < FRESH).collect();
        let unheard = is_large(others) && fresh.len() >= LEAST_HEARD;
        let times = if unheard {
            (others as f64 / fresh.len() as f64).max(1.0)
        } else {
            1.0
        };
        (fresh, times)
    }

    /// Sums by endpoint; none in a large fleet of `others`.
    pub fn sums(&self, others: usize, now: BootTime) -> HashMap<u32, Elsewhere> {
        let mut sums: HashMap<u32, Elsewhere> = HashMap::new();
        if is_large(others) {
            return sums;
        }
        let (fresh, _) = self.fresh(others, now);
        for backlog in fresh.iter().flat_map(|r| &r.digest.backlogs) {
            let sum = sums.entry(backlog.endpoint).or_default();
            sum.unread += u64::from(backlog.unread);
            sum.running += u32::from(backlog.running);
        }
        sums
    }
}

impl Digest {
    /// A digest of what is in flight; the largest entries if there are too many.
    pub fn new(mut backlogs: Vec<Backlog>, held: Vec<HeldAt>) -> Digest {
        if backlogs.len() > MAX_ENTRIES {
            backlogs.sort_unstable_by_key(|b| std::cmp::Reverse((b.unread, b.running)));
            backlogs.truncate(MAX_ENTRIES);
        }
        Digest {
            backlogs,
            held,
            work: Vec::new(),
        }
    }
}
