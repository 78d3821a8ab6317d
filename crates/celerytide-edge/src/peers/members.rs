//! Who lives, as far as this instance has heard.
//!
//! Nobody publishes the list of instances. Each starts with its seeds and hears of others from those it talks to; an
//! entry carries how long ago somebody last heard from that instance itself, so that the word of a dead one ages out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, Millis, data, millis};
use rand::seq::IteratorRandom;

/// Age up to which an instance is talked to.
const TALK_AGE: Duration = Duration::from_secs(8);
/// Age up to which an instance counts as sharing bounds: longer than a partition usually lasts, so that an instance
/// that is cut off takes no larger shares.
const SHARE_AGE: Duration = Duration::from_secs(40);
/// Entries in one message.
const MAX_ENTRIES: usize = 24;
/// Other instances up to which a fleet is small: each tells all others everything, and reads the store itself.
const MAX_SMALL: usize = 16;

/// Whether a fleet of so many `others` is too large for each instance to talk to all.
pub fn is_large(others: usize) -> bool {
    others > MAX_SMALL
}

/// Peer addresses of instances.
pub type Instances = Vec<SocketAddr>;

data! {
    /// What is told of one instance.
    pub struct Heard {
        /// Where it listens for peers.
        pub address: SocketAddr,
        /// Time since it was last heard from.
        pub age_ms: Millis,
    }
}

/// Instances that were heard of.
#[derive(Debug)]
pub struct Members {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    heard: BTreeMap<SocketAddr, BootTime>,
    started: BootTime,
}

impl Members {
    /// Knows only the seeds.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], started: BootTime) -> Members {
        Members {
            own,
            seeds: seeds.iter().filter(|s| **s != own).copied().collect(),
            heard: BTreeMap::new(),
            started,
        }
    }

    /// Takes new seeds from changed settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().filter(|s| **s != self.own).copied().collect();
    }

    /// Instances that the settings name, besides this one.
    pub fn seeds(&self) -> Instances {
        self.seeds.clone()
    }

    /// An instance spoke to this one.
    pub fn note(&mut self, address: SocketAddr, now: BootTime) {
        if address != self.own {
            self.heard.insert(address, now);
        }
    }

    /// Takes in what a peer has heard.
    pub fn merge(&mut self, entries: &[Heard], now: BootTime) {
        for entry in entries.iter().filter(|e| e.address != self.own) {
            let age = Duration::from_millis(entry.age_ms);
            if age > SHARE_AGE {
                continue;
            }
            let Some(at) = now.since_start().checked_sub(age).map(BootTime::from_start) else {
                continue;
            };
            let known = self.heard.entry(entry.address).or_insert(at);
            *known = (*known).max(at);
        }
        self.heard.retain(|_, at| now.since(*at) < SHARE_AGE);
    }

    /// This instance's own address.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Live instances besides this one, with the time at which each was last heard from.
    fn live(&self, now: BootTime) -> impl Iterator<Item = (SocketAddr, BootTime)> {
        let fresh = move |(_, at): &(SocketAddr, BootTime)| now.since(*at) < TALK_AGE;
        self.heard.iter().map(|(address, at)| (*address, *at)).filter(fresh)
    }

    /// What to tell a peer: this instance, and some of those heard of.
    pub fn digest(&self, now: BootTime) -> Vec<Heard> {
        let own = Heard {
            address: self.own,
            age_ms: 0,
        };
        let some = self.live(now).choose_multiple(&mut rand::rng(), MAX_ENTRIES - 1);
        let some = some.into_iter().map(|(address, at)| Heard {
            address,
            age_ms: millis(now.since(at)),
        });
        std::iter::once(own).chain(some).collect()
    }

    /// One to talk to: a live instance, at times a seed.
    pub fn draw(&self, now: BootTime) -> Option<SocketAddr> {
        let live = self.live(now).map(|(address, _)| address).choose(&mut rand::rng());
        let seed = self.seeds.iter().copied().choose(&mut rand::rng());
        let prefer_seed = live.is_none() || rand::random_ratio(1, 6);
        if prefer_seed { seed.or(live) } else { live }
    }

    /// Whether the fleet is too large for each instance to talk to all.
    pub fn is_large(&self, now: BootTime) -> bool {
        is_large(self.live(now).count())
    }

    /// Live instances besides this one, in their order.
    pub fn living(&self, now: BootTime) -> Instances {
        self.live(now).map(|(address, _)| address).collect()
    }

    /// Some live instances besides this one, `most` at most.
    pub fn some(&self, now: BootTime, most: usize) -> Instances {
        let live = self.live(now).map(|(address, _)| address);
        live.choose_multiple(&mut rand::rng(), most)
    }

    /// Instances that share bounds with this one, itself among them.
    pub fn known(&self, now: BootTime) -> Instances {
        let recent = self.heard.iter().filter(|(_, at)| now.since(**at) < SHARE_AGE);
        let recent = recent.map(|(address, _)| *address);
        let seeds = self.seeds.iter().copied();
        let mut all: Instances = recent.chain(seeds).chain([self.own]).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Time since this instance started.
    pub fn age(&self, now: BootTime) -> Duration {
        now.since(self.started)
    }
}
