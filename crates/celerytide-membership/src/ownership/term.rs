//! Fences off previous owners: an entry starts no work under a term older than one it has seen.

use std::collections::BTreeMap;

use celerytide_types::{PoolId, Term, Version};

use crate::view::View;

/// Whether an entry accepts a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// No higher term was seen and none of the other cases applies; work under the term may start.
    Accepted,
    /// The entry has seen a higher term.
    Older {
        /// Highest term seen.
        highest: Term,
    },
    /// The term's list version is at least [`View::list_ceiling`], so it counts as one from before the list service was
    /// rebuilt.
    OtherEpoch,
    /// The owner has not seen the first list of this guard, so its ownership may come from an outdated list; or the
    /// guard has no list yet.
    OwnerBehind,
}

/// The highest term that an entry has seen of each pool; it only increases within one epoch of the list service.
#[derive(Debug, Default)]
pub struct TermGuard {
    /// Epoch of the list service.
    epoch: u64,
    /// List version in the view at the first takeover call of this epoch that found a list.
    first_list: Option<Version>,
    highest: BTreeMap<PoolId, Term>,
}

impl TermGuard {
    /// Creates a guard that has seen no term.
    pub fn new() -> TermGuard {
        TermGuard::default()
    }

    /// Whether work under `term` may start; remembers the term if it is the highest so far.
    pub fn admit(&mut self, view: &View, pool: &str, term: Term) -> Admission {
        self.enter_epoch(view.list_epoch);
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

    /// Whether an owner under `term` that has seen lists up to `latest_list_version` may take over this entry's
    /// permits. A guard knows no owners from before its first list and can't tell whether this one was replaced; an
    /// owner that has not seen that list has to catch up first.
    pub fn admit_takeover(&mut self, view: &View, pool: &str, term: Term, latest_list_version: Version) -> Admission {
        self.enter_epoch(view.list_epoch);
        if self.first_list.is_none() && view.list_version > 0 {
            self.first_list = Some(view.list_version);
        }
        match self.first_list {
            Some(first) if latest_list_version >= first => self.admit(view, pool, term),
            _ => Admission::OwnerBehind,
        }
    }

    /// Highest term seen of a pool.
    pub fn highest(&self, pool: &str) -> Option<Term> {
        self.highest.get(pool).copied()
    }

    /// Removes pools for which `keep` returns false, for example after the manifest dropped them.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.highest.retain(|pool, _| keep(pool));
    }

    fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.first_list = None;
            self.highest.clear();
        }
    }
}
