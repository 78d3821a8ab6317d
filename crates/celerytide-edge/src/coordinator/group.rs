//! Decisions of the coordinator of one group.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_catalog::{KnownEndpoint, Service};
use celerytide_types::BootTime;

use super::bounds::bounded;
use super::cost::{Context, Need, RatedEngine, rate};
use super::engine::Engine;
use super::ledger::{FlightKey, Ledger};
use super::messages::{
    Advice, Block, FlightEntry, IdHash, PlaceRequest, PlacementId, Reply, Report, Sign, Verdict, wire_ms,
};
use super::queue::{Queue, Waiting};
use crate::health::HealthState;
use crate::peers::digest::id_hash;

/// Share of the time left that the wait for an engine may take; more leaves too little for the response.
const MAX_WAIT_SHARE: f64 = 0.75;
/// Share of the latency target after which a waiting request goes to the best engine whether or not it has room, if it can
/// still meet its target there.
const PLACE_ANYWAY_SHARE: f64 = 0.5;
/// Share of the time left after which a request that can't meet its target goes to the best engine: a late response is
/// still useful to its caller.
const LATE_PLACE_ANYWAY_SHARE: f64 = 0.35;
/// The same as a multiple of its latency target: callers give a stream up that has no first event for some time.
const MAX_TARGETS: u32 = 2;
/// Latency target of a request without one.
const DEFAULT_TARGET: Duration = Duration::from_secs(1);
/// Largest share of the engines that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// Waiting requests that are tried again after one event.
const MAX_TRIED: usize = 32;

/// Most requests in flight at endpoints that may get no more, by hash of their ids.
pub type Rooms = BTreeMap<IdHash, u32>;

/// Wait that a caller is asked for while all engines are shut.
const SHUT_WAIT: Duration = Duration::from_millis(100);

/// Engines of a group that may get requests now, by the coordinator's view.
#[derive(Debug, Clone, Copy)]
pub struct Engines<'a> {
    /// Their service.
    pub service: &'a Service,
    /// The engines; none of them is leaving, paused or limited in its rate.
    pub usable: &'a [&'a KnownEndpoint],
    /// Those that get requests only while they have room.
    pub rooms: &'a Rooms,
}

/// A reply and the instance that it goes to.
pub type Addressed = (SocketAddr, Reply);

/// State of the coordinator of one group.
#[derive(Debug, Default)]
pub struct Group {
    ledger: Ledger,
    queue: Queue,
}

impl Group {
    /// Requests that wait for an engine.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Counts of the requests in flight.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Decides where a request goes. Asked again for the same request, it repeats its decision.
    pub fn place(
        &mut self,
        request: &PlaceRequest,
        from: SocketAddr,
        home: Option<IdHash>,
        engines: Engines<'_>,
        now: BootTime,
    ) -> Verdict {
        let key = FlightKey { from, id: request.id };
        if let Some(advice) = self.ledger.advice(key) {
            return Verdict::Placed(advice);
        }
        let request = bounded(request, engines.service);
        if self.queue.note_asked(key, now) {
            let wait_ms = wire_ms(self.expected_wait(&request, engines, now));
            return Verdict::Queued { wait_ms };
        }
        let left = Duration::from_millis(u64::from(request.demand.left_ms));
        let deadline = now.after(left);
        if let Some(trial) = self.trial(&request, engines, now) {
            let verdict = self.reserve(key, &request, &trial, deadline, engines.service, now);
            self.ledger.begin_trial(key);
            return verdict;
        }
        let Some(best) = self.best(&request, home, left, engines, now) else {
            return Verdict::Unable;
        };
        let is_admitted = self.queue.admits(request.customer);
        // With room at an engine the request is never refused, even if it can't wait behind more urgent ones.
        if best.has_room && !(is_admitted && self.queue.has_more_urgent(request.urgency)) {
            return self.reserve(key, &request, &best, deadline, engines.service, now);
        }
        let wait = self.expected_wait(&request, engines, now);
        let wait_ms = wire_ms(wait);
        let is_too_late = !best.has_room && wait > left.mul_f64(MAX_WAIT_SHARE);
        if is_too_late || !is_admitted {
            let rated = self.rated(&request, home, engines, now);
            let Some(best) = cheapest(rated.into_iter().filter(|rated| rated.has_room)) else {
                return Verdict::Refused { wait_ms };
            };
            if !(is_admitted && self.queue.has_more_urgent(request.urgency)) {
                return self.reserve(key, &request, &best, deadline, engines.service, now);
            }
        }
        self.queue.push(Waiting {
            key,
            since: now,
            place_anyway_at: deadline.min(now.after(target(&request).mul_f64(PLACE_ANYWAY_SHARE))),
            asked_at: now,
            deadline,
            is_late: false,
            request,
        });
        Verdict::Queued { wait_ms }
    }

    /// Places waiting requests for which an engine has room, and those that waited long enough; refuses those whose callers
    /// stop waiting.
    pub fn retry_waiting(
        &mut self,
        home: impl Fn(&PlaceRequest) -> Option<IdHash>,
        engines: Engines<'_>,
        now: BootTime,
    ) -> Vec<Addressed> {
        let mut replies = Vec::new();
        // Requests from this urgency on must not take the room that one before them waits for.
        let mut blocked_from = u16::MAX;
        for waiting in self.queue.to_try(MAX_TRIED, now) {
            let urgency = waiting.request.urgency;
            let is_due = waiting.place_anyway_at <= now;
            if urgency >= blocked_from && !is_due {
                continue;
            }
            let best = self.best(
                &waiting.request,
                home(&waiting.request),
                waiting.deadline.since(now),
                engines,
                now,
            );
            let becomes_late = best.as_ref().is_some_and(|best| {
                let waits_on = best.is_shut || (!best.has_room && !meets_target(&waiting, best, now));
                is_due && !waiting.is_late && waits_on
            });
            if becomes_late && now < waiting.deadline {
                self.queue.set_late(waiting.key, late_placed_anyway_at(&waiting));
                // It waits behind others of its urgency, but before less urgent ones.
                blocked_from = blocked_from.min(urgency.saturating_add(1));
                continue;
            }
            match self.verdict(&waiting, best, is_due, engines.service, now) {
                Some(verdict) => replies.push(self.answer(&waiting, verdict)),
                None => blocked_from = blocked_from.min(urgency),
            }
        }
        replies
    }

    /// What becomes of a waiting request; `None` if it goes on waiting.
    fn verdict(
        &mut self,
        waiting: &Waiting,
        best: Option<RatedEngine<'_>>,
        is_due: bool,
        service: &Service,
        now: BootTime,
    ) -> Option<Verdict> {
        match best {
            _ if waiting.deadline <= now => Some(Verdict::Refused { wait_ms: 0 }),
            None => Some(Verdict::Unable),
            Some(best) if best.is_shut && is_due => Some(Verdict::Refused {
                wait_ms: wire_ms(SHUT_WAIT),
            }),
            Some(best) if best.has_room || is_due => {
                let Waiting { key, deadline, .. } = *waiting;
                Some(self.reserve(key, &waiting.request, &best, deadline, service, now))
            }
            Some(_) => None,
        }
    }

    fn answer(&mut self, waiting: &Waiting, verdict: Verdict) -> Addressed {
        self.queue.remove(waiting.key);
        let id = waiting.key.id;
        (waiting.key.from, Reply { id, verdict })
    }

    /// Counts a request that an instance placed itself.
    pub fn note_sent(
        &mut self,
        from: SocketAddr,
        flight: FlightEntry,
        blocks: &[Block],
        service: &Service,
        now: BootTime,
    ) {
        self.ledger
            .add(FlightKey { from, id: flight.id }, flight, blocks, service, now);
    }

    /// Records the first byte of a response.
    pub fn note_started(&mut self, key: FlightKey, took: Duration) {
        self.ledger.start(key, took);
    }

    /// Removes a request that ended, or was given up while it waited.
    pub fn note_ended(&mut self, key: FlightKey) {
        self.queue.remove(key);
        self.ledger.end(key);
    }

    /// Replaces what is known of the requests of one instance.
    pub fn apply_report(&mut self, from: SocketAddr, report: &Report, service: &Service, now: BootTime) {
        self.ledger.apply_report(from, report, service, now);
    }

    /// Records a sign of an endpoint's health; returns whether its state changed.
    pub fn note_outcome(&mut self, endpoint: IdHash, sign: Sign, engines: Engines<'_>, now: BootTime) -> bool {
        let ids: Vec<IdHash> = engines.usable.iter().map(|known| id_hash(&known.endpoint.id)).collect();
        self.ledger.record_outcome(endpoint, sign, &ids, now)
    }

    /// Forgets cached blocks and health of an endpoint that restarted or is gone.
    pub fn reset(&mut self, endpoint: IdHash) {
        self.ledger.reset(endpoint);
    }

    /// Drops requests that expired, whose instance is silent or that aren't asked for any more.
    pub fn sweep(&mut self, now: BootTime) {
        self.ledger.sweep(now);
        self.queue.sweep(now);
    }

    /// Requests of this instance that wait or are in flight.
    pub fn holds(&self, from: SocketAddr, id: PlacementId) -> bool {
        let key = FlightKey { from, id };
        self.queue.contains(key) || self.ledger.endpoint_of(key).is_some()
    }

    /// Time until the least loaded engine can begin a request, if the engines share those that wait before it evenly.
    fn expected_wait(&self, request: &PlaceRequest, engines: Engines<'_>, now: BootTime) -> Duration {
        let candidates = self.healthy(request, engines, now);
        let queued = |known: &&KnownEndpoint| {
            let engine = self.ledger.engine(id_hash(&known.endpoint.id));
            engine.map_or(0, |engine| engine.tokens_ahead(request.urgency))
        };
        let least = candidates.iter().map(queued).min().unwrap_or_default() as f64;
        let waiting = self.queue.tokens_ahead(request.urgency) as f64;
        let tokens = least + waiting / candidates.len().max(1) as f64;
        Duration::from_secs_f64(tokens / self.ledger.per_s().max(1.0))
    }

    /// The cheapest engine. It may have no room: waiting for it may cost less than prefill of shared blocks elsewhere. An
    /// engine with room is taken instead if the request would miss its deadline otherwise.
    fn best<'a>(
        &self,
        request: &PlaceRequest,
        home: Option<IdHash>,
        left: Duration,
        engines: Engines<'a>,
        now: BootTime,
    ) -> Option<RatedEngine<'a>> {
        let rated = self.rated(request, home, engines, now);
        let open = cheapest(rated.iter().copied().filter(|rated| !rated.is_shut));
        let best = open.or_else(|| cheapest(rated.iter().copied()))?;
        if best.has_room || best.start <= left.mul_f64(MAX_WAIT_SHARE) {
            return Some(best);
        }
        let with_room = rated.into_iter().filter(|rated| rated.has_room);
        cheapest(with_room).or(Some(best))
    }

    fn rated<'a>(
        &self,
        request: &PlaceRequest,
        home: Option<IdHash>,
        engines: Engines<'a>,
        now: BootTime,
    ) -> Vec<RatedEngine<'a>> {
        let candidates = self.healthy(request, engines, now);
        let idle = Engine::default();
        let state = |known: &KnownEndpoint| self.ledger.engine(id_hash(&known.endpoint.id)).unwrap_or(&idle);
        let shared = request.demand.blocks.split_last().map_or(&[][..], |(_, shared)| shared);
        let engine_count = candidates.len().max(1) as f64;
        let all_shared = shared
            .iter()
            .fold(0, |sum: u32, block| sum.saturating_add(block.tokens));
        let cx = Context {
            service: engines.service,
            rooms: engines.rooms,
            per_s: self.ledger.per_s(),
            waiting: (f64::from(self.ledger.waiting()) + self.queue.len() as f64) / engine_count,
            mean_latency_ratio: self
                .ledger
                .mean_latency_ratio(candidates.iter().map(|known| id_hash(&known.endpoint.id))),
            is_cached_somewhere: candidates
                .iter()
                .any(|known| state(known).cached_tokens(shared, now) == all_shared),
            now,
        };
        let need = Need {
            demand: &request.demand,
            urgency: request.urgency,
            target: target(request),
            home,
        };
        let rated = candidates.into_iter().map(|known| rate(known, state(known), need, cx));
        rated.collect()
    }

    /// Untried healthy engines; all untried ones if too many are ejected, since then the engines aren't the cause.
    fn healthy<'a>(&self, request: &PlaceRequest, engines: Engines<'a>, now: BootTime) -> Vec<&'a KnownEndpoint> {
        let tried: HashSet<IdHash> = request.tried.iter().copied().collect();
        let untried = engines
            .usable
            .iter()
            .filter(|known| !tried.contains(&id_hash(&known.endpoint.id)));
        let untried: Vec<&KnownEndpoint> = untried.copied().collect();
        let is_healthy = |known: &&&KnownEndpoint| self.health(known, now) == HealthState::Healthy;
        let healthy: Vec<&KnownEndpoint> = untried.iter().filter(is_healthy).copied().collect();
        let enough = healthy.len() as f64 >= untried.len() as f64 * (1.0 - MAX_EJECTED_SHARE);
        if enough { healthy } else { untried }
    }

    fn health(&self, known: &KnownEndpoint, now: BootTime) -> HealthState {
        let engine = self.ledger.engine(id_hash(&known.endpoint.id));
        engine.map_or(HealthState::Healthy, |engine| engine.health.state(now))
    }

    /// An ejected engine that may be tried again with this request.
    fn trial<'a>(&self, request: &PlaceRequest, engines: Engines<'a>, now: BootTime) -> Option<RatedEngine<'a>> {
        if !request.is_idempotent {
            return None;
        }
        let is_trial = |known: &&&KnownEndpoint| {
            let is_untried = !request.tried.contains(&id_hash(&known.endpoint.id));
            is_untried && self.health(known, now) == HealthState::Trial
        };
        let known = engines.usable.iter().find(is_trial).copied()?;
        let cx = Context {
            service: engines.service,
            rooms: engines.rooms,
            per_s: self.ledger.per_s(),
            waiting: 0.0,
            mean_latency_ratio: None,
            is_cached_somewhere: false,
            now,
        };
        let need = Need {
            demand: &request.demand,
            urgency: request.urgency,
            target: Duration::ZERO,
            home: None,
        };
        let engine = self.ledger.engine(id_hash(&known.endpoint.id))?;
        let rated = rate(known, engine, need, cx);
        (!rated.is_shut).then_some(rated)
    }

    fn reserve(
        &mut self,
        key: FlightKey,
        request: &PlaceRequest,
        rated: &RatedEngine<'_>,
        deadline: BootTime,
        service: &Service,
        now: BootTime,
    ) -> Verdict {
        let demand = &request.demand;
        let advice = Advice {
            endpoint: id_hash(&rated.known.endpoint.id),
            uncached: rated.uncached,
            ahead: rated.ahead.try_into().unwrap_or(u32::MAX),
            running: rated.running.try_into().unwrap_or(u16::MAX),
        };
        let entry = FlightEntry {
            id: key.id,
            endpoint: advice.endpoint,
            queued_tokens: rated.uncached,
            urgency: request.urgency,
            tokens: demand.tokens.saturating_add(demand.max_output_tokens),
            max_gap_ms: demand.max_gap_ms,
            left_ms: wire_ms(deadline.since(now)),
        };
        self.ledger.add(key, entry, &demand.blocks, service, now);
        Verdict::Placed(advice)
    }
}

fn cheapest<'a>(rated: impl Iterator<Item = RatedEngine<'a>>) -> Option<RatedEngine<'a>> {
    rated.reduce(|best, other| if other.is_better_than(&best) { other } else { best })
}

/// When a request that can't meet its latency target goes to the best engine whether or not that has room.
fn late_placed_anyway_at(waiting: &Waiting) -> BootTime {
    let left = waiting.deadline.since(waiting.since);
    let longest = left
        .mul_f64(LATE_PLACE_ANYWAY_SHARE)
        .min(target(&waiting.request) * MAX_TARGETS);
    waiting.since.after(longest).min(waiting.deadline)
}

/// Whether a waiting request meets its latency target at this engine.
fn meets_target(waiting: &Waiting, best: &RatedEngine<'_>, now: BootTime) -> bool {
    now.since(waiting.since) + best.start <= target(&waiting.request)
}

/// Latency target of a request, or a default.
fn target(request: &PlaceRequest) -> Duration {
    match request.target_ms {
        0 => DEFAULT_TARGET,
        ms => Duration::from_millis(u64::from(ms)),
    }
}
