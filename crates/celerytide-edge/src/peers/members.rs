//! Membership: which instances are alive, as far as this one knows.
//!
//! No list of instances is published. Each instance starts with the seeds of its settings and learns of others from its
//! peers. A [`PeerEntry`] carries the time since any instance last heard from that one directly, so that dead instances
//! are forgotten.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, Millis, data, millis};
use rand::seq::IteratorRandom;

/// Age up to which an instance counts as alive.
const LIVE_AGE: Duration = Duration::from_secs(8);
/// Age up to which an instance is selected for endpoints whose rate is limited: one that is gone would leave its turn
/// unused.
const SHARE_AGE: Duration = Duration::from_secs(40);
/// Age up to which an instance counts as part of the fleet. Silence doesn't tell whether an instance is gone or cut off, so
/// this is far longer than partitions last.
const FLEET_AGE: Duration = Duration::from_secs(3600);
/// Time for which a seed has to be known before it counts: gossip names the instances of its part of the fleet in that time.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Most entries in one message.
const MAX_ENTRIES: usize = 24;
/// Entries of silent instances among these, so that a process that starts behind a partition learns of them.
const MAX_SILENT_ENTRIES: usize = 6;
/// Other instances up to which a fleet is small: each sends everything to all others and reads the store itself.
const MAX_SMALL: usize = 16;

/// Instances of the largest fleet that the design is for.
const LARGEST_FLEET: usize = 360;

/// Groups of instances that may each use a whole rate: what endpoints bear beyond the shares of rates that are used.
const TOLERATED_GROUPS: usize = 2;

/// Whether a fleet with this number of `others` is too large for each instance to talk to all.
pub fn is_large(others: usize) -> bool {
    others > MAX_SMALL
}

/// Peer addresses of instances.
pub type Instances = Vec<SocketAddr>;

data! {
    /// What one instance reports about another.
    pub struct PeerEntry {
        /// Peer address.
        pub address: SocketAddr,
        /// Time since it was last heard from.
        pub age_ms: Millis,
    }
}

/// Known instances.
#[derive(Debug)]
pub struct Members {
    own: SocketAddr,
    /// Whether the settings name this instance, too.
    is_seed: bool,
    seeds: Vec<SocketAddr>,
    last_heard: BTreeMap<SocketAddr, BootTime>,
    started: BootTime,
    /// When each seed was first heard of.
    known_seeds: BTreeMap<SocketAddr, BootTime>,
}

impl Members {
    /// Creates a membership that knows only the seeds.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], started: BootTime) -> Members {
        Members {
            own,
            is_seed: seeds.contains(&own),
            known_seeds: BTreeMap::new(),
            seeds: seeds.iter().filter(|s| **s != own).copied().collect(),
            last_heard: BTreeMap::new(),
            started,
        }
    }

    /// Replaces the seeds after a reload of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.is_seed = seeds.contains(&self.own);
        self.seeds = seeds.iter().filter(|s| **s != self.own).copied().collect();
    }

    /// Instances named in the settings, without this one.
    pub fn seeds(&self) -> Instances {
        self.seeds.clone()
    }

    /// Records direct contact with an instance.
    pub fn record_contact(&mut self, address: SocketAddr, now: BootTime) {
        if address != self.own {
            self.last_heard.insert(address, now);
            self.note_seeds(now);
        }
    }

    /// Merges the entries that a peer reported.
    pub fn merge(&mut self, entries: &[PeerEntry], now: BootTime) {
        for entry in entries.iter().filter(|e| e.address != self.own) {
            let age = Duration::from_millis(entry.age_ms);
            if age > FLEET_AGE {
                continue;
            }
            let Some(at) = now.since_start().checked_sub(age).map(BootTime::from_start) else {
                continue;
            };
            let known = self.last_heard.entry(entry.address).or_insert(at);
            *known = (*known).max(at);
        }
        self.last_heard.retain(|_, at| now.since(*at) < FLEET_AGE);
        self.note_seeds(now);
    }

    fn note_seeds(&mut self, now: BootTime) {
        for seed in self.seeds.iter().filter(|seed| self.last_heard.contains_key(seed)) {
            self.known_seeds.entry(*seed).or_insert(now);
        }
    }

    /// This instance's own address.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Live instances, without this one, and when each was last heard from.
    fn live(&self, now: BootTime) -> impl Iterator<Item = (SocketAddr, BootTime)> {
        let fresh = move |(_, at): &(SocketAddr, BootTime)| now.since(*at) < LIVE_AGE;
        self.last_heard
            .iter()
            .map(|(address, at)| (*address, *at))
            .filter(fresh)
    }

    /// Instances that haven't been heard from for some time, and when each last was.
    fn silent(&self, now: BootTime) -> impl Iterator<Item = (SocketAddr, BootTime)> {
        let is_silent = move |(_, at): &(SocketAddr, BootTime)| (LIVE_AGE..FLEET_AGE).contains(&now.since(*at));
        self.last_heard
            .iter()
            .map(|(address, at)| (*address, *at))
            .filter(is_silent)
    }

    /// Entries for a peer: this instance, a sample of the live ones and some silent ones.
    pub fn entries_for_peer(&self, now: BootTime) -> Vec<PeerEntry> {
        let own = PeerEntry {
            address: self.own,
            age_ms: 0,
        };
        let silent = self.silent(now).choose_multiple(&mut rand::rng(), MAX_SILENT_ENTRIES);
        let live = self.live(now);
        let sample = live.choose_multiple(&mut rand::rng(), MAX_ENTRIES - 1 - silent.len());
        let sample = sample.into_iter().chain(silent).map(|(address, at)| PeerEntry {
            address,
            age_ms: millis(now.since(at)),
        });
        std::iter::once(own).chain(sample).collect()
    }

    /// Chooses the next peer to call: a live instance, sometimes a seed.
    pub fn choose_peer(&self, now: BootTime) -> Option<SocketAddr> {
        let live = self.live(now).map(|(address, _)| address).choose(&mut rand::rng());
        let seed = self.seeds.iter().copied().choose(&mut rand::rng());
        let is_seed_preferred = live.is_none() || rand::random_ratio(1, 6);
        if is_seed_preferred { seed.or(live) } else { live }
    }

    /// Whether the fleet is too large for each instance to talk to all.
    pub fn is_large(&self, now: BootTime) -> bool {
        is_large(self.live(now).count())
    }

    /// Live instances without this one, sorted by address.
    pub fn live_peers(&self, now: BootTime) -> Instances {
        self.live(now).map(|(address, _)| address).collect()
    }

    /// Random sample of at most `most` live instances, without this one.
    pub fn sample(&self, now: BootTime, most: usize) -> Instances {
        let live = self.live(now).map(|(address, _)| address);
        live.choose_multiple(&mut rand::rng(), most)
    }

    /// Instances that share the rates of limited endpoints with this one, including itself.
    pub fn sharing_limits(&self, now: BootTime) -> Instances {
        let recent = self.last_heard.iter().filter(|(_, at)| now.since(**at) < SHARE_AGE);
        let recent = recent.map(|(address, _)| *address);
        let seeds = self.seeds.iter().copied();
        let mut all: Instances = recent.chain(seeds).chain([self.own]).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Number of instances, including this one, among which a bound on all of them is divided: all that were heard of in
    /// the last hour, and the seeds. `None` if the settings name others and none was ever heard from: a process that starts
    /// cut off can't tell how many there are.
    pub fn fleet_size(&self, now: BootTime) -> Option<usize> {
        let known = self.last_heard.iter().filter(|(_, at)| now.since(**at) < FLEET_AGE);
        let known = known.map(|(address, _)| *address);
        let mut others: Instances = known.collect();
        if others.is_empty() && !self.seeds.is_empty() {
            return None;
        }
        others.extend(self.seeds.iter().copied());
        others.sort_unstable();
        others.dedup();
        Some(others.len() + 1)
    }

    /// Number by which an allowance of all instances is divided: [`Members::fleet_size`], times the seeds for each one that
    /// this instance knows. Where a fleet starts cut apart, its parts know different seeds, and take no more than one
    /// allowance together. `None` without any. After an hour all seeds count: some may be gone for good.
    pub fn allowance_divisor(&self, now: BootTime) -> Option<usize> {
        let size = self.fleet_size(now).or_else(|| self.size_after_silence(now))?;
        let seeds = self.seeds.len() + usize::from(self.is_seed);
        if seeds == 0 || self.age(now) >= FLEET_AGE {
            return Some(size);
        }
        let known = self.settled_seeds(now) + usize::from(self.is_seed);
        (known > 0).then(|| (size * seeds).div_ceil(known))
    }

    /// Size of the fleet for an instance that hears of nobody for so long that the others count as gone.
    fn size_after_silence(&self, now: BootTime) -> Option<usize> {
        (self.age(now) >= FLEET_AGE).then(|| self.seeds.len() + 1)
    }

    fn settled_seeds(&self, now: BootTime) -> usize {
        let known = self.seeds.iter().filter_map(|seed| self.known_seeds.get(seed));
        known.filter(|at| now.since(**at) >= SETTLE_TIME).count()
    }

    /// Part of a rate, from 0 to 1, that the instances of [`Members::sharing_limits`] may use together: the others may be cut
    /// off and use theirs.
    pub fn rate_share(&self, now: BootTime) -> f64 {
        let sharing = self.sharing_limits(now).len();
        sharing as f64 / self.assumed_size(now).max(sharing) as f64
    }

    /// The same part of all instances that this one knows; it is 1 if it knows only the seeds.
    pub fn known_share(&self, now: BootTime) -> f64 {
        let sharing = self.sharing_limits(now).len();
        let known = self.fleet_size(now).unwrap_or(sharing);
        sharing as f64 / known.max(sharing) as f64
    }

    /// Number of instances that there may be; the largest fleet's if none was ever heard of. Otherwise as many as this one
    /// knows may be around each seed that it hasn't heard of. Seeds may also be gone for good, so only the groups are counted
    /// that the shares of rates that are used leave no room for.
    pub fn assumed_size(&self, now: BootTime) -> usize {
        let Some(known) = self.fleet_size(now).or_else(|| self.size_after_silence(now)) else {
            return LARGEST_FLEET;
        };
        let is_unheard = |seed: &&SocketAddr| self.last_heard.get(seed).is_none_or(|at| now.since(*at) >= FLEET_AGE);
        let unheard = self.seeds.iter().filter(is_unheard).count();
        let named = self.seeds.len() + usize::from(self.is_seed);
        let groups = (unheard + 1).min(named).max(TOLERATED_GROUPS);
        let assumed = known * groups / TOLERATED_GROUPS;
        assumed.min(LARGEST_FLEET).max(known)
    }

    /// Time since this instance started.
    pub fn age(&self, now: BootTime) -> Duration {
        now.since(self.started)
    }
}
