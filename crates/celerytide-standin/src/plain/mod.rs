//! A plain HTTP service that records each run of a request.
//!
//! A run is recorded once the whole request has been read and before any response, so the record shows which requests
//! ran even if their responses are lost. Tests use it to find requests that ran twice.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use argh::FromArgs;
use bytes::Bytes;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_types::{EndpointId, Millis, RequestId, now_unix_ms};
use http::{Method, StatusCode, header};
use monoio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    fault::{Fault, Faults, ResponseSwap},
    respond::{self, Abort},
    sockets,
};

/// Path of the recorded runs ([`Run`]).
pub const RUNS_PATH: &str = "/__runs";
/// Header or JSON body field by which a caller names the run.
pub const RUN_ID: &str = "x-run-id";
/// Header with the caller's key of an action that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A plain service.
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "plain")]
pub struct Options {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    pub listen: SocketAddr,
    /// name of the endpoint
    #[argh(option)]
    pub id: EndpointId,
    /// time that each run takes
    #[argh(option, default = "0")]
    pub delay_ms: Millis,
    /// seed, for the same behaviour each time
    #[argh(option, default = "1")]
    pub seed: u64,
}

celerytide_types::data! {
    /// A recorded run of a request.
    pub struct Run {
        /// Name of the run: the header or body field `x-run-id`, else the idempotency key, else the request id.
        pub run: String,
        /// The value of `x-request-id`.
        pub request_id: RequestId,
        /// The value of `idempotency-key`.
        pub idempotency_key: String,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Time at which the whole request had been read.
        pub at_unix_ms: Millis,
    }
}

#[derive(Clone)]
struct Response {
    status: StatusCode,
    id: RequestId,
    body: Bytes,
}

/// Stand-in for a plain service.
pub struct PlainService {
    id: EndpointId,
    delay: Duration,
    runs: RefCell<Vec<Run>>,
    faults: Faults,
    swap: ResponseSwap<Response>,
}

impl PlainService {
    /// A service without any run.
    pub fn new(options: &Options) -> Rc<Self> {
        Rc::new(Self {
            id: options.id.clone(),
            delay: Duration::from_millis(options.delay_ms),
            runs: RefCell::default(),
            faults: Faults::default(),
            swap: ResponseSwap::default(),
        })
    }

    async fn serve_control(&self, req: Request, out: Responder) {
        match (&req.method, req.uri.path()) {
            (&Method::GET, RUNS_PATH) => {
                let body = respond::to_json(&*self.runs.borrow());
                let _ = out
                    .whole(StatusCode::OK, respond::headers("application/json", ""), body)
                    .await;
            }
            (&Method::PUT, crate::probe::FAULT_PATH) => self.set_fault(&req.body.to_bytes(), out).await,
            _ => respond::error(out, StatusCode::NOT_FOUND, "", "no such control path").await,
        }
    }

    async fn set_fault(&self, body: &Bytes, out: Responder) {
        match serde_json::from_slice(body) {
            Ok(Fault::Crash) => {
                respond::json(out, StatusCode::OK, "", &true).await;
                respond::exit_crashed()
            }
            Ok(fault) if self.faults.set(fault.clone()) => respond::json(out, StatusCode::OK, "", &fault).await,
            _ => respond::error(out, StatusCode::BAD_REQUEST, "", "not a fault of this stand-in").await,
        }
    }

    async fn serve(&self, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Abort> {
        let peer = req.peer;
        self.faults.record_peer(peer);
        self.faults.wait_to_send(peer, cx).await?;
        let id = respond::header_text(&req.headers, respond::REQUEST_ID_HEADER).to_owned();
        let fault = self.faults.take_next();
        if let Some(Fault::Status { code, ran, stated }) = fault {
            if ran {
                self.runs.borrow_mut().push(Run::of(&req, &id));
            }
            respond::status_fault(out, code, &id, stated).await;
            return Ok(());
        }
        self.runs.borrow_mut().push(Run::of(&req, &id));
        time::sleep(self.delay + self.faults.added_delay()).await;
        let mut response = self.build_response(&req, id);
        match fault {
            Some(Fault::Reset) => return Err(Abort),
            Some(Fault::Late { ms }) => time::sleep(Duration::from_millis(ms)).await,
            Some(Fault::Crossed) => response = self.swap.exchange(response).await,
            _ => {}
        }
        self.faults.wait_to_send(peer, cx).await?;
        let headers = respond::headers("application/json", &response.id);
        match fault {
            Some(Fault::CutMidAnswer { after }) => send_truncated(out, response, headers, after).await,
            _ => Ok(out.whole(response.status, headers, response.body).await?),
        }
    }

    fn build_response(&self, req: &Request, id: RequestId) -> Response {
        let status = req
            .uri
            .path()
            .rsplit_once("/status/")
            .and_then(|(_, code)| code.parse().ok());
        let status = status
            .and_then(|code| StatusCode::from_u16(code).ok())
            .unwrap_or(StatusCode::OK);
        let body = serde_json::json!({
            "ran": true,
            "request_id": id,
            "body_bytes": req.body.len(),
            "endpoint": self.id,
        });
        Response {
            status,
            id,
            body: respond::to_json(&body),
        }
    }
}

/// Sends the head and the first `after` bytes of the body, then drops the connection.
async fn send_truncated(
    out: Responder,
    response: Response,
    mut headers: http::HeaderMap,
    after: usize,
) -> Result<(), Abort> {
    headers.remove(header::CONTENT_LENGTH);
    let mut chunks = out.stream(response.status, headers).await?;
    let end = after.min(response.body.len());
    Ok(chunks.send(response.body.slice(..end)).await?)
}

impl Run {
    /// The run of a request that has been read completely.
    pub(crate) fn of(req: &Request, id: &str) -> Run {
        let key = respond::header_text(&req.headers, IDEMPOTENCY_KEY);
        Run {
            run: run_name(req, key, id),
            request_id: id.to_owned(),
            idempotency_key: key.to_owned(),
            method: req.method.to_string(),
            path: req.uri.to_string(),
            at_unix_ms: now_unix_ms(),
        }
    }
}

fn run_name(req: &Request, key: &str, id: &str) -> String {
    let body: Option<serde_json::Value> = serde_json::from_slice(&req.body.to_bytes()).ok();
    let in_body = body.as_ref().and_then(|body| body.get(RUN_ID)?.as_str());
    let in_head = respond::header_text(&req.headers, RUN_ID);
    let names = [in_head, in_body.unwrap_or_default(), key, id];
    names
        .into_iter()
        .find(|name| !name.is_empty())
        .unwrap_or_default()
        .to_owned()
}

impl Handler for PlainService {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        if req.uri.path().starts_with(crate::probe::CONTROL_PREFIX) {
            return self.serve_control(req, out).await;
        }
        let peer = req.peer;
        if self.serve(req, out, &cx).await.is_err() {
            sockets::close(peer);
        }
    }
}
