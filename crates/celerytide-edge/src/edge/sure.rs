//! Whether the configuration that is known is the newest that was in force.
//!
//! Answers this fault: the store comes back from a copy and lists an older configuration until the newest is written again.
//! A process that starts, or was cut off, in that time would deny routes and keys that are in force, and a new one would
//! serve by keys that were taken away. Other instances know better, so a word of one of them is waited for: requests of a
//! new process wait until then, and at any process those that would be denied. Where no other answers, a short time takes
//! its place.

use std::time::Duration;

use celerytide_types::{BootTime, Version, now_boot};
use monoio::time::sleep;
use tracing::info;

use super::Edge;
use crate::names::Wire;

/// Time after which a configuration counts as the newest though no other instance has told of its own.
const ALONE: Duration = Duration::from_millis(300);
/// New instances met, for the whole fleet to count as new.
const MANY_NEW: u32 = 2;
/// Pause between two looks while it is waited for.
const LOOK: Duration = Duration::from_millis(10);

/// What is known of the configuration's age.
#[derive(Debug, Default)]
pub struct Sure {
    /// When a first configuration was learned.
    learned: Option<BootTime>,
    /// When the store came back from a copy.
    restored: Option<BootTime>,
    /// When another instance last told of its own.
    compared: Option<BootTime>,
    /// Answers of instances that have just started, too.
    new: u32,
}

impl Sure {
    /// A configuration was learned.
    pub fn learned(&mut self, now: BootTime) {
        self.learned.get_or_insert(now);
    }

    /// The store came back from a copy.
    pub fn restored(&mut self, now: BootTime) {
        self.restored = Some(now);
    }

    /// Another instance told of its configuration, which is known here now.
    pub fn compared(&mut self, now: BootTime) {
        self.compared = Some(now);
    }

    /// Another instance answered that has just started, too.
    pub fn met_new(&mut self) {
        self.new += 1;
    }

    /// Whether the process may serve by what it knows: also where several have just started, since then none knows better.
    pub fn serves(&self, now: BootTime) -> bool {
        let many_new = self.new >= MANY_NEW;
        self.learned.is_some_and(|since| many_new || self.settled(since, now))
    }

    /// Whether it may deny by it.
    pub fn denies(&self, now: BootTime) -> bool {
        self.serves(now) && self.restored.is_none_or(|since| self.settled(since, now))
    }

    fn settled(&self, since: BootTime, now: BootTime) -> bool {
        self.compared.is_some_and(|at| at >= since) || now.since(since) >= ALONE
    }
}

impl<W: Wire> Edge<W> {
    /// Whether callers may be served by what is known.
    pub fn serves(&self, now: BootTime) -> bool {
        self.sure.borrow().serves(now) || self.is_alone(now)
    }

    /// Whether the configuration is known to be the newest.
    pub fn is_sure(&self, now: BootTime) -> bool {
        self.sure.borrow().denies(now) || self.is_alone(now)
    }

    /// Waits until `holds`, which it does after [`ALONE`] at the latest.
    pub async fn until(&self, holds: impl Fn(BootTime) -> bool) {
        while !holds(now_boot()) {
            sleep(LOOK).await;
        }
    }

    /// Takes in the version of another instance's configuration; 0 from one that has just started, too.
    pub fn compare_config(&self, version: Version, now: BootTime) {
        let own = self.view.borrow().catalog().version();
        if version == 0 {
            self.sure.borrow_mut().met_new();
            return;
        }
        if version > own {
            return;
        }
        if !self.is_sure(now) {
            info!(own, version, "edge: another instance knows no newer configuration");
        }
        self.sure.borrow_mut().compared(now);
    }

    fn is_alone(&self, now: BootTime) -> bool {
        self.members.borrow().known(now).len() <= 1
    }
}
