//! The pools that this process owns, and its ownership state for each.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use celerytide_kernel::audit::Kind;
use celerytide_manifest::{DispatchSettings, PolicyName};
use celerytide_membership::View;
use celerytide_membership::ownership::{
    AssessmentInput, Options as OwnershipOptions, Ownership, OwnershipState, Pool, PreviousOwner, StateChange,
    TakeoverCall, owner_of, pools_of,
};
use celerytide_node::Node;
use celerytide_policy::{Baseline, Options, Trust};
use celerytide_types::{PoolId, Term, now_boot};

use crate::handover;
use crate::owned_pool::OwnedPool;
use crate::pool_config::pool_config;

/// The pools that this process owns, by name, and its ownership state for all pools.
pub struct Pools {
    node: Rc<Node>,
    opts: Options,
    ownership: RefCell<Ownership>,
    owned_pools: RefCell<BTreeMap<PoolId, Rc<OwnedPool>>>,
    pool_cache: RefCell<PoolCache>,
}

#[derive(Default)]
struct PoolCache {
    generation: u64,
    pools: Rc<HashMap<PoolId, Pool>>,
}

impl Pools {
    /// Creates a set without owned pools.
    pub fn new(node: Rc<Node>, settings: &DispatchSettings) -> Pools {
        let ownership = OwnershipOptions {
            own_instance: node.instance.clone(),
            incarnation: node.incarnation,
            hold: settings.timeouts.hold,
        };
        let opts = Options {
            seed: node.incarnation,
            orphan_max_age: settings.timeouts.permit_age,
            baseline: baseline_from(settings.policy),
            ..Options::default()
        };
        Pools {
            node,
            opts,
            ownership: RefCell::new(Ownership::new(ownership)),
            owned_pools: RefCell::default(),
            pool_cache: RefCell::default(),
        }
    }

    /// Returns the pool if this process owns it.
    pub fn owned(&self, pool: &str) -> Option<Rc<OwnedPool>> {
        self.owned_pools.borrow().get(pool).cloned()
    }

    /// Returns every owned pool.
    pub fn all(&self) -> Vec<Rc<OwnedPool>> {
        self.owned_pools.borrow().values().cloned().collect()
    }

    /// Returns this process's ownership state for a pool.
    pub fn ownership_state(&self, pool: &str) -> OwnershipState {
        self.ownership.borrow().state(pool)
    }

    /// Updates ownership, configuration and trust from the view, and delivers due grants and refusals.
    pub fn refresh(&self) {
        let view = self.node.membership.view();
        let changes = self.assess(&view);
        for change in &changes {
            self.audit_state_change(change, &view);
        }
        let pools = self.pools_in_view(&view);
        self.release_lost(&view);
        self.update_owned(&view, &pools);
    }

    /// Records that another owner reports its own stop. Its pools are taken over at once, before the instance list
    /// shows the stop.
    pub fn record_stopping_owner(&self, instance: &str) {
        let view = self.node.membership.view();
        if let Some(listed) = view.instance(instance).filter(|i| i.id != self.node.instance) {
            self.node.membership.set_suspected(instance, true);
            self.node.failure_detector.report_unreachable(listed);
            self.refresh();
        }
    }

    /// Records that an entry requested a permit for a pool of another owner here, which suggests that the entry can't
    /// reach that owner.
    pub fn report_misdirected_request(&self, pool: &str) {
        let view = self.node.membership.view();
        let region = self
            .pools_in_view(&view)
            .get(pool)
            .map(|p| p.region.clone())
            .unwrap_or_default();
        if let Some(owner) = owner_of(pool, &region, &view.instances) {
            self.node.failure_detector.report_unreachable(owner);
        }
    }

    /// Delivers due grants and refusals of every pool.
    pub fn deliver_due(&self) {
        for owned_pool in self.owned_pools.borrow().values() {
            owned_pool.deliver_due();
        }
    }

    /// Whether the entry may get permits: it has accepted this owner's term, or no endpoint of the pool is cold.
    pub fn may_grant_to(&self, owned_pool: &OwnedPool, entry: &str) -> bool {
        self.ownership.borrow().entry_follows(&owned_pool.id, entry) || !owned_pool.has_cold()
    }

    /// Records that an entry may have restarted and forgotten this owner's term.
    pub fn entry_disconnected(&self, entry: &str) {
        self.ownership.borrow_mut().entry_disconnected(entry);
    }

    /// Returns the takeover calls that entries have not answered yet.
    pub fn pending_takeovers(&self) -> Vec<TakeoverCall> {
        let ownership = self.ownership.borrow();
        ownership
            .pools()
            .flat_map(|pool| ownership.pending_takeovers(pool))
            .collect()
    }

    /// Records that an entry has accepted the term of a call and transferred its permits in flight.
    pub fn record_takeover(&self, call: &TakeoverCall, previous: PreviousOwner) {
        self.ownership.borrow_mut().record_takeover(call, previous);
    }

    /// Records that an entry refused a call because it follows a higher term.
    pub fn record_higher_term(&self, pool: &str, highest: Term) {
        let view = self.node.membership.view();
        self.ownership
            .borrow_mut()
            .record_higher_term(now_boot(), pool, highest, &view);
    }

    /// If `drained`, records that the previous owner stopped granting and all its permits have ended or moved;
    /// otherwise records nothing. Returns false if this process doesn't own the pool yet.
    pub fn record_handover(&self, pool: &str, previous: Term, drained: bool) -> bool {
        let mut ownership = self.ownership.borrow_mut();
        let owned = ownership.term(pool).is_some();
        if drained {
            ownership.record_handover(pool, previous);
        }
        owned
    }

    /// Releases every pool for a graceful stop.
    pub fn release_all(&self) {
        let lost = self.ownership.borrow_mut().release_all();
        let view = self.node.membership.view();
        for (pool, term) in lost {
            self.release(&view, &pool, term);
        }
    }

    /// Number of permits in flight that this process granted or adopted.
    pub fn in_flight(&self) -> u64 {
        self.owned_pools.borrow().values().map(|p| p.in_flight()).sum()
    }

    fn assess(&self, view: &View) -> Vec<StateChange> {
        let now = now_boot();
        let input = AssessmentInput {
            view,
            freshness: self.node.membership.freshness(now),
            peers: self.node.membership.peer_freshness(now),
        };
        self.ownership.borrow_mut().assess(now, input)
    }

    fn audit_state_change(&self, change: &StateChange, view: &View) {
        let transition = format!(
            "{} -> {}",
            ownership_state_name(change.from),
            ownership_state_name(change.to)
        );
        self.node
            .audit
            .record(Kind::OwnershipChanged, &change.pool, &transition, view.list_version);
    }

    fn release_lost(&self, view: &View) {
        let lost: Vec<Rc<OwnedPool>> = {
            let ownership = self.ownership.borrow();
            self.owned_pools
                .borrow()
                .values()
                .filter(|p| !ownership.state(&p.id).owns())
                .cloned()
                .collect()
        };
        for owned_pool in lost {
            self.release(view, &owned_pool.id, owned_pool.term());
        }
    }

    /// Stops granting in a pool and starts its handover to the next owner.
    fn release(&self, view: &View, pool: &str, term: Term) {
        let Some(owned_pool) = self.owned_pools.borrow_mut().remove(pool) else {
            return;
        };
        owned_pool.stop_granting();
        let region = self
            .pools_in_view(view)
            .get(pool)
            .map(|p| p.region.clone())
            .unwrap_or_default();
        handover::send(self.node.clone(), owned_pool, region, term);
    }

    fn update_owned(&self, view: &Rc<View>, pools: &HashMap<PoolId, Pool>) {
        let Some(manifest) = &view.manifest else {
            return;
        };
        let owned: Vec<PoolId> = self.ownership.borrow().pools().cloned().collect();
        for id in owned {
            let (Some(pool), Some(term)) = (pools.get(&id), self.ownership.borrow().term(&id)) else {
                continue;
            };
            let owned_pool = self.get_or_create(&id, term);
            owned_pool.set_term(term);
            owned_pool.apply(view.generation, || pool_config(view, manifest, pool));
            let ownership_state = self.ownership_state(&id);
            owned_pool.set_ownership_state(ownership_state, trust_from(ownership_state));
            owned_pool.deliver_due();
        }
    }

    fn get_or_create(&self, id: &str, term: Term) -> Rc<OwnedPool> {
        let mut owned_pools = self.owned_pools.borrow_mut();
        let new = || Rc::new(OwnedPool::new(id.to_owned(), term, self.opts.clone()));
        owned_pools.entry(id.to_owned()).or_insert_with(new).clone()
    }

    fn pools_in_view(&self, view: &View) -> Rc<HashMap<PoolId, Pool>> {
        let mut pool_cache = self.pool_cache.borrow_mut();
        if pool_cache.generation != view.generation {
            let pools = view.manifest.as_deref().map(pools_of).unwrap_or_default();
            let by_id = pools.into_iter().map(|p| (p.id.clone(), p)).collect();
            *pool_cache = PoolCache {
                generation: view.generation,
                pools: Rc::new(by_id),
            };
        }
        pool_cache.pools.clone()
    }
}

/// Name of an ownership state in the audit trail and status.
pub fn ownership_state_name(ownership_state: OwnershipState) -> &'static str {
    match ownership_state {
        OwnershipState::NotOwner => "not-owner",
        OwnershipState::TakingOver { .. } => "taking",
        OwnershipState::Settled => "settled",
        OwnershipState::Stale { .. } => "stale",
        OwnershipState::Woken => "woken",
    }
}

fn baseline_from(policy: PolicyName) -> Option<Baseline> {
    match policy {
        PolicyName::Celerytide => None,
        PolicyName::Random => Some(Baseline::Random),
        PolicyName::RoundRobin => Some(Baseline::RoundRobin),
        PolicyName::LeastInFlight => Some(Baseline::LeastInFlight),
        PolicyName::FirstCome => Some(Baseline::FirstCome),
    }
}

fn trust_from(ownership_state: OwnershipState) -> Trust {
    match ownership_state {
        OwnershipState::Settled => Trust::Settled,
        // Every entry has accepted this owner's term, so no other owner grants for warm endpoints. Cold endpoints wait
        // for the hold, the time that a new owner waits before it settles.
        OwnershipState::TakingOver {
            all_entries_follow: true,
            ..
        } => Trust::Taking { share: 1.0 },
        OwnershipState::TakingOver { share, .. } => Trust::Taking { share },
        OwnershipState::Stale { share } if share >= 1.0 => Trust::Stale,
        OwnershipState::Stale { share } => Trust::Taking { share },
        // A share of 0 grants nothing: the process has resumed after a suspension, or another instance owns the pool.
        OwnershipState::Woken | OwnershipState::NotOwner => Trust::Taking { share: 0.0 },
    }
}
