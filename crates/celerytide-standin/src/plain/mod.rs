//! A plain service that records each run.
//!
//! A run is recorded when the whole request has been read and before anything is answered, so the record shows what
//! really ran, whatever became of the answer.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use argh::FromArgs;
use bytes::Bytes;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_types::{EndpointId, Millis, RequestId, now_unix_ms};
use http::{Method, StatusCode, header};
use monoio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    fault::{Crossing, Fault, Faults},
    reply::{self, Closed},
    sockets,
};

/// Path that lists the recorded runs.
pub const RUNS_PATH: &str = "/__runs";
/// Header that names a run, if the caller wants to name it.
pub const RUN_ID: &str = "x-run-id";
/// Header by which callers name an action that may run once.
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
    /// One run of a request.
    pub struct Run {
        /// The run's own name: header or body field `x-run-id`, else the idempotency key, else the request id.
        pub run: String,
        /// The value of `x-request-id`.
        pub request_id: RequestId,
        /// The value of `idempotency-key`.
        pub idempotency_key: String,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// When the whole request had been read.
        pub at_unix_ms: Millis,
    }
}

#[derive(Clone)]
struct Answer {
    status: StatusCode,
    id: RequestId,
    body: Bytes,
}

/// The state of a plain service.
pub struct Plain {
    id: EndpointId,
    delay: Duration,
    runs: RefCell<Vec<Run>>,
    faults: Faults,
    crossing: Crossing<Answer>,
}

impl Plain {
    /// A service without any run.
    pub fn new(options: &Options) -> Rc<Self> {
        Rc::new(Self {
            id: options.id.clone(),
            delay: Duration::from_millis(options.delay_ms),
            runs: RefCell::default(),
            faults: Faults::default(),
            crossing: Crossing::default(),
        })
    }

    async fn control(&self, req: Request, out: Responder) {
        match (&req.method, req.uri.path()) {
            (&Method::GET, RUNS_PATH) => {
                let body = reply::to_json(&*self.runs.borrow());
                let _ = out
                    .whole(StatusCode::OK, reply::headers("application/json", ""), body)
                    .await;
            }
            (&Method::PUT, crate::probe::FAULT_PATH) => self.set_fault(&req.body, out).await,
            _ => reply::error(out, StatusCode::NOT_FOUND, "", "no such control path").await,
        }
    }

    async fn set_fault(&self, body: &Bytes, out: Responder) {
        match serde_json::from_slice(body) {
            Ok(Fault::Crash) => {
                reply::json(out, StatusCode::OK, "", &true).await;
                reply::crash()
            }
            Ok(fault) if self.faults.set(fault.clone()) => reply::json(out, StatusCode::OK, "", &fault).await,
            _ => reply::error(out, StatusCode::BAD_REQUEST, "", "not a fault of this stand-in").await,
        }
    }

    async fn serve(&self, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Closed> {
        let peer = req.peer;
        self.faults.meet(peer);
        self.faults.pass(peer, cx).await?;
        let id = reply::header_text(&req.headers, reply::REQUEST_ID).to_owned();
        let fault = self.faults.take_next();
        if let Some(Fault::Status { code }) = fault {
            let status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            reply::error(out, status, &id, "refused without running").await;
            return Ok(());
        }
        self.runs.borrow_mut().push(record(&req, &id));
        time::sleep(self.delay + self.faults.slow()).await;
        let mut answer = self.answer(&req, id);
        match fault {
            Some(Fault::Reset) => return Err(Closed),
            Some(Fault::Late { ms }) => time::sleep(Duration::from_millis(ms)).await,
            Some(Fault::Crossed) => answer = self.crossing.exchange(answer).await,
            _ => {}
        }
        self.faults.pass(peer, cx).await?;
        let headers = reply::headers("application/json", &answer.id);
        match fault {
            Some(Fault::CutMidAnswer { after }) => cut(out, answer, headers, after).await,
            _ => Ok(out.whole(answer.status, headers, answer.body).await?),
        }
    }

    fn answer(&self, req: &Request, id: RequestId) -> Answer {
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
        Answer {
            status,
            id,
            body: reply::to_json(&body),
        }
    }
}

/// Sends the head and the first `after` bytes, then drops the connection.
async fn cut(out: Responder, answer: Answer, mut headers: http::HeaderMap, after: usize) -> Result<(), Closed> {
    headers.remove(header::CONTENT_LENGTH);
    let mut chunks = out.stream(answer.status, headers).await?;
    let end = after.min(answer.body.len());
    Ok(chunks.send(answer.body.slice(..end)).await?)
}

fn record(req: &Request, id: &str) -> Run {
    let key = reply::header_text(&req.headers, IDEMPOTENCY_KEY);
    Run {
        run: run_name(req, key, id),
        request_id: id.to_owned(),
        idempotency_key: key.to_owned(),
        method: req.method.to_string(),
        path: req.uri.to_string(),
        at_unix_ms: now_unix_ms(),
    }
}

fn run_name(req: &Request, key: &str, id: &str) -> String {
    let body: Option<serde_json::Value> = serde_json::from_slice(&req.body).ok();
    let in_body = body.as_ref().and_then(|body| body.get(RUN_ID)?.as_str());
    let in_head = reply::header_text(&req.headers, RUN_ID);
    let names = [in_head, in_body.unwrap_or_default(), key, id];
    names
        .into_iter()
        .find(|name| !name.is_empty())
        .unwrap_or_default()
        .to_owned()
}

impl Handler for Plain {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        if req.uri.path().starts_with(crate::probe::CONTROL_PREFIX) {
            return self.control(req, out).await;
        }
        let peer = req.peer;
        if self.serve(req, out, &cx).await.is_err() {
            sockets::close(peer);
        }
    }
}
