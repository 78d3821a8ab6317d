//! One owned pool: its queue, those who wait for a permit, and those who hold one.

mod gates;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use celerytide_membership::ownership::OwnershipState;
use celerytide_policy::{
    Ask, AskId, Ended, Grant, LoadReport, Offer, Options, Pool, PoolPlan, PoolStatus, Refusal, Refused, Trust, Warmth,
};
use celerytide_types::{BootTime, EndpointId, PermitId, PoolId, Term, now_boot};
use futures::channel::oneshot;
use tokio_util::sync::CancellationToken;

use gates::Gates;

/// What became of an ask that waited.
#[derive(Debug)]
pub enum Decision {
    /// It may run.
    Granted(Grant),
    /// It may not.
    Refused(Refused),
    /// The pool has another owner now.
    NotOwner,
}

/// An owned pool. Outlives its ownership until the last permit granted here has ended.
pub struct Slot {
    /// The pool.
    pub id: PoolId,
    inner: RefCell<Inner>,
}

struct Inner {
    pool: Pool,
    term: Term,
    owned: bool,
    addresses: HashMap<EndpointId, SocketAddr>,
    waiting: HashMap<AskId, oneshot::Sender<Decision>>,
    running: HashMap<PermitId, CancellationToken>,
    /// Permits that went on under another owner while this one granted.
    moved: Vec<PermitId>,
    plan_generation: u64,
    standing: OwnershipState,
    trust: Option<Trust>,
    gates: Gates,
}

/// A place in the queue.
pub struct Waiting {
    /// Its number in the pool.
    pub ask: AskId,
    /// Told the decision.
    pub decision: oneshot::Receiver<Decision>,
}

impl Slot {
    /// A pool owned under `term`.
    pub fn new(id: PoolId, term: Term, opts: Options) -> Slot {
        let inner = Inner {
            pool: Pool::new(opts),
            term,
            owned: true,
            addresses: HashMap::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            moved: Vec::new(),
            plan_generation: 0,
            standing: OwnershipState::NotOwner,
            trust: None,
            gates: Gates::default(),
        };
        Slot {
            id,
            inner: RefCell::new(inner),
        }
    }

    /// The term under which it grants.
    pub fn term(&self) -> Term {
        self.inner.borrow().term
    }

    /// Sets the term.
    pub fn set_term(&self, term: Term) {
        self.inner.borrow_mut().term = term;
    }

    /// Applies a plan made from the view of that generation; does nothing if it was applied before.
    pub fn apply(&self, generation: u64, make: impl FnOnce() -> Planned) {
        if self.inner.borrow().plan_generation == generation {
            return;
        }
        let planned = make();
        let mut inner = self.inner.borrow_mut();
        inner.plan_generation = generation;
        let now = now_boot();
        inner.addresses = planned.addresses;
        inner.gates.plan(now, &planned.plan, planned.reports);
        inner.pool.apply(now, planned.plan);
        inner.cap_cold(now);
    }

    /// Sets the owner's standing and how far it trusts its view.
    pub fn stand(&self, standing: OwnershipState, trust: Trust) {
        let now = now_boot();
        let mut inner = self.inner.borrow_mut();
        if inner.trust != Some(trust) {
            inner.trust = Some(trust);
            inner.pool.trust(now, trust);
        }
        inner.standing = standing;
        inner.gates.stand(now, standing);
        inner.cap_cold(now);
    }

    /// Permits that the endpoint bears at once, if it is warm.
    pub fn warm_limit(&self, endpoint: &str) -> Option<u32> {
        self.inner.borrow().pool.warm_limit_at(endpoint)
    }

    /// Whether an open endpoint is in cold start.
    pub fn has_cold(&self) -> bool {
        self.inner.borrow().pool.has_cold()
    }

    /// What warm endpoints bear, for the next owner.
    pub fn warmth(&self) -> Vec<Warmth> {
        self.inner.borrow().pool.warmth()
    }

    /// Takes over what the former owner knew.
    pub fn take_over(&self, warmth: &[Warmth]) {
        let taken = self.inner.borrow_mut().pool.take_over(warmth);
        tracing::info!(
            pool = self.id,
            endpoints = taken.len(),
            "pool: took over warm endpoints"
        );
        self.pump();
    }

    /// Queues an ask.
    pub fn offer(&self, ask: Ask) -> Result<Waiting, Refused> {
        let (tx, decision) = oneshot::channel();
        let waiting = {
            let mut inner = self.inner.borrow_mut();
            match inner.pool.offer(now_boot(), ask) {
                Offer::Refused(refused) => return Err(refused),
                Offer::Queued(ask) => {
                    inner.waiting.insert(ask, tx);
                    Waiting { ask, decision }
                }
            }
        };
        self.pump();
        Ok(waiting)
    }

    /// Takes an ask out of the queue. Gives the grant back if it was granted meanwhile.
    pub fn withdraw(&self, mut waiting: Waiting) {
        {
            let mut inner = self.inner.borrow_mut();
            inner.waiting.remove(&waiting.ask);
            inner.pool.withdraw(now_boot(), waiting.ask);
        }
        if let Ok(Some(Decision::Granted(grant))) = waiting.decision.try_recv() {
            self.settle(grant.permit, Ended::Cancelled);
        }
    }

    /// Where the endpoint listens.
    pub fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        self.inner.borrow().addresses.get(endpoint).copied()
    }

    /// Endpoints and where they listen.
    pub fn addresses(&self) -> Vec<Address> {
        let inner = self.inner.borrow();
        inner
            .addresses
            .iter()
            .map(|(id, addr)| Address {
                endpoint: id.clone(),
                addr: *addr,
            })
            .collect()
    }

    /// Notes that a permit runs; the token is cancelled when it is preempted.
    pub fn run(&self, permit: PermitId) -> CancellationToken {
        let preempted = CancellationToken::new();
        self.inner.borrow_mut().running.insert(permit, preempted.clone());
        preempted
    }

    /// Counts a permit that a former owner granted.
    pub fn adopt(&self, endpoint: &str, class: &str, customer: &str) -> PermitId {
        self.inner
            .borrow_mut()
            .pool
            .adopt(now_boot(), endpoint, class, customer)
    }

    /// Notes how many tokens of a running permit have come so far.
    pub fn progress(&self, permit: PermitId, tokens: u32) {
        self.inner.borrow_mut().pool.progress(now_boot(), permit, tokens);
        self.pump();
    }

    /// Ends a permit.
    pub fn settle(&self, permit: PermitId, ended: Ended) {
        {
            let mut inner = self.inner.borrow_mut();
            inner.running.remove(&permit);
            inner.pool.settle(now_boot(), permit, ended);
        }
        self.pump();
    }

    /// Notes that a permit goes on under another owner. While this process counts itself as the owner too, the request still
    /// occupies its endpoint.
    pub fn moved(&self, permit: PermitId) {
        if !self.inner.borrow().owned {
            return self.settle(permit, Ended::Cancelled);
        }
        self.inner.borrow_mut().moved.push(permit);
        self.orphan(permit);
    }

    /// Notes that the holder's connection was lost.
    pub fn orphan(&self, permit: PermitId) {
        let mut inner = self.inner.borrow_mut();
        inner.running.remove(&permit);
        inner.pool.orphan(now_boot(), permit);
    }

    /// Takes an endpoint's report in.
    pub fn report(&self, endpoint: &str, load: LoadReport) {
        {
            let now = now_boot();
            let mut inner = self.inner.borrow_mut();
            inner.gates.report(now, endpoint, &load);
            inner.pool.report(now, endpoint, load);
        }
        self.pump();
    }

    /// Hands out every grant and refusal that is due.
    pub fn pump(&self) {
        let mut inner = self.inner.borrow_mut();
        if !inner.owned {
            return;
        }
        let now = now_boot();
        inner.cap_cold(now);
        inner.expire(now);
        inner.grant(now);
        while let Some(permit) = inner.pool.preempt(now) {
            if let Some(preempted) = inner.running.get(&permit) {
                preempted.cancel();
            }
        }
    }

    /// Refuses what waits and grants nothing more.
    pub fn give_up(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.owned = false;
        for permit in std::mem::take(&mut inner.moved) {
            inner.pool.settle(now_boot(), permit, Ended::Cancelled);
        }
        inner.pool.refuse_all(now_boot(), Refusal::NotOwner);
        for (_, tx) in inner.waiting.drain() {
            // The asker may have left.
            let _ = tx.send(Decision::NotOwner);
        }
    }

    /// Permits in flight that were granted or adopted here.
    pub fn in_flight(&self) -> u64 {
        self.inner.borrow().pool.in_flight()
    }

    /// The pool's state.
    pub fn status(&self) -> PoolStatus {
        self.inner.borrow().pool.status()
    }
}

/// A plan and where its endpoints listen.
pub struct Planned {
    /// The plan.
    pub plan: PoolPlan,
    /// Addresses by endpoint.
    pub addresses: HashMap<EndpointId, SocketAddr>,
    /// Whether the endpoints publish load reports.
    pub reports: bool,
}

/// Where an endpoint listens.
pub struct Address {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
}

impl Inner {
    /// Brings what cold endpoints may get up to date.
    fn cap_cold(&mut self, now: BootTime) {
        let Inner {
            pool, gates, standing, ..
        } = self;
        gates.each(|endpoint, bound, gate| {
            gate.record_permits(now, pool.in_flight_at(endpoint));
            pool.cap_cold(endpoint, gate.permit_limit(*standing, bound));
        });
    }

    fn expire(&mut self, now: BootTime) {
        for refused in self.pool.expire(now) {
            if let Some(tx) = self.waiting.remove(&refused.ask) {
                // The asker may have left.
                let _ = tx.send(Decision::Refused(refused));
            }
        }
    }

    fn grant(&mut self, now: BootTime) {
        while let Some(grant) = self.pool.next(now) {
            let permit = grant.permit;
            let sent = self
                .waiting
                .remove(&grant.ask)
                .map(|tx| tx.send(Decision::Granted(grant)));
            if !matches!(sent, Some(Ok(()))) {
                self.pool.settle(now, permit, Ended::Cancelled);
            }
        }
    }
}
