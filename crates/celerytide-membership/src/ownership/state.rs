//! Decides from the view, its freshness and the replies of entries which pools a dispatch process owns and how much it
//! may grant there.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, Incarnation, InstanceId, PoolId, Term, Version};

use super::pool::{Pool, owner_of, pools_of};
use super::tenure::Tenure;
use crate::freshness::{Freshness, PeerFreshness};
use crate::view::View;

/// What an owner may do with a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OwnershipState {
    /// Another instance owns it.
    NotOwner,
    /// This process is a new owner and can't rule out a second one yet.
    TakingOver {
        /// Start of the tenure.
        since: BootTime,
        /// Share of each warm endpoint's slots.
        share: f64,
        /// Whether every listed entry follows this owner, so that only the hold ([`Options::hold`]) is left to wait
        /// for.
        all_entries_follow: bool,
    },
    /// Every listed entry has followed this owner; see [`Ownership::entry_follows`] for cold endpoints.
    Settled,
    /// The owner's views are not fresh, or an entry follows the owner of a later list: nothing is granted for cold
    /// endpoints.
    Stale {
        /// Share of each warm endpoint's slots; 0 in the second case.
        share: f64,
    },
    /// The process has resumed after a suspension: it grants nothing until it has read the views again or every listed
    /// entry follows it again.
    Woken,
}

/// Identity of the process and the hold.
#[derive(Debug, Clone)]
pub struct Options {
    /// Id of this instance.
    pub own_instance: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time for which a new owner waits before it settles if the previous one didn't hand over; longer than views stay
    /// fresh.
    pub hold: Duration,
}

/// Input of [`Ownership::assess`].
#[derive(Debug, Clone, Copy)]
pub struct AssessmentInput<'a> {
    /// The current view.
    pub view: &'a View,
    /// Whether the view may be trusted.
    pub freshness: Freshness,
    /// Whether peers still reach the configuration service.
    pub peers: PeerFreshness,
}

/// A call to one entry to follow the owner's term and transfer its permits in flight; a reply counts only for this
/// call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeoverCall {
    /// The owned pool.
    pub pool: PoolId,
    /// Term of the owner.
    pub term: Term,
    /// Version of the latest instance list that the owner has seen.
    pub latest_list_version: Version,
    /// Increases whenever earlier replies become invalid: when the tenure restarts, a newer instance list arrives, an
    /// entry that follows the owner disconnects, or the process resumes after a suspension.
    pub round: u64,
    /// Instance whose entry is called.
    pub entry: InstanceId,
}

/// The owner that an entry followed before it replied to a takeover call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreviousOwner {
    /// The entry had seen no term of the pool.
    NoOwner,
    /// The entry followed this term and now follows the current one.
    Followed(Term),
    /// The reply doesn't name the previous owner.
    Unknown,
}

/// A change from one ownership state to another, for the audit trail. Changes of a state's fields, such as the
/// share, are not reported.
#[derive(Debug, Clone, PartialEq)]
pub struct StateChange {
    /// Pool whose state changed.
    pub pool: PoolId,
    /// State before the change.
    pub from: OwnershipState,
    /// State after the change.
    pub to: OwnershipState,
}

/// Ownership states of one dispatch process.
#[derive(Debug)]
pub struct Ownership {
    opts: Options,
    pools: BTreeMap<PoolId, Tenure>,
    /// Epoch of the list service in the last assessed view.
    list_epoch: u64,
    stopping: bool,
    /// Owned pools and the view generation that they follow from.
    owned: Option<(u64, Rc<Vec<Pool>>)>,
}

impl OwnershipState {
    /// Share of each warm endpoint's slots that may be granted.
    pub fn warm_share(self) -> f64 {
        match self {
            OwnershipState::Settled => 1.0,
            OwnershipState::TakingOver { share, .. } | OwnershipState::Stale { share } => share,
            OwnershipState::NotOwner | OwnershipState::Woken => 0.0,
        }
    }

    /// Whether the process considers itself the owner.
    pub fn owns(self) -> bool {
        self != OwnershipState::NotOwner
    }
}

impl Ownership {
    /// Starts without any owned pool.
    pub fn new(opts: Options) -> Ownership {
        Ownership {
            opts,
            pools: BTreeMap::new(),
            list_epoch: 0,
            stopping: false,
            owned: None,
        }
    }

    /// Updates the state of every pool and returns the changes. Call it at regular intervals, and before the next grant
    /// whenever the view, its freshness or a takeover changes. All views must come from one
    /// [`Membership`](crate::Membership).
    pub fn assess(&mut self, now: BootTime, input: AssessmentInput<'_>) -> Vec<StateChange> {
        let owned = self.owned_pools(input.view);
        let mut changes = self.remove_lost_pools(&owned);
        self.enter_epoch(now, input.view);
        for pool in owned.iter() {
            changes.extend(self.assess_pool(now, input, pool));
        }
        changes
    }

    /// State of a pool.
    pub fn state(&self, pool: &str) -> OwnershipState {
        self.pools.get(pool).map_or(OwnershipState::NotOwner, |t| t.state)
    }

    /// Term to grant under; `None` if another instance owns the pool.
    pub fn term(&self, pool: &str) -> Option<Term> {
        self.pools.get(pool).map(|t| t.term)
    }

    /// Pools that this process considers its own.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Takeover calls that entries have not answered yet; repeat each until it is answered.
    pub fn pending_takeovers(&self, pool: &str) -> Vec<TakeoverCall> {
        let Some(tenure) = self.pools.get(pool) else {
            return Vec::new();
        };
        let call = |entry: &InstanceId| TakeoverCall {
            pool: pool.to_owned(),
            term: tenure.term,
            latest_list_version: tenure.latest_list_version,
            round: tenure.round,
            entry: entry.clone(),
        };
        tenure.pending.iter().map(call).collect()
    }

    /// Records that an entry follows the term of a call; its permits in flight must have been adopted before. Ignored
    /// if the call is outdated.
    pub fn record_takeover(&mut self, call: &TakeoverCall, previous: PreviousOwner) {
        let matches_call = |t: &&mut Tenure| t.term == call.term && t.round == call.round;
        let Some(tenure) = self.pools.get_mut(&call.pool).filter(matches_call) else {
            return;
        };
        tenure.record_takeover(&call.entry, previous);
    }

    /// Whether the entry follows the current term, so has accepted a takeover call for it; permits for cold endpoints
    /// go only to such entries.
    pub fn entry_follows(&self, pool: &str, entry: &str) -> bool {
        self.pools.get(pool).is_some_and(|t| t.following.contains(entry))
    }

    /// Records a broken connection to an entry, which may have restarted and forgotten the term it followed.
    pub fn entry_disconnected(&mut self, entry: &str) {
        for tenure in self.pools.values_mut() {
            tenure.entry_disconnected(entry);
        }
    }

    /// Records that an entry follows a higher term:
    ///
    /// - of a later list than this process has: grants stop until it has that list.
    /// - of the current list: since a list gives a pool one owner, the term is of an earlier process of this instance, and
    ///   the own incarnation is raised above it.
    /// - of an older list: the tenure restarts under the current list, whose terms are higher.
    pub fn record_higher_term(&mut self, now: BootTime, pool: &str, highest: Term, view: &View) {
        let Some(tenure) = self.pools.get_mut(pool).filter(|t| t.term < highest) else {
            return;
        };
        if highest.list_version > view.list_version {
            tenure.superseded_by = tenure.superseded_by.max(Some(highest));
            return;
        }
        let list_version = view.list_version;
        let incarnation = match highest.list_version == list_version {
            true => tenure.term.incarnation.max(highest.incarnation.saturating_add(1)),
            false => tenure.term.incarnation,
        };
        tenure.restart(
            now,
            Term {
                list_version,
                incarnation,
            },
        );
    }

    /// Records that the previous owner with term `previous` stopped granting in the pool. The hold is skipped if no
    /// entry that replied had followed an owner with a later term.
    pub fn record_handover(&mut self, pool: &str, previous: Term) {
        let Some(tenure) = self.pools.get_mut(pool).filter(|t| previous < t.term) else {
            return;
        };
        tenure.handover_term = tenure.handover_term.max(Some(previous));
    }

    /// Releases all pools for a graceful stop and returns each with its final term; this process owns none from now on.
    pub fn release_all(&mut self) -> Vec<(PoolId, Term)> {
        self.stopping = true;
        let pools = std::mem::take(&mut self.pools);
        pools.into_iter().map(|(id, tenure)| (id, tenure.term)).collect()
    }

    /// Pools that this instance owns according to the view, cached per view generation.
    fn owned_pools(&mut self, view: &View) -> Rc<Vec<Pool>> {
        if self.stopping {
            return Rc::default();
        }
        if let Some((_, owned)) = self
            .owned
            .as_ref()
            .filter(|(generation, _)| *generation == view.generation)
        {
            return owned.clone();
        }
        let is_own =
            |p: &Pool| owner_of(&p.id, &p.region, &view.instances).is_some_and(|i| i.id == self.opts.own_instance);
        let pools = view.manifest.as_ref().map_or_else(Vec::new, |m| pools_of(m));
        let owned: Rc<Vec<Pool>> = Rc::new(pools.into_iter().filter(is_own).collect());
        self.owned = Some((view.generation, owned.clone()));
        owned
    }

    fn remove_lost_pools(&mut self, owned: &[Pool]) -> Vec<StateChange> {
        let kept: BTreeSet<&PoolId> = owned.iter().map(|p| &p.id).collect();
        let lost: Vec<PoolId> = self.pools.keys().filter(|id| !kept.contains(id)).cloned().collect();
        let remove_lost = |pool: PoolId| {
            let tenure = self.pools.remove(&pool)?;
            Some(StateChange {
                pool,
                from: tenure.state,
                to: OwnershipState::NotOwner,
            })
        };
        lost.into_iter().filter_map(remove_lost).collect()
    }

    /// Restarts every tenure after the list service was rebuilt.
    fn enter_epoch(&mut self, now: BootTime, view: &View) {
        if view.list_epoch == self.list_epoch {
            return;
        }
        self.list_epoch = view.list_epoch;
        for tenure in self.pools.values_mut() {
            let term = Term {
                list_version: view.list_version,
                ..tenure.term
            };
            tenure.restart(now, term);
        }
    }

    fn assess_pool(&mut self, now: BootTime, input: AssessmentInput<'_>, pool: &Pool) -> Option<StateChange> {
        let term = Term {
            list_version: input.view.list_version,
            incarnation: self.opts.incarnation,
        };
        let hold = self.opts.hold;
        let is_new = !self.pools.contains_key(&pool.id);
        let tenure = self
            .pools
            .entry(pool.id.clone())
            .or_insert_with(|| Tenure::new(now, term, pool.layout));
        let from = if is_new { OwnershipState::NotOwner } else { tenure.state };
        if tenure.layout != pool.layout {
            tenure.layout = pool.layout;
            tenure.restart(
                now,
                Term {
                    incarnation: tenure.term.incarnation,
                    ..term
                },
            );
        }
        if tenure.latest_list_version < input.view.list_version {
            tenure.observe_list(input.view.list_version);
        }
        tenure.update_pending(input.view);
        tenure.state = tenure.evaluate(now, input, hold);
        let changed = std::mem::discriminant(&from) != std::mem::discriminant(&tenure.state);
        changed.then_some(StateChange {
            pool: pool.id.clone(),
            from,
            to: tenure.state,
        })
    }
}
