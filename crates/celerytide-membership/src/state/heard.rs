//! What peers said of late: who is ahead, and which manifest to fetch.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_types::{BootTime, InstanceId, Version};

use crate::fresh::PeersSay;
use crate::view::ViewDigest;

const MAX_PEERS: usize = 4096;

/// What to fetch from a peer after its digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Wanted {
    /// The manifest's text, to be offered as a peer's.
    pub manifest: bool,
    /// The lists, to be offered by [`Membership::offer_peer_lists`](crate::Membership::offer_peer_lists).
    pub lists: bool,
}

#[derive(Debug, Clone)]
struct Fetch {
    from: InstanceId,
    version: Version,
    since: BootTime,
}

#[derive(Debug, Clone, Copy)]
struct Said {
    at: BootTime,
    confirmed_age: Option<Duration>,
}

/// Versions that a peer had and the own views have not.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    since: BootTime,
    list: Version,
    endpoints: Version,
}

/// Digests of peers in short form.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    peers: BTreeMap<InstanceId, Said>,
    manifest_fetch: Option<Fetch>,
    lists_fetch: Option<Fetch>,
    ahead: Option<Ahead>,
}

impl Heard {
    /// Notes a digest.
    pub(crate) fn note(&mut self, now: BootTime, from: &InstanceId, digest: &ViewDigest) {
        let confirmed_age = digest.confirmed_ms_ago.map(Duration::from_millis);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(from) {
            return;
        }
        self.peers.insert(from.clone(), Said { at: now, confirmed_age });
    }

    /// Forgets peers that `keep` doesn't name.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.peers.retain(|id, _| keep(id));
    }

    /// Notes that a peer whose lists are confirmed is ahead of the own lists.
    pub(crate) fn peer_is_ahead(&mut self, now: BootTime, list: Version, endpoints: Version) {
        self.ahead = Some(match self.ahead {
            Some(ahead) => Ahead {
                list: ahead.list.max(list),
                endpoints: ahead.endpoints.max(endpoints),
                ..ahead
            },
            None => Ahead {
                since: now,
                list,
                endpoints,
            },
        });
    }

    /// Forgets who was ahead once the own lists have caught up, or at once if the list service was rebuilt.
    pub(crate) fn caught_up(&mut self, list: Version, endpoints: Version, rebuilt: bool) {
        let reached = |a: &Ahead| list >= a.list && endpoints >= a.endpoints;
        if rebuilt || self.ahead.as_ref().is_some_and(reached) {
            self.ahead = None;
        }
    }

    /// How long a peer has been ahead.
    pub(crate) fn ahead_for(&self, now: BootTime) -> Duration {
        self.ahead.map_or(Duration::ZERO, |ahead| now.since(ahead.since))
    }

    /// Whether to fetch the manifest of `version` now: not if a fetch of it or a later one began within `bound`.
    pub(crate) fn start_manifest_fetch(
        &mut self,
        now: BootTime,
        from: &InstanceId,
        version: Version,
        bound: Duration,
    ) -> bool {
        start_fetch(&mut self.manifest_fetch, now, from, version, bound)
    }

    /// The same for the lists.
    pub(crate) fn start_lists_fetch(
        &mut self,
        now: BootTime,
        from: &InstanceId,
        version: Version,
        bound: Duration,
    ) -> bool {
        start_fetch(&mut self.lists_fetch, now, from, version, bound)
    }

    /// Forgets the fetches from a peer, so that the next peer that is ahead is asked at once.
    pub(crate) fn fetch_failed(&mut self, from: &InstanceId) {
        for fetch in [&mut self.manifest_fetch, &mut self.lists_fetch] {
            fetch.take_if(|f| f.from == *from);
        }
    }

    /// Sums up what peers said within `within` against the bound of freshness.
    pub(crate) fn sum_up(&self, now: BootTime, within: Duration, fresh_for: Duration) -> PeersSay {
        let mut of_late = self.peers.values().filter(|s| now.since(s.at) <= within).peekable();
        if of_late.peek().is_none() {
            return PeersSay::Silent;
        }
        let fresh = |s: &Said| s.confirmed_age.is_some_and(|age| age + now.since(s.at) <= fresh_for);
        if of_late.any(fresh) {
            PeersSay::Fresher
        } else {
            PeersSay::AlsoStale
        }
    }
}

fn start_fetch(fetch: &mut Option<Fetch>, now: BootTime, from: &InstanceId, version: Version, bound: Duration) -> bool {
    let running = |f: &Fetch| f.version >= version && now.since(f.since) < bound;
    if fetch.as_ref().is_some_and(running) {
        return false;
    }
    *fetch = Some(Fetch {
        from: from.clone(),
        version,
        since: now,
    });
    true
}
