//! Who reads the platform's store, and whom the others follow.
//!
//! Answers this load: each change of the store wakes a watch of each instance, and each idle watch ends after a moment, so
//! that calls grow with the fleet. In a large fleet a few instances read, chosen by rendezvous hashing over those that
//! live, and no more of them in a larger one. The next ones in that order follow them and hand on what they hear; each of
//! the others follows one of either. One whose reader fails, falls silent or has lost the store reads for
//! itself at once and follows another one later. Instances may differ for a while on who lives, and so on who reads: one
//! that is asked reads, and its follower asks again soon. An instance that knows few others reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, rendezvous_weight};

use super::members::is_large;

/// Instances that read the store, at most.
const MOST_READERS: usize = 6;
/// Instances for each one that others follow.
const PER_RELAY: usize = 10;
/// Time after the start in which an instance reads: it has heard of few others.
const YOUNG: Duration = Duration::from_millis(1500);
/// Time for which an instance reads after its reader failed.
const ALONE: Duration = Duration::from_secs(2);
/// Time for which an instance reads when the one that it chose didn't read yet: as long as that one may still wait for its
/// own reader.
const ALONE_UNTIL_READ: Duration = Duration::from_secs(1);
/// Time for which an instance reads after it was asked.
const ASKED: Duration = Duration::from_secs(4);
/// Time for which a reader that failed isn't followed: as long as it may still be taken to live.
const AVOIDED: Duration = Duration::from_secs(8);
/// Key by which readers are chosen.
const READERS_KEY: &str = "readers";

/// Where an instance takes changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The store.
    Store,
    /// An instance that reads the store.
    Peer(SocketAddr),
}

/// What this instance knows of those that read.
#[derive(Debug, Default)]
pub struct Readers {
    alone_until: Option<BootTime>,
    asked_until: Option<BootTime>,
    avoided: BTreeMap<SocketAddr, BootTime>,
}

impl Readers {
    /// Where `own`, which runs for `age` and knows `live` others, takes changes from.
    pub fn origin(&self, own: SocketAddr, live: &[SocketAddr], age: Duration, now: BootTime) -> Origin {
        let reads_on = self.alone_until.max(self.asked_until).is_some_and(|until| now < until);
        if !is_large(live.len()) || age < YOUNG || reads_on {
            return Origin::Store;
        }
        let Some(mut followed) = followed(own, live) else {
            return Origin::Store;
        };
        followed.retain(|reader| self.avoided.get(reader).is_none_or(|until| *until <= now));
        chosen(own, followed).map_or(Origin::Store, Origin::Peer)
    }

    /// The instance that reads for `own`, though it may have failed of late; `None` if it reads itself.
    pub fn reader(own: SocketAddr, live: &[SocketAddr]) -> Option<SocketAddr> {
        if !is_large(live.len()) {
            return None;
        }
        chosen(own, followed(own, live)?)
    }

    /// An instance follows this one.
    pub fn asked(&mut self, now: BootTime) {
        self.asked_until = Some(now.after(ASKED));
    }

    /// The instance that was chosen didn't read yet; it does now that it was asked.
    pub fn not_yet(&mut self, now: BootTime) {
        self.alone_until = Some(now.after(ALONE_UNTIL_READ));
    }

    /// The reader that was followed gave nothing.
    pub fn failed(&mut self, reader: SocketAddr, now: BootTime) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(reader, now.after(AVOIDED));
        self.alone_until = Some(now.after(ALONE));
    }
}

/// The one of `followed` that `own` follows.
fn chosen(own: SocketAddr, followed: Vec<SocketAddr>) -> Option<SocketAddr> {
    let key = own.to_string();
    followed
        .into_iter()
        .max_by_key(|reader| rendezvous_weight(&key, &reader.to_string()))
}

/// Those that `own` may follow; `None` if it reads.
fn followed(own: SocketAddr, live: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let mut all: Vec<SocketAddr> = live.to_vec();
    all.push(own);
    all.sort_by_cached_key(|addr| std::cmp::Reverse((rendezvous_weight(READERS_KEY, &addr.to_string()), *addr)));
    all.truncate(all.len().div_ceil(PER_RELAY));
    let place = all.iter().position(|addr| *addr == own);
    if place.is_some_and(|place| place < MOST_READERS) {
        return None;
    }
    if place.is_some() {
        all.truncate(MOST_READERS);
    }
    Some(all)
}
