//! Queue and permit counts of a group of interchangeable endpoints.
//!
//! The order of service is: classes that lack slot time of their guaranteed share, then tiers, then priority, then
//! weighted fairness between customers, then the earliest deadline of a customer. Admission, grants, permits in flight,
//! reports, preemption and plans have a module each.

mod admission;
mod baseline;
mod cold_cap;
mod grant;
pub(crate) mod grant_deadline;
mod offer;
mod permit;
mod plan;
mod preempt;
mod quarantined;
mod report;
pub(crate) mod share;

use std::collections::BTreeSet;

use ahash::AHashMap;
use celerytide_types::{BootTime, ClassName, CustomerId, PermitId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::class::Class;
use crate::drain::{self, DrainRate};
use crate::endpoint::observations::Average;
use crate::endpoint::table::Table;
use crate::options::Options;
use crate::placement::PrefixIndex;
use crate::quarantine::Quarantine;
use crate::request::{PermitRequest, PermitRequestId, Refusal, Refused, Trust};
use crate::status::{PoolStatus, TierStatus};
use permit::ActivePermit;

/// A queued request.
#[derive(Debug, Clone)]
struct QueuedRequest {
    req: PermitRequest,
    class: usize,
    /// Time by which it has to be granted to meet its class's latency target.
    grant_by: Option<BootTime>,
}

/// Totals since the pool was created.
#[derive(Debug, Default)]
struct Totals {
    granted: u64,
    adopted: u64,
    settled: u64,
    released: u64,
}

/// An endpoint reserved for a request whose prompt fits nowhere yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reservation {
    req: PermitRequestId,
    endpoint: usize,
}

/// Queues requests for permits in front of a group of interchangeable endpoints and counts the permits on each of them.
#[derive(Debug)]
pub struct Pool {
    opts: Options,
    rng: SmallRng,
    table: Table,
    /// Whether a plan has been applied.
    is_planned: bool,
    classes: Vec<Class>,
    class_indices: AHashMap<ClassName, usize>,
    /// Indices of the classes in order of rank, the first served first.
    classes_by_rank: Vec<usize>,
    weights: AHashMap<CustomerId, u32>,
    waiting: AHashMap<PermitRequestId, QueuedRequest>,
    /// Queued requests by the deadline of their caller, after which they are refused.
    deadlines: BTreeSet<(BootTime, PermitRequestId)>,
    /// Queued requests by the time by which a grant can still meet the latency target of their class.
    grant_deadlines: BTreeSet<(BootTime, PermitRequestId)>,
    last_tail_check: BootTime,
    refusals: Vec<Refused>,
    active_permits: AHashMap<PermitId, ActivePermit>,
    orphans: BTreeSet<(BootTime, PermitId)>,
    /// Permits that hold a slot: those in flight whose connection isn't lost.
    held: u64,
    /// When the lags of the classes were last brought up to date.
    lags_updated_at: BootTime,
    /// Permits that preemption returned and that haven't ended yet.
    preemptions_under_way: usize,
    /// Endpoints in backoff after a failure, ordered by the end of the backoff.
    backoffs: BTreeSet<(BootTime, usize)>,
    prefixes: PrefixIndex,
    quarantine: Quarantine,
    reservation: Option<Reservation>,
    drain: DrainRate,
    seconds_per_token: Average,
    token_rate: TokenRate,
    next_req: PermitRequestId,
    next_permit: PermitId,
    grant_sequence: u64,
    last_sweep: BootTime,
    totals: Totals,
}

impl Pool {
    /// Creates a pool without classes and endpoints.
    pub fn new(opts: Options) -> Pool {
        let drain = drain::Options {
            floor: opts.retry_floor,
            ceiling: opts.retry_ceiling,
        };
        Pool {
            rng: SmallRng::seed_from_u64(opts.seed),
            table: Table::new(opts.fault),
            is_planned: false,
            classes: Vec::new(),
            class_indices: AHashMap::new(),
            classes_by_rank: Vec::new(),
            weights: AHashMap::new(),
            waiting: AHashMap::new(),
            deadlines: BTreeSet::new(),
            grant_deadlines: BTreeSet::new(),
            last_tail_check: BootTime::default(),
            refusals: Vec::new(),
            active_permits: AHashMap::new(),
            orphans: BTreeSet::new(),
            held: 0,
            lags_updated_at: BootTime::default(),
            preemptions_under_way: 0,
            backoffs: BTreeSet::new(),
            prefixes: PrefixIndex::default(),
            quarantine: Quarantine::default(),
            reservation: None,
            drain: DrainRate::new(drain),
            seconds_per_token: Average::default(),
            token_rate: TokenRate::default(),
            next_req: 1,
            next_permit: 1,
            grant_sequence: 0,
            last_sweep: BootTime::default(),
            totals: Totals::default(),
            opts,
        }
    }

    /// Sets how far the owner may rely on its counts. A new owner needs fresh reports before it uses a cold endpoint.
    pub fn set_trust(&mut self, _now: BootTime, trust: Trust) {
        let taking = matches!(trust, Trust::Taking { .. }) && !matches!(self.table.trust, Trust::Taking { .. });
        if taking {
            for idx in self.table.indices() {
                self.table.update(idx, |endpoint| endpoint.reset_exclusivity());
            }
        }
        self.table.set_trust(trust);
    }

    /// Returns the state of the pool for operators and metrics.
    pub fn status(&self) -> PoolStatus {
        PoolStatus {
            tiers: self.tiers(),
            classes: self.classes.iter().map(Class::status).collect(),
            endpoints: self
                .table
                .iter()
                .map(|endpoint| endpoint.status(self.table.trust))
                .collect(),
            tokens_per_second: self.token_rate.per_second(),
            drain_per_second: self.drain.last_per_second(self.table.capacity()),
            granted: self.totals.granted,
            adopted: self.totals.adopted,
            settled: self.totals.settled,
            released: self.totals.released,
            in_flight: self.active_permits.len() as u64,
        }
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Number of permits that all endpoints that accept requests together may have in flight now.
    pub fn capacity(&self) -> u64 {
        self.table.capacity()
    }

    fn tiers(&self) -> Vec<TierStatus> {
        let mut tiers: Vec<TierStatus> = Vec::new();
        for &idx in &self.classes_by_rank {
            let class = &self.classes[idx];
            let queued = class.queue.len() as u64;
            match tiers.last_mut() {
                Some(last) if last.tier == class.plan.tier => last.queued += queued,
                _ => tiers.push(TierStatus {
                    tier: class.plan.tier,
                    queued,
                }),
            }
        }
        tiers
    }

    fn weight(&self, customer: &str) -> u32 {
        self.weights.get(customer).copied().unwrap_or(1)
    }

    /// Removes a request from the queue, wherever it is.
    fn dequeue(&mut self, id: PermitRequestId) -> Option<QueuedRequest> {
        let queued = self.waiting.remove(&id)?;
        let deadline = queued.req.deadline;
        self.deadlines.remove(&(deadline, id));
        if let Some(grant_by) = queued.grant_by {
            self.grant_deadlines.remove(&(grant_by, id));
        }
        let class = &mut self.classes[queued.class];
        class.queue.remove(&queued.req.customer, &(deadline, id));
        if self.reservation.is_some_and(|held| held.req == id) {
            self.reservation = None;
        }
        Some(queued)
    }

    /// Refuses a queued request; the next [`Pool::expire`] returns the refusal.
    fn shed(&mut self, now: BootTime, id: PermitRequestId, cause: Refusal) {
        self.update_lags(now);
        if let Some(queued) = self.dequeue(id) {
            let refused = self.refuse(now, id, Some(queued.class), cause);
            self.refusals.push(refused);
        }
    }

    fn refuse(&mut self, now: BootTime, req: PermitRequestId, class: Option<usize>, cause: Refusal) -> Refused {
        let ahead = match class {
            Some(class) => self.ahead_of(class),
            None => self.waiting.len(),
        };
        if let Some(class) = class {
            self.classes[class].count_refusal(cause);
        }
        let slots = self.table.capacity();
        let retry_after = self.drain.retry_after(now, ahead, slots, &mut self.rng);
        Refused {
            req,
            cause,
            retry_after,
        }
    }
}

/// Average of tokens per second with a half-life of a few seconds.
#[derive(Debug, Default)]
struct TokenRate {
    per_second: f64,
    pending: u64,
    since: BootTime,
}

/// Time over which tokens are summed before they enter the average, in seconds.
const TOKEN_WINDOW_SECONDS: f64 = 1.0;
/// Weight of the newest window.
const TOKEN_GAIN: f64 = 0.3;

impl TokenRate {
    fn add(&mut self, now: BootTime, tokens: u32) {
        self.pending += u64::from(tokens);
        let span = now.since(self.since).as_secs_f64();
        if span >= TOKEN_WINDOW_SECONDS {
            let sample = self.pending as f64 / span;
            self.per_second += (sample - self.per_second) * TOKEN_GAIN;
            self.pending = 0;
            self.since = now;
        }
    }

    fn per_second(&self) -> f64 {
        self.per_second
    }
}
