//! All pools that this process owns, and its standing towards each.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use celerytide_kernel::audit::Kind;
use celerytide_manifest::{DispatchSettings, PolicyName};
use celerytide_membership::View;
use celerytide_membership::ownership::{
    AssessmentInput, MusterCall, Options as OwnershipOptions, Ownership, OwnershipState, Pool, PreviousOwner,
    StateChange, owner_of, pools_of,
};
use celerytide_node::Node;
use celerytide_policy::{Baseline, Options, Trust};
use celerytide_types::{PoolId, Term, now_boot};

use crate::handover;
use crate::plan::plan_of;
use crate::slot::Slot;

/// Pools by id, with their ownership.
pub struct Pools {
    node: Rc<Node>,
    opts: Options,
    ownership: RefCell<Ownership>,
    slots: RefCell<BTreeMap<PoolId, Rc<Slot>>>,
    known: RefCell<Known>,
}

#[derive(Default)]
struct Known {
    generation: u64,
    pools: Rc<HashMap<PoolId, Pool>>,
}

impl Pools {
    /// Owns nothing yet.
    pub fn new(node: Rc<Node>, settings: &DispatchSettings) -> Pools {
        let ownership = OwnershipOptions {
            own: node.instance.clone(),
            incarnation: node.incarnation,
            hold: settings.timeouts.hold,
        };
        let opts = Options {
            seed: node.incarnation,
            orphan_max_age: settings.timeouts.permit_age,
            baseline: baseline_of(settings.policy),
            ..Options::default()
        };
        Pools {
            node,
            opts,
            ownership: RefCell::new(Ownership::new(ownership)),
            slots: RefCell::default(),
            known: RefCell::default(),
        }
    }

    /// The pool, if this process owns it.
    pub fn owned(&self, pool: &str) -> Option<Rc<Slot>> {
        self.slots.borrow().get(pool).cloned()
    }

    /// Every owned pool.
    pub fn all(&self) -> Vec<Rc<Slot>> {
        self.slots.borrow().values().cloned().collect()
    }

    /// The standing towards a pool.
    pub fn standing(&self, pool: &str) -> OwnershipState {
        self.ownership.borrow().state(pool)
    }

    /// Brings ownership, plans and trust up to date with the view, and pumps every queue.
    pub fn refresh(&self) {
        let view = self.node.membership.view();
        let changes = self.assess(&view);
        for change in &changes {
            self.record(change, &view);
        }
        let pools = self.pools_by(&view);
        self.drop_lost(&view);
        self.keep_owned(&view, &pools);
    }

    /// Notes another owner's own word that it stops; its pools are taken over at once, before the list shows it.
    pub fn stopped(&self, instance: &str) {
        let view = self.node.membership.view();
        if let Some(listed) = view.instance(instance).filter(|i| i.id != self.node.instance) {
            self.node.membership.set_suspected(instance, true);
            self.node.failure_detector.report_unreachable(listed);
            self.refresh();
        }
    }

    /// Notes that an entry asked here for a pool of another owner: it may not reach that one.
    pub fn asked_in_vain(&self, pool: &str) {
        let view = self.node.membership.view();
        let region = self
            .pools_by(&view)
            .get(pool)
            .map(|p| p.region.clone())
            .unwrap_or_default();
        if let Some(owner) = owner_of(pool, &region, &view.instances) {
            self.node.failure_detector.report_unreachable(owner);
        }
    }

    /// Pumps every queue.
    pub fn pump(&self) {
        for slot in self.slots.borrow().values() {
            slot.pump();
        }
    }

    /// Whether the entry may be given permits: it follows this owner, or nothing of the pool is cold.
    pub fn may_ask(&self, slot: &Slot, entry: &str) -> bool {
        self.ownership.borrow().entry_follows(&slot.id, entry) || !slot.has_cold()
    }

    /// Notes that an entry may have restarted and forgotten whom it followed.
    pub fn entry_lost(&self, entry: &str) {
        self.ownership.borrow_mut().entry_disconnected(entry);
    }

    /// The calls that entries have yet to answer.
    pub fn musters(&self) -> Vec<MusterCall> {
        let ownership = self.ownership.borrow();
        ownership
            .pools()
            .flat_map(|pool| ownership.pending_musters(pool))
            .collect()
    }

    /// Notes an entry's answer.
    pub fn mustered(&self, call: &MusterCall, former: PreviousOwner) {
        self.ownership.borrow_mut().record_muster(call, former);
    }

    /// Notes that an entry follows a higher term.
    pub fn refused(&self, pool: &str, highest: Term) {
        let view = self.node.membership.view();
        self.ownership
            .borrow_mut()
            .record_higher_term(now_boot(), pool, highest, &view);
    }

    /// Notes that the former owner stopped granting, and whether its permits have all ended or moved; false if this process doesn't own the pool yet.
    pub fn handed_over(&self, pool: &str, former: Term, drained: bool) -> bool {
        let mut ownership = self.ownership.borrow_mut();
        let owned = ownership.term(pool).is_some();
        if drained {
            ownership.record_handover(pool, former);
        }
        owned
    }

    /// Gives every pool up for a graceful stop.
    pub fn give_up(&self) {
        let lost = self.ownership.borrow_mut().release_all();
        let view = self.node.membership.view();
        for (pool, term) in lost {
            self.lose(&view, &pool, term);
        }
    }

    /// Permits in flight that this process granted or adopted.
    pub fn in_flight(&self) -> u64 {
        self.slots.borrow().values().map(|s| s.in_flight()).sum()
    }

    fn assess(&self, view: &View) -> Vec<StateChange> {
        let now = now_boot();
        let on = AssessmentInput {
            view,
            freshness: self.node.membership.freshness(now),
            peers: self.node.membership.peer_freshness(now),
        };
        self.ownership.borrow_mut().assess(now, on)
    }

    fn record(&self, change: &StateChange, view: &View) {
        let cause = format!("{} -> {}", name_of(change.from), name_of(change.to));
        self.node
            .audit
            .record(Kind::OwnershipChanged, &change.pool, &cause, view.list_version);
    }

    fn drop_lost(&self, view: &View) {
        let lost: Vec<Rc<Slot>> = {
            let ownership = self.ownership.borrow();
            self.slots
                .borrow()
                .values()
                .filter(|s| !ownership.state(&s.id).owns())
                .cloned()
                .collect()
        };
        for slot in lost {
            self.lose(view, &slot.id, slot.term());
        }
    }

    fn lose(&self, view: &View, pool: &str, term: Term) {
        let Some(slot) = self.slots.borrow_mut().remove(pool) else {
            return;
        };
        slot.give_up();
        let region = self
            .pools_by(view)
            .get(pool)
            .map(|p| p.region.clone())
            .unwrap_or_default();
        handover::send(self.node.clone(), slot, region, term);
    }

    fn keep_owned(&self, view: &Rc<View>, pools: &HashMap<PoolId, Pool>) {
        let Some(manifest) = &view.manifest else {
            return;
        };
        let owned: Vec<PoolId> = self.ownership.borrow().pools().cloned().collect();
        for id in owned {
            let (Some(pool), Some(term)) = (pools.get(&id), self.ownership.borrow().term(&id)) else {
                continue;
            };
            let slot = self.slot(&id, term);
            slot.set_term(term);
            slot.apply(view.generation, || plan_of(view, manifest, pool));
            let standing = self.standing(&id);
            slot.stand(standing, trust_of(standing));
            slot.pump();
        }
    }

    fn slot(&self, id: &str, term: Term) -> Rc<Slot> {
        let mut slots = self.slots.borrow_mut();
        let new = || Rc::new(Slot::new(id.to_owned(), term, self.opts.clone()));
        slots.entry(id.to_owned()).or_insert_with(new).clone()
    }

    fn pools_by(&self, view: &View) -> Rc<HashMap<PoolId, Pool>> {
        let mut known = self.known.borrow_mut();
        if known.generation != view.generation {
            let pools = view.manifest.as_deref().map(pools_of).unwrap_or_default();
            let by_id = pools.into_iter().map(|p| (p.id.clone(), p)).collect();
            *known = Known {
                generation: view.generation,
                pools: Rc::new(by_id),
            };
        }
        known.pools.clone()
    }
}

/// The name of a standing, for the audit trail and status.
pub fn name_of(standing: OwnershipState) -> &'static str {
    match standing {
        OwnershipState::NotOwner => "not-owner",
        OwnershipState::Taking { .. } => "taking",
        OwnershipState::Settled => "settled",
        OwnershipState::Stale { .. } => "stale",
        OwnershipState::Woken => "woken",
    }
}

fn baseline_of(policy: PolicyName) -> Option<Baseline> {
    match policy {
        PolicyName::Celerytide => None,
        PolicyName::Random => Some(Baseline::Random),
        PolicyName::RoundRobin => Some(Baseline::RoundRobin),
        PolicyName::LeastInFlight => Some(Baseline::LeastInFlight),
        PolicyName::FirstCome => Some(Baseline::FirstCome),
    }
}

fn trust_of(standing: OwnershipState) -> Trust {
    match standing {
        OwnershipState::Settled => Trust::Settled,
        // Every entry follows: warm endpoints have one owner; cold ones wait for the hold.
        OwnershipState::Taking { mustered: true, .. } => Trust::Taking { share: 1.0 },
        OwnershipState::Taking { share, .. } => Trust::Taking { share },
        OwnershipState::Stale { share } if share >= 1.0 => Trust::Stale,
        OwnershipState::Stale { share } => Trust::Taking { share },
        OwnershipState::Woken | OwnershipState::NotOwner => Trust::Taking { share: 0.0 },
    }
}
