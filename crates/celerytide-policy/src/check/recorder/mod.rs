//! A pool that records its inputs and outputs.

use celerytide_types::{BootTime, PermitId};

use super::{Entry, Event, Violation, check};
use crate::options::Options;
use crate::plan::PoolPlan;
use crate::pool::Pool;
use crate::request::{
    Ended, Grant, LoadReport, Offer, PermitRequest, PermitRequestId, Refusal, Refused, Trust, WarmLimit,
};

/// A pool and its history.
#[derive(Debug)]
pub struct Recorder {
    pool: Pool,
    opts: Options,
    history: Vec<Entry>,
}

impl Recorder {
    /// Creates an empty pool with an empty history.
    pub fn new(opts: Options) -> Recorder {
        Recorder {
            pool: Pool::new(opts.clone()),
            opts,
            history: Vec::new(),
        }
    }

    /// Returns the pool for reading.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the events so far.
    pub fn history(&self) -> &[Entry] {
        &self.history
    }

    /// Returns every rule that the history violates.
    pub fn violations(&self) -> Vec<Violation> {
        check(&self.history, &self.opts)
    }

    /// See [`Pool::apply`].
    pub fn apply(&mut self, now: BootTime, plan: PoolPlan) {
        self.pool.apply(now, plan.clone());
        self.record(now, Event::Applied(plan));
    }

    /// See [`Pool::set_trust`].
    pub fn set_trust(&mut self, now: BootTime, trust: Trust) {
        self.pool.set_trust(now, trust);
        self.record(now, Event::Trusted(trust));
    }

    /// See [`Pool::offer`]; also records the refusals of requests that were shed for this one.
    pub fn offer(&mut self, now: BootTime, req: PermitRequest) -> Offer {
        let offer = self.pool.offer(now, req.clone());
        let id = match &offer {
            Offer::Queued(id) => *id,
            Offer::Refused(refused) => refused.req,
        };
        self.record(now, Event::Offered(id, req));
        if let Offer::Refused(refused) = &offer {
            self.record(now, Event::Refused(refused.clone()));
        }
        self.expire(now);
        offer
    }

    /// See [`Pool::next_grant`]; also records the refusals of requests whose deadline has passed.
    pub fn next_grant(&mut self, now: BootTime) -> Option<Grant> {
        let grant = self.pool.next_grant(now);
        self.expire(now);
        let grant = grant?;
        self.record(now, Event::Granted(grant.clone()));
        Some(grant)
    }

    /// See [`Pool::expire`].
    pub fn expire(&mut self, now: BootTime) -> Vec<Refused> {
        let refused = self.pool.expire(now);
        self.record_refused(now, &refused);
        refused
    }

    /// See [`Pool::withdraw`].
    pub fn withdraw(&mut self, now: BootTime, req: PermitRequestId) {
        self.pool.withdraw(now, req);
        self.record(now, Event::Withdrawn(req));
    }

    /// See [`Pool::progress`].
    pub fn progress(&mut self, now: BootTime, permit: PermitId, tokens: u32) {
        self.pool.progress(now, permit, tokens);
        self.record(now, Event::Progressed(permit, tokens));
    }

    /// See [`Pool::settle`].
    pub fn settle(&mut self, now: BootTime, permit: PermitId, ended: Ended) {
        self.pool.settle(now, permit, ended);
        self.record(now, Event::Settled(permit, ended));
    }

    /// See [`Pool::orphan`].
    pub fn orphan(&mut self, now: BootTime, permit: PermitId) {
        self.pool.orphan(now, permit);
        self.record(now, Event::Orphaned(permit));
    }

    /// See [`Pool::adopt`].
    pub fn adopt(&mut self, now: BootTime, endpoint: &str, class: &str, customer: &str) -> PermitId {
        let permit = self.pool.adopt(now, endpoint, class, customer);
        self.record(now, Event::Adopted(permit, endpoint.to_owned(), class.to_owned()));
        permit
    }

    /// See [`Pool::report`].
    pub fn report(&mut self, now: BootTime, endpoint: &str, load: LoadReport) {
        self.pool.report(now, endpoint, load.clone());
        self.record(now, Event::Reported(endpoint.to_owned(), load));
    }

    /// See [`Pool::restore_warm_limits`].
    pub fn restore_warm_limits(&mut self, now: BootTime, warm_limits: &[WarmLimit]) {
        let restored = self.pool.restore_warm_limits(warm_limits);
        for known in warm_limits.iter().filter(|known| restored.contains(&known.endpoint)) {
            self.record(now, Event::WarmLimitRestored(known.clone()));
        }
    }

    /// See [`Pool::preempt`].
    pub fn preempt(&mut self, now: BootTime) -> Option<PermitId> {
        let permit = self.pool.preempt(now)?;
        let capacity = self.pool.capacity();
        self.record(now, Event::Preempted(permit, capacity));
        Some(permit)
    }

    /// Records the pool's status.
    pub fn record_status(&mut self, now: BootTime) {
        let status = self.pool.status();
        self.record(now, Event::StatusRead(status));
    }

    /// Refuses all queued requests; afterwards every request must have been granted, refused or withdrawn.
    pub fn close(&mut self, now: BootTime) {
        let refused = self.pool.refuse_all(now, Refusal::Stopping);
        self.record_refused(now, &refused);
        self.record(now, Event::Closed);
    }

    fn record_refused(&mut self, now: BootTime, refused: &[Refused]) {
        for refused in refused {
            self.record(now, Event::Refused(refused.clone()));
        }
    }

    fn record(&mut self, at: BootTime, event: Event) {
        self.history.push(Entry { at, event });
    }
}
