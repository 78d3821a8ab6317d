//! The entry's guard against older terms of owners.

use std::collections::BTreeMap;

use celerytide_types::{PoolId, Term, Version};

use crate::view::View;

/// What the guard says of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The highest so far; work under it may start.
    Accepted,
    /// An entry has seen a higher one.
    Older {
        /// The highest seen.
        highest: Term,
    },
    /// It names a list of an earlier life of the list service.
    OtherEpoch,
    /// The owner has not seen the first list of this guard: it may own by one that others left behind.
    OwnerBehind,
}

/// The highest term an entry has seen of each pool: a one-way step per pool and life of the list service.
#[derive(Debug, Default)]
pub struct TermGuard {
    epoch: u64,
    /// Version of the first list in this life of the list service.
    first_list: Option<Version>,
    highest: BTreeMap<PoolId, Term>,
}

impl TermGuard {
    /// A guard that has seen nothing.
    pub fn new() -> TermGuard {
        TermGuard::default()
    }

    /// Whether work under `term` may start; a higher term than any before raises the guard.
    pub fn admit(&mut self, view: &View, pool: &str, term: Term) -> Admission {
        self.enter(view.list_epoch);
        if view.list_ceiling.is_some_and(|ceiling| term.list_version >= ceiling) {
            return Admission::OtherEpoch;
        }
        match self.highest.get(pool).copied() {
            Some(highest) if term < highest => Admission::Older { highest },
            Some(highest) if term == highest => Admission::Accepted,
            _ => {
                self.highest.insert(pool.to_owned(), term);
                Admission::Accepted
            }
        }
    }

    /// Whether an owner under `term` that has seen lists up to `seen_list` may muster this entry. A guard remembers nothing
    /// of owners before its first list, so it can't tell whether they were followed by others: an owner that has not seen
    /// that list has to catch up first.
    pub fn admit_muster(&mut self, view: &View, pool: &str, term: Term, seen_list: Version) -> Admission {
        self.enter(view.list_epoch);
        if self.first_list.is_none() && view.list_version > 0 {
            self.first_list = Some(view.list_version);
        }
        match self.first_list {
            Some(first) if seen_list >= first => self.admit(view, pool, term),
            _ => Admission::OwnerBehind,
        }
    }

    /// The highest term seen of a pool.
    pub fn highest(&self, pool: &str) -> Option<Term> {
        self.highest.get(pool).copied()
    }

    /// Forgets pools that `keep` doesn't name, for example after the manifest dropped them.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.highest.retain(|pool, _| keep(pool));
    }

    fn enter(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.first_list = None;
            self.highest.clear();
        }
    }
}
