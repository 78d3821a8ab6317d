//! A published list whose version only increases within an epoch of the list service, and its recovery after the list
//! service was rebuilt.
//!
//! A lower version is rejected, unless it starts a new epoch of the list service: that takes some time in which every
//! read returned a lower version and no read a lower one than the read before. An entry that was leaving before stays
//! leaving until the new epoch itself has listed it as leaving or dropped it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, Version};

use crate::view::{EndpointEntry, Instance};

/// An entry of a published list.
pub(crate) trait ListEntry: Clone + PartialEq {
    /// Id; unique in the list.
    fn id(&self) -> &str;
    /// False if the entry is leaving.
    fn live(&self) -> bool;
    /// Marks the entry as leaving.
    fn mark_leaving(&mut self);
}

/// Result of offering a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOfferResult {
    /// The list is now in force.
    Applied,
    /// The same version was in force already.
    Unchanged,
    /// Rejected: its version is lower.
    Older,
    /// The list is now in force despite a lower version: the list service was rebuilt.
    Reset,
}

/// When a lower version starts a new epoch of the list service; both conditions must be met.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResetRule {
    pub(crate) after: Duration,
    pub(crate) reads: u32,
}

/// A list with its version and epoch.
#[derive(Debug)]
pub(crate) struct VersionedList<T> {
    pub(crate) version: Version,
    pub(crate) epoch: u64,
    /// Highest version of earlier epochs, until the current epoch has passed it.
    pub(crate) ceiling: Option<Version>,
    pub(crate) entries: Rc<Vec<T>>,
    /// Ids that were leaving in an earlier epoch and stay so although the list shows them as live.
    kept_leaving: BTreeSet<String>,
    lower_reads: Option<LowerReads>,
}

/// Consecutive reads with a version below the one in force, none below the read before.
#[derive(Debug, Clone, Copy)]
struct LowerReads {
    since: BootTime,
    version: Version,
    reads: u32,
}

impl<T: ListEntry> VersionedList<T> {
    pub(crate) fn new() -> VersionedList<T> {
        let (entries, kept_leaving) = (Rc::default(), BTreeSet::new());
        VersionedList {
            version: 0,
            epoch: 0,
            ceiling: None,
            entries,
            kept_leaving,
            lower_reads: None,
        }
    }

    pub(crate) fn offer(
        &mut self,
        now: BootTime,
        version: Version,
        entries: Vec<T>,
        rule: ResetRule,
    ) -> ListOfferResult {
        if version == 0 {
            return ListOfferResult::Older;
        }
        if version < self.version {
            return self.offer_lower(now, version, entries, rule);
        }
        self.lower_reads = None;
        if version == self.version {
            return ListOfferResult::Unchanged;
        }
        self.apply(version, entries);
        ListOfferResult::Applied
    }

    /// Applies a list only if its version is higher.
    pub(crate) fn offer_higher(&mut self, version: Version, entries: Vec<T>) -> ListOfferResult {
        if version <= self.version {
            return ListOfferResult::Older;
        }
        self.apply(version, entries);
        ListOfferResult::Applied
    }

    fn offer_lower(&mut self, now: BootTime, version: Version, entries: Vec<T>, rule: ResetRule) -> ListOfferResult {
        let lower = self.count_lower_read(now, version);
        self.lower_reads = Some(lower);
        let persistent = lower.reads >= rule.reads && now.since(lower.since) >= rule.after;
        if !persistent {
            return ListOfferResult::Older;
        }
        self.begin_epoch();
        self.apply(version, entries);
        ListOfferResult::Reset
    }

    fn count_lower_read(&self, now: BootTime, version: Version) -> LowerReads {
        match self.lower_reads {
            Some(lower) if version >= lower.version => LowerReads {
                version,
                reads: lower.reads + 1,
                ..lower
            },
            _ => LowerReads {
                since: now,
                version,
                reads: 1,
            },
        }
    }

    fn begin_epoch(&mut self) {
        self.lower_reads = None;
        self.epoch += 1;
        self.ceiling = self.ceiling.max(Some(self.version));
        let leaving = self.entries.iter().filter(|e| !e.live());
        self.kept_leaving.extend(leaving.map(|e| e.id().to_owned()));
    }

    fn apply(&mut self, version: Version, entries: Vec<T>) {
        let mut entries = sort_and_dedup(entries);
        self.prune_kept_leaving(&entries);
        for entry in &mut entries {
            if self.kept_leaving.contains(entry.id()) {
                entry.mark_leaving();
            }
        }
        self.version = version;
        if self.ceiling.is_some_and(|ceiling| version > ceiling) {
            self.ceiling = None;
        }
        self.entries = Rc::new(entries);
    }

    fn prune_kept_leaving(&mut self, entries: &[T]) {
        let live: BTreeSet<&str> = entries.iter().filter(|e| e.live()).map(|e| e.id()).collect();
        self.kept_leaving.retain(|id| live.contains(id.as_str()));
    }
}

/// Sorts by id and keeps one entry per id; a leaving entry takes precedence.
fn sort_and_dedup<T: ListEntry>(mut entries: Vec<T>) -> Vec<T> {
    entries.sort_by(|a, b| (a.id(), a.live()).cmp(&(b.id(), b.live())));
    entries.dedup_by(|later, kept| later.id() == kept.id());
    entries
}

impl ListEntry for Instance {
    fn id(&self) -> &str {
        &self.id
    }

    fn live(&self) -> bool {
        self.live
    }

    fn mark_leaving(&mut self) {
        self.live = false;
    }
}

impl ListEntry for EndpointEntry {
    fn id(&self) -> &str {
        &self.id
    }

    fn live(&self) -> bool {
        self.live
    }

    fn mark_leaving(&mut self) {
        self.live = false;
    }
}
