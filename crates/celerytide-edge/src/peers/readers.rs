//! Chooses which instances read the platform's store and whom the others follow.
//!
//! Answers this load: each change of the store wakes one watch per instance, and idle watches end after a moment, so
//! calls grow with the fleet. In a large fleet a constant number of instances read, chosen by rendezvous hashing among
//! the live ones. The next ones in that order follow them and relay what they hear; each remaining instance follows one
//! of either group. An instance whose reader fails, becomes silent or loses the store reads the store at once and
//! follows another one later. Instances may disagree for a while on who is alive and so on who reads: one that is asked
//! starts to read, and its follower soon asks again. An instance that knows few others reads the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, rendezvous_weight};

use super::members::is_large;

/// Most instances that read the store.
const MAX_READERS: usize = 6;
/// Instances per reader or relay.
const INSTANCES_PER_RELAY: usize = 10;
/// Time after startup during which an instance reads the store itself, since it knows few others.
const STARTUP_TIME: Duration = Duration::from_millis(1500);
/// Time for which an instance reads the store itself after its reader failed.
const READ_AFTER_FAILURE: Duration = Duration::from_secs(2);
/// Time for which an instance reads the store itself if its chosen reader wasn't reading yet: as long as that one may
/// still wait for its own reader.
const READ_AFTER_NOT_READY: Duration = Duration::from_secs(1);
/// Time for which an instance reads the store after a follower called it.
const READ_AFTER_REQUEST: Duration = Duration::from_secs(4);
/// Time for which a failed reader isn't followed: as long as it may still count as alive.
const AVOID_TIME: Duration = Duration::from_secs(8);
/// Key of the rendezvous hash that ranks readers.
const READERS_KEY: &str = "readers";

/// Where an instance gets changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The store itself.
    Store,
    /// Another instance, which reads the store or relays it.
    Peer(SocketAddr),
}

/// State of the choice between reading and following.
#[derive(Debug, Default)]
pub struct Readers {
    direct_until: Option<BootTime>,
    followed_until: Option<BootTime>,
    avoided: BTreeMap<SocketAddr, BootTime>,
}

impl Readers {
    /// Origin of the changes for `own`, which has run for `age` and knows `live` others.
    pub fn origin(&self, own: SocketAddr, live: &[SocketAddr], age: Duration, now: BootTime) -> Origin {
        let is_reading = self
            .direct_until
            .max(self.followed_until)
            .is_some_and(|until| now < until);
        if !is_large(live.len()) || age < STARTUP_TIME || is_reading {
            return Origin::Store;
        }
        let Some(mut followed) = followed(own, live) else {
            return Origin::Store;
        };
        followed.retain(|reader| self.avoided.get(reader).is_none_or(|until| *until <= now));
        choose(own, followed).map_or(Origin::Store, Origin::Peer)
    }

    /// The instance that reads for `own`, even if it failed recently; `None` if `own` reads the store.
    pub fn assigned_reader(own: SocketAddr, live: &[SocketAddr]) -> Option<SocketAddr> {
        if !is_large(live.len()) {
            return None;
        }
        choose(own, followed(own, live)?)
    }

    /// Records that an instance follows this one.
    pub fn note_follower(&mut self, now: BootTime) {
        self.followed_until = Some(now.after(READ_AFTER_REQUEST));
    }

    /// Records that the chosen instance wasn't reading yet; it starts now that it was asked.
    pub fn reader_not_ready(&mut self, now: BootTime) {
        self.direct_until = Some(now.after(READ_AFTER_NOT_READY));
    }

    /// Records that the followed reader failed.
    pub fn reader_failed(&mut self, reader: SocketAddr, now: BootTime) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(reader, now.after(AVOID_TIME));
        self.direct_until = Some(now.after(READ_AFTER_FAILURE));
    }
}

/// The one of `followed` that `own` follows.
fn choose(own: SocketAddr, followed: Vec<SocketAddr>) -> Option<SocketAddr> {
    let key = own.to_string();
    followed
        .into_iter()
        .max_by_key(|reader| rendezvous_weight(&key, &reader.to_string()))
}

/// Instances that `own` may follow; `None` if `own` reads the store.
fn followed(own: SocketAddr, live: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let mut all: Vec<SocketAddr> = live.to_vec();
    all.push(own);
    all.sort_by_cached_key(|addr| std::cmp::Reverse((rendezvous_weight(READERS_KEY, &addr.to_string()), *addr)));
    all.truncate(all.len().div_ceil(INSTANCES_PER_RELAY));
    let rank = all.iter().position(|addr| *addr == own);
    if rank.is_some_and(|rank| rank < MAX_READERS) {
        return None;
    }
    if rank.is_some() {
        all.truncate(MAX_READERS);
    }
    Some(all)
}
