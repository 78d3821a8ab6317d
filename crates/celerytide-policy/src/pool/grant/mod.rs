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
/// One grant in this many goes to an idle endpoint that is marked slow, to test whether it has recovered. The number is
/// taken before the endpoints are filtered by what the request allows and fits.
const GRANTS_PER_PROBE: u64 = 32;

/// Result of placing a request.
enum Placement {
    At(usize),
    /// No endpoint that the request may use has a free slot, or the request is no longer queued.
    Blocked,
    /// Endpoints have free slots, but on each that is considered the prompt and those in prefill together exceed the
    /// prefill limit, or it is reserved for another request.
    PromptTooLong,
}

impl Pool {
    /// Grants the next permit if one can be granted now. After each call that changes the pool, call it until it
    /// returns `None`.
    pub fn next_grant(&mut self, now: BootTime) -> Option<Grant> {
        if self.opts.baseline.is_some() {
            return self.next_baseline(now);
        }
        self.end_backoffs(now);
        loop {
            let is_saturated = !self.waiting.is_empty() && !self.table.has_room();
            self.drain.set_saturated(now, is_saturated);
            if self.waiting.is_empty() || is_saturated {
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

    /// Selects what to grant next: the index of the class, the request, and the index of the endpoint.
    fn select(&mut self, now: BootTime) -> Option<(usize, PermitRequestId, usize)> {
        self.update_lags(now);
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
            .classes_by_rank
            .iter()
            .copied()
            .filter(|&idx| !self.classes[idx].queue.is_empty());
        let mut order: Vec<usize> = waiting.collect();
        if self.opts.fault != Some(DeliberateFault::IgnoreShares) {
            order.sort_by(|&a, &b| self.due_lag(b).total_cmp(&self.due_lag(a)));
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
            // Marking the endpoint cold changes its limit, so the placement is repeated.
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
            .filter(|found| self.table.has_room_at(found.endpoint));
        let cached = cached.filter(|found| allowed(&found.endpoint) && fits(&found.endpoint));
        let cached = cached.map(|found| (found.endpoint, found.blocks as f64 / req.prefix.len().max(1) as f64));
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
            .min_by(|a, b| self.placement_cost(*a).total_cmp(&self.placement_cost(*b)));
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
        if is_due { self.table.idle_slow() } else { None }
    }

    /// Cost of a candidate, given as its index and the fraction of the prompt that it has cached. A slow endpoint
    /// counts as if it had a whole limit of further load.
    fn placement_cost(&self, (idx, cached_fraction): (usize, f64)) -> f64 {
        let Some(endpoint) = self.table.get(idx) else {
            return f64::INFINITY;
        };
        let load = f64::from(endpoint.in_flight) / f64::from(self.table.limit(idx).max(1));
        let slow = f64::from(u8::from(endpoint.ramp.is_slow()));
        let prefill = endpoint.prefill_load() * self.opts.prefill_weight;
        placement::placement_cost(load + slow + prefill, cached_fraction, self.opts.locality_weight)
    }

    /// Indices of the endpoints that the request avoids; empty if no other endpoint accepts
    /// requests.
    pub(super) fn avoided_endpoints(&self, req: &PermitRequest) -> Vec<usize> {
        if req.avoid.is_empty() || self.opts.fault == Some(DeliberateFault::IgnoreAvoid) {
            return Vec::new();
        }
        let mut avoided_endpoints: Vec<usize> = req.avoid.iter().filter_map(|id| self.table.find(id)).collect();
        avoided_endpoints.sort_unstable();
        avoided_endpoints.dedup();
        let accepts_requests = |idx: &&usize| {
            self.table
                .get(**idx)
                .is_some_and(|endpoint| endpoint.accepts_requests())
        };
        let open = avoided_endpoints.iter().filter(accepts_requests).count();
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
        self.update_lags(now);
        let is_share_grant = self.due_lag(class) > 0.0;
        let queued = self.waiting.get(&id)?;
        let charge = self.classes[class].expected_cost(queued.req.prompt_tokens, queued.req.max_tokens);
        self.classes[class]
            .queue
            .pop_item(&queued.req.customer, &(queued.req.deadline, id), charge);
        let queued = match self.opts.fault {
            Some(DeliberateFault::GrantTwice) => self.waiting.get(&id).cloned()?,
            _ => self.dequeue(id)?,
        };
        let permit = self.next_permit;
        self.next_permit += 1;
        // The index comes from the table, so the endpoint exists.
        let endpoint = self.count_grant(now, idx, queued.req.prompt_tokens)?;
        self.prefixes.record(&queued.req.prefix, idx);
        let can_resume = endpoint.can_resume;
        let grant = Grant {
            req: id,
            permit,
            endpoint: endpoint.id,
            cold: endpoint.cold,
        };
        let mut active = ActivePermit::new(now, idx, queued.req, endpoint.epoch);
        active.class = Some(class);
        active.charged = charge;
        active.is_share_grant = is_share_grant;
        self.activate(permit, active, can_resume);
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
                can_resume: endpoint.plan.resumes,
            }
        })
    }
}

/// Properties of an endpoint at the time of a grant.
struct GrantedEndpoint {
    id: celerytide_types::EndpointId,
    cold: bool,
    /// Number of its cold starts.
    epoch: u64,
    can_resume: bool,
}

impl Pool {
    /// Counts a permit as in flight. `can_resume`: whether the endpoint's work can be resumed elsewhere.
    pub(super) fn activate(&mut self, permit: PermitId, active: ActivePermit, can_resume: bool) {
        self.count_held(active.class);
        if let Some(class) = active.class {
            self.classes[class].in_flight += 1;
            if can_resume && self.classes[class].plan.preemptible {
                self.classes[class].resumable.insert((active.granted, permit));
            }
        }
        self.active_permits.insert(permit, active);
    }
}
