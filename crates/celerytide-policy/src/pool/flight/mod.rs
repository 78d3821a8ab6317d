//! Permits in flight, from the grant to the settlement.

use celerytide_types::{BootTime, CustomerId, PermitId};

use super::Pool;
use crate::ask::{Ask, Ended};
use crate::class::work;
use crate::endpoint::Endpoint;
use crate::options::DeliberateFault;

/// An endpoint whose tokens take this many times the pool's usual time is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Answers shorter than this tell nothing about speed, in tokens.
const SPEED_TOKENS_MIN: u32 = 8;

/// One permit in flight.
#[derive(Debug)]
pub(super) struct Flight {
    pub endpoint: usize,
    /// Absent where an adopted permit's class is unknown here.
    pub class: Option<usize>,
    pub customer: CustomerId,
    pub granted: BootTime,
    prompt_tokens: u32,
    max_tokens: Option<u32>,
    epoch: u64,
    /// Cost that its customer was charged.
    pub charged: u64,
    /// It was granted because its class lacked its share.
    pub by_share: bool,
    first_token: Option<BootTime>,
    tokens: u32,
    adopted: bool,
    pub orphaned: Option<Orphaned>,
    /// Preemption asked for its cancellation.
    pub preempted: bool,
}

/// When a permit's connection was lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Orphaned {
    pub at: BootTime,
    /// When the endpoint's last report before it was made.
    pub observed_unix_ms: Option<u64>,
}

impl Flight {
    pub fn new(now: BootTime, endpoint: usize, ask: Ask, epoch: u64) -> Flight {
        Flight {
            endpoint,
            class: None,
            customer: ask.customer,
            granted: now,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            epoch,
            charged: 0,
            by_share: false,
            first_token: None,
            tokens: 0,
            adopted: false,
            orphaned: None,
            preempted: false,
        }
    }

    fn in_prefill(&self) -> bool {
        self.first_token.is_none() && !self.adopted
    }
}

impl Pool {
    /// Tokens of the answer so far, as a total; the first call marks the first token. Lower totals are ignored.
    pub fn progress(&mut self, now: BootTime, permit: PermitId, tokens: u32) {
        let Some(flight) = self.flights.get_mut(&permit) else {
            return;
        };
        let new = tokens.saturating_sub(flight.tokens);
        flight.tokens = flight.tokens.max(tokens);
        let at = flight.endpoint;
        let began = flight.in_prefill();
        if flight.first_token.is_none() {
            flight.first_token = Some(now);
        }
        let class = flight.class;
        let (prompt_tokens, took, epoch) = (flight.prompt_tokens, now.since(flight.granted), flight.epoch);
        self.rate.note(now, new);
        if began {
            self.learn_first(class, took);
        }
        let (jump, floor) = (self.opts.first_token_jump, self.opts.first_token_floor);
        let opts = &self.opts;
        self.table.update(at, |endpoint| {
            endpoint.sign(now, opts);
            endpoint.failures = 0;
            if !began {
                return;
            }
            endpoint.prefill = endpoint.prefill.saturating_sub(u64::from(prompt_tokens));
            let jumped = endpoint.signs.first_token(prompt_tokens, took, jump, floor);
            if jumped && epoch == endpoint.ramp.epoch() {
                endpoint.chill(now, opts.cold_min);
            }
        });
    }

    /// Ends a permit and gives its place back. Unknown permits are ignored.
    pub fn settle(&mut self, now: BootTime, permit: PermitId, ended: Ended) {
        self.accrue(now);
        let Some(flight) = self.land(permit) else { return };
        self.pay(now, &flight);
        self.totals.settled += 1;
        let hold = now.since(flight.granted);
        if !matches!(ended, Ended::NotStarted) && !flight.adopted {
            self.drain.note_end(now, hold);
        }
        match ended {
            Ended::Whole { tokens } => self.learn(now, &flight, tokens),
            Ended::Failed | Ended::NotStarted => self.fail(now, flight.endpoint),
            Ended::Slow => {
                self.table.update(flight.endpoint, Endpoint::slow);
            }
            Ended::Cancelled => {}
        }
        if !matches!(ended, Ended::Whole { .. }) {
            self.correct(&flight, work(flight.prompt_tokens, u64::from(flight.tokens)));
        }
    }

    /// The connection that held the permit was lost: it stays counted until a report shows that it is gone, the
    /// endpoint restarts, or its greatest age has passed.
    pub fn orphan(&mut self, now: BootTime, permit: PermitId) {
        let Some(flight) = self.flights.get_mut(&permit) else {
            return;
        };
        if flight.orphaned.is_some() {
            return;
        }
        let at = flight.endpoint;
        let observed_unix_ms = self
            .table
            .get(at)
            .and_then(|endpoint| endpoint.signs.observed_unix_ms());
        flight.orphaned = Some(Orphaned {
            at: now,
            observed_unix_ms,
        });
        let expiry = flight.granted.after(self.opts.orphan_max_age).max(now);
        let class = flight.class;
        self.orphans.insert((expiry, permit));
        self.accrue(now);
        self.unhold(class);
        self.unlist(permit);
        self.table.update(at, |endpoint| endpoint.orphans += 1);
    }

    /// Counts work in flight that a former owner granted, and names the permit that it has here.
    pub fn adopt(&mut self, now: BootTime, endpoint: &str, class: &str, customer: &str) -> PermitId {
        let permit = self.next_permit;
        self.next_permit += 1;
        self.totals.adopted += 1;
        let at = self
            .table
            .find(endpoint)
            .unwrap_or_else(|| self.insert_gone(now, endpoint));
        self.chill_if_silent(now, at);
        let lag = self.opts.report_lag;
        let epoch = self.table.update(at, |row| {
            row.in_flight += 1;
            row.signs.note_in_flight(now, row.in_flight, lag);
            row.ramp.epoch()
        });
        let ask = Ask {
            request: String::new(),
            class: class.to_owned(),
            customer: customer.to_owned(),
            deadline: now,
            arrived: now,
            prompt_tokens: 0,
            max_tokens: None,
            prefix: Vec::new(),
            avoid: Vec::new(),
        };
        let mut flight = Flight::new(now, at, ask, epoch.unwrap_or(0));
        flight.class = self.by_class.get(class).copied();
        flight.adopted = true;
        self.accrue(now);
        self.fly(permit, flight, false);
        permit
    }

    /// Takes a permit out of the counts.
    pub(super) fn land(&mut self, permit: PermitId) -> Option<Flight> {
        if self.opts.fault == Some(DeliberateFault::LeakInFlight) {
            self.totals.settled += u64::from(self.flights.contains_key(&permit));
            return None;
        }
        self.unlist(permit);
        let flight = self.flights.remove(&permit)?;
        if let Some(class) = flight.class {
            self.classes[class].in_flight -= 1;
        }
        if flight.orphaned.is_none() {
            self.unhold(flight.class);
        }
        self.preempting -= usize::from(flight.preempted);
        let prompt_tokens = if flight.in_prefill() { flight.prompt_tokens } else { 0 };
        let is_orphan = flight.orphaned.is_some();
        if is_orphan {
            let expiry = flight
                .orphaned
                .map(|orphan| flight.granted.after(self.opts.orphan_max_age).max(orphan.at));
            expiry.map(|expiry| self.orphans.remove(&(expiry, permit)));
        }
        self.table.update(flight.endpoint, |endpoint| {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.prefill = endpoint.prefill.saturating_sub(u64::from(prompt_tokens));
            endpoint.orphans -= u32::from(is_orphan);
        });
        Some(flight)
    }

    /// Takes a permit out of those that preemption may take.
    pub(super) fn unlist(&mut self, permit: PermitId) {
        let Some(flight) = self.flights.get(&permit) else {
            return;
        };
        let (class, granted) = (flight.class, flight.granted);
        if let Some(class) = class {
            self.classes[class].resumable.remove(&(granted, permit));
        }
    }

    /// Releases orphans past their greatest age.
    pub(super) fn release_orphans(&mut self, now: BootTime) {
        while let Some(&(expiry, permit)) = self.orphans.first() {
            if expiry > now {
                return;
            }
            self.orphans.pop_first();
            self.release(permit);
        }
    }

    pub(super) fn release(&mut self, permit: PermitId) {
        if self.land(permit).is_some() {
            self.totals.released += 1;
        }
    }

    fn learn(&mut self, now: BootTime, flight: &Flight, tokens: u32) {
        if let Some(class) = flight.class {
            self.classes[class].lengths.record(tokens);
        }
        self.rate.note(now, tokens.saturating_sub(flight.tokens));
        self.correct(flight, work(flight.prompt_tokens, u64::from(tokens)));
        let seconds = self.seconds_per_token(now, flight, tokens);
        let usual = self.seconds_per_token.known();
        let (epoch, opts) = (flight.epoch, &self.opts);
        self.table.update(flight.endpoint, |endpoint| {
            endpoint.sign(now, opts);
            endpoint.failures = 0;
            if let Some(seconds) = seconds {
                endpoint.signs.seconds_per_token.add(seconds);
            }
            let own = endpoint.signs.seconds_per_token.known();
            let slow = own.zip(usual).is_some_and(|(own, usual)| own > usual * SLOW_FACTOR);
            match slow {
                true => endpoint.slow(),
                false if now < endpoint.cold_until => {}
                false => endpoint.ramp.succeed(epoch),
            }
        });
        if let Some(seconds) = seconds {
            self.seconds_per_token.add(seconds);
        }
    }

    /// Time for each token after the first, where the answer was long enough to tell.
    fn seconds_per_token(&self, now: BootTime, flight: &Flight, tokens: u32) -> Option<f64> {
        let first = flight
            .first_token
            .filter(|_| !flight.adopted && tokens >= SPEED_TOKENS_MIN)?;
        Some(now.since(first).as_secs_f64() / f64::from(tokens))
    }

    /// An endpoint failed: it is cold, and gets nothing until a pause is over.
    fn fail(&mut self, now: BootTime, at: usize) {
        let opts = &self.opts;
        let pause = self.table.update(at, |endpoint| endpoint.fail(now, opts));
        if let Some(pause) = pause.flatten() {
            self.pauses.insert((now.after(pause), at));
        }
    }

    /// Ends the pauses that are over.
    pub(super) fn end_pauses(&mut self, now: BootTime) {
        while let Some(&(end, at)) = self.pauses.first() {
            if end > now {
                return;
            }
            self.pauses.pop_first();
            self.table.update(at, |endpoint| endpoint.backing_off = false);
        }
    }

    /// Replaces the expected cost that a customer was charged by the true one.
    fn correct(&mut self, flight: &Flight, cost: u64) {
        let Some(class) = flight.class.filter(|_| flight.charged > 0) else {
            return;
        };
        let weight = self.weight(&flight.customer);
        let bound = flight
            .max_tokens
            .map_or(cost, |max| cost.min(work(flight.prompt_tokens, u64::from(max))));
        self.classes[class]
            .queue
            .correct(&flight.customer, weight, flight.charged, bound.max(1));
    }
}
