//! Chooses which instances read the platform's store and whom the others follow.
//!
//! Designed for this load: each change of the store wakes one watch per instance, and idle watches time out and are
//! renewed, so calls to the store grow with the fleet. In a large fleet a constant number of instances, the readers, read
//! the store; they are chosen by rendezvous hashing among the live ones. The next ones in that order, the relays, follow
//! a reader and pass on what they hear. Each remaining instance follows a reader or a relay. An instance whose reader or
//! relay fails, becomes silent or can't reach the store reads the store itself at once and follows another one later.
//! Instances may disagree for a while on who is alive and so on who reads: an instance that is asked for changes without
//! having any starts to read the store, and the follower that asked soon asks again. An instance that knows few others
//! reads the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, rendezvous_weight};

use super::members::is_large;

/// Most instances that read the store.
const MAX_READERS: usize = 6;
/// Instances per reader or relay: one in this many may be followed.
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
/// Time for which a failed reader isn't followed: as long as it may still count as alive (`LIVE_AGE` of the members).
const AVOID_TIME: Duration = Duration::from_secs(8);
/// Key of the rendezvous hash that ranks readers.
const READERS_KEY: &str = "readers";

/// Where an instance gets changes of the store from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store itself.
    Store,
    /// Another instance: a reader or a relay.
    Peer(SocketAddr),
}

/// State of the choice between reading and following.
#[derive(Debug, Default)]
pub struct Readers {
    /// This instance reads the store until then, since its reader failed or wasn't ready.
    direct_until: Option<BootTime>,
    /// It reads the store until then, since a follower called it.
    has_followers_until: Option<BootTime>,
    /// Failed readers, and until when each isn't followed.
    avoided: BTreeMap<SocketAddr, BootTime>,
}

impl Readers {
    /// Where `own`, which has run for `age` and knows the `live` others, gets changes from.
    pub fn change_source(&self, own: SocketAddr, live: &[SocketAddr], age: Duration, now: BootTime) -> ChangeSource {
        let is_reading = self
            .direct_until
            .max(self.has_followers_until)
            .is_some_and(|until| now < until);
        if !is_large(live.len()) || age < STARTUP_TIME || is_reading {
            return ChangeSource::Store;
        }
        let Some(mut reader_candidates) = reader_candidates(own, live) else {
            return ChangeSource::Store;
        };
        reader_candidates.retain(|reader| self.avoided.get(reader).is_none_or(|until| *until <= now));
        choose(own, reader_candidates).map_or(ChangeSource::Store, ChangeSource::Peer)
    }

    /// The instance that `own` would follow if none had failed; `None` if `own` is a reader.
    pub fn assigned_reader(own: SocketAddr, live: &[SocketAddr]) -> Option<SocketAddr> {
        if !is_large(live.len()) {
            return None;
        }
        choose(own, reader_candidates(own, live)?)
    }

    /// Records that an instance follows this one.
    pub fn note_follower(&mut self, now: BootTime) {
        self.has_followers_until = Some(now.after(READ_AFTER_REQUEST));
    }

    /// Records that the chosen instance had no fresh data yet; the call made it start reading the store.
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

/// The candidate that `own` follows, by rendezvous hashing, so that followers spread over the candidates.
fn choose(own: SocketAddr, reader_candidates: Vec<SocketAddr>) -> Option<SocketAddr> {
    let key = own.to_string();
    reader_candidates
        .into_iter()
        .max_by_key(|reader| rendezvous_weight(&key, &reader.to_string()))
}

/// Instances that `own` may follow: the readers if `own` is a relay, else readers and relays. `None` if `own` is a
/// reader.
fn reader_candidates(own: SocketAddr, live: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
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
