//! Sends requests in separate tasks and records their outcomes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use celerytide_http::client::{Client, Options};
use celerytide_load::caller::{CallOutcome, CallerRequest, send};
use http::Method;
use monoio::time::timeout;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::{
    cluster::{Cluster, Link},
    history::{RequestKind, RequestRecord},
};

/// Longer than a run may delay a request; the run itself bounds the wait once its faults are cleared.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(90);
/// Timeout for issuing a ticket or querying its status.
const TICKET_TIMEOUT: Duration = Duration::from_secs(3);
/// Tokens of each chat call.
pub(super) const CHAT_TOKENS: usize = 40;
const SUBMIT_PATH: &str = "/services/forms/submit";

/// Parameters of a call.
#[derive(Clone)]
pub(super) struct CallSpec {
    pub(super) entry: usize,
    pub(super) request_id: String,
    pub(super) kind: RequestKind,
    pub(super) ticket: Option<String>,
}

pub(super) struct Callers {
    entries: Vec<SocketAddr>,
    key: String,
    model: String,
    next: Cell<u64>,
    seed: u64,
    /// Records of all requests so far.
    pub(super) requests: Rc<RefCell<Vec<RequestRecord>>>,
    open_requests: Rc<Cell<usize>>,
}

impl Callers {
    pub(super) fn new(cluster: &Cluster, seed: u64) -> Callers {
        let deployment = cluster.deployment();
        Callers {
            entries: Link::all_of_kind(Link::Caller)
                .into_iter()
                .map(|link| cluster.link_addr(link))
                .collect(),
            key: deployment.customers.first().map(|c| c.key()).unwrap_or_default(),
            model: deployment.engines.model.clone(),
            next: Cell::default(),
            seed,
            requests: Rc::default(),
            open_requests: Rc::default(),
        }
    }

    /// A request id that is unique within the run.
    pub(super) fn next_id(&self, kind: &str) -> String {
        let next = self.next.get();
        self.next.set(next + 1);
        format!("{kind}-{}-{next}", self.seed)
    }

    /// Sends a request in a separate task.
    pub(super) fn send(&self, call: CallSpec) {
        let requests = self.requests.clone();
        let index = requests.borrow().len();
        requests.borrow_mut().push(RequestRecord {
            request_id: call.request_id.clone(),
            kind: call.kind,
            ticket: call.ticket.clone(),
            outcome: None,
            connection_lost: false,
        });
        let req = self.caller_request(&call);
        let open_requests = self.open_requests.clone();
        open_requests.set(open_requests.get() + 1);
        monoio::spawn(async move {
            let outcome = send_once(&req).await;
            open_requests.set(open_requests.get() - 1);
            requests.borrow_mut()[index].outcome = outcome;
        });
    }

    /// Sends a request, waits for its outcome and records it.
    pub(super) async fn call(&self, call: CallSpec) -> Option<CallOutcome> {
        let outcome = send_once(&self.caller_request(&call)).await;
        self.requests.borrow_mut().push(RequestRecord {
            request_id: call.request_id,
            kind: call.kind,
            ticket: call.ticket,
            outcome: outcome.clone(),
            connection_lost: false,
        });
        outcome
    }

    /// Marks open requests whose connections were silenced for good, so that no outcome is expected of them.
    pub(super) fn mark_open_lost(&self) {
        for record in self.requests.borrow_mut().iter_mut().filter(|s| s.outcome.is_none()) {
            record.connection_lost = true;
        }
    }

    /// Number of requests without an outcome.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Requests a ticket from an entry.
    pub(super) async fn take_ticket(&self, entry: usize) -> Option<String> {
        let id = self.next_id("take");
        let req = CallerRequest::plain(self.entries[entry], &self.key, &id, Method::POST, "/v1/tickets");
        let outcome = timeout(TICKET_TIMEOUT, send_once(&req)).await.ok()??;
        let body: Value = serde_json::from_slice(&outcome.body).ok()?;
        body["ticket"].as_str().map(str::to_owned)
    }

    /// Final execution status of a ticket, if the entry has one.
    pub(super) async fn ticket_word(&self, entry: usize, ticket: &str) -> Option<String> {
        let id = self.next_id("look");
        let path = format!("/v1/tickets/{ticket}");
        let req = CallerRequest::plain(self.entries[entry], &self.key, &id, Method::GET, &path);
        let outcome = timeout(TICKET_TIMEOUT, send_once(&req)).await.ok()?;
        let outcome = outcome.filter(|outcome| outcome.status == 200)?;
        let body: Value = serde_json::from_slice(&outcome.body).ok()?;
        body["word"].as_str().map(str::to_owned)
    }

    fn caller_request(&self, call: &CallSpec) -> CallerRequest {
        let (addr, key, request_id) = (self.entries[call.entry], &self.key, &call.request_id);
        match call.kind {
            RequestKind::Chat(tokens) => CallerRequest::chat(addr, key, request_id, &self.model, "hello", Some(tokens)),
            RequestKind::Get => CallerRequest::plain(addr, key, request_id, Method::GET, "/services/forms/read"),
            RequestKind::Protected => CallerRequest {
                ticket: call.ticket.clone(),
                body: Bytes::from_static(b"{}"),
                ..CallerRequest::plain(addr, key, request_id, Method::POST, SUBMIT_PATH)
            },
        }
    }
}

async fn send_once(req: &CallerRequest) -> Option<CallOutcome> {
    let client = Client::new(Options::default());
    let cx = CancellationToken::new();
    timeout(RESPONSE_TIMEOUT, send(&client, req, &cx, |_| {})).await.ok()
}
