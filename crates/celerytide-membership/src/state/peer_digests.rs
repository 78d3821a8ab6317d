//! Recent [`ViewDigest`]s of peers, the summaries of their views: they show what to fetch from a peer that has newer
//! documents, and whether peers still reach the configuration service when this process doesn't.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_types::{BootTime, InstanceId, Version};

use crate::freshness::PeerFreshness;
use crate::view::ViewDigest;

const MAX_PEERS: usize = 4096;

/// Documents to fetch from a peer after its digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerFetch {
    /// Fetch the manifest's text; offer it with [`Origin::Peer`](crate::Origin::Peer).
    pub manifest: bool,
    /// Fetch the lists; offer them with [`Membership::offer_peer_lists`](crate::Membership::offer_peer_lists).
    pub lists: bool,
}

#[derive(Debug, Clone)]
struct PendingFetch {
    from: InstanceId,
    version: Version,
    since: BootTime,
}

/// Time of a peer's latest digest, and the age that the peer's views had then.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    at: BootTime,
    confirmed_age: Option<Duration>,
}

/// List versions that a peer has and the own views have not reached.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    since: BootTime,
    list: Version,
    endpoints: Version,
}

/// Age of each peer's views by its latest digest, and the fetches under way.
#[derive(Debug, Default)]
pub(crate) struct PeerDigests {
    peers: BTreeMap<InstanceId, PeerReport>,
    manifest_fetch: Option<PendingFetch>,
    lists_fetch: Option<PendingFetch>,
    ahead: Option<Ahead>,
}

impl PeerDigests {
    /// Records a digest; ignored if the sender is new and as many peers as allowed are known.
    pub(crate) fn record(&mut self, now: BootTime, from: &InstanceId, digest: &ViewDigest) {
        let confirmed_age = digest.confirmed_ms_ago.map(Duration::from_millis);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(from) {
            return;
        }
        self.peers.insert(from.clone(), PeerReport { at: now, confirmed_age });
    }

    /// Removes peers for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.peers.retain(|id, _| keep(id));
    }

    /// Records that a peer with confirmed lists is ahead of the own lists.
    pub(crate) fn record_ahead(&mut self, now: BootTime, list: Version, endpoints: Version) {
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

    /// Clears the versions ahead once the own lists have reached them, or at once if the list service was rebuilt.
    pub(crate) fn clear_ahead_if_caught_up(&mut self, list: Version, endpoints: Version, rebuilt: bool) {
        let reached = |a: &Ahead| list >= a.list && endpoints >= a.endpoints;
        if rebuilt || self.ahead.as_ref().is_some_and(reached) {
            self.ahead = None;
        }
    }

    /// Time for which a peer has been ahead.
    pub(crate) fn ahead_for(&self, now: BootTime) -> Duration {
        self.ahead.map_or(Duration::ZERO, |ahead| now.since(ahead.since))
    }

    /// Whether to fetch the manifest of `version` now; false if a fetch of it or a later one began within `timeout`.
    pub(crate) fn start_manifest_fetch(
        &mut self,
        now: BootTime,
        from: &InstanceId,
        version: Version,
        timeout: Duration,
    ) -> bool {
        start_fetch(&mut self.manifest_fetch, now, from, version, timeout)
    }

    /// Whether to fetch the lists now; like [`PeerDigests::start_manifest_fetch`], with the sum of both list versions.
    pub(crate) fn start_lists_fetch(
        &mut self,
        now: BootTime,
        from: &InstanceId,
        version: Version,
        timeout: Duration,
    ) -> bool {
        start_fetch(&mut self.lists_fetch, now, from, version, timeout)
    }

    /// Drops the pending fetches from a peer, so that the next peer that is ahead is asked at once.
    pub(crate) fn fetch_failed(&mut self, from: &InstanceId) {
        for fetch in [&mut self.manifest_fetch, &mut self.lists_fetch] {
            fetch.take_if(|f| f.from == *from);
        }
    }

    /// Whether any peer heard from within `max_age` has views that are fresh for `fresh_for`.
    pub(crate) fn peer_freshness(&self, now: BootTime, max_age: Duration, fresh_for: Duration) -> PeerFreshness {
        let mut recent = self.peers.values().filter(|s| now.since(s.at) <= max_age).peekable();
        if recent.peek().is_none() {
            return PeerFreshness::NoneHeard;
        }
        let fresh = |s: &PeerReport| s.confirmed_age.is_some_and(|age| age + now.since(s.at) <= fresh_for);
        if recent.any(fresh) {
            PeerFreshness::PeerFresh
        } else {
            PeerFreshness::AllStale
        }
    }
}

fn start_fetch(
    fetch: &mut Option<PendingFetch>,
    now: BootTime,
    from: &InstanceId,
    version: Version,
    timeout: Duration,
) -> bool {
    let under_way = |f: &PendingFetch| f.version >= version && now.since(f.since) < timeout;
    if fetch.as_ref().is_some_and(under_way) {
        return false;
    }
    *fetch = Some(PendingFetch {
        from: from.clone(),
        version,
        since: now,
    });
    true
}
