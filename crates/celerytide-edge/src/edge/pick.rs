//! Picks the endpoint for a request and counts the request there.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint, Service, Urgency, View};
use celerytide_types::{BootTime, now_boot};
use tracing::info;

use super::rejected::Rooms;
use super::{
    BY_COORDINATOR, BY_SELF_LIMITED, BY_SELF_TRIAL, BY_SELF_UNUSABLE, Edge, Flight, InFlight, Placement, Source,
};
use crate::admission::Capacity;
use crate::coordinator::messages::Advice;
use crate::health::HealthState;
use crate::notice::Availability;
use crate::peers::Instances;
use crate::peers::digest::{RemoteLoad, id_hash};
use crate::placement::{Candidate, Choice, Inputs, Query, choose, shared_blocks};
use crate::protocol::{Prompt, Protocol};
use crate::request::RoutedRequest;
use crate::software::{Software, fits};
use crate::split::{self, PromptSize};

/// Largest share of a service's endpoints that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.4;

/// A picked endpoint, with the request counted there.
pub struct Pick<P: Protocol> {
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
    /// The counted request.
    pub in_flight: InFlight<P>,
    /// When it was picked.
    pub at: BootTime,
    /// Requests per second that the endpoint takes from all instances together, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// Who chose it.
    pub placed_by: Source,
}

/// Why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// No endpoint may get work now.
    NoEndpoint,
    /// All endpoints that could get it are leaving.
    Leaving,
    /// All endpoints that could get it are paused; the first pause ends at this time.
    Paused(BootTime),
    /// All endpoints that could get it name a rate; together they take one request in this time.
    Limited(Duration),
    /// All endpoints that could get it have a rejection limit and no room; some is expected after this time.
    NoRoom(Duration),
    /// The engines hold as many tokens as they may.
    Overload,
    /// Engines crash under a part of the prompt.
    PromptWithheld,
    /// Endpoints crash under the request.
    RequestWithheld,
    /// No endpoint of the software that began the stream may get work now.
    NoSoftware,
}

impl PickError {
    /// Machine-readable cause, a stable text.
    pub fn cause(self) -> &'static str {
        match self {
            PickError::NoEndpoint => "no-endpoint",
            PickError::Leaving => "endpoints-leave",
            PickError::Paused(_) => "endpoints-pause",
            PickError::Limited(_) => "endpoints-limited",
            PickError::NoRoom(_) => "endpoints-full",
            PickError::Overload => "overload",
            PickError::PromptWithheld => "prompt-withheld",
            PickError::RequestWithheld => "request-withheld",
            PickError::NoSoftware => "no-endpoint-of-version",
        }
    }
}

impl<P: Protocol> Edge<P> {
    /// Picks an endpoint that isn't in `tried`, of the software that the stream is bound to if any, and counts the request
    /// there. The advice of a coordinator is followed if the endpoint may get the request by this instance's own view.
    pub fn pick(
        self: &Rc<Self>,
        request: &RoutedRequest,
        service: &Service,
        tried: &[String],
        bound: Option<Software>,
        placement: Placement<P>,
    ) -> Result<Pick<P>, PickError> {
        let now = now_boot();
        self.check_withheld(request, now)?;
        let view = self.view.borrow();
        let instances = self.members.borrow().sharing_limits(now);
        let rooms = self.rooms(&view, service, &instances, &placement, now);
        let shares = Shares {
            instances: &instances,
            rooms: &rooms,
            urgency: request.urgency,
            may_be_apart: self.members.borrow().rate_share(now) < 1.0,
        };
        let available = self.available(&view, service, tried, &shares, now);
        let prompt_size = self.prompt_size(&view, request, service);
        let fitting: Vec<&KnownEndpoint> = available.iter().copied().filter(|known| fits(known, bound)).collect();
        if fitting.is_empty() && bound.is_some() {
            return Err(PickError::NoSoftware);
        }
        if let Some(choice) = self.trial_choice(request, &fitting, now) {
            let reserving = Reserving::by_self(BY_SELF_TRIAL, prompt_size, &instances, now);
            return Ok(self.reserve(service, &choice, request, reserving));
        }
        let usable = self.healthy(available, now);
        let mut source = placement.source;
        if let Some((advice, flight)) = placement.advice {
            if let Some(choice) = self.advised_choice(request, service, &usable, advice, now) {
                let is_advised = id_hash(&choice.known.endpoint.id) == advice.endpoint;
                let reserving = Reserving {
                    prompt_size,
                    instances: &instances,
                    source: if is_advised { BY_COORDINATOR } else { BY_SELF_LIMITED },
                    flight: is_advised.then_some(flight),
                    now,
                };
                return Ok(self.reserve(service, &choice, request, reserving));
            }
            source = BY_SELF_UNUSABLE;
        }
        if !self.admits(request, service, usable.len(), instances.len(), now) {
            return Err(PickError::Overload);
        }
        // Admission counts all engines; a bound stream may go to an ejected one if the others are of another version.
        let healthy: Vec<&KnownEndpoint> = usable.into_iter().filter(|known| fits(known, bound)).collect();
        let usable = if healthy.is_empty() { fitting } else { healthy };
        let usable = match prompt_size {
            // A retry of a short request may go to any engine.
            Some(prompt_size) if prompt_size == PromptSize::Long || tried.is_empty() => {
                self.engines_for(&view, prompt_size, service, usable, now)
            }
            _ => usable,
        };
        let remote = self.digests.borrow().loads_by_endpoint(instances.len() - 1, now);
        let choice = self.cheapest(request, service, &usable, instances.len(), &remote, now);
        let choice = choice.ok_or_else(|| self.pick_error(&view, service, tried, now))?;
        let reserving = Reserving::by_self(source, prompt_size, &instances, now);
        Ok(self.reserve(service, &choice, request, reserving))
    }

    /// The advised endpoint, or one with a limited rate that this instance may use and that is better; `None` if the advised
    /// one may not get the request.
    fn advised_choice<'a>(
        &self,
        request: &RoutedRequest,
        service: &Service,
        usable: &[&'a KnownEndpoint],
        advice: Advice,
        now: BootTime,
    ) -> Option<Choice<'a>> {
        let is_advised = |known: &&&KnownEndpoint| id_hash(&known.endpoint.id) == advice.endpoint;
        let advised = usable.iter().copied().find(|known| is_advised(&known))?;
        let choice = Choice {
            known: advised,
            uncached: advice.uncached,
            ahead: u64::from(advice.ahead),
        };
        let is_limited = |known: &&&KnownEndpoint| self.rate(service, known, now).is_some();
        let mut candidates: Vec<&KnownEndpoint> = usable.iter().filter(is_limited).copied().collect();
        if candidates.is_empty() {
            return Some(choice);
        }
        candidates.push(advised);
        let load = RemoteLoad {
            queued_tokens: u64::from(advice.ahead),
            running: u32::from(advice.running),
        };
        let remote = HashMap::from([(advice.endpoint, load)]);
        let best = self.cheapest(request, service, &candidates, 1, &remote, now)?;
        if best.known.endpoint.id == advised.endpoint.id {
            return Some(choice);
        }
        Some(best)
    }

    /// Usable endpoints that neither leave nor pause and that the request wasn't sent to.
    pub(super) fn untried<'a>(
        &self,
        view: &'a View,
        service: &'a Service,
        tried: &[String],
        now: BootTime,
    ) -> Vec<&'a KnownEndpoint> {
        let notices = self.notices.borrow();
        let is_untried = |known: &&KnownEndpoint| {
            let availability = notices.availability(&known.endpoint, now);
            availability == Availability::Available && !tried.contains(&known.endpoint.id)
        };
        view.usable(&service.id, now).filter(is_untried).collect()
    }

    /// Of these, those with a limit only if this instance may send there now.
    fn available<'a>(
        &self,
        view: &'a View,
        service: &'a Service,
        tried: &[String],
        shares: &Shares<'_>,
        now: BootTime,
    ) -> Vec<&'a KnownEndpoint> {
        let may_serve = |known: &&KnownEndpoint| {
            let id = &known.endpoint.id;
            if !shares.rooms.allows(id) {
                return false;
            }
            let rate = self.rate(service, known, now);
            rate.is_none_or(|per_s| self.rate_allows(id, per_s, shares, now))
        };
        let untried = self.untried(view, service, tried, now);
        untried.into_iter().filter(may_serve).collect()
    }

    /// Size of the prompt where engines are divided, by the average of the prompts about its document, so that only one
    /// part of the engines reads that document.
    fn prompt_size(&self, view: &View, request: &RoutedRequest, service: &Service) -> Option<PromptSize> {
        service.engine_slots?;
        let max_gap = view.catalog().tightest_gap(&service.id)?;
        let per_s = self.loads.borrow().prefill_rate(&service.id);
        let own = f64::from(request.prompt.tokens);
        let document = shared_blocks(&request.prompt).last();
        let mean = document.and_then(|block| self.popularity.borrow().mean_tokens(block.id));
        Some(split::classify(mean.unwrap_or(own), max_gap, per_s))
    }

    /// Endpoints for prompts of this size; all of them if engines aren't divided.
    fn engines_for<'a>(
        &self,
        view: &'a View,
        prompt_size: PromptSize,
        service: &Service,
        usable: Vec<&'a KnownEndpoint>,
        now: BootTime,
    ) -> Vec<&'a KnownEndpoint> {
        let ids: Vec<&str> = view.usable(&service.id, now).map(|k| k.endpoint.id.as_str()).collect();
        let remote = self.digests.borrow().work(&service.id, now);
        let division = self.split.borrow_mut().divide(&service.id, ids.len(), remote, now);
        if division.changed {
            let (long, engines) = (division.long_engines, ids.len());
            info!(
                service = service.id,
                long,
                engines,
                wanted = division.wanted,
                per_s = self.loads.borrow().prefill_rate(&service.id),
                elsewhere = ?remote,
                "split: parts moved"
            );
        }
        if !(1..ids.len()).contains(&division.long_engines) {
            return usable;
        }
        let long_engines = split::long_engines(&service.id, &ids, division.long_engines);
        let fits = |known: &&&KnownEndpoint| {
            let gets_long = long_engines.contains(&known.endpoint.id.as_str());
            gets_long == (prompt_size == PromptSize::Long)
        };
        let fitting: Vec<&KnownEndpoint> = usable.iter().filter(fits).copied().collect();
        if fitting.is_empty() { usable } else { fitting }
    }

    /// Why no endpoint may get the request.
    fn pick_error(&self, view: &View, service: &Service, tried: &[String], now: BootTime) -> PickError {
        if let Some(interval) = self.limited_interval(view, service, tried, now) {
            return PickError::Limited(interval);
        }
        if let Some(wait) = self.room_wait(view, service, tried, now) {
            return PickError::NoRoom(wait);
        }
        let notices = self.notices.borrow();
        let usable = view.usable(&service.id, now);
        let states: Vec<Availability> = usable.map(|k| notices.availability(&k.endpoint, now)).collect();
        let pauses = states.iter().filter_map(|state| match state {
            Availability::Paused(until) => Some(*until),
            Availability::Available | Availability::Leaving => None,
        });
        match pauses.min() {
            _ if states.contains(&Availability::Available) => PickError::NoEndpoint,
            Some(until) => PickError::Paused(until),
            None if states.is_empty() => PickError::NoEndpoint,
            None => PickError::Leaving,
        }
    }

    fn health_state(&self, known: &KnownEndpoint, now: BootTime) -> HealthState {
        let loads = self.loads.borrow();
        loads
            .get(&known.endpoint.id)
            .map_or(HealthState::Healthy, |load| load.health.state(now))
    }

    /// An ejected endpoint that may be tried again with this request.
    fn trial_choice<'a>(
        &self,
        request: &RoutedRequest,
        available: &[&'a KnownEndpoint],
        now: BootTime,
    ) -> Option<Choice<'a>> {
        if !request.route.kind.is_idempotent() {
            return None;
        }
        let known = available
            .iter()
            .find(|known| self.health_state(known, now) == HealthState::Trial)?;
        self.loads
            .borrow_mut()
            .get_or_insert(&known.endpoint.id)
            .health
            .begin_trial();
        Some(Choice {
            known,
            uncached: request.prompt.tokens,
            ahead: 0,
        })
    }

    /// Healthy endpoints; all of them if too many are ejected, since then the endpoints aren't the cause.
    fn healthy<'a>(&self, available: Vec<&'a KnownEndpoint>, now: BootTime) -> Vec<&'a KnownEndpoint> {
        let works = |known: &&&KnownEndpoint| self.health_state(known, now) == HealthState::Healthy;
        let healthy: Vec<&KnownEndpoint> = available.iter().filter(works).copied().collect();
        let enough = healthy.len() as f64 >= available.len() as f64 * (1.0 - MAX_EJECTED_SHARE);
        if enough { healthy } else { available }
    }

    fn cheapest<'a>(
        &self,
        request: &RoutedRequest,
        service: &Service,
        usable: &[&'a KnownEndpoint],
        instances: usize,
        remote: &HashMap<u32, RemoteLoad>,
        now: BootTime,
    ) -> Option<Choice<'a>> {
        let candidate = |known: &&'a KnownEndpoint| Candidate {
            same_zone: known.endpoint.zone == self.settings.zone,
            known,
        };
        let candidates: Vec<Candidate<'a>> = usable.iter().map(candidate).collect();
        let query = Query {
            service,
            prompt: &request.prompt,
            latency_target: request.route.latency_target,
            preferred_count: self.preferred_count(request, service, instances, now),
        };
        let inputs = Inputs {
            loads: &self.loads.borrow(),
            remote,
            tie_break_key: &self.settings.instance,
            now,
        };
        choose(&candidates, query, inputs)
    }

    /// Number of engines that should cache the deepest shared block of the prompt.
    fn preferred_count(&self, request: &RoutedRequest, service: &Service, instances: usize, now: BootTime) -> usize {
        let Some(block) = shared_blocks(&request.prompt).last() else {
            return 1;
        };
        let own = request.prompt.blocks.last().map_or(0, |own| own.tokens);
        let per_s = self.loads.borrow().prefill_rate(&service.id);
        let prefill_time = Duration::from_secs_f64(f64::from(own) / per_s.max(1.0));
        self.popularity
            .borrow()
            .preferred_count(block.id, instances, prefill_time, now)
    }

    fn admits(
        &self,
        request: &RoutedRequest,
        service: &Service,
        engines: usize,
        instances: usize,
        now: BootTime,
    ) -> bool {
        let Some(engine_tokens) = service.engine_tokens else {
            return true;
        };
        let capacity = Capacity {
            tokens: engine_tokens as f64 * engines as f64,
            remote_tokens: self.digests.borrow().tokens_in_flight(&service.id, instances - 1, now),
            instances,
        };
        let tokens = total_tokens(&request.prompt);
        self.tokens_in_flight
            .borrow()
            .admits(&service.id, tokens, capacity, request.urgency)
    }

    /// Counts a request at its endpoint, whichever way that was chosen.
    fn reserve(
        self: &Rc<Self>,
        service: &Service,
        choice: &Choice<'_>,
        request: &RoutedRequest,
        reserving: Reserving<'_, P>,
    ) -> Pick<P> {
        let Reserving {
            prompt_size,
            instances,
            source,
            flight,
            now,
        } = reserving;
        if let Some(per_s) = self.rate(service, choice.known, now) {
            let id = &choice.known.endpoint.id;
            let rank = request.urgency.rank();
            self.rate_limiter
                .borrow_mut()
                .record_rank(id, per_s, instances, rank, now);
        }
        self.count_sent(service, request, &choice.known.endpoint, now);
        let tokens = total_tokens(&request.prompt);
        let limit_per_s = self.named_limits.borrow().per_s(&choice.known.endpoint);
        if limit_per_s.is_some() {
            self.counters.limited_requests.inc();
        }
        if let Some(prompt_size) = prompt_size {
            let per_s = self.loads.borrow().prefill_rate(&service.id);
            let prefill_time = Duration::from_secs_f64(f64::from(choice.uncached) / per_s.max(1.0));
            let max_output_tokens = request.prompt.max_output_tokens;
            self.split
                .borrow_mut()
                .record_request(&service.id, prompt_size, prefill_time, max_output_tokens, now);
        }
        if let Some(block) = shared_blocks(&request.prompt).last() {
            self.popularity
                .borrow_mut()
                .record(block.id, request.prompt.tokens, now);
        }
        self.tokens_in_flight.borrow_mut().begin(&service.id, tokens);
        let flight = self.begin_flight(
            request,
            service,
            &choice.known.endpoint.id,
            choice.uncached,
            flight,
            now,
        );
        self.count_placement(source);
        let reservation = self
            .loads
            .borrow_mut()
            .reserve(&service.id, choice, &request.prompt, now);
        Pick {
            endpoint: choice.known.endpoint.clone(),
            in_flight: InFlight {
                edge: self.clone(),
                reservation,
                flight,
                service: service.id.clone(),
                tokens,
                max_output_tokens: request.prompt.max_output_tokens,
                slots: service.engine_slots.unwrap_or(0),
                began_at: None,
                max_gap: self.view.borrow().catalog().tightest_gap(&service.id),
                gap: Duration::ZERO,
            },
            at: now,
            limit_per_s,
            placed_by: source,
        }
    }
}

/// What decides on this instance's part of endpoints with limits.
pub(super) struct Shares<'a> {
    pub(super) instances: &'a Instances,
    rooms: &'a Rooms,
    pub(super) urgency: Urgency,
    /// Whether there may be instances that this one doesn't hear.
    pub(super) may_be_apart: bool,
}

/// How a request is counted at its endpoint.
struct Reserving<'a, P: Protocol> {
    prompt_size: Option<PromptSize>,
    instances: &'a Instances,
    source: Source,
    /// Set if a coordinator has counted the request there.
    flight: Option<Flight<P>>,
    now: BootTime,
}

impl<'a, P: Protocol> Reserving<'a, P> {
    fn by_self(source: Source, prompt_size: Option<PromptSize>, instances: &'a Instances, now: BootTime) -> Self {
        Reserving {
            prompt_size,
            instances,
            source,
            flight: None,
            now,
        }
    }
}

/// Tokens of a prompt and its longest response.
fn total_tokens(prompt: &Prompt) -> f64 {
    f64::from(prompt.tokens) + f64::from(prompt.max_output_tokens)
}
