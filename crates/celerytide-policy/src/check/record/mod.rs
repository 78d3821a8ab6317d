//! A pool whose inputs and outputs are written down.

use celerytide_types::{BootTime, PermitId};

use super::{Entry, Event, Violation, check};
use crate::ask::{Ask, AskId, Ended, Grant, LoadReport, Offer, Refusal, Refused, Trust, Warmth};
use crate::options::Options;
use crate::plan::PoolPlan;
use crate::pool::Pool;

/// A pool and its history.
#[derive(Debug)]
pub struct Recorder {
    pool: Pool,
    opts: Options,
    history: Vec<Entry>,
}

impl Recorder {
    /// An empty pool with an empty history.
    pub fn new(opts: Options) -> Recorder {
        Recorder {
            pool: Pool::new(opts.clone()),
            opts,
            history: Vec::new(),
        }
    }

    /// The pool, to read from.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// What happened so far.
    pub fn history(&self) -> &[Entry] {
        &self.history
    }

    /// Every rule that the history breaks.
    pub fn violations(&self) -> Vec<Violation> {
        check(&self.history, &self.opts)
    }

    /// See [`Pool::apply`].
    pub fn apply(&mut self, now: BootTime, plan: PoolPlan) {
        self.pool.apply(now, plan.clone());
        self.note(now, Event::Applied(plan));
    }

    /// See [`Pool::trust`].
    pub fn trust(&mut self, now: BootTime, trust: Trust) {
        self.pool.trust(now, trust);
        self.note(now, Event::Trusted(trust));
    }

    /// See [`Pool::offer`]; also takes the refusals of asks that were shed for it.
    pub fn offer(&mut self, now: BootTime, ask: Ask) -> Offer {
        let offer = self.pool.offer(now, ask.clone());
        let id = match &offer {
            Offer::Queued(id) => *id,
            Offer::Refused(refused) => refused.ask,
        };
        self.note(now, Event::Offered(id, ask));
        if let Offer::Refused(refused) = &offer {
            self.note(now, Event::Refused(refused.clone()));
        }
        self.expire(now);
        offer
    }

    /// See [`Pool::next`]; also takes the refusals of asks whose deadline it found passed.
    pub fn next(&mut self, now: BootTime) -> Option<Grant> {
        let grant = self.pool.next(now);
        self.expire(now);
        let grant = grant?;
        self.note(now, Event::Granted(grant.clone()));
        Some(grant)
    }

    /// See [`Pool::expire`].
    pub fn expire(&mut self, now: BootTime) -> Vec<Refused> {
        let refused = self.pool.expire(now);
        self.note_refused(now, &refused);
        refused
    }

    /// See [`Pool::withdraw`].
    pub fn withdraw(&mut self, now: BootTime, ask: AskId) {
        self.pool.withdraw(now, ask);
        self.note(now, Event::Withdrawn(ask));
    }

    /// See [`Pool::progress`].
    pub fn progress(&mut self, now: BootTime, permit: PermitId, tokens: u32) {
        self.pool.progress(now, permit, tokens);
        self.note(now, Event::Progressed(permit, tokens));
    }

    /// See [`Pool::settle`].
    pub fn settle(&mut self, now: BootTime, permit: PermitId, ended: Ended) {
        self.pool.settle(now, permit, ended);
        self.note(now, Event::Settled(permit, ended));
    }

    /// See [`Pool::orphan`].
    pub fn orphan(&mut self, now: BootTime, permit: PermitId) {
        self.pool.orphan(now, permit);
        self.note(now, Event::Orphaned(permit));
    }

    /// See [`Pool::adopt`].
    pub fn adopt(&mut self, now: BootTime, endpoint: &str, class: &str, customer: &str) -> PermitId {
        let permit = self.pool.adopt(now, endpoint, class, customer);
        self.note(now, Event::Adopted(permit, endpoint.to_owned(), class.to_owned()));
        permit
    }

    /// See [`Pool::report`].
    pub fn report(&mut self, now: BootTime, endpoint: &str, load: LoadReport) {
        self.pool.report(now, endpoint, load.clone());
        self.note(now, Event::Reported(endpoint.to_owned(), load));
    }

    /// See [`Pool::take_over`].
    pub fn take_over(&mut self, now: BootTime, warmth: &[Warmth]) {
        let taken = self.pool.take_over(warmth);
        for known in warmth.iter().filter(|known| taken.contains(&known.endpoint)) {
            self.note(now, Event::TakenOver(known.clone()));
        }
    }

    /// See [`Pool::preempt`].
    pub fn preempt(&mut self, now: BootTime) -> Option<PermitId> {
        let permit = self.pool.preempt(now)?;
        let capacity = self.pool.capacity();
        self.note(now, Event::Preempted(permit, capacity));
        Some(permit)
    }

    /// Reads the pool's status into the history.
    pub fn count(&mut self, now: BootTime) {
        let status = self.pool.status();
        self.note(now, Event::Counted(status));
    }

    /// Refuses all that waits; afterwards every ask must have its answer.
    pub fn close(&mut self, now: BootTime) {
        let refused = self.pool.refuse_all(now, Refusal::Stopping);
        self.note_refused(now, &refused);
        self.note(now, Event::Closed);
    }

    fn note_refused(&mut self, now: BootTime, refused: &[Refused]) {
        for refused in refused {
            self.note(now, Event::Refused(refused.clone()));
        }
    }

    fn note(&mut self, at: BootTime, event: Event) {
        self.history.push(Entry { at, event });
    }
}
