//! The tenure of one pool: what its owner knows since it took the pool, and the state that follows from it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerytide_types::{BootTime, InstanceId, Term};

use super::state::{AssessmentInput, OwnershipState, PreviousOwner};
use crate::freshness::{Freshness, PeerFreshness};
use crate::view::View;

const FULL_SHARE: f64 = 1.0;
const HALF_SHARE: f64 = 0.5;

/// One pool's tenure; starts anew when the term or the layout changes.
#[derive(Debug)]
pub(super) struct Tenure {
    pub(super) state: OwnershipState,
    pub(super) layout: u64,
    pub(super) term: Term,
    pub(super) since: BootTime,
    pub(super) round: u64,
    pub(super) latest_list_version: u64,
    pub(super) has_settled: bool,
    pub(super) remustering: bool,
    pub(super) was_woken: bool,
    pub(super) handover_term: Option<Term>,
    pub(super) superseded_by: Option<Term>,
    pub(super) mustered: BTreeSet<InstanceId>,
    /// The owner that each entry followed before, by its first answer of this tenure; empty once settled.
    pub(super) previous_owners: BTreeMap<InstanceId, PreviousOwner>,
    pub(super) unmustered: BTreeSet<InstanceId>,
    pub(super) unmustered_at_generation: Option<u64>,
}

impl Tenure {
    pub(super) fn new(now: BootTime, term: Term, layout: u64) -> Tenure {
        Tenure {
            state: OwnershipState::TakingOver {
                since: now,
                share: HALF_SHARE,
                all_entries_follow: false,
            },
            layout,
            term,
            since: now,
            round: 0,
            latest_list_version: term.list_version,
            has_settled: false,
            remustering: false,
            was_woken: false,
            handover_term: None,
            superseded_by: None,
            mustered: BTreeSet::new(),
            previous_owners: BTreeMap::new(),
            unmustered: BTreeSet::new(),
            unmustered_at_generation: None,
        }
    }

    pub(super) fn restart(&mut self, now: BootTime, term: Term) {
        let round = self.round + 1;
        *self = Tenure {
            round,
            ..Tenure::new(now, term, self.layout)
        };
    }

    /// Restarts the muster for a new list: entries may follow another owner that a list in between has named.
    pub(super) fn observe_list(&mut self, list_version: u64) {
        self.latest_list_version = list_version;
        self.restart_muster();
    }

    pub(super) fn update_unmustered(&mut self, view: &View) {
        if self.unmustered_at_generation == Some(view.generation) {
            return;
        }
        self.unmustered_at_generation = Some(view.generation);
        let listed: BTreeSet<InstanceId> = view.instances.iter().map(|i| i.id.clone()).collect();
        self.mustered.retain(|id| listed.contains(id));
        self.unmustered = listed.into_iter().filter(|id| !self.mustered.contains(id)).collect();
        if self
            .superseded_by
            .is_some_and(|by| view.list_version >= by.list_version)
        {
            self.superseded_by = None;
        }
    }

    pub(super) fn evaluate(&mut self, now: BootTime, input: AssessmentInput<'_>, hold: Duration) -> OwnershipState {
        let woken = input.freshness == Freshness::Woken;
        if woken && !self.was_woken {
            self.restart_muster();
        }
        self.was_woken = woken;
        if self.superseded_by.is_some() {
            return OwnershipState::Stale { share: 0.0 };
        }
        let complete = self.unmustered.is_empty();
        self.remustering &= !complete;
        match input.freshness {
            Freshness::Woken if complete => OwnershipState::Stale { share: HALF_SHARE },
            Freshness::Woken => OwnershipState::Woken,
            Freshness::Stale { .. } => OwnershipState::Stale {
                share: self.stale_share(input.peers),
            },
            Freshness::Fresh => self.evaluate_fresh(now, hold),
        }
    }

    fn evaluate_fresh(&mut self, now: BootTime, hold: Duration) -> OwnershipState {
        let all_entries_follow = self.unmustered.is_empty();
        self.has_settled |= all_entries_follow && self.previous_owner_is_gone(now, hold);
        if self.has_settled {
            self.previous_owners.clear();
        }
        if self.has_settled && !self.remustering {
            return OwnershipState::Settled;
        }
        OwnershipState::TakingOver {
            since: self.since,
            share: HALF_SHARE,
            all_entries_follow,
        }
    }

    fn previous_owner_is_gone(&self, now: BootTime, hold: Duration) -> bool {
        self.previous_owner_stopped() || now.since(self.since) >= hold
    }

    /// Whether the latest owner that any entry followed before has handed over, or no entry followed one.
    fn previous_owner_stopped(&self) -> bool {
        let stopped = |previous: &PreviousOwner| match previous {
            PreviousOwner::NoOwner => true,
            PreviousOwner::Followed(term) => Some(*term) <= self.handover_term,
            PreviousOwner::Unknown => self.handover_term.is_some(),
        };
        self.previous_owners.values().all(stopped)
    }

    /// Records an entry's answer. An entry that names the current term has answered before, and that answer was lost.
    pub(super) fn record_takeover(&mut self, entry: &InstanceId, previous: PreviousOwner) {
        if !self.unmustered.remove(entry) {
            return;
        }
        self.mustered.insert(entry.clone());
        let previous = match previous {
            PreviousOwner::Followed(term) if term == self.term => PreviousOwner::Unknown,
            previous => previous,
        };
        if !self.has_settled {
            self.previous_owners.entry(entry.clone()).or_insert(previous);
        }
    }

    pub(super) fn entry_disconnected(&mut self, entry: &str) {
        if let Some(id) = self.mustered.take(entry) {
            self.round += 1;
            self.unmustered.insert(id);
        }
    }

    /// Discards all answers so far: an entry may follow another owner by now, for example after this process slept.
    fn restart_muster(&mut self) {
        self.round += 1;
        self.remustering = true;
        self.unmustered.extend(std::mem::take(&mut self.mustered));
    }

    fn stale_share(&self, peers: PeerFreshness) -> f64 {
        let service_down_for_all = peers == PeerFreshness::AllStale;
        if self.has_settled && !self.remustering && service_down_for_all {
            FULL_SHARE
        } else {
            HALF_SHARE
        }
    }
}
