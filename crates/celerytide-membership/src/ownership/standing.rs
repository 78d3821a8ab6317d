//! The standing of one process towards each pool.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, Incarnation, InstanceId, PoolId, Term, Version};

use super::held::Held;
use super::pool::{Pool, owner_of, pools_of};
use crate::fresh::{Freshness, PeersSay};
use crate::view::View;

/// What an owner may do with a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// Another instance owns it.
    NotOwner,
    /// Owner that can't rule out a second one yet.
    Taking {
        /// Since when.
        since: BootTime,
        /// Share of each warm endpoint's slots.
        share: f64,
        /// Whether every listed entry follows it, so that only the hold is left to wait for.
        mustered: bool,
    },
    /// Owner that every entry listed at its taking has followed; see [`Ownership::follows`] for cold endpoints.
    Settled,
    /// Owner whose views are not fresh: nothing cold.
    Stale {
        /// Share of each warm endpoint's slots.
        share: f64,
    },
    /// Owner that slept: nothing until the views are read again or every listed entry was mustered again.
    Woken,
}

/// Bounds of ownership.
#[derive(Debug, Clone)]
pub struct Options {
    /// This instance.
    pub own: InstanceId,
    /// This process's incarnation.
    pub incarnation: Incarnation,
    /// Without a handover, a new owner waits this long before it settles; longer than views stay fresh.
    pub hold: Duration,
}

/// What an assessment rests on.
#[derive(Debug, Clone, Copy)]
pub struct Assessment<'a> {
    /// The present view.
    pub view: &'a View,
    /// How far it may be trusted.
    pub freshness: Freshness,
    /// What peers' digests tell about it.
    pub peers: PeersSay,
}

/// A call for one entry's permits in flight; an answer counts for exactly this call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MusterCall {
    /// The pool.
    pub pool: PoolId,
    /// The owner's term.
    pub term: Term,
    /// Version of the latest list that the owner has seen.
    pub seen_list: Version,
    /// Grows whenever earlier answers stop counting.
    pub round: u64,
    /// The instance whose entry is called.
    pub entry: InstanceId,
}

/// What an entry said of the owner it followed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Former {
    /// It had seen no term of the pool.
    Nobody,
    /// It had followed this term, and follows the present one now.
    Seen(Term),
    /// It didn't say.
    NotSaid,
}

/// A pool whose standing changed; for the audit trail.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The pool.
    pub pool: PoolId,
    /// Former standing.
    pub from: Standing,
    /// Present standing.
    pub to: Standing,
}

/// Standings of one dispatch process.
#[derive(Debug)]
pub struct Ownership {
    opts: Options,
    pools: BTreeMap<PoolId, Held>,
    list_epoch: u64,
    stopping: bool,
    owned: Option<(u64, Rc<Vec<Pool>>)>,
}

impl Standing {
    /// Share of each warm endpoint's slots that may be granted.
    pub fn warm_share(self) -> f64 {
        match self {
            Standing::Settled => 1.0,
            Standing::Taking { share, .. } | Standing::Stale { share } => share,
            Standing::NotOwner | Standing::Woken => 0.0,
        }
    }

    /// Whether the process counts itself as the owner.
    pub fn owns(self) -> bool {
        self != Standing::NotOwner
    }
}

impl Ownership {
    /// Owns nothing yet.
    pub fn new(opts: Options) -> Ownership {
        Ownership {
            opts,
            pools: BTreeMap::new(),
            list_epoch: 0,
            stopping: false,
            owned: None,
        }
    }

    /// Brings every standing up to date and returns the changes. Call it at each change of the view, of freshness, of
    /// musters, and at each tick, before any grant. All views must come from one [`Membership`](crate::Membership).
    pub fn assess(&mut self, now: BootTime, on: Assessment<'_>) -> Vec<Change> {
        let owned = self.owned_by(on.view);
        let mut changes = self.drop_lost(&owned);
        self.enter_epoch(now, on.view);
        for pool in owned.iter() {
            changes.extend(self.assess_pool(now, on, pool));
        }
        changes
    }

    /// The standing towards a pool.
    pub fn standing(&self, pool: &str) -> Standing {
        self.pools.get(pool).map_or(Standing::NotOwner, |h| h.standing)
    }

    /// The term to grant under; absent if another instance owns the pool.
    pub fn term(&self, pool: &str) -> Option<Term> {
        self.pools.get(pool).map(|h| h.term)
    }

    /// Pools that this process counts as its own.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// The calls that entries have yet to answer; repeat them until they do.
    pub fn musters(&self, pool: &str) -> Vec<MusterCall> {
        let Some(held) = self.pools.get(pool) else {
            return Vec::new();
        };
        let call = |entry: &InstanceId| MusterCall {
            pool: pool.to_owned(),
            term: held.term,
            seen_list: held.seen_list,
            round: held.round,
            entry: entry.clone(),
        };
        held.missing.iter().map(call).collect()
    }

    /// Notes that an entry answered a call and follows its term; its permits in flight are adopted already.
    pub fn mustered(&mut self, call: &MusterCall, former: Former) {
        let asked = |h: &&mut Held| h.term == call.term && h.round == call.round;
        let Some(held) = self.pools.get_mut(&call.pool).filter(asked) else {
            return;
        };
        held.answered(&call.entry, former);
    }

    /// Whether the entry follows the present term. A permit for a cold endpoint goes only to an entry that does.
    pub fn follows(&self, pool: &str, entry: &str) -> bool {
        self.pools.get(pool).is_some_and(|h| h.mustered.contains(entry))
    }

    /// Notes that the connection to an entry broke: it may have restarted and forgotten whom it followed.
    pub fn entry_lost(&mut self, entry: &str) {
        for held in self.pools.values_mut() {
            held.entry_lost(entry);
        }
    }

    /// Notes that an entry follows a higher term. An earlier life of this instance is outbid; a later list is waited for.
    pub fn refused(&mut self, now: BootTime, pool: &str, highest: Term, view: &View) {
        let Some(held) = self.pools.get_mut(pool).filter(|h| h.term < highest) else {
            return;
        };
        if highest.list_version > view.list_version {
            held.superseded = held.superseded.max(Some(highest));
            return;
        }
        let list_version = view.list_version;
        let incarnation = match highest.list_version == list_version {
            true => held.term.incarnation.max(highest.incarnation.saturating_add(1)),
            false => held.term.incarnation,
        };
        held.retake(
            now,
            Term {
                list_version,
                incarnation,
            },
        );
    }

    /// Notes that a former owner stopped granting in that pool; `former` is its term. It spares the hold if no mustered
    /// entry followed a later owner than that.
    pub fn handed_over(&mut self, pool: &str, former: Term) {
        let Some(held) = self.pools.get_mut(pool).filter(|h| former < h.term) else {
            return;
        };
        held.handed_over = held.handed_over.max(Some(former));
    }

    /// Gives every pool up for good, for a graceful stop; returns each with the term that ends.
    pub fn give_up(&mut self) -> Vec<(PoolId, Term)> {
        self.stopping = true;
        let pools = std::mem::take(&mut self.pools);
        pools.into_iter().map(|(id, held)| (id, held.term)).collect()
    }

    /// Pools that this instance owns by the view; worked out once per generation.
    fn owned_by(&mut self, view: &View) -> Rc<Vec<Pool>> {
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
        let own = |p: &Pool| owner_of(&p.id, &p.region, &view.instances).is_some_and(|i| i.id == self.opts.own);
        let pools = view.manifest.as_ref().map_or_else(Vec::new, |m| pools_of(m));
        let owned: Rc<Vec<Pool>> = Rc::new(pools.into_iter().filter(own).collect());
        self.owned = Some((view.generation, owned.clone()));
        owned
    }

    fn drop_lost(&mut self, owned: &[Pool]) -> Vec<Change> {
        let kept: BTreeSet<&PoolId> = owned.iter().map(|p| &p.id).collect();
        let lost: Vec<PoolId> = self.pools.keys().filter(|id| !kept.contains(id)).cloned().collect();
        let drop_one = |pool: PoolId| {
            let held = self.pools.remove(&pool)?;
            Some(Change {
                pool,
                from: held.standing,
                to: Standing::NotOwner,
            })
        };
        lost.into_iter().filter_map(drop_one).collect()
    }

    fn enter_epoch(&mut self, now: BootTime, view: &View) {
        if view.list_epoch == self.list_epoch {
            return;
        }
        self.list_epoch = view.list_epoch;
        for held in self.pools.values_mut() {
            let term = Term {
                list_version: view.list_version,
                ..held.term
            };
            held.retake(now, term);
        }
    }

    fn assess_pool(&mut self, now: BootTime, on: Assessment<'_>, pool: &Pool) -> Option<Change> {
        let term = Term {
            list_version: on.view.list_version,
            incarnation: self.opts.incarnation,
        };
        let hold = self.opts.hold;
        let taken = !self.pools.contains_key(&pool.id);
        let held = self
            .pools
            .entry(pool.id.clone())
            .or_insert_with(|| Held::new(now, term, pool.layout));
        let from = if taken { Standing::NotOwner } else { held.standing };
        if held.layout != pool.layout {
            held.layout = pool.layout;
            held.retake(
                now,
                Term {
                    incarnation: held.term.incarnation,
                    ..term
                },
            );
        }
        if held.seen_list < on.view.list_version {
            held.see_list(on.view.list_version);
        }
        held.count_missing(on.view);
        held.standing = held.judge(now, on, hold);
        let changed = std::mem::discriminant(&from) != std::mem::discriminant(&held.standing);
        changed.then_some(Change {
            pool: pool.id.clone(),
            from,
            to: held.standing,
        })
    }
}
