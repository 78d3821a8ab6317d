//! Grants: which class is next, which of its asks, and where to.

use celerytide_types::{BootTime, PermitId};

use super::flight::Flight;
use super::{Pool, Reservation};
use crate::ask::{Ask, AskId, Grant, Refusal};
use crate::options::DeliberateFault;
use crate::place;

/// Endpoints with the least load that a placement looks at.
const CANDIDATES: usize = 6;
/// Endpoints with the most room for prefill that a placement looks at; one of them may be held for another ask.
const ROOMY: usize = 2;
/// One in so many grants probes an idle endpoint that was slow.
const GRANTS_PER_PROBE: u64 = 32;

/// Whether an ask can be placed now.
enum Placement {
    At(usize),
    /// No endpoint has room for it.
    Blocked,
    /// Only its prompt is too long for what is in prefill.
    PromptTooLong,
}

impl Pool {
    /// The next permit, if any can be granted now. Call it after each event until it returns none.
    pub fn next(&mut self, now: BootTime) -> Option<Grant> {
        if self.opts.baseline.is_some() {
            return self.next_baseline(now);
        }
        self.end_pauses(now);
        loop {
            let busy = !self.asks.is_empty() && !self.table.has_room();
            self.drain.note_busy(now, busy);
            if self.asks.is_empty() || busy {
                return None;
            }
            self.pass_goals(now);
            if let Some(id) = self.overdue(now) {
                self.shed(now, id, Refusal::DeadlinePassed);
                continue;
            }
            let (class, id, at) = self.choose(now)?;
            return self.grant(now, class, id, at);
        }
    }

    /// An ask whose deadline passed.
    fn overdue(&self, now: BootTime) -> Option<AskId> {
        let &(deadline, id) = self.deadlines.first()?;
        let late = deadline <= now && self.opts.fault != Some(DeliberateFault::GrantLate);
        late.then_some(id)
    }

    fn choose(&mut self, now: BootTime) -> Option<(usize, AskId, usize)> {
        self.accrue(now);
        let order = self.order();
        self.keep_reservation(order.first().copied());
        for (turn, class) in order.into_iter().enumerate() {
            let Some((_, id)) = self.classes[class].queue.peek() else {
                continue;
            };
            match self.place(now, id) {
                Placement::At(at) => return Some((class, id, at)),
                Placement::PromptTooLong if turn == 0 => self.reserve(id),
                _ => {}
            }
        }
        None
    }

    /// Classes with queued work in order of service.
    pub(super) fn order(&self) -> Vec<usize> {
        let waiting = self
            .ranked
            .iter()
            .copied()
            .filter(|&at| !self.classes[at].queue.is_empty());
        let mut order: Vec<usize> = waiting.collect();
        if self.opts.fault != Some(DeliberateFault::IgnoreShares) {
            order.sort_by(|&a, &b| self.due(b).total_cmp(&self.due(a)));
        }
        order
    }

    fn place(&mut self, now: BootTime, id: AskId) -> Placement {
        loop {
            let Some(queued) = self.asks.get(&id) else {
                return Placement::Blocked;
            };
            let placement = self.best(id, &queued.ask);
            let Placement::At(at) = placement else { return placement };
            if !self.chill_if_silent(now, at) {
                return Placement::At(at);
            }
        }
    }

    fn best(&self, id: AskId, ask: &Ask) -> Placement {
        let avoids = self.avoids(ask);
        let may = |at: &usize| !avoids.contains(at);
        let fits = |at: &usize| self.fits(id, ask, *at);
        let known = self
            .prefixes
            .longest(&ask.prefix)
            .filter(|held| self.table.is_free(held.endpoint));
        let known = known.filter(|held| may(&held.endpoint) && fits(&held.endpoint));
        let known = known.map(|held| (held.endpoint, held.blocks as f64 / ask.prefix.len().max(1) as f64));
        let few = self.table.with_room().filter(may).take(CANDIDATES);
        let few = few.filter(fits).map(|at| (at, 0.0));
        let roomy = self.table.with_prefill_room().filter(may).take(ROOMY);
        let roomy = roomy.filter(fits).map(|at| (at, 0.0));
        if let Some(at) = self.probe().filter(may).filter(fits) {
            return Placement::At(at);
        }
        let best = known
            .chain(few)
            .chain(roomy)
            .min_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)));
        if let Some((at, _)) = best {
            return Placement::At(at);
        }
        let has_room = self.table.with_room().any(|at| may(&at));
        if has_room {
            Placement::PromptTooLong
        } else {
            Placement::Blocked
        }
    }

    /// A slow endpoint that has to show again how fast it is; otherwise it would stay the last choice for good.
    fn probe(&self) -> Option<usize> {
        let is_due = self.grant_sequence.is_multiple_of(GRANTS_PER_PROBE);
        if is_due { self.table.idle_suspect() } else { None }
    }

    fn cost(&self, (at, matched): (usize, f64)) -> f64 {
        let Some(endpoint) = self.table.get(at) else {
            return f64::INFINITY;
        };
        let load = f64::from(endpoint.in_flight) / f64::from(self.table.limit(at).max(1));
        let suspect = f64::from(u8::from(endpoint.ramp.is_suspect()));
        let prefill = endpoint.prefill_load() * self.opts.prefill_weight;
        place::cost(load + suspect + prefill, matched, self.opts.locality_weight)
    }

    /// Indices of endpoints that the ask avoids; none if no other endpoint is open.
    pub(super) fn avoids(&self, ask: &Ask) -> Vec<usize> {
        if ask.avoid.is_empty() || self.opts.fault == Some(DeliberateFault::IgnoreAvoid) {
            return Vec::new();
        }
        let mut avoids: Vec<usize> = ask.avoid.iter().filter_map(|id| self.table.find(id)).collect();
        avoids.sort_unstable();
        avoids.dedup();
        let is_open = |at: &&usize| self.table.get(**at).is_some_and(|endpoint| endpoint.is_open());
        let open = avoids.iter().filter(is_open).count();
        if open >= self.table.open_count() {
            Vec::new()
        } else {
            avoids
        }
    }

    /// Whether the prompt fits what the endpoint has in prefill.
    pub(super) fn fits(&self, id: AskId, ask: &Ask, at: usize) -> bool {
        let held = self.reserved.filter(|held| held.endpoint == at);
        if held.is_some_and(|held| held.ask != id) && ask.prompt_tokens > 0 {
            return false;
        }
        let room = self.table.get(at).map_or(0, |endpoint| endpoint.prefill_room());
        u64::from(ask.prompt_tokens) <= room
    }

    /// Holds the endpoint with the most room for prefill until the prompt fits it.
    fn reserve(&mut self, id: AskId) {
        if self
            .reserved
            .is_some_and(|held| held.ask == id && self.table.is_free(held.endpoint))
        {
            return;
        }
        let Some(queued) = self.asks.get(&id) else { return };
        let avoids = self.avoids(&queued.ask);
        let endpoint = self.table.with_prefill_room().find(|at| !avoids.contains(at));
        self.reserved = endpoint.map(|endpoint| Reservation { ask: id, endpoint });
    }

    /// Drops a reservation whose ask is no longer next.
    fn keep_reservation(&mut self, first: Option<usize>) {
        let next = first.and_then(|class| self.classes[class].queue.peek());
        if self
            .reserved
            .is_some_and(|held| next.is_none_or(|(_, id)| id != held.ask))
        {
            self.reserved = None;
        }
    }

    pub(super) fn grant(&mut self, now: BootTime, class: usize, id: AskId, at: usize) -> Option<Grant> {
        self.accrue(now);
        let by_share = self.due(class) > 0.0;
        let queued = self.asks.get(&id)?;
        let cost = self.classes[class].expected_cost(queued.ask.prompt_tokens, queued.ask.max_tokens);
        self.classes[class]
            .queue
            .pop_item(&queued.ask.customer, &(queued.ask.deadline, id), cost);
        let queued = match self.opts.fault {
            Some(DeliberateFault::GrantTwice) => self.asks.get(&id).cloned()?,
            _ => self.take(id)?,
        };
        let permit = self.next_permit;
        self.next_permit += 1;
        let endpoint = self.count_grant(now, at, queued.ask.prompt_tokens)?;
        self.prefixes.note(&queued.ask.prefix, at);
        let resumes = endpoint.resumes;
        let grant = Grant {
            ask: id,
            permit,
            endpoint: endpoint.id,
            cold: endpoint.cold,
        };
        let mut flight = Flight::new(now, at, queued.ask, endpoint.epoch);
        flight.class = Some(class);
        flight.charged = cost;
        flight.by_share = by_share;
        self.fly(permit, flight, resumes);
        self.classes[class].granted += 1;
        self.classes[class].pace.note_grant(now);
        self.totals.granted += 1;
        Some(grant)
    }

    fn count_grant(&mut self, now: BootTime, at: usize, prompt_tokens: u32) -> Option<Granted> {
        self.grant_sequence += 1;
        let sequence = self.grant_sequence;
        let lag = self.opts.report_lag;
        self.table.update(at, |endpoint| {
            endpoint.in_flight += 1;
            endpoint.prefill += u64::from(prompt_tokens);
            endpoint.last_grant = sequence;
            endpoint.signs.note_in_flight(now, endpoint.in_flight, lag);
            if endpoint.in_flight == 1 {
                endpoint.last_sign = now;
            }
            Granted {
                id: endpoint.plan.id.clone(),
                cold: endpoint.ramp.is_cold(),
                epoch: endpoint.ramp.epoch(),
                resumes: endpoint.plan.resumes,
            }
        })
    }
}

/// What a grant has to know about its endpoint.
struct Granted {
    id: celerytide_types::EndpointId,
    cold: bool,
    epoch: u64,
    resumes: bool,
}

impl Pool {
    /// Registers a permit as running.
    pub(super) fn fly(&mut self, permit: PermitId, flight: Flight, resumes: bool) {
        self.hold(flight.class);
        if let Some(class) = flight.class {
            self.classes[class].in_flight += 1;
            if resumes && self.classes[class].plan.preemptible {
                self.classes[class].resumable.insert((flight.granted, permit));
            }
        }
        self.flights.insert(permit, flight);
    }
}
