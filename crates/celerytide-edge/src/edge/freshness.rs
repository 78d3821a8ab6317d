//! Tracks whether the known configuration is the newest that was in force.
//!
//! Handles this fault: the store is restored from a backup and lists an older configuration until the newest is written
//! again. A process that starts or was cut off during that time would deny valid routes and keys, and a new one would
//! accept keys that were revoked. Other instances still know the newest configuration, so the version of one of them is
//! awaited: a new process delays all requests, any process delays those that it would deny. If no other instance replies,
//! a short time limit applies.
//!
//! A late write of an older configuration has the same effect on a process that starts after it. If others are found only
//! after the time limit, and know a newer configuration for longer than a change takes to be in force, the store won't
//! bring it, and it is taken over from them.

use std::time::Duration;

use celerytide_types::{BootTime, Version, now_boot};
use monoio::time::sleep;
use tracing::info;

use super::Edge;
use crate::protocol::Protocol;

/// Time after which a configuration counts as the newest without another instance's version.
const MAX_PEER_WAIT: Duration = Duration::from_millis(300);
/// Replies from instances that have just started after which the whole fleet counts as new.
const MIN_NEW_PEERS: u32 = 2;
/// Interval for checking the condition that is waited for.
const POLL: Duration = Duration::from_millis(10);

/// What is known about whether the configuration is the newest.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// When a first configuration was learned.
    learned: Option<BootTime>,
    /// When the store was restored from a backup.
    restored: Option<BootTime>,
    /// When another instance last reported its version.
    compared: Option<BootTime>,
    /// Replies from instances that have just started as well.
    new_peers: u32,
    /// The known version, and since when others have reported a higher one.
    behind: Option<(Version, BootTime)>,
}

impl ConfigFreshness {
    /// Records that a configuration was learned.
    pub fn note_learned(&mut self, now: BootTime) {
        self.learned.get_or_insert(now);
    }

    /// Records that the store was restored from a backup.
    pub fn note_restored(&mut self, now: BootTime) {
        self.restored = Some(now);
    }

    /// Records that another instance reported a version that is known here.
    pub fn note_compared(&mut self, now: BootTime) {
        self.compared = Some(now);
    }

    /// Records that another instance knows a newer configuration than `own`.
    pub fn note_behind(&mut self, own: Version, now: BootTime) {
        let known = self.behind.filter(|(version, _)| *version == own);
        self.behind = known.or(Some((own, now)));
    }

    /// Whether others have known a newer configuration than `own` for `time`.
    pub fn is_behind(&self, own: Version, time: Duration, now: BootTime) -> bool {
        self.behind
            .is_some_and(|(version, since)| version == own && now.since(since) >= time)
    }

    /// Records a reply from an instance that has just started as well.
    pub fn note_new_peer(&mut self) {
        self.new_peers += 1;
    }

    /// Whether requests may be served by the known configuration. If several instances have just started, none is
    /// expected to know a newer one.
    pub fn may_serve(&self, now: BootTime) -> bool {
        let fleet_is_new = self.new_peers >= MIN_NEW_PEERS;
        self.learned
            .is_some_and(|since| fleet_is_new || self.is_confirmed(since, now))
    }

    /// Whether requests may be denied by it.
    pub fn may_deny(&self, now: BootTime) -> bool {
        self.may_serve(now) && self.restored.is_none_or(|since| self.is_confirmed(since, now))
    }

    fn is_confirmed(&self, since: BootTime, now: BootTime) -> bool {
        self.compared.is_some_and(|at| at >= since) || now.since(since) >= MAX_PEER_WAIT
    }
}

impl<P: Protocol> Edge<P> {
    /// Whether requests may be served by the known configuration.
    pub fn may_serve(&self, now: BootTime) -> bool {
        self.config_freshness.borrow().may_serve(now) || self.is_alone(now)
    }

    /// Whether the configuration is known to be the newest, so that requests may also be denied by it.
    pub fn is_config_current(&self, now: BootTime) -> bool {
        self.config_freshness.borrow().may_deny(now) || self.is_alone(now)
    }

    /// Waits until `holds` is true: for the conditions above, `MAX_PEER_WAIT` at the longest.
    pub async fn wait_until(&self, holds: impl Fn(BootTime) -> bool) {
        while !holds(now_boot()) {
            sleep(POLL).await;
        }
    }

    /// Compares the configuration with the version of another instance; 0 means that it has just started as well.
    pub fn compare_config(&self, version: Version, now: BootTime) {
        let own = self.view.borrow().catalog().version();
        if version == 0 {
            self.config_freshness.borrow_mut().note_new_peer();
            return;
        }
        if version > own {
            return self.config_freshness.borrow_mut().note_behind(own, now);
        }
        if !self.is_config_current(now) {
            info!(own, version, "edge: another instance knows no newer configuration");
        }
        self.config_freshness.borrow_mut().note_compared(now);
    }

    /// Whether a newer configuration of another instance is to be taken over: it isn't known whether the own one is the
    /// newest, or the store doesn't bring the one that others know.
    pub fn wants_config(&self, now: BootTime) -> bool {
        let own = self.view.borrow().catalog().version();
        let apply_time = self.settings.bounds.apply_time();
        let is_behind = self.config_freshness.borrow().is_behind(own, apply_time, now);
        is_behind || !self.is_config_current(now)
    }

    fn is_alone(&self, now: BootTime) -> bool {
        self.members.borrow().sharing_limits(now).len() <= 1
    }
}
