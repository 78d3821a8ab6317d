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
//!
//! An instance that the store turns away hears of a newer configuration from others first. It takes it over at once. Until
//! then it doesn't deny requests by its own one, which may lack their route or key: it says that they have not run.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{BootTime, Version, now_boot};
use monoio::time::sleep;
use tracing::info;

use super::{Edge, StoreAccess};
use crate::protocol::Protocol;

/// Time after which a configuration counts as the newest without another instance's version.
const MAX_PEER_WAIT: Duration = Duration::from_millis(300);
/// Replies from instances that have just started after which the whole fleet counts as new.
const MIN_NEW_PEERS: u32 = 2;
/// Longest wait for a newer configuration that others know, before a request that the own one denies is refused.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
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
    /// The known version, if a request waits for a newer one.
    wanted: Option<Version>,
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

    /// Records that a request waits for a newer configuration than `own`; returns whether none did before.
    pub fn note_wanted(&mut self, own: Version) -> bool {
        self.wanted.replace(own) != Some(own)
    }

    /// Whether a request waits for a newer configuration than `own`.
    pub fn is_wanted(&self, own: Version) -> bool {
        self.wanted == Some(own)
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

    /// Records the version that another instance tells, which isn't necessarily its newest one.
    pub fn note_told_config(&self, peer: SocketAddr, version: Version, now: BootTime) {
        let live = self.members.borrow().live_peers(now);
        self.told_configs.borrow_mut().record(peer, version, &live);
        if version > self.view.borrow().catalog().version() {
            self.note_newer_config(now);
        }
    }

    /// Records that a newer configuration than the own one is known elsewhere.
    pub fn note_newer_config(&self, now: BootTime) {
        let own = self.view.borrow().catalog().version();
        let is_new = !self.is_config_behind(now);
        self.config_freshness.borrow_mut().note_behind(own, now);
        if is_new && self.store_access.get() == StoreAccess::Lost {
            self.config_wanted.notify_one();
        }
    }

    /// The newest version that a live instance has told.
    pub fn newest_told_config(&self, now: BootTime) -> Version {
        let live = self.members.borrow().live_peers(now);
        self.told_configs.borrow().newest(&live)
    }

    /// Whether another instance knows a newer configuration.
    pub fn is_config_behind(&self, now: BootTime) -> bool {
        let own = self.view.borrow().catalog().version();
        self.config_freshness.borrow().is_behind(own, Duration::ZERO, now)
    }

    /// Whether requests may be denied by the known configuration.
    pub fn may_deny(&self, now: BootTime) -> bool {
        self.is_config_current(now) && !self.is_config_behind(now)
    }

    /// Waits until requests may be denied by the known configuration, or for a newer one that others know for some time.
    pub async fn catch_up(&self) {
        self.wait_until(|now| self.is_config_current(now)).await;
        let began = now_boot();
        let own = self.view.borrow().catalog().version();
        if self.is_config_behind(began) && self.config_freshness.borrow_mut().note_wanted(own) {
            self.config_wanted.notify_one();
        }
        self.wait_until(|now| !self.is_config_behind(now) || now.since(began) >= CATCH_UP_TIME)
            .await;
    }

    /// Whether a newer configuration of another instance is to be taken over: it isn't known whether the own one is the
    /// newest, the store doesn't bring the one that others know, or a request waits for it.
    pub fn wants_config(&self, now: BootTime) -> bool {
        let own = self.view.borrow().catalog().version();
        let freshness = self.config_freshness.borrow();
        let is_urgent = self.store_access.get() == StoreAccess::Lost || freshness.is_wanted(own);
        let patience = if is_urgent {
            Duration::ZERO
        } else {
            self.settings.bounds.apply_time()
        };
        freshness.is_behind(own, patience, now) || !self.is_config_current(now)
    }

    fn is_alone(&self, now: BootTime) -> bool {
        self.members.borrow().sharing_limits(now).len() <= 1
    }
}
