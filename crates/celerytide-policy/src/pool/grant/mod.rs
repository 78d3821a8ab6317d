//! Granting permits: which class is next, which of its requests, and on which endpoint.

use celerytide_types::{BootTime, PermitId};

use super::permit::ActivePermit;
use super::{Pool, Reservation};
use crate::options::DeliberateFault;
use crate::placement;
use crate::request::{Grant, PermitRequest, PermitRequestId, Refusal};

/// Number of least loaded endpoints that a placement considers.
const CANDIDATES: usize = 6;
/// Number of endpoints with the most room for prefill that a placement considers; one of them may be reserved for
/// another request.
const PREFILL_CANDIDATES: usize = 2;
/// Every grant of this number probes an idle endpoint that was slow.
const GRANTS_PER_PROBE: u64 = 32;

/// Result of placing a request.
enum Placement {
    At(usize),
    /// No endpoint has a free slot.
    Blocked,
    /// Endpoints have free slots, but the prompt doesn't fit beside those in prefill.
    PromptTooLong,
}

impl Pool {
    /// Grants the next permit if one can be granted now. Call it after each event until it returns `None`.
    pub fn next_grant(&mut self, now: BootTime) -> Option<Grant> {
        if self.opts.baseline.is_some() {
            return self.next_baseline(now);
        }
        self.end_backoffs(now);
        loop {
            let busy = !self.waiting.is_empty() && !self.table.has_room();
            self.drain.set_busy(now, busy);
            if self.waiting.is_empty() || busy {
                return None;
            }
            self.shed_missed_targets(now);
            if let Some(id) = self.overdue(now) {
                self.shed(now, id, Refusal::DeadlinePassed);
                continue;
            }
            let (class, id, idx) = self.select(now)?;
            return self.grant(now, class, id, idx);
        }
    }

    /// Returns a queued request whose deadline has passed.
    fn overdue(&self, now: BootTime) -> Option<PermitRequestId> {
        let &(deadline, id) = self.deadlines.first()?;
        let late = deadline <= now && self.opts.fault != Some(DeliberateFault::GrantLate);
        late.then_some(id)
    }

    fn select(&mut self, now: BootTime) -> Option<(usize, PermitRequestId, usize)> {
        self.accrue(now);
        let order = self.order();
        self.drop_stale_reservation(order.first().copied());
        for (turn, class) in order.into_iter().enumerate() {
            let Some((_, id)) = self.classes[class].queue.peek() else {
                continue;
            };
            match self.place(now, id) {
                Placement::At(idx) => return Some((class, id, idx)),
                Placement::PromptTooLong if turn == 0 => self.reserve(id),
                _ => {}
            }
        }
        None
    }

    /// Classes with queued requests in order of service.
    pub(super) fn order(&self) -> Vec<usize> {
        let waiting = self
            .ranked
            .iter()
            .copied()
            .filter(|&idx| !self.classes[idx].queue.is_empty());
        let mut order: Vec<usize> = waiting.collect();
        if self.opts.fault != Some(DeliberateFault::IgnoreShares) {
            order.sort_by(|&a, &b| self.due(b).total_cmp(&self.due(a)));
        }
        order
    }

    fn place(&mut self, now: BootTime, id: PermitRequestId) -> Placement {
        loop {
            let Some(queued) = self.waiting.get(&id) else {
                return Placement::Blocked;
            };
            let placement = self.best_placement(id, &queued.req);
            let Placement::At(idx) = placement else {
                return placement;
            };
            if !self.mark_cold_if_silent(now, idx) {
                return Placement::At(idx);
            }
        }
    }

    fn best_placement(&self, id: PermitRequestId, req: &PermitRequest) -> Placement {
        let avoided = self.avoided_endpoints(req);
        let allowed = |idx: &usize| !avoided.contains(idx);
        let fits = |idx: &usize| self.fits(id, req, *idx);
        let cached = self
            .prefixes
            .longest_match(&req.prefix)
            .filter(|matched| self.table.has_room_at(matched.endpoint));
        let cached = cached.filter(|matched| allowed(&matched.endpoint) && fits(&matched.endpoint));
        let cached = cached.map(|matched| (matched.endpoint, matched.blocks as f64 / req.prefix.len().max(1) as f64));
        let least_loaded = self.table.with_room().filter(allowed).take(CANDIDATES);
        let least_loaded = least_loaded.filter(fits).map(|idx| (idx, 0.0));
        let most_prefill_room = self.table.with_prefill_room().filter(allowed).take(PREFILL_CANDIDATES);
        let most_prefill_room = most_prefill_room.filter(fits).map(|idx| (idx, 0.0));
        if let Some(idx) = self.probe().filter(allowed).filter(fits) {
            return Placement::At(idx);
        }
        let best = cached
            .chain(least_loaded)
            .chain(most_prefill_room)
            .min_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)));
        if let Some((idx, _)) = best {
            return Placement::At(idx);
        }
        let has_room = self.table.with_room().any(|idx| allowed(&idx));
        if has_room {
            Placement::PromptTooLong
        } else {
            Placement::Blocked
        }
    }

    /// A slow endpoint that is due for a probe. Without probes it would remain the last choice forever.
    fn probe(&self) -> Option<usize> {
        let is_due = self.grant_sequence.is_multiple_of(GRANTS_PER_PROBE);
        if is_due { self.table.idle_suspect() } else { None }
    }

    fn cost(&self, (idx, matched): (usize, f64)) -> f64 {
        let Some(endpoint) = self.table.get(idx) else {
            return f64::INFINITY;
        };
        let load = f64::from(endpoint.in_flight) / f64::from(self.table.limit(idx).max(1));
        let suspect = f64::from(u8::from(endpoint.ramp.is_suspect()));
        let prefill = endpoint.prefill_load() * self.opts.prefill_weight;
        placement::cost(load + suspect + prefill, matched, self.opts.locality_weight)
    }

    /// Indices of the endpoints that the request avoids; empty if no other endpoint is open.
    pub(super) fn avoided_endpoints(&self, req: &PermitRequest) -> Vec<usize> {
        if req.avoid.is_empty() || self.opts.fault == Some(DeliberateFault::IgnoreAvoid) {
            return Vec::new();
        }
        let mut avoided_endpoints: Vec<usize> = req.avoid.iter().filter_map(|id| self.table.find(id)).collect();
        avoided_endpoints.sort_unstable();
        avoided_endpoints.dedup();
        let is_open = |idx: &&usize| self.table.get(**idx).is_some_and(|endpoint| endpoint.is_open());
        let open = avoided_endpoints.iter().filter(is_open).count();
        if open >= self.table.open_count() {
            Vec::new()
        } else {
            avoided_endpoints
        }
    }

    /// Whether the prompt fits beside those that the endpoint has in prefill.
    pub(super) fn fits(&self, id: PermitRequestId, req: &PermitRequest, idx: usize) -> bool {
        let reserved = self.reservation.filter(|reserved| reserved.endpoint == idx);
        if reserved.is_some_and(|reserved| reserved.req != id) && req.prompt_tokens > 0 {
            return false;
        }
        let room = self.table.get(idx).map_or(0, |endpoint| endpoint.prefill_room());
        u64::from(req.prompt_tokens) <= room
    }

    /// Reserves the endpoint with the most room for prefill until the prompt fits there.
    fn reserve(&mut self, id: PermitRequestId) {
        if self
            .reservation
            .is_some_and(|reserved| reserved.req == id && self.table.has_room_at(reserved.endpoint))
        {
            return;
        }
        let Some(queued) = self.waiting.get(&id) else { return };
        let avoided = self.avoided_endpoints(&queued.req);
        let endpoint = self.table.with_prefill_room().find(|idx| !avoided.contains(idx));
        self.reservation = endpoint.map(|endpoint| Reservation { req: id, endpoint });
    }

    /// Drops a reservation whose request is no longer next.
    fn drop_stale_reservation(&mut self, first: Option<usize>) {
        let next = first.and_then(|class| self.classes[class].queue.peek());
        if self
            .reservation
            .is_some_and(|reserved| next.is_none_or(|(_, id)| id != reserved.req))
        {
            self.reservation = None;
        }
    }

    pub(super) fn grant(&mut self, now: BootTime, class: usize, id: PermitRequestId, idx: usize) -> Option<Grant> {
        self.accrue(now);
        let is_share_grant = self.due(class) > 0.0;
        let queued = self.waiting.get(&id)?;
        let cost = self.classes[class].expected_cost(queued.req.prompt_tokens, queued.req.max_tokens);
        self.classes[class]
            .queue
            .pop_item(&queued.req.customer, &(queued.req.deadline, id), cost);
        let queued = match self.opts.fault {
            Some(DeliberateFault::GrantTwice) => self.waiting.get(&id).cloned()?,
            _ => self.dequeue(id)?,
        };
        let permit = self.next_permit;
        self.next_permit += 1;
        let endpoint = self.count_grant(now, idx, queued.req.prompt_tokens)?;
        self.prefixes.record(&queued.req.prefix, idx);
        let resumes = endpoint.resumes;
        let grant = Grant {
            req: id,
            permit,
            endpoint: endpoint.id,
            cold: endpoint.cold,
        };
        let mut active = ActivePermit::new(now, idx, queued.req, endpoint.epoch);
        active.class = Some(class);
        active.charged = cost;
        active.is_share_grant = is_share_grant;
        self.activate(permit, active, resumes);
        self.classes[class].granted += 1;
        self.classes[class].grant_rate.record_grant(now);
        self.totals.granted += 1;
        Some(grant)
    }

    fn count_grant(&mut self, now: BootTime, idx: usize, prompt_tokens: u32) -> Option<GrantedEndpoint> {
        self.grant_sequence += 1;
        let sequence = self.grant_sequence;
        let lag = self.opts.report_lag;
        self.table.update(idx, |endpoint| {
            endpoint.in_flight += 1;
            endpoint.prefill += u64::from(prompt_tokens);
            endpoint.last_grant = sequence;
            endpoint.observations.record_in_flight(now, endpoint.in_flight, lag);
            if endpoint.in_flight == 1 {
                endpoint.last_activity = now;
            }
            GrantedEndpoint {
                id: endpoint.plan.id.clone(),
                cold: endpoint.ramp.is_cold(),
                epoch: endpoint.ramp.epoch(),
                resumes: endpoint.plan.resumes,
            }
        })
    }
}

/// Properties of an endpoint at the time of a grant.
struct GrantedEndpoint {
    id: celerytide_types::EndpointId,
    cold: bool,
    epoch: u64,
    resumes: bool,
}

impl Pool {
    /// Counts a permit as in flight.
    pub(super) fn activate(&mut self, permit: PermitId, active: ActivePermit, resumes: bool) {
        self.count_held(active.class);
        if let Some(class) = active.class {
            self.classes[class].in_flight += 1;
            if resumes && self.classes[class].plan.preemptible {
                self.classes[class].resumable.insert((active.granted, permit));
            }
        }
        self.active_permits.insert(permit, active);
    }
}
