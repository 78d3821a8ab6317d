//! A pool that this process owns: its queue, the requests that wait for a permit, and the permits in flight.

mod gates;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use celerytide_membership::ownership::OwnershipState;
use celerytide_policy::{
    Ended, Grant, LoadReport, Offer, Options, PermitRequest, PermitRequestId, Pool, PoolPlan, PoolStatus, Refusal,
    Refused, Trust, WarmLimit,
};
use celerytide_types::{BootTime, EndpointId, PermitId, PoolId, Term, now_boot};
use futures::channel::oneshot;
use tokio_util::sync::CancellationToken;

use gates::Gates;

/// Decision on a queued request.
#[derive(Debug)]
pub enum Decision {
    /// A permit was granted.
    Granted(Grant),
    /// The request was refused.
    Refused(Refused),
    /// The pool has another owner now.
    NotOwner,
}

/// A pool that this process owns. After a handover it grants nothing more, but is kept until the last permit granted or
/// adopted here has ended.
pub struct OwnedPool {
    /// Name of the pool.
    pub id: PoolId,
    state: RefCell<State>,
}

struct State {
    pool: Pool,
    term: Term,
    /// False once the pool has been released to another owner.
    is_granting: bool,
    endpoint_addresses: HashMap<EndpointId, SocketAddr>,
    decision_senders: HashMap<PermitRequestId, oneshot::Sender<Decision>>,
    /// Cancelled when the permit is preempted.
    preemption_tokens: HashMap<PermitId, CancellationToken>,
    /// Permits that the next owner has adopted; they stay counted here until this process stops granting.
    moved_permits: Vec<PermitId>,
    /// Generation of the view from which the configuration was built.
    view_generation: u64,
    ownership_state: OwnershipState,
    trust: Option<Trust>,
    gates: Gates,
}

/// A request that waits in the queue.
pub struct QueuedRequest {
    /// Its number in the pool.
    pub request_id: PermitRequestId,
    /// Receives the decision.
    pub decision: oneshot::Receiver<Decision>,
}

impl OwnedPool {
    /// Creates a pool that is owned under `term`.
    pub fn new(id: PoolId, term: Term, opts: Options) -> OwnedPool {
        let state = State {
            pool: Pool::new(opts),
            term,
            is_granting: true,
            endpoint_addresses: HashMap::new(),
            decision_senders: HashMap::new(),
            preemption_tokens: HashMap::new(),
            moved_permits: Vec::new(),
            view_generation: 0,
            ownership_state: OwnershipState::NotOwner,
            trust: None,
            gates: Gates::default(),
        };
        OwnedPool {
            id,
            state: RefCell::new(state),
        }
    }

    /// Term under which this process grants permits.
    pub fn term(&self) -> Term {
        self.state.borrow().term
    }

    /// Sets the term under which this process grants permits.
    pub fn set_term(&self, term: Term) {
        self.state.borrow_mut().term = term;
    }

    /// Applies the configuration built from a generation of the view. Does nothing if that generation was applied
    /// before.
    pub fn apply(&self, generation: u64, build_config: impl FnOnce() -> PoolConfig) {
        if self.state.borrow().view_generation == generation {
            return;
        }
        let config = build_config();
        let mut state = self.state.borrow_mut();
        state.view_generation = generation;
        let now = now_boot();
        state.endpoint_addresses = config.endpoint_addresses;
        state.gates.apply_plan(now, &config.plan, config.has_load_reports);
        state.pool.apply(now, config.plan);
        state.set_cold_caps(now);
    }

    /// Sets the ownership state, and how far the pool may trust its counts of permits in flight.
    pub fn set_ownership_state(&self, ownership_state: OwnershipState, trust: Trust) {
        let now = now_boot();
        let mut state = self.state.borrow_mut();
        if state.trust != Some(trust) {
            state.trust = Some(trust);
            state.pool.set_trust(now, trust);
        }
        state.ownership_state = ownership_state;
        state.gates.set_ownership_state(now, ownership_state);
        state.set_cold_caps(now);
    }

    /// Permits that the endpoint handles at once; `None` if it is cold or unknown.
    pub fn warm_limit(&self, endpoint: &str) -> Option<u32> {
        self.state.borrow().pool.warm_limit_at(endpoint)
    }

    /// Whether an open endpoint is in cold start.
    pub fn has_cold(&self) -> bool {
        self.state.borrow().pool.has_cold()
    }

    /// Limits of the warm endpoints, for the next owner.
    pub fn warm_limits(&self) -> Vec<WarmLimit> {
        self.state.borrow().pool.warm_limits()
    }

    /// Restores the limits that a previous owner has established for warm endpoints.
    pub fn restore_warm_limits(&self, warm_limits: &[WarmLimit]) {
        let restored = self.state.borrow_mut().pool.restore_warm_limits(warm_limits);
        tracing::info!(
            pool = self.id,
            endpoints = restored.len(),
            "pool: restored the limits of warm endpoints"
        );
        self.deliver_due();
    }

    /// Queues a request for a permit, or returns the refusal.
    pub fn offer(&self, req: PermitRequest) -> Result<QueuedRequest, Refused> {
        let (tx, decision) = oneshot::channel();
        let queued = {
            let mut state = self.state.borrow_mut();
            match state.pool.offer(now_boot(), req) {
                Offer::Refused(refused) => return Err(refused),
                Offer::Queued(request_id) => {
                    state.decision_senders.insert(request_id, tx);
                    QueuedRequest { request_id, decision }
                }
            }
        };
        self.deliver_due();
        Ok(queued)
    }

    /// Removes a request from the queue. A permit that was granted in the meantime is cancelled.
    pub fn withdraw(&self, mut queued: QueuedRequest) {
        {
            let mut state = self.state.borrow_mut();
            state.decision_senders.remove(&queued.request_id);
            state.pool.withdraw(now_boot(), queued.request_id);
        }
        if let Ok(Some(Decision::Granted(grant))) = queued.decision.try_recv() {
            self.settle(grant.permit, Ended::Cancelled);
        }
    }

    /// Address of an endpoint.
    pub fn endpoint_address(&self, endpoint: &str) -> Option<SocketAddr> {
        self.state.borrow().endpoint_addresses.get(endpoint).copied()
    }

    /// All endpoints with their addresses.
    pub fn endpoint_addresses(&self) -> Vec<EndpointAddress> {
        let state = self.state.borrow();
        state
            .endpoint_addresses
            .iter()
            .map(|(id, addr)| EndpointAddress {
                endpoint: id.clone(),
                addr: *addr,
            })
            .collect()
    }

    /// Tracks a permit in flight. The returned token is cancelled when the permit is preempted, also if that happened
    /// before this call.
    pub fn track(&self, permit: PermitId) -> CancellationToken {
        let mut state = self.state.borrow_mut();
        state.preemption_tokens.entry(permit).or_default().clone()
    }

    /// Counts a permit that a previous owner granted.
    pub fn adopt(&self, endpoint: &str, class: &str, customer: &str) -> PermitId {
        self.state
            .borrow_mut()
            .pool
            .adopt(now_boot(), endpoint, class, customer)
    }

    /// Records the total number of response tokens so far. The first one ends the request's prefill, which may make
    /// room for another grant.
    pub fn progress(&self, permit: PermitId, tokens: u32) {
        self.state.borrow_mut().pool.progress(now_boot(), permit, tokens);
        self.deliver_due();
    }

    /// Ends a permit.
    pub fn settle(&self, permit: PermitId, ended: Ended) {
        {
            let mut state = self.state.borrow_mut();
            state.preemption_tokens.remove(&permit);
            state.pool.settle(now_boot(), permit, ended);
        }
        self.deliver_due();
    }

    /// Records that the next owner has adopted a permit. While this process still grants, the request occupies its
    /// endpoint, so the permit stays counted, as an orphan.
    pub fn move_to_next_owner(&self, permit: PermitId) {
        if !self.state.borrow().is_granting {
            return self.settle(permit, Ended::Cancelled);
        }
        self.state.borrow_mut().moved_permits.push(permit);
        self.orphan(permit);
    }

    /// Turns a permit into an orphan: no more updates come from its holder, but its request may still run. It stays
    /// counted until the endpoint's reports show that its work has ended, the endpoint restarts, or its maximum age is
    /// reached.
    pub fn orphan(&self, permit: PermitId) {
        let mut state = self.state.borrow_mut();
        state.preemption_tokens.remove(&permit);
        state.pool.orphan(now_boot(), permit);
    }

    /// Applies a load report of an endpoint.
    pub fn report(&self, endpoint: &str, load: LoadReport) {
        {
            let now = now_boot();
            let mut state = self.state.borrow_mut();
            state.gates.report(now, endpoint, &load);
            state.pool.report(now, endpoint, load);
        }
        self.deliver_due();
    }

    /// Delivers all due grants, refusals and preemptions.
    pub fn deliver_due(&self) {
        let mut state = self.state.borrow_mut();
        if !state.is_granting {
            return;
        }
        let now = now_boot();
        state.set_cold_caps(now);
        state.expire(now);
        state.grant(now);
        while let Some(permit) = state.pool.preempt(now) {
            // The grant of a permit that isn't tracked yet is still on its way to the exchange with its entry.
            state.preemption_tokens.entry(permit).or_default().cancel();
        }
    }

    /// Refuses all queued requests and grants nothing from now on.
    pub fn stop_granting(&self) {
        let mut state = self.state.borrow_mut();
        state.is_granting = false;
        for permit in std::mem::take(&mut state.moved_permits) {
            state.pool.settle(now_boot(), permit, Ended::Cancelled);
        }
        state.pool.refuse_all(now_boot(), Refusal::NotOwner);
        for (_, tx) in state.decision_senders.drain() {
            // The receiver may be gone.
            let _ = tx.send(Decision::NotOwner);
        }
    }

    /// Number of permits in flight that were granted or adopted here.
    pub fn in_flight(&self) -> u64 {
        self.state.borrow().pool.in_flight()
    }

    /// Returns the state of the pool.
    pub fn status(&self) -> PoolStatus {
        self.state.borrow().pool.status()
    }
}

/// Configuration of a pool, built from one generation of the view.
pub struct PoolConfig {
    /// Endpoints, classes and customer weights.
    pub plan: PoolPlan,
    /// Addresses by endpoint.
    pub endpoint_addresses: HashMap<EndpointId, SocketAddr>,
    /// Whether the endpoints publish load reports.
    pub has_load_reports: bool,
}

/// Address of an endpoint.
pub struct EndpointAddress {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Address that it listens on.
    pub addr: SocketAddr,
}

impl State {
    /// Sets the cap of each cold endpoint to what its [`ColdGate`](celerytide_membership::ownership::ColdGate) permits.
    fn set_cold_caps(&mut self, now: BootTime) {
        let State {
            pool,
            gates,
            ownership_state,
            ..
        } = self;
        gates.for_each(|endpoint, cold_slots, gate| {
            gate.record_permits(now, pool.in_flight_at(endpoint));
            pool.set_cold_cap(endpoint, gate.permit_limit(*ownership_state, cold_slots));
        });
    }

    fn expire(&mut self, now: BootTime) {
        for refused in self.pool.expire(now) {
            if let Some(tx) = self.decision_senders.remove(&refused.req) {
                // The receiver may be gone.
                let _ = tx.send(Decision::Refused(refused));
            }
        }
    }

    fn grant(&mut self, now: BootTime) {
        while let Some(grant) = self.pool.next_grant(now) {
            let permit = grant.permit;
            let sent = self
                .decision_senders
                .remove(&grant.req)
                .map(|tx| tx.send(Decision::Granted(grant)));
            if !matches!(sent, Some(Ok(()))) {
                self.pool.settle(now, permit, Ended::Cancelled);
            }
        }
    }
}
