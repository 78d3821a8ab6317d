//! Requests in flight from other instances.
//!
//! Designed for this load: instances that decide independently send long prompts to the same endpoint at the same
//! moment, and short prompts queue behind them. Each instance sends the others its requests in flight as a complete
//! state, not as changes, so that a lost datagram does no harm; a state that isn't repeated in time expires. In a large
//! fleet an instance hears only a few others, and the prefill of a prompt ends before the digest about it has spread. The
//! backlogs of single endpoints are therefore omitted there: the few that are known would draw prompts away from the
//! engines that have their blocks cached. Sums by service are still sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, data};
use xxhash_rust::xxh3::xxh3_64;

use super::members::is_large;
use crate::split::{Demand, WorkEntry};

/// Age up to which a digest counts.
const MAX_AGE: Duration = Duration::from_millis(600);
/// Age up to which its [`WorkEntry`] list counts: work changes slowly, and in a large fleet more instances are heard
/// within this time.
const MAX_WORK_AGE: Duration = Duration::from_secs(3);
/// Digests needed before the remaining instances are assumed to be alike.
const MIN_DIGESTS: usize = 4;
/// Most backlogs in one digest.
const MAX_BACKLOGS: usize = 80;

data! {
    /// Requests in flight from one instance at one endpoint.
    #[derive(Copy, Eq)]
    pub struct Backlog {
        /// Hash of the endpoint's id.
        pub endpoint: u32,
        /// Uncached prompt tokens of requests without a first byte.
        pub queued_tokens: u32,
        /// Requests in flight.
        pub running: u16,
    }

    /// Tokens in flight from one instance at the engines of one service.
    #[derive(Copy, Eq)]
    pub struct ServiceTokens {
        /// Hash of the service's id.
        pub service: u32,
        /// Tokens of prompts and of their longest responses.
        pub tokens: u32,
    }

    /// Requests in flight from one instance.
    #[derive(Default)]
    pub struct Digest {
        /// By endpoint; idle endpoints are omitted.
        pub backlogs: Vec<Backlog>,
        /// By service.
        pub tokens_in_flight: Vec<ServiceTokens>,
        /// Engine time used, by service.
        pub work: Vec<WorkEntry>,
    }
}

/// Hash that stands for an id in digests.
pub fn id_hash(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

/// Hash that stands for one start of an endpoint in digests.
pub fn start_hash(id: &str, start: Option<u64>) -> u32 {
    id_hash(&format!("{id}/{}", start.unwrap_or_default()))
}

/// Latest digest of each other instance.
#[derive(Debug, Default)]
pub struct Digests {
    by_peer: HashMap<SocketAddr, Received>,
}

#[derive(Debug)]
struct Received {
    at: BootTime,
    digest: Digest,
}

/// Requests in flight from all other instances at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RemoteLoad {
    /// Uncached prompt tokens of requests without a first byte.
    pub queued_tokens: u64,
    /// Requests in flight.
    pub running: u32,
}

impl Digests {
    /// Stores the newest digest of a peer.
    pub fn insert(&mut self, from: SocketAddr, digest: Digest, now: BootTime) {
        self.by_peer.retain(|_, received| now.since(received.at) < MAX_WORK_AGE);
        self.by_peer.insert(from, Received { at: now, digest });
    }

    /// Tokens in flight at the engines of `service` from the other instances, of which there are `others`; `None`
    /// without recent digests.
    pub fn tokens_in_flight(&self, service: &str, others: usize, now: BootTime) -> Option<f64> {
        let (fresh, scale) = self.fresh(others, now);
        if fresh.is_empty() {
            return None;
        }
        let hash = id_hash(service);
        let entries = fresh
            .iter()
            .flat_map(|r| &r.digest.tokens_in_flight)
            .filter(|entry| entry.service == hash);
        Some(entries.map(|entry| f64::from(entry.tokens)).sum::<f64>() * scale)
    }

    /// Work at `service` of the instances heard recently. Only its ratios matter, so it isn't extrapolated to the others.
    pub fn work(&self, service: &str, now: BootTime) -> Demand {
        let hash = id_hash(service);
        let fresh = self.by_peer.values().filter(|r| now.since(r.at) < MAX_WORK_AGE);
        let work = fresh.flat_map(|r| &r.digest.work).filter(|w| w.service == hash);
        work.fold(Demand::default(), Demand::plus)
    }

    /// Number of instances whose digests still count.
    pub fn heard(&self, now: BootTime) -> usize {
        self.by_peer.values().filter(|r| now.since(r.at) < MAX_AGE).count()
    }

    /// Digests that still count, and the number of instances that each one represents.
    fn fresh(&self, others: usize, now: BootTime) -> (Vec<&Received>, f64) {
        let fresh: Vec<&Received> = self.by_peer.values().filter(|r| now.since(r.at) < MAX_AGE).collect();
        let extrapolate = is_large(others) && fresh.len() >= MIN_DIGESTS;
        let scale = if extrapolate {
            (others as f64 / fresh.len() as f64).max(1.0)
        } else {
            1.0
        };
        (fresh, scale)
    }

    /// Load from other instances by hash of the endpoint's id; empty in a large fleet.
    pub fn loads_by_endpoint(&self, others: usize, now: BootTime) -> HashMap<u32, RemoteLoad> {
        let mut loads: HashMap<u32, RemoteLoad> = HashMap::new();
        if is_large(others) {
            return loads;
        }
        let (fresh, _) = self.fresh(others, now);
        for backlog in fresh.iter().flat_map(|r| &r.digest.backlogs) {
            let load = loads.entry(backlog.endpoint).or_default();
            load.queued_tokens += u64::from(backlog.queued_tokens);
            load.running += u32::from(backlog.running);
        }
        loads
    }
}

impl Digest {
    /// Creates a digest; if there are too many backlogs, only the largest are kept.
    pub fn new(mut backlogs: Vec<Backlog>, tokens_in_flight: Vec<ServiceTokens>) -> Digest {
        if backlogs.len() > MAX_BACKLOGS {
            backlogs.sort_unstable_by_key(|b| std::cmp::Reverse((b.queued_tokens, b.running)));
            backlogs.truncate(MAX_BACKLOGS);
        }
        Digest {
            backlogs,
            tokens_in_flight,
            work: Vec::new(),
        }
    }
}
