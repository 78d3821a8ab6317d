//! What a cold endpoint may get, by the owner's standing and the endpoint's own report.
//!
//! An endpoint's report counts all its work, whoever sent it. Work beyond the owner's own shows a second owner or a
//! permit that the owner doesn't know of; the owner then sends nothing until the report agrees again.

use std::time::Duration;

use super::standing::Standing;

/// Work that the endpoint itself reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Witness {
    /// Requests running and waiting there.
    pub work: u32,
    /// Age of the observation, its way included.
    pub age: Duration,
}

/// A cold endpoint as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdCase {
    /// Requests it bears at once while cold.
    pub bound: u32,
    /// The most permits that the owner had in flight there at any time since the witness's observation.
    pub own_work: u32,
    /// The endpoint's latest report, if any.
    pub witness: Option<Witness>,
    /// A report may be this old.
    pub witness_for: Duration,
}

/// Requests that may be in flight at a cold endpoint, the owner's present ones included.
pub fn cold_limit(standing: Standing, case: ColdCase) -> u32 {
    if case.shows_foreign_work() {
        return 0;
    }
    match standing {
        Standing::Settled => case.bound,
        Standing::Taking { mustered: true, .. } if case.shows_no_foreign_work() => case.bound / 2,
        Standing::Taking { .. } | Standing::Stale { .. } | Standing::Woken | Standing::NotOwner => 0,
    }
}

impl ColdCase {
    fn shows_foreign_work(&self) -> bool {
        self.recent().is_some_and(|w| w.work > self.own_work)
    }

    fn shows_no_foreign_work(&self) -> bool {
        self.recent().is_some_and(|w| w.work <= self.own_work)
    }

    fn recent(&self) -> Option<Witness> {
        self.witness.filter(|w| w.age <= self.witness_for)
    }
}
