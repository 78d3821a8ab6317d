//! Placement of requests by coordinators: asks for it, and tells coordinators what is in flight.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Service, View};
use celerytide_types::{BootTime, EndpointId, now_boot};
use monoio::time::timeout;
use tracing::info;

use super::Edge;
use crate::coordinator::bounds::leading_blocks;
use crate::coordinator::groups::home;
use crate::coordinator::messages::{
    Advice, Block, Demand, Event, FlightEntry, GroupKey, PlaceRequest, PlacementId, Reply, Sign, Verdict, wire_ms,
};
use crate::coordinator::{OwnFlight, Pending};
use crate::health::Outcome;
use crate::metrics::{CauseLabel, SourceLabel};
use crate::peers::digest::id_hash;
use crate::placement::shared_blocks;
use crate::protocol::{Prompt, PromptBlock, Protocol};
use crate::request::RoutedRequest;
use crate::software::Software;

/// Shortest gap between two events up to which coordinators place the prompts of a service. An engine prefills other prompts
/// between the tokens of an event; streams that allow less need engines of their own, which dividing the engines gives and a
/// coordinator doesn't.
const MIN_GAP: Duration = Duration::from_millis(200);
/// Share of the latency target for which a coordinator's reply is awaited.
const WAIT_SHARE: f64 = 0.1;
/// Least and longest wait for a coordinator's reply.
const WAIT_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));
/// Multiple of it where an endpoint has a rejection limit: hardly any request can be placed without a reply.
const LIMITED_WAITS: u32 = 3;
/// Share of that wait after which the question is repeated: the first one or its reply may be lost.
const REPEAT_SHARE: f64 = 0.4;
/// Interval at which the coordinator is asked about a request that waits there.
const QUEUED_INTERVAL: Duration = Duration::from_millis(150);
/// Such questions without a reply after which a request is placed by this instance.
const MAX_MISSES: u32 = 2;

/// Who placed a request, a stable text.
pub type Source = &'static str;
/// The coordinator of the engine's group.
pub const BY_COORDINATOR: Source = "coordinator";
/// This instance: the service has no coordinators, none can be asked, or the stream is bound to a software version.
pub const BY_SELF: Source = "self";
/// This instance: the coordinator gave no reply in time.
pub const BY_SELF_TIMEOUT: Source = "self-timeout";
/// This instance: the coordinator knows no engine for it or is stopping, or the deadline passed while it waited.
pub const BY_SELF_UNABLE: Source = "self-unable";
/// This instance: the request tests whether an ejected endpoint has recovered.
pub const BY_SELF_TRIAL: Source = "self-trial";
/// This instance: an endpoint with a limited rate is better than the advised one.
pub const BY_SELF_LIMITED: Source = "self-limited";
/// This instance: the advised endpoint may not get it.
pub const BY_SELF_UNUSABLE: Source = "self-unusable";

/// A request that coordinators know of; it ends there when this is dropped.
pub struct Flight<P: Protocol> {
    edge: Rc<Edge<P>>,
    id: PlacementId,
}

impl<P: Protocol> Flight<P> {
    /// Records the first byte of the response.
    pub fn start(&self, took: Duration) {
        self.edge.placements.borrow_mut().start(self.id, took);
        self.edge.placement_events.notify_one();
    }
}

impl<P: Protocol> Drop for Flight<P> {
    fn drop(&mut self) {
        self.edge.placements.borrow_mut().end(self.id);
        self.edge.placement_events.notify_one();
    }
}

/// What came of asking a coordinator.
pub struct Placement<P: Protocol> {
    /// Who is to place the request.
    pub source: Source,
    /// Time that asking took.
    pub took: Duration,
    /// Part of it that the request waited for an engine.
    pub queued: Duration,
    pub(super) advice: Option<(Advice, Flight<P>)>,
}

impl<P: Protocol> Placement<P> {
    /// The request is placed by this instance.
    pub fn by_self(source: Source) -> Placement<P> {
        Placement {
            source,
            took: Duration::ZERO,
            queued: Duration::ZERO,
            advice: None,
        }
    }
}

/// A coordinator expects that the request can't begin in time; the work ahead of it takes this long.
#[derive(Debug, Clone, Copy)]
pub struct TooLate(pub Duration);

/// One question to a coordinator.
struct Question {
    coordinator: SocketAddr,
    request: PlaceRequest,
    /// When its caller stops waiting.
    deadline: BootTime,
    /// Time for which a reply is awaited.
    wait: Duration,
    pending: Rc<Pending>,
}

impl<P: Protocol> Edge<P> {
    /// Whether the requests of a service are placed by coordinators.
    pub fn has_coordinators(&self, service: &Service, now: BootTime) -> bool {
        let is_placed = service.engine_slots.is_some() || self.has_rejection_limit(service, now);
        let is_on = self.settings.placement.is_some() && is_placed;
        let gap = self.view.borrow().catalog().tightest_gap(&service.id);
        is_on && gap.is_none_or(|gap| gap >= MIN_GAP) && self.members.borrow().is_large(now)
    }

    /// Asks the coordinator of the request's group for an endpoint.
    pub async fn place(
        self: &Rc<Self>,
        request: &RoutedRequest,
        service: &Service,
        tried: &[EndpointId],
        bound: Option<Software>,
    ) -> Result<Placement<P>, TooLate> {
        let now = now_boot();
        // Coordinators don't distinguish versions of software.
        if bound.is_some() || !self.has_coordinators(service, now) {
            return Ok(Placement::by_self(BY_SELF));
        }
        let Some(question) = self.question(request, service, tried, now) else {
            return Ok(Placement::by_self(BY_SELF));
        };
        let flight = Flight {
            edge: self.clone(),
            id: question.request.id,
        };
        let mut queued_at = None;
        let verdict = self.ask(&question, request, &mut queued_at).await;
        let end = now_boot();
        let queued = queued_at.map_or(Duration::ZERO, |at| end.since(at));
        let mut placement = Placement {
            source: BY_COORDINATOR,
            took: end.since(now),
            queued,
            advice: None,
        };
        self.counters.place_seconds.observe(placement.took.as_secs_f64());
        if queued_at.is_some() {
            self.counters.queue_seconds.observe(queued.as_secs_f64());
        }
        match verdict {
            Some(Verdict::Placed(advice)) => placement.advice = Some((advice, flight)),
            Some(Verdict::Refused { wait_ms }) => {
                let cause = "too-late-or-full";
                self.counters.place_refusals.get_or_create(&CauseLabel { cause }).inc();
                return Err(TooLate(Duration::from_millis(u64::from(wait_ms))));
            }
            Some(Verdict::Unable | Verdict::Queued { .. }) => placement.source = BY_SELF_UNABLE,
            Some(Verdict::Stopping) => {
                self.placements.borrow_mut().note_stopping(question.coordinator, end);
                placement.source = BY_SELF_UNABLE;
            }
            None => {
                let coordinator = question.coordinator;
                self.placements.borrow_mut().suspect(coordinator, end);
                info!(%coordinator, request = request.id, "place: the coordinator gave no reply in time");
                placement.source = BY_SELF_TIMEOUT;
            }
        }
        Ok(placement)
    }

    fn question(
        &self,
        request: &RoutedRequest,
        service: &Service,
        tried: &[EndpointId],
        now: BootTime,
    ) -> Option<Question> {
        let view = self.view.borrow();
        let key = self.group_key(&view, &service.id, &request.prompt, request.content, now)?;
        let coordinator = self.coordinator(&service.id, key, now)?;
        let mut placements = self.placements.borrow_mut();
        let id = placements.next_id();
        let target = request.route.latency_target.unwrap_or_default();
        let customer = request.customer.as_ref().map_or(0, |customer| id_hash(&customer.id));
        let deadline = request.deadline;
        let wait = target.mul_f64(WAIT_SHARE).clamp(WAIT_RANGE.0, WAIT_RANGE.1);
        let waits = if self.has_rejection_limit(service, now) {
            LIMITED_WAITS
        } else {
            1
        };
        let request = PlaceRequest {
            id,
            key,
            demand: demand(request, service, now),
            urgency: request.urgency.position.try_into().unwrap_or(u16::MAX),
            customer,
            target_ms: wire_ms(target),
            is_idempotent: request.route.kind.is_idempotent(),
            tried: tried.iter().map(|id| id_hash(id)).collect(),
        };
        let pending = placements.expect(id, coordinator);
        Some(Question {
            coordinator,
            request,
            deadline,
            wait: wait * waits,
            pending,
        })
    }

    /// The coordinator's final verdict; `None` if it doesn't reply.
    async fn ask(
        &self,
        question: &Question,
        request: &RoutedRequest,
        queued_at: &mut Option<BootTime>,
    ) -> Option<Verdict> {
        let wait = question.wait;
        let repeat_after = wait.mul_f64(REPEAT_SHARE);
        let mut verdict = self.ask_once(question, repeat_after).await;
        if verdict.is_none() {
            verdict = self.ask_once(question, wait - repeat_after).await;
        }
        let mut misses = 0;
        while let Some(Verdict::Queued { wait_ms }) = verdict {
            if queued_at.is_none() {
                *queued_at = Some(now_boot());
                info!(request = request.id, coordinator = %question.coordinator, wait_ms, "place: queued");
            }
            let next = timeout(QUEUED_INTERVAL, question.pending.next()).await.ok();
            verdict = match next {
                Some(next) => Some(next),
                None if request.deadline <= now_boot() => return Some(Verdict::Unable),
                None => self.ask_once(question, wait).await,
            };
            misses = if verdict.is_none() { misses + 1 } else { 0 };
            if verdict.is_none() && misses < MAX_MISSES {
                verdict = Some(Verdict::Queued { wait_ms });
            }
        }
        verdict
    }

    async fn ask_once(&self, question: &Question, wait: Duration) -> Option<Verdict> {
        let mut place = question.request.clone();
        place.demand.left_ms = wire_ms(question.deadline.since(now_boot()));
        let event = Event::Place(place);
        self.placements.borrow_mut().tell(question.coordinator, event);
        self.placement_urgent.notify_one();
        timeout(wait, question.pending.next()).await.ok()
    }

    /// Records that a request is in flight at an endpoint; tells its coordinator unless that chose the endpoint.
    pub(super) fn begin_flight(
        self: &Rc<Self>,
        request: &RoutedRequest,
        service: &Service,
        endpoint: &str,
        uncached: u32,
        advised: Option<Flight<P>>,
        now: BootTime,
    ) -> Option<Flight<P>> {
        if !self.has_coordinators(service, now) {
            return None;
        }
        let key = self.group_of_endpoint(&service.id, endpoint, now)?;
        let coordinator = self.coordinator(&service.id, key, now)?;
        let demand = demand(request, service, now);
        let mut placements = self.placements.borrow_mut();
        let id = advised
            .as_ref()
            .map_or_else(|| placements.next_id(), |flight| flight.id);
        let entry = FlightEntry {
            id,
            endpoint: id_hash(endpoint),
            queued_tokens: uncached,
            urgency: request.urgency.position.try_into().unwrap_or(u16::MAX),
            tokens: demand.tokens.saturating_add(demand.max_output_tokens),
            max_gap_ms: demand.max_gap_ms,
            left_ms: demand.left_ms,
        };
        if advised.is_none() {
            let event = Event::Sent {
                key,
                flight: entry,
                blocks: demand.blocks,
            };
            placements.tell(coordinator, event);
            self.placement_events.notify_one();
        }
        let flight = OwnFlight {
            key,
            coordinator,
            entry,
            deadline: request.deadline,
        };
        placements.begin(id, flight);
        drop(placements);
        Some(advised.unwrap_or_else(|| Flight { edge: self.clone(), id }))
    }

    /// Tells the coordinator what a request says about its endpoint.
    pub(super) fn tell_outcome(&self, service: &str, endpoint: &str, outcome: Outcome) {
        let sign = match outcome {
            Outcome::Good => Sign::Good,
            Outcome::Bad => Sign::Bad,
            Outcome::Unreached => Sign::Unreached,
        };
        self.tell_sign(service, endpoint, sign);
    }

    pub(super) fn tell_sign(&self, service: &str, endpoint: &str, sign: Sign) {
        let now = now_boot();
        let known = self.view.borrow().catalog().service(service).cloned();
        if known.is_none_or(|service| !self.has_coordinators(&service, now)) {
            return;
        }
        let Some(key) = self.group_of_endpoint(service, endpoint, now) else {
            return;
        };
        let Some(coordinator) = self.coordinator(service, key, now) else {
            return;
        };
        let endpoint = id_hash(endpoint);
        let event = Event::Outcome { key, endpoint, sign };
        self.placements.borrow_mut().tell(coordinator, event);
        self.placement_events.notify_one();
    }

    /// Tells each coordinator all requests of this instance in its group.
    pub fn report_flights(&self, now: BootTime) {
        let reports = self.placements.borrow_mut().reports(now);
        let view = self.view.borrow();
        for report in reports {
            let key = report.key;
            let Some(service) = view
                .catalog()
                .services()
                .find(|service| id_hash(&service.id) == key.service)
            else {
                continue;
            };
            let Some(coordinator) = self.coordinator(&service.id, key, now) else {
                continue;
            };
            let mut placements = self.placements.borrow_mut();
            placements.redirect(key, coordinator);
            placements.tell(coordinator, Event::Report(report));
        }
        self.placement_events.notify_one();
    }

    /// Counts the outcome of a placement.
    pub fn count_placement(&self, source: Source) {
        self.counters.placements.get_or_create(&SourceLabel { source }).inc();
    }

    /// Applies the replies of a coordinator.
    pub fn apply_replies(&self, from: SocketAddr, replies: &[Reply]) {
        let mut placements = self.placements.borrow_mut();
        for reply in replies {
            placements.apply_reply(from, *reply);
        }
        // Late replies are answered.
        if placements.has_outgoing() {
            self.placement_events.notify_one();
        }
    }

    /// Group of the engines that should serve a prompt.
    fn group_key(&self, view: &View, service: &str, prompt: &Prompt, content: u64, now: BootTime) -> Option<GroupKey> {
        let block = shared_blocks(prompt).last().map(|block| block.id);
        let key = format!("{:x}", block.unwrap_or(content));
        let home = home(&key, view.usable(service, now).map(|known| known.endpoint.id.as_str()))?;
        self.key_of(view, service, home, now)
    }

    fn group_of_endpoint(&self, service: &str, endpoint: &str, now: BootTime) -> Option<GroupKey> {
        self.key_of(&self.view.borrow(), service, endpoint, now)
    }
}

fn demand(request: &RoutedRequest, service: &Service, now: BootTime) -> Demand {
    let prompt = &request.prompt;
    let block = |block: &PromptBlock| Block {
        id: block.id,
        tokens: block.tokens,
    };
    let blocks: Vec<Block> = prompt.blocks.iter().map(block).collect();
    Demand {
        blocks: leading_blocks(&blocks, service),
        tokens: prompt.tokens,
        max_output_tokens: prompt.max_output_tokens,
        max_gap_ms: request.route.max_event_gap.map_or(0, wire_ms),
        left_ms: wire_ms(request.deadline.since(now)),
    }
}
