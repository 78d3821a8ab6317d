//! The tenure of one pool: what its owner has learned since it became the owner, and the state that follows from it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerytide_types::{BootTime, InstanceId, Term};

use super::state::{AssessmentInput, OwnershipState, PreviousOwner};
use crate::freshness::{Freshness, PeerFreshness};
use crate::view::View;

const FULL_SHARE: f64 = 1.0;
const HALF_SHARE: f64 = 0.5;

/// One pool's tenure. It restarts when the own term, the layout of the service's pools or the epoch of the list service
/// changes.
#[derive(Debug)]
pub(super) struct Tenure {
    pub(super) state: OwnershipState,
    pub(super) layout: u64,
    pub(super) term: Term,
    pub(super) since: BootTime,
    /// Round of the takeover; replies to calls of earlier rounds are ignored.
    pub(super) round: u64,
    pub(super) latest_list_version: u64,
    pub(super) has_settled: bool,
    /// Whether the takeover was restarted and is not complete yet.
    pub(super) is_repeating_takeover: bool,
    pub(super) was_woken: bool,
    pub(super) handover_term: Option<Term>,
    /// Term of a later list that an entry follows, until this process has that list.
    pub(super) superseded_by: Option<Term>,
    /// Listed entries that follow this owner.
    pub(super) following: BTreeSet<InstanceId>,
    /// The owner that each entry followed before, by its first reply in this tenure; empty once settled.
    pub(super) previous_owners: BTreeMap<InstanceId, PreviousOwner>,
    /// Listed entries that have to be called.
    pub(super) pending: BTreeSet<InstanceId>,
    pub(super) pending_at_generation: Option<u64>,
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
            is_repeating_takeover: false,
            was_woken: false,
            handover_term: None,
            superseded_by: None,
            following: BTreeSet::new(),
            previous_owners: BTreeMap::new(),
            pending: BTreeSet::new(),
            pending_at_generation: None,
        }
    }

    pub(super) fn restart(&mut self, now: BootTime, term: Term) {
        let round = self.round + 1;
        *self = Tenure {
            round,
            ..Tenure::new(now, term, self.layout)
        };
    }

    /// Restarts the takeover for a new list: entries may follow another owner that a skipped list has named.
    pub(super) fn observe_list(&mut self, list_version: u64) {
        self.latest_list_version = list_version;
        self.restart_takeover();
    }

    /// Follows the list of entries, and ends the supersession once its list is known.
    pub(super) fn update_pending(&mut self, view: &View) {
        if self.pending_at_generation == Some(view.generation) {
            return;
        }
        self.pending_at_generation = Some(view.generation);
        let listed: BTreeSet<InstanceId> = view.instances.iter().map(|i| i.id.clone()).collect();
        self.following.retain(|id| listed.contains(id));
        self.pending = listed.into_iter().filter(|id| !self.following.contains(id)).collect();
        if self
            .superseded_by
            .is_some_and(|by| view.list_version >= by.list_version)
        {
            self.superseded_by = None;
        }
    }

    pub(super) fn evaluate(&mut self, now: BootTime, input: AssessmentInput<'_>, hold: Duration) -> OwnershipState {
        let is_woken = input.freshness == Freshness::Woken;
        if is_woken && !self.was_woken {
            self.restart_takeover();
        }
        self.was_woken = is_woken;
        if self.superseded_by.is_some() {
            return OwnershipState::Stale { share: 0.0 };
        }
        let complete = self.pending.is_empty();
        self.is_repeating_takeover &= !complete;
        match input.freshness {
            Freshness::Woken if complete => OwnershipState::Stale { share: HALF_SHARE },
            Freshness::Woken => OwnershipState::Woken,
            Freshness::Stale { .. } => OwnershipState::Stale {
                share: self.warm_share_when_stale(input.peers),
            },
            Freshness::Fresh => self.evaluate_fresh(now, hold),
        }
    }

    fn evaluate_fresh(&mut self, now: BootTime, hold: Duration) -> OwnershipState {
        let all_entries_follow = self.pending.is_empty();
        self.has_settled |= all_entries_follow && self.previous_owner_is_gone(now, hold);
        if self.has_settled {
            self.previous_owners.clear();
        }
        if self.has_settled && !self.is_repeating_takeover {
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

    /// Records an entry's reply. An entry that names the current term has replied before. That reply was lost, and with
    /// it the previous owner's term.
    pub(super) fn record_takeover(&mut self, entry: &InstanceId, previous: PreviousOwner) {
        if !self.pending.remove(entry) {
            return;
        }
        self.following.insert(entry.clone());
        let previous = match previous {
            PreviousOwner::Followed(term) if term == self.term => PreviousOwner::Unknown,
            previous => previous,
        };
        if !self.has_settled {
            self.previous_owners.entry(entry.clone()).or_insert(previous);
        }
    }

    /// Calls the entry again: it may have restarted and forgotten the term that it followed.
    pub(super) fn entry_disconnected(&mut self, entry: &str) {
        if let Some(id) = self.following.take(entry) {
            self.round += 1;
            self.pending.insert(id);
        }
    }

    /// Discards all replies so far: an entry may follow another owner by now, for example after a suspension of this
    /// process.
    fn restart_takeover(&mut self) {
        self.round += 1;
        self.is_repeating_takeover = true;
        self.pending.extend(std::mem::take(&mut self.following));
    }

    fn warm_share_when_stale(&self, peers: PeerFreshness) -> f64 {
        let is_service_down_for_all = peers == PeerFreshness::AllStale;
        if self.has_settled && !self.is_repeating_takeover && is_service_down_for_all {
            FULL_SHARE
        } else {
            HALF_SHARE
        }
    }
}
