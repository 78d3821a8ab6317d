//! The queue in front of a group of equal endpoints.
//!
//! Order of service: a class that lacks slot time of its guaranteed share goes first; then strict tiers; then priority; then
//! weighted fairness by customer; then the earliest deadline of that customer. Each part of the pool's life has a
//! module of its own: offers and sheds, grants, permits in flight, reports, preemption, plans.

mod baseline;
mod cap;
mod flight;
pub(crate) mod goal;
mod grant;
mod offer;
mod plan;
mod preempt;
mod report;
mod seat;
pub(crate) mod share;

use std::collections::BTreeSet;

use ahash::AHashMap;
use celerytide_types::{BootTime, ClassName, CustomerId, PermitId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::ask::{Ask, AskId, Refusal, Refused, Trust};
use crate::class::Class;
use crate::drain::{self, Drain};
use crate::endpoint::sign::Average;
use crate::endpoint::table::Table;
use crate::options::Options;
use crate::place::PrefixIndex;
use crate::status::{PoolStatus, TierStatus};
use flight::Flight;

/// An ask in the queue.
#[derive(Debug, Clone)]
struct Queued {
    ask: Ask,
    class: usize,
    /// Until when it has to be granted so that it attains its target.
    goal: Option<BootTime>,
}

/// Totals since the pool was made.
#[derive(Debug, Default)]
struct Totals {
    granted: u64,
    adopted: u64,
    settled: u64,
    released: u64,
}

/// An endpoint held for an ask whose prompt fits no other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reservation {
    ask: AskId,
    endpoint: usize,
}

/// The queue in front of a group of equal endpoints, and the one counter of the work on each of them.
#[derive(Debug)]
pub struct Pool {
    opts: Options,
    rng: SmallRng,
    table: Table,
    /// Whether a plan was applied already.
    is_planned: bool,
    classes: Vec<Class>,
    by_class: AHashMap<ClassName, usize>,
    /// Classes by rank, the first served first.
    ranked: Vec<usize>,
    weights: AHashMap<CustomerId, u32>,
    asks: AHashMap<AskId, Queued>,
    deadlines: BTreeSet<(BootTime, AskId)>,
    goals: BTreeSet<(BootTime, AskId)>,
    last_look: BootTime,
    shed: Vec<Refused>,
    flights: AHashMap<PermitId, Flight>,
    orphans: BTreeSet<(BootTime, PermitId)>,
    /// Permits that hold a slot: those in flight whose connection stands.
    held: u64,
    /// When the lags of the classes were last brought up to date.
    accrued: BootTime,
    /// Permits that preemption named and that haven't ended yet.
    preempting: usize,
    /// Endpoints that pause after a failure, by the end of the pause.
    pauses: BTreeSet<(BootTime, usize)>,
    prefixes: PrefixIndex,
    reserved: Option<Reservation>,
    drain: Drain,
    seconds_per_token: Average,
    rate: TokenRate,
    next_ask: AskId,
    next_permit: PermitId,
    grant_sequence: u64,
    last_sweep: BootTime,
    totals: Totals,
}

impl Pool {
    /// An empty pool: no classes, no endpoints.
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
            by_class: AHashMap::new(),
            ranked: Vec::new(),
            weights: AHashMap::new(),
            asks: AHashMap::new(),
            deadlines: BTreeSet::new(),
            goals: BTreeSet::new(),
            last_look: BootTime::default(),
            shed: Vec::new(),
            flights: AHashMap::new(),
            orphans: BTreeSet::new(),
            held: 0,
            accrued: BootTime::default(),
            preempting: 0,
            pauses: BTreeSet::new(),
            prefixes: PrefixIndex::default(),
            reserved: None,
            drain: Drain::new(drain),
            seconds_per_token: Average::default(),
            rate: TokenRate::default(),
            next_ask: 1,
            next_permit: 1,
            grant_sequence: 0,
            last_sweep: BootTime::default(),
            totals: Totals::default(),
            opts,
        }
    }

    /// Sets how far the owner's view is trusted. A new owner needs fresh reports before it uses a cold endpoint.
    pub fn trust(&mut self, _now: BootTime, trust: Trust) {
        let taking = matches!(trust, Trust::Taking { .. }) && !matches!(self.table.trust, Trust::Taking { .. });
        if taking {
            for at in self.table.indices() {
                self.table.update(at, |endpoint| endpoint.begin_witness());
            }
        }
        self.table.set_trust(trust);
    }

    /// The state as data.
    pub fn status(&self) -> PoolStatus {
        PoolStatus {
            tiers: self.tiers(),
            classes: self.classes.iter().map(Class::status).collect(),
            endpoints: self
                .table
                .iter()
                .map(|endpoint| endpoint.status(self.table.trust))
                .collect(),
            tokens_per_second: self.rate.per_second(),
            drain_per_second: self.drain.last_per_second(self.table.capacity()),
            granted: self.totals.granted,
            adopted: self.totals.adopted,
            settled: self.totals.settled,
            released: self.totals.released,
            in_flight: self.flights.len() as u64,
        }
    }

    /// Asks that wait.
    pub fn queued(&self) -> usize {
        self.asks.len()
    }

    /// Permits that all open endpoints together may bear now.
    pub fn capacity(&self) -> u64 {
        self.table.capacity()
    }

    fn tiers(&self) -> Vec<TierStatus> {
        let mut tiers: Vec<TierStatus> = Vec::new();
        for &at in &self.ranked {
            let class = &self.classes[at];
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

    /// Takes an ask out of the queue, wherever it stands.
    fn take(&mut self, id: AskId) -> Option<Queued> {
        let queued = self.asks.remove(&id)?;
        let deadline = queued.ask.deadline;
        self.deadlines.remove(&(deadline, id));
        if let Some(goal) = queued.goal {
            self.goals.remove(&(goal, id));
        }
        let class = &mut self.classes[queued.class];
        class.queue.remove(&queued.ask.customer, &(deadline, id));
        if self.reserved.is_some_and(|held| held.ask == id) {
            self.reserved = None;
        }
        Some(queued)
    }

    /// Refuses a queued ask; the caller sees it at the next [`Pool::expire`].
    fn shed(&mut self, now: BootTime, id: AskId, why: Refusal) {
        self.accrue(now);
        if let Some(queued) = self.take(id) {
            let refused = self.refuse(now, id, Some(queued.class), why);
            self.shed.push(refused);
        }
    }

    fn refuse(&mut self, now: BootTime, ask: AskId, class: Option<usize>, why: Refusal) -> Refused {
        let ahead = match class {
            Some(class) => self.ahead_of(class),
            None => self.asks.len(),
        };
        if let Some(class) = class {
            self.classes[class].note_refused(why);
        }
        let slots = self.table.capacity();
        let retry_after = self.drain.retry_after(now, ahead, slots, &mut self.rng);
        Refused { ask, why, retry_after }
    }
}

/// Tokens a second, averaged with a half-life of a few seconds.
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
    fn note(&mut self, now: BootTime, tokens: u32) {
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
