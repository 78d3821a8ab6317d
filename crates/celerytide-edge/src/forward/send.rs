//! One attempt to send a request to one endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_catalog::Service;
use celerytide_http::client::{Bounds, Call, Cause, Response, SendError};
use celerytide_types::{BootTime, now_boot};
use http::header::HOST;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::Forwarding;
use super::headers::{self, Overrides};
use super::proof::{Claim, Proof};
use crate::edge::{Edge, InFlight, Pick};
use crate::health::Outcome;
use crate::peers::digest::start_hash;
use crate::placement::shared_blocks;
use crate::protocol::Protocol;
use crate::quarantine::{BreakOff, is_crash};
use crate::rate_limit::StatedLimit;
use crate::reach::Failure;
use crate::software::{Software, software};

/// Longest time for a new connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Share of the time left that a new connection may take.
const CONNECT_SHARE: f64 = 0.3;
/// Idle time after which a connection isn't used for a request that can't be retried: the endpoint may have closed it.
const FRESH_IDLE: Duration = Duration::from_millis(1200);
/// Share of the time left after which a silent endpoint is given up if another one may be tried.
const SILENCE_SHARE: f64 = 0.4;
/// Largest such share if the latency target of the route is longer.
const MAX_SILENCE_SHARE: f64 = 0.6;

/// Result of an attempt.
pub enum Sent<P: Protocol> {
    /// The head of a response arrived.
    Response(Box<Upstream<P>>),
    /// The request reached the endpoint, or another process at its address, and certainly did not run.
    Rejected(&'static str),
    /// The request wasn't sent: no connection.
    Unreached(&'static str),
    /// The request may have run, and no response came.
    Broken {
        /// Machine-readable cause, a stable text.
        cause: &'static str,
        /// Whether it may be sent to another endpoint as far as its content goes.
        may_repeat: bool,
    },
}

/// A response whose body follows, with the request still counted at its endpoint.
pub struct Upstream<P: Protocol> {
    /// The response.
    pub response: Response,
    /// Whether it proves that the request ran with success.
    pub is_success: bool,
    /// The service's id.
    pub service: String,
    /// The endpoint's id.
    endpoint: String,
    /// Start of the endpoint.
    pub start: Option<u64>,
    /// Version of its software.
    pub version: String,
    /// Its software, as it was when the endpoint was picked.
    pub software: Software,
    edge: Rc<Edge<P>>,
    in_flight: InFlight<P>,
    sent_at: BootTime,
    /// When the head of the response arrived.
    head_at: BootTime,
    has_begun: bool,
}

impl<P: Protocol> Upstream<P> {
    /// The next bytes of the body; `None` at its regular end.
    pub async fn next(&mut self) -> Option<Result<Bytes, SendError>> {
        let next = self.response.next().await;
        if !self.has_begun && matches!(next, Some(Ok(_))) {
            self.has_begun = true;
            self.in_flight.record_first_byte(now_boot().since(self.sent_at));
        }
        next
    }

    /// Records an event that came `gap` after the one before it.
    pub fn record_event_gap(&mut self, gap: Duration) {
        self.in_flight.record_event_gap(gap);
    }

    /// Requests of this instance at the endpoint now.
    pub fn backlog(&self) -> Backlog {
        let loads = self.edge.loads.borrow();
        loads.get(&self.endpoint).map_or(Backlog::default(), |load| Backlog {
            queued_tokens: load.queued_tokens(),
            running: load.running(),
        })
    }

    /// Time since the head of the response.
    pub fn head_age(&self) -> Duration {
        now_boot().since(self.head_at)
    }

    /// How far its stream had come when it broke off.
    pub fn break_off(&self, has_events: bool) -> BreakOff {
        BreakOff {
            endpoint: start_hash(&self.endpoint, self.start),
            head_age: Some(self.head_age()),
            has_events,
        }
    }

    /// Ends the request at this endpoint and records its outcome.
    pub fn end(self, outcome: Outcome) {
        self.edge.record(&self.service, &self.endpoint, outcome);
    }
}

/// Requests of this instance at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backlog {
    /// Uncached prompt tokens of requests without a first byte.
    pub queued_tokens: u64,
    /// Requests in flight.
    pub running: u32,
}

/// Sends the request to the picked endpoint; a stream of which the caller has events goes on after the last one.
pub async fn send<P: Protocol>(fwd: &Forwarding<'_, P>, service: &Service, pick: Pick<P>) -> Sent<P> {
    let edge = fwd.edge;
    let time_left = fwd.time_left();
    let overrides = Overrides {
        endpoint: &pick.endpoint.id,
        time_left,
        last_event: fwd.continuity.last_event(),
    };
    let mut call = Call::new(pick.endpoint.address, fwd.req.method.clone(), "/");
    fwd.req
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .clone_into(&mut call.path);
    call.headers = headers::to_endpoint(&fwd.req.headers, fwd.request, &edge.protocol, &overrides);
    call.host = fwd.req.headers.get(HOST).cloned();
    call.body = fwd.req.body.clone();
    call.max_idle = (!fwd.request.route.kind.is_idempotent()).then_some(FRESH_IDLE);
    call.bounds = bounds(fwd, time_left);
    let sent = edge.client.send(call, &CancellationToken::new()).await;
    let proof = Proof::of(&sent, &edge.protocol, fwd.request.route.kind);
    let error = match sent {
        Ok(response) => {
            edge.note_heard(&service.id, response.is_first);
            return read_head(fwd, service, pick, response, proof);
        }
        Err(error) => error,
    };
    let id = &pick.endpoint.id;
    info!(
        request = fwd.request.id,
        content = format!("{:x}", fwd.request.content),
        endpoint = id,
        start = pick.endpoint.start,
        %error,
        after_ms = since_ms(&pick),
        parts = ?shared_blocks(&fwd.request.prompt),
        "send: failed"
    );
    if let Some(failure) = failure(&error) {
        edge.note_unheard(&service.id, id, failure);
    }
    if error.may_have_run() {
        edge.record(&service.id, id, Outcome::Bad);
        return Sent::Broken {
            cause: "endpoint-broke-off",
            may_repeat: !is_crash(&error.source) || note_crash(fwd, service, &pick),
        };
    }
    edge.record(&service.id, id, Outcome::Unreached);
    Sent::Unreached("endpoint-unreachable")
}

/// What an attempt without a response says of the way to the endpoint; `None` if it says nothing.
fn failure(error: &SendError) -> Option<Failure> {
    if error.is_silence() {
        return Some(Failure::Silent);
    }
    if error.is_broken_off() {
        return Some(Failure::Ended);
    }
    let has_no_connection = matches!(error.source, Cause::Connect { .. } | Cause::ConnectTimeout);
    has_no_connection.then_some(Failure::Connect)
}

/// Notes that an endpoint broke off before the head of a response; returns whether the request may be sent again.
fn note_crash<P: Protocol>(fwd: &Forwarding<'_, P>, service: &Service, pick: &Pick<P>) -> bool {
    let at = BreakOff {
        endpoint: start_hash(&pick.endpoint.id, pick.endpoint.start),
        head_age: None,
        has_events: false,
    };
    fwd.edge.record_break_off(&service.id, fwd.request, at)
}

fn read_head<P: Protocol>(
    fwd: &Forwarding<'_, P>,
    service: &Service,
    pick: Pick<P>,
    response: Response,
    proof: Proof,
) -> Sent<P> {
    let edge = fwd.edge;
    let id = &pick.endpoint.id;
    let Proof::Own(claim) = proof else {
        let status = response.status.as_u16();
        info!(
            request = fwd.request.id,
            endpoint = id,
            status,
            "send: a response on a used connection names no request"
        );
        response.close();
        edge.record(&service.id, id, Outcome::Bad);
        return Sent::Broken {
            cause: "answer-unnamed",
            may_repeat: true,
        };
    };
    if claim == Claim::WrongEndpoint {
        info!(
            request = fwd.request.id,
            endpoint = id,
            on_used_connection = !response.is_first,
            "send: another process listens at the endpoint's address"
        );
        edge.record(&service.id, id, Outcome::Unreached);
        return Sent::Rejected("endpoint-replaced");
    }
    edge.record_answer(&pick.endpoint);
    edge.apply_notice(&pick.endpoint, edge.protocol.notice(response.status, &response.headers));
    let limit = edge.protocol.rate_limit(&response.headers);
    // Any response may name a limit; only a success is sure to name one as long as it holds.
    if limit != StatedLimit::Absent || claim == Claim::Success {
        edge.apply_stated_limit(&pick.endpoint, limit, pick.at);
    }
    let limit = edge.protocol.rejection_limit(&response.headers);
    if limit != StatedLimit::Absent || claim == Claim::Success {
        edge.apply_rejection_limit(&pick.endpoint, limit, pick.at);
    }
    if claim == Claim::NotRun {
        let status = response.status.as_u16();
        info!(
            request = fwd.request.id,
            endpoint = id,
            status,
            on_used_connection = !response.is_first,
            after_ms = since_ms(&pick),
            "send: rejected"
        );
        edge.record_rejected(service, &pick.endpoint);
        if response.status.is_success() {
            // The client takes a success for the last answer to its request.
            response.close();
        }
        return Sent::Rejected("endpoint-full");
    }
    if let Some(cause) = unproven(fwd, &response, claim) {
        let status = response.status.as_u16();
        info!(
            request = fwd.request.id,
            endpoint = id,
            status,
            is_sealed = response.headers.contains_key(&edge.protocol.header_names().seal),
            on_used_connection = !response.is_first,
            cause,
            "send: the response doesn't prove what it says"
        );
        edge.record(&service.id, id, Outcome::Bad);
        return Sent::Broken {
            cause,
            may_repeat: true,
        };
    }
    Sent::Response(Box::new(Upstream {
        response,
        is_success: claim == Claim::Success,
        service: service.id.clone(),
        endpoint: id.clone(),
        start: pick.endpoint.start,
        version: pick.endpoint.version.clone(),
        software: software(&pick.endpoint),
        edge: edge.clone(),
        in_flight: pick.in_flight,
        sent_at: pick.at,
        head_at: now_boot(),
        has_begun: false,
    }))
}

/// Why a response that doesn't state that its request did not run isn't passed on.
fn unproven<P: Protocol>(fwd: &Forwarding<'_, P>, response: &Response, claim: Claim) -> Option<&'static str> {
    let is_stream = fwd.request.route.kind.is_stream();
    let continues = || {
        fwd.continuity
            .accepts(response.status, &response.headers, response.framing)
    };
    match claim {
        Claim::Nothing(cause) => Some(cause),
        Claim::Success if is_stream && !continues() => Some("stream-not-continued"),
        _ => None,
    }
}

fn bounds<P: Protocol>(fwd: &Forwarding<'_, P>, time_left: Duration) -> Bounds {
    let mut bounds = Bounds {
        connect_timeout: CONNECT.min(time_left.mul_f64(CONNECT_SHARE)),
        first_byte_timeout: time_left,
        between_bytes_timeout: time_left,
        head_timeout: time_left,
        total_timeout: time_left,
        ..Bounds::default()
    };
    if fwd.may_run_again() {
        let target = fwd.request.route.latency_target.unwrap_or_default();
        bounds.first_byte_timeout = time_left
            .mul_f64(SILENCE_SHARE)
            .max(target.min(time_left.mul_f64(MAX_SILENCE_SHARE)));
        bounds.head_timeout = bounds.first_byte_timeout;
    }
    bounds
}

/// Milliseconds since the endpoint was picked.
fn since_ms<P: Protocol>(pick: &Pick<P>) -> u64 {
    now_boot().since(pick.at).as_millis() as u64
}
