//! One send of a request to one endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_catalog::Service;
use celerytide_http::client::{Bounds, Call, Response, SendError};
use celerytide_types::{BootTime, now_boot};
use http::header::HOST;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::Run;
use super::headers::{self, Set};
use crate::edge::{Edge, InFlight, Pick};
use crate::health::Sign;
use crate::names::Wire;

/// Most time for a new connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Part of the time left that a new connection may take.
const CONNECT_SHARE: f64 = 0.3;
/// Idle time after which a connection isn't used for a request that can't be repeated: the endpoint may have closed it.
const FRESH_IDLE: Duration = Duration::from_millis(1200);
/// Part of the time left after which a silent endpoint is given up, where another one may be tried.
const SILENT_SHARE: f64 = 0.4;
/// The same where the objective of the route is longer than that.
const MOST_SILENT_SHARE: f64 = 0.6;

/// What came of a send.
pub enum Sent<W: Wire> {
    /// The head of an answer.
    Answer(Box<Reached<W>>),
    /// It reached the endpoint, or another one at its address, and certainly did not run.
    Rejected(&'static str),
    /// It did not leave: no connection.
    Unreached(&'static str),
    /// It may have run, and no answer came.
    Broken(&'static str),
}

/// An answer whose body follows, with the request counted at its endpoint.
pub struct Reached<W: Wire> {
    /// The answer.
    pub answer: Response,
    /// The service's id.
    service: String,
    /// The endpoint's id.
    endpoint: String,
    edge: Rc<Edge<W>>,
    flight: InFlight<W>,
    sent_at: BootTime,
    begun: bool,
}

impl<W: Wire> Reached<W> {
    /// The next bytes of the body; `None` at its proper end.
    pub async fn next(&mut self) -> Option<Result<Bytes, SendError>> {
        let next = self.answer.next().await;
        if !self.begun && matches!(next, Some(Ok(_))) {
            self.begun = true;
            self.flight.first_byte(now_boot().since(self.sent_at));
        }
        next
    }

    /// An event came `gap` after the one before it.
    pub fn event_gap(&mut self, gap: Duration) {
        self.flight.event_gap(gap);
    }

    /// Tokens to be read, and requests, that this instance has at the endpoint now.
    pub fn beside(&self) -> Beside {
        let loads = self.edge.loads.borrow();
        loads.get(&self.endpoint).map_or(Beside::default(), |load| Beside {
            unread: load.unread_tokens(),
            running: load.running(),
        })
    }

    /// The request is over at this endpoint; `sign` is what that tells of it.
    pub fn end(self, sign: Sign) {
        self.edge.record(&self.service, &self.endpoint, sign);
    }
}

/// What this instance has at an endpoint, as far as it knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Beside {
    /// Prompt tokens of requests without a first event.
    pub unread: u64,
    /// Requests.
    pub running: u32,
}

/// Sends the request to the endpoint that was picked; `last_event` makes a stream go on behind that event.
pub async fn send<W: Wire>(run: &Run<'_, W>, service: &Service, pick: Pick<W>, last_event: Option<&[u8]>) -> Sent<W> {
    let edge = run.edge;
    let left = run.left();
    let set = Set {
        endpoint: &pick.endpoint.id,
        left,
        last_event,
    };
    let mut call = Call::new(pick.endpoint.address, run.req.method.clone(), "/");
    run.req
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .clone_into(&mut call.path);
    call.headers = headers::to_endpoint(&run.req.headers, run.intake, &edge.wire, &set);
    call.host = run.req.headers.get(HOST).cloned();
    call.body = run.req.body.clone();
    call.max_idle = (!run.intake.route.kind.is_idempotent()).then_some(FRESH_IDLE);
    call.bounds = bounds(run, left);
    let failed = match edge.client.send(call, &CancellationToken::new()).await {
        Ok(answer) => return read_head(run, service, pick, answer),
        Err(error) => error,
    };
    let id = &pick.endpoint.id;
    info!(request = run.intake.id, endpoint = id, error = %failed, after_ms = since_ms(&pick), "send: failed");
    if failed.may_have_run() {
        edge.record(&service.id, id, Sign::Bad);
        return Sent::Broken("endpoint-broke-off");
    }
    edge.record(&service.id, id, Sign::Unreached);
    Sent::Unreached("endpoint-unreachable")
}

fn read_head<W: Wire>(run: &Run<'_, W>, service: &Service, pick: Pick<W>, answer: Response) -> Sent<W> {
    let edge = run.edge;
    let names = edge.wire.names();
    let id = &pick.endpoint.id;
    if edge.wire.is_elsewhere(answer.status) {
        info!(
            request = run.intake.id,
            endpoint = id,
            "send: another endpoint has the address"
        );
        edge.record(&service.id, id, Sign::Unreached);
        return Sent::Rejected("endpoint-replaced");
    }
    edge.hear(&pick.endpoint, edge.wire.notice(answer.status, &answer.headers));
    if answer.headers.contains_key(&names.not_run) {
        let status = answer.status.as_u16();
        info!(
            request = run.intake.id,
            endpoint = id,
            status,
            after_ms = since_ms(&pick),
            "send: rejected"
        );
        return Sent::Rejected("endpoint-full");
    }
    if answer.status.is_success() && !answer.headers.contains_key(&names.seal) {
        info!(request = run.intake.id, endpoint = id, "send: answer without a seal");
        edge.record(&service.id, id, Sign::Bad);
        return Sent::Broken("answer-unsealed");
    }
    Sent::Answer(Box::new(Reached {
        answer,
        service: service.id.clone(),
        endpoint: id.clone(),
        edge: edge.clone(),
        flight: pick.flight,
        sent_at: pick.at,
        begun: false,
    }))
}

fn bounds<W: Wire>(run: &Run<'_, W>, left: Duration) -> Bounds {
    let mut bounds = Bounds {
        connect: CONNECT.min(left.mul_f64(CONNECT_SHARE)),
        first_byte: left,
        between_bytes: left,
        head: left,
        whole: left,
        ..Bounds::default()
    };
    if run.may_run_again() {
        let target = run.intake.route.target.unwrap_or_default();
        bounds.first_byte = left
            .mul_f64(SILENT_SHARE)
            .max(target.min(left.mul_f64(MOST_SILENT_SHARE)));
        bounds.head = bounds.first_byte;
    }
    bounds
}

fn since_ms<W: Wire>(pick: &Pick<W>) -> u64 {
    now_boot().since(pick.at).as_millis() as u64
}
