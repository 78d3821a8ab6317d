//! Forwards a request: picks an endpoint, sends the request there, and returns the final response.
//!
//! A request that may run at most once is sent again only if it certainly did not run: there was no connection, the
//! response says so, or another process now listens at the endpoint's address. An idempotent request is also sent again
//! after a failure, within the attempts of its route and the retry budget. To relay means to send an endpoint's response
//! to the caller.

mod body;
mod continuity;
mod foreign;
mod go_on;
mod handed;
mod headers;
mod proof;
mod refusal;
mod send;
mod stream;

use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::Service;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_types::{BootTime, now_boot};
use http::StatusCode;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::edge::{BY_SELF, Edge, Pick, PickError, Placement, Source, TooLate};
use crate::health::Outcome;
use crate::metrics::{RequestLabels, RouteLabel};
use crate::protocol::{Protocol, kind_name};
use crate::request::{self, Denial, RoutedRequest};
use crate::software::Software;
use crate::stop;

use body::Relayed;
use continuity::Continuity;
use refusal::{Refusal, RetryHint, refuse};
use send::{Backlog, Sent, Upstream};

/// Least time left for which a request is sent to an endpoint; in less time it can't finish.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);
/// Wait that a caller is asked for whose request is withheld.
const WITHHELD_WAIT: Duration = Duration::from_secs(30);
/// Cause of a request that arrived after the signal to stop.
const STOPPING: &str = "stopping";
/// Cause of a request that ran out of time.
const DEADLINE: &str = "deadline";
/// A request is refused after more attempts that certainly did not run than this; the route's limit doesn't count them.
const MAX_REJECTIONS: u32 = 2;

/// HTTP handler for callers.
pub struct CallerHandler<P: Protocol>(pub Rc<Edge<P>>);

impl<P: Protocol> Handler for CallerHandler<P> {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        self.handle_from(Origin::Caller, req, out, cx).await;
    }
}

impl<P: Protocol> CallerHandler<P> {
    /// Handles a request of this origin.
    pub async fn handle_from(&self, origin: Origin, req: Request, out: Responder, cx: CancellationToken) {
        let edge = &self.0;
        edge.active_requests.set(edge.active_requests.get() + 1);
        serve(edge, origin, req, out, cx).await;
        edge.active_requests.set(edge.active_requests.get() - 1);
    }
}

/// Who sent a request to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The caller.
    Caller,
    /// A peer that reaches no endpoint.
    Peer {
        /// Attempts that may have run before, at peers that didn't finish them.
        attempts: u32,
    },
}

impl Origin {
    /// Attempts that may have run before this instance got the request.
    fn earlier_attempts(self) -> u32 {
        match self {
            Origin::Caller => 0,
            Origin::Peer { attempts } => attempts,
        }
    }
}

async fn serve<P: Protocol>(edge: &Rc<Edge<P>>, origin: Origin, req: Request, out: Responder, cx: CancellationToken) {
    let began = now_boot();
    let Some(routed) = cx.run_until_cancelled(route(edge, &req, began)).await else {
        return info!(
            path = req.uri.path(),
            "forward: the caller disconnected before its request was matched to a route"
        );
    };
    let request = match routed {
        Ok(request) => request,
        Err(denial) => {
            let refusal = Refusal::denied(denial);
            let position = edge.view.borrow().position();
            info!(
                path = req.uri.path(),
                cause = refusal.cause,
                config = edge.view.borrow().catalog().version(),
                era = position.era,
                revision = position.revision,
                "refuse: not forwarded"
            );
            return refuse(out, &refusal).await;
        }
    };
    let mut fwd = Forwarding {
        edge,
        origin,
        request: &request,
        req: &req,
        tried: Vec::new(),
        bound: None,
        has_events: false,
        may_have_run_count: origin.earlier_attempts(),
        rejected_count: 0,
        reached_endpoint: false,
        endpoint: String::new(),
        limit_per_s: None,
        framing: None,
        rest_bytes: 0,
        continuity: Continuity::new(request.take_up.as_ref().and_then(|t| t.last_event.clone())),
        placed_by: BY_SELF,
        placing: Duration::ZERO,
        queued: Duration::ZERO,
        first_byte: None,
        gap: Gap::default(),
    };
    // Dropping the future closes the endpoint's connection, so that the endpoint stops too. Boxed, since it is large
    // and would be moved several times per request.
    let work = Box::pin(fwd.forward(out));
    let ended = match cx.run_until_cancelled(work).await {
        Some(ended) => ended,
        None => End::new("caller-left", 0),
    };
    fwd.record_end(&ended);
}

/// Matches the request against the configuration. Waits until a new process may serve by it, and for the newest one if
/// the route or the customer isn't known; it isn't denied by one that is known to be older.
async fn route<P: Protocol>(edge: &Rc<Edge<P>>, req: &Request, began: BootTime) -> Result<RoutedRequest, Denial> {
    let has_config = edge.view.borrow().has_config();
    if has_config && !edge.may_serve(began) {
        edge.wait_until(|now| edge.may_serve(now)).await;
    }
    let route = |edge: &Edge<P>| {
        let catalog = edge.view.borrow().catalog().clone();
        request::route(req, &catalog, &edge.protocol, began)
    };
    let routed = route(edge);
    if !is_denied(&routed) || edge.may_deny(now_boot()) {
        return routed;
    }
    edge.catch_up().await;
    match route(edge) {
        routed if is_denied(&routed) && edge.is_config_behind(now_boot()) => Err(Denial::Outdated),
        routed => routed,
    }
}

/// Whether the configuration has no route or no key for the request.
fn is_denied(routed: &Result<RoutedRequest, Denial>) -> bool {
    matches!(routed, Err(Denial::NoRoute | Denial::NoCustomer))
}

/// When a caller whose request got no endpoint may retry.
fn retry_hint(error: PickError) -> RetryHint {
    match error {
        PickError::NoEndpoint | PickError::Leaving | PickError::Overload | PickError::NoSoftware => {
            RetryHint::AfterRandomDelay
        }
        PickError::PromptWithheld | PickError::RequestWithheld => RetryHint::After(WITHHELD_WAIT),
        PickError::Paused(until) => RetryHint::After(until.since(now_boot())),
        PickError::Limited(interval) => RetryHint::Spread(interval),
        PickError::NoRoom(wait) => RetryHint::Spread(wait),
    }
}

/// How a request ended.
struct End {
    cause: &'static str,
    /// HTTP status of the response; 0 if there was none.
    status: u16,
}

impl End {
    fn new(cause: &'static str, status: u16) -> End {
        End { cause, status }
    }
}

/// State of forwarding one request.
struct Forwarding<'a, P: Protocol> {
    edge: &'a Rc<Edge<P>>,
    origin: Origin,
    request: &'a RoutedRequest,
    req: &'a Request,
    tried: Vec<String>,
    /// The software that wrote the first event of the stream.
    bound: Option<Software>,
    /// Whether an event was passed on.
    has_events: bool,
    /// Attempts that may have run; `ran` in logs.
    may_have_run_count: u32,
    /// Attempts that certainly did not run.
    rejected_count: u32,
    /// Whether an attempt reached an endpoint; a further one then counts as a retry.
    reached_endpoint: bool,
    endpoint: String,
    /// Rate limit that the endpoint had named when it was picked, in requests per second.
    limit_per_s: Option<f64>,
    /// How the body of the last response is delimited, by name.
    framing: Option<&'static str>,
    /// Bytes of an unfinished event at the end of the last stream.
    rest_bytes: usize,
    /// What the caller has of a stream.
    continuity: Continuity,
    /// Who chose the last endpoint.
    placed_by: Source,
    /// Time that asking coordinators took.
    placing: Duration,
    /// Part of it that the request waited for an engine.
    queued: Duration,
    /// Time from the start to the first byte of a response.
    first_byte: Option<Duration>,
    /// The longest gap between two events.
    gap: Gap,
}

/// Gap between two events of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct Gap {
    length: Duration,
    /// Start of the gap, counted from the start of the request.
    offset: Duration,
    /// Requests of this instance at the endpoint when the gap ended.
    backlog: Backlog,
}

/// What follows an attempt.
enum Next {
    /// Try another endpoint.
    Retry,
    /// Give up with this cause.
    GiveUp(&'static str),
}

impl<P: Protocol> Forwarding<'_, P> {
    async fn forward(&mut self, out: Responder) -> End {
        let edge = self.edge;
        let since = edge.stopping_since.get().map(|at| now_boot().since(at));
        if !stop::accepts_requests(since) {
            return self.give_up(out, STOPPING).await;
        }
        if let Some(take_up) = &self.request.take_up {
            match edge.resolve_take_up(self.request, take_up).await {
                Ok(software) => self.bound = Some(software),
                Err(doubt) => return self.give_up(out, doubt.cause()).await,
            }
        }
        let service = match self.bound {
            Some(bound) => edge.service_with(&self.request.route, bound),
            None => edge.choose_service(&self.request.route),
        };
        let Some(service) = service else {
            let cause = self.bound.map_or("no-service", |_| PickError::NoSoftware.cause());
            return self.give_up(out, cause).await;
        };
        let mut out = match self.hand_over_if_cut_off(out, &service).await {
            Ok(ended) => return ended,
            Err(out) => out,
        };
        edge.retry_budget.borrow_mut().count_request(&service.id, now_boot());
        loop {
            if self.time_left() < MIN_TIME_LEFT {
                return self.give_up(out, DEADLINE).await;
            }
            let placement = match edge.place(self.request, &service, &self.tried, self.bound).await {
                Ok(placement) => placement,
                Err(TooLate(wait)) => {
                    return self
                        .give_up_for(out, PickError::Overload.cause(), RetryHint::Spread(wait))
                        .await;
                }
            };
            self.note_placement(&placement);
            let pick = match edge.pick(self.request, &service, &self.tried, self.bound, placement) {
                Ok(pick) => pick,
                Err(error) => return self.give_up_for(out, error.cause(), retry_hint(error)).await,
            };
            if self.reached_endpoint && !edge.take_retry(&service.id) {
                return self.give_up(out, "no-repeat-left").await;
            }
            self.note_pick(&pick);
            let sent = send::send(self, &service, pick).await;
            let next = match sent {
                Sent::Response(upstream) if self.is_final(&upstream) => {
                    match self.relay(out, upstream, &service).await {
                        Relayed::Ended(end) => return end,
                        Relayed::Broken {
                            out: unused,
                            cause,
                            may_repeat,
                        } => {
                            out = unused;
                            self.after_run(cause, may_repeat)
                        }
                    }
                }
                Sent::Response(upstream) => {
                    upstream.end(Outcome::Bad);
                    self.after_run("endpoint-failed", true)
                }
                Sent::Rejected(cause) => {
                    self.reached_endpoint = true;
                    self.rejected_count += 1;
                    self.after_rejection(cause)
                }
                Sent::Unreached(cause) => {
                    self.rejected_count += 1;
                    self.after_rejection(cause)
                }
                Sent::Broken { cause, may_repeat } => self.after_run(cause, may_repeat),
            };
            if let Next::GiveUp(cause) = next {
                out = match self.hand_over_unreached(out, &service).await {
                    Ok(ended) => return ended,
                    Err(out) => out,
                };
                return self.give_up(out, cause).await;
            }
        }
    }

    fn note_placement(&mut self, placement: &Placement<P>) {
        self.placing += placement.took;
        self.queued += placement.queued;
    }

    fn note_pick(&mut self, pick: &Pick<P>) {
        self.placed_by = pick.placed_by;
        self.tried.push(pick.endpoint.id.clone());
        self.endpoint.clone_from(&pick.endpoint.id);
        self.limit_per_s = pick.limit_per_s;
    }

    /// Whether a response goes to the caller: all but a server error after which another endpoint may be tried.
    fn is_final(&self, upstream: &Upstream<P>) -> bool {
        let failed = upstream.response.status.is_server_error();
        !failed || !self.may_run_again()
    }

    /// Whether a further attempt is allowed if the current one, which isn't counted yet, fails.
    fn may_run_again(&self) -> bool {
        let route = &self.request.route;
        route.kind.is_idempotent()
            && self.may_have_run_count + 1 < route.max_attempts
            && self.time_left() > MIN_TIME_LEFT * 2
    }

    fn after_rejection(&self, cause: &'static str) -> Next {
        if self.rejected_count > MAX_REJECTIONS {
            return Next::GiveUp(cause);
        }
        Next::Retry
    }

    /// Counts a failed attempt that may have run; `may_repeat` tells whether its content may be sent again.
    fn after_run(&mut self, cause: &'static str, may_repeat: bool) -> Next {
        self.reached_endpoint = true;
        self.may_have_run_count += 1;
        if may_repeat {
            self.after_failure(cause)
        } else {
            Next::GiveUp(cause)
        }
    }

    /// Called when the failed attempt has been counted.
    fn after_failure(&self, cause: &'static str) -> Next {
        let route = &self.request.route;
        if self.time_left() < MIN_TIME_LEFT {
            return Next::GiveUp(DEADLINE);
        }
        if route.kind.is_idempotent() && self.may_have_run_count < route.max_attempts {
            return Next::Retry;
        }
        Next::GiveUp(cause)
    }

    /// Time until the caller or the route stops waiting, or a stopping process must have responded.
    fn time_left(&self) -> Duration {
        let grace = self.edge.settings.bounds.grace();
        let stop_deadline = self
            .edge
            .stopping_since
            .get()
            .map(|at| stop::response_deadline(at, grace));
        let deadline = self.request.deadline;
        stop_deadline
            .map_or(deadline, |stop| deadline.min(stop))
            .since(now_boot())
    }

    async fn relay(&mut self, out: Responder, upstream: Box<Upstream<P>>, service: &Rc<Service>) -> Relayed {
        self.framing = Some(upstream.response.framing.name());
        let stream = self.request.route.kind.is_stream() && upstream.is_success;
        if stream {
            return Relayed::Ended(stream::relay(self, out, upstream, service).await);
        }
        body::relay(self, out, upstream).await
    }

    /// Refuses the request: as not run if that is certain, as failed otherwise.
    async fn give_up(&self, out: Responder, cause: &'static str) -> End {
        let retry_hint = if cause == STOPPING {
            RetryHint::AtOnce
        } else {
            RetryHint::AfterRandomDelay
        };
        self.give_up_for(out, cause, retry_hint).await
    }

    async fn give_up_for(&self, out: Responder, cause: &'static str, retry_hint: RetryHint) -> End {
        let refusal = if self.may_have_run_count == 0 {
            Refusal::not_run(cause, self.time_left(), retry_hint)
        } else if cause == DEADLINE {
            Refusal::failed(StatusCode::GATEWAY_TIMEOUT, cause)
        } else {
            Refusal::failed(StatusCode::BAD_GATEWAY, cause)
        };
        let status = refusal.status.as_u16();
        refuse(out, &refusal).await;
        End::new(cause, status)
    }

    fn record_end(&self, end: &End) {
        let edge = self.edge;
        let took = now_boot().since(self.request.began);
        edge.counters.response_time.observe(took.as_secs_f64());
        let label = RequestLabels {
            outcome: end.cause,
            status: end.status,
        };
        edge.counters.requests.get_or_create(&label).inc();
        if !self.gap.length.is_zero() {
            let route = self.request.route.name.clone();
            let of_route = edge.counters.stream_gap.get_or_create(&RouteLabel { route });
            of_route.observe(self.gap.length.as_secs_f64());
        }
        let position = edge.view.borrow().position();
        let customer = self.request.customer.as_ref().map(|c| c.id.as_str());
        info!(
            request = self.request.id,
            content = format!("{:x}", self.request.content),
            route = self.request.route.name,
            kind = kind_name(self.request.route.kind),
            customer,
            endpoint = self.endpoint,
            takes_up = self
                .request
                .take_up
                .as_ref()
                .map(|t| t.first_request.as_deref().unwrap_or("-")),
            placed_by = self.placed_by,
            place_ms = self.placing.as_millis() as u64,
            queued_ms = self.queued.as_millis() as u64,
            tried = self.tried.len(),
            limit_per_s = self.limit_per_s,
            ran = self.may_have_run_count,
            cause = end.cause,
            status = end.status,
            framing = self.framing,
            rest_bytes = self.rest_bytes,
            first_ms = self.first_byte.map(|t| t.as_millis() as u64),
            gap_ms = self.gap.length.as_millis() as u64,
            gap_at_ms = self.gap.offset.as_millis() as u64,
            gap_unread = self.gap.backlog.queued_tokens,
            gap_running = self.gap.backlog.running,
            prompt = self.request.prompt.tokens,
            ms = took.as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
            era = position.era,
            revision = position.revision,
            "forward: ended"
        );
    }
}
