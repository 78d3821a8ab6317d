//! A published list whose index only grows, and the way back after the list service was rebuilt.
//!
//! A lower index is refused. It is accepted only as a new life of the service: when every read for a while gave a lower,
//! never falling index. What was leaving before stays leaving until the new life itself has shown it as leaving or gone.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, Version};

use crate::view::{EndpointEntry, Instance};

/// An entry of a list.
pub(crate) trait Entry: Clone + PartialEq {
    /// Its id; unique in the list.
    fn id(&self) -> &str;
    /// False once it is leaving.
    fn live(&self) -> bool;
    /// Marks it as leaving.
    fn leave(&mut self);
}

/// What became of an offered list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListApplied {
    /// It is in force.
    Applied,
    /// Its index is in force already.
    Same,
    /// Its index is lower; refused.
    Older,
    /// Its index is lower and it is in force: the list service was rebuilt.
    Reset,
}

/// When a lower index is taken as a new life of the service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResetRule {
    pub(crate) after: Duration,
    pub(crate) reads: u32,
}

/// A list with its index.
#[derive(Debug)]
pub(crate) struct Listed<T> {
    pub(crate) version: Version,
    pub(crate) epoch: u64,
    pub(crate) ceiling: Option<Version>,
    pub(crate) entries: Rc<Vec<T>>,
    kept_leaving: BTreeSet<String>,
    lower: Option<Lower>,
}

#[derive(Debug, Clone, Copy)]
struct Lower {
    since: BootTime,
    version: Version,
    reads: u32,
}

impl<T: Entry> Listed<T> {
    pub(crate) fn new() -> Listed<T> {
        let (entries, kept_leaving) = (Rc::default(), BTreeSet::new());
        Listed {
            version: 0,
            epoch: 0,
            ceiling: None,
            entries,
            kept_leaving,
            lower: None,
        }
    }

    pub(crate) fn offer(&mut self, now: BootTime, version: Version, entries: Vec<T>, rule: ResetRule) -> ListApplied {
        if version == 0 {
            return ListApplied::Older;
        }
        if version < self.version {
            return self.offer_lower(now, version, entries, rule);
        }
        self.lower = None;
        if version == self.version {
            return ListApplied::Same;
        }
        self.apply(version, entries);
        ListApplied::Applied
    }

    /// Takes a list only if its index is higher.
    pub(crate) fn offer_higher(&mut self, version: Version, entries: Vec<T>) -> ListApplied {
        if version <= self.version {
            return ListApplied::Older;
        }
        self.apply(version, entries);
        ListApplied::Applied
    }

    fn offer_lower(&mut self, now: BootTime, version: Version, entries: Vec<T>, rule: ResetRule) -> ListApplied {
        let lower = self.counted_lower(now, version);
        self.lower = Some(lower);
        let persistent = lower.reads >= rule.reads && now.since(lower.since) >= rule.after;
        if !persistent {
            return ListApplied::Older;
        }
        self.begin_life();
        self.apply(version, entries);
        ListApplied::Reset
    }

    fn counted_lower(&self, now: BootTime, version: Version) -> Lower {
        match self.lower {
            Some(lower) if version >= lower.version => Lower {
                version,
                reads: lower.reads + 1,
                ..lower
            },
            _ => Lower {
                since: now,
                version,
                reads: 1,
            },
        }
    }

    fn begin_life(&mut self) {
        self.lower = None;
        self.epoch += 1;
        self.ceiling = self.ceiling.max(Some(self.version));
        let leaving = self.entries.iter().filter(|e| !e.live());
        self.kept_leaving.extend(leaving.map(|e| e.id().to_owned()));
    }

    fn apply(&mut self, version: Version, entries: Vec<T>) {
        let mut entries = normalised(entries);
        self.forget_left(&entries);
        for entry in &mut entries {
            if self.kept_leaving.contains(entry.id()) {
                entry.leave();
            }
        }
        self.version = version;
        if self.ceiling.is_some_and(|ceiling| version > ceiling) {
            self.ceiling = None;
        }
        self.entries = Rc::new(entries);
    }

    fn forget_left(&mut self, entries: &[T]) {
        let live: BTreeSet<&str> = entries.iter().filter(|e| e.live()).map(|e| e.id()).collect();
        self.kept_leaving.retain(|id| live.contains(id.as_str()));
    }
}

/// Sorted by id, each once; of two entries with one id the leaving one counts.
fn normalised<T: Entry>(mut entries: Vec<T>) -> Vec<T> {
    entries.sort_by(|a, b| (a.id(), a.live()).cmp(&(b.id(), b.live())));
    entries.dedup_by(|later, kept| later.id() == kept.id());
    entries
}

impl Entry for Instance {
    fn id(&self) -> &str {
        &self.id
    }

    fn live(&self) -> bool {
        self.live
    }

    fn leave(&mut self) {
        self.live = false;
    }
}

impl Entry for EndpointEntry {
    fn id(&self) -> &str {
        &self.id
    }

    fn live(&self) -> bool {
        self.live
    }

    fn leave(&mut self) {
        self.live = false;
    }
}
