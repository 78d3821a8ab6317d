//! Callers of a run: send requests in tasks of their own and note what they are told.

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

/// Longer than a whole run may hold a request back; the run itself bounds the wait once its faults have passed.
const PATIENCE: Duration = Duration::from_secs(90);
/// Wait for a ticket or for what became of one.
const TICKET: Duration = Duration::from_secs(3);
/// Tokens of each chat call.
pub(super) const CHAT_TOKENS: usize = 40;
const SUBMIT_PATH: &str = "/services/forms/submit";

/// What one call is.
#[derive(Clone)]
pub(super) struct Request {
    pub(super) entry: usize,
    pub(super) request: String,
    pub(super) kind: RequestKind,
    pub(super) ticket: Option<String>,
}

pub(super) struct Callers {
    entries: Vec<SocketAddr>,
    key: String,
    model: String,
    next: Cell<u64>,
    seed: u64,
    /// Every request so far.
    pub(super) requests: Rc<RefCell<Vec<RequestRecord>>>,
    open: Rc<Cell<usize>>,
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
            open: Rc::default(),
        }
    }

    /// A name that no other request of the run has.
    pub(super) fn name(&self, kind: &str) -> String {
        let next = self.next.get();
        self.next.set(next + 1);
        format!("{kind}-{}-{next}", self.seed)
    }

    /// Sends in a task of its own.
    pub(super) fn send(&self, call: Request) {
        let record = self.requests.clone();
        let at = record.borrow().len();
        record.borrow_mut().push(RequestRecord {
            request: call.request.clone(),
            kind: call.kind,
            ticket: call.ticket.clone(),
            outcome: None,
            connection_lost: false,
        });
        let ask = self.ask(&call);
        let open = self.open.clone();
        open.set(open.get() + 1);
        monoio::spawn(async move {
            let outcome = ask_once(&ask).await;
            open.set(open.get() - 1);
            record.borrow_mut()[at].outcome = outcome;
        });
    }

    /// Sends and waits; the answer is noted as well.
    pub(super) async fn call(&self, call: Request) -> Option<CallOutcome> {
        let outcome = ask_once(&self.ask(&call)).await;
        self.requests.borrow_mut().push(RequestRecord {
            request: call.request,
            kind: call.kind,
            ticket: call.ticket,
            outcome: outcome.clone(),
            connection_lost: false,
        });
        outcome
    }

    /// Takes the connections of open requests for good: their callers can't hear an end.
    pub(super) fn mark_open_lost(&self) {
        for record in self.requests.borrow_mut().iter_mut().filter(|s| s.outcome.is_none()) {
            record.connection_lost = true;
        }
    }

    /// Requests without an end so far.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// A ticket from an entry.
    pub(super) async fn ticket(&self, entry: usize) -> Option<String> {
        let name = self.name("take");
        let ask = CallerRequest::plain(self.entries[entry], &self.key, &name, Method::POST, "/v1/tickets");
        let outcome = timeout(TICKET, ask_once(&ask)).await.ok()??;
        let body: Value = serde_json::from_slice(&outcome.body).ok()?;
        body["ticket"].as_str().map(str::to_owned)
    }

    /// The final word of a ticket, once an entry has one.
    pub(super) async fn look(&self, entry: usize, ticket: &str) -> Option<String> {
        let name = self.name("look");
        let path = format!("/v1/tickets/{ticket}");
        let ask = CallerRequest::plain(self.entries[entry], &self.key, &name, Method::GET, &path);
        let outcome = timeout(TICKET, ask_once(&ask)).await.ok()?;
        let outcome = outcome.filter(|outcome| outcome.status == 200)?;
        let body: Value = serde_json::from_slice(&outcome.body).ok()?;
        body["word"].as_str().map(str::to_owned)
    }

    fn ask(&self, call: &Request) -> CallerRequest {
        let (addr, key, request) = (self.entries[call.entry], &self.key, &call.request);
        match call.kind {
            RequestKind::Chat(tokens) => CallerRequest::chat(addr, key, request, &self.model, "hello", Some(tokens)),
            RequestKind::Get => CallerRequest::plain(addr, key, request, Method::GET, "/services/forms/read"),
            RequestKind::Protected => CallerRequest {
                ticket: call.ticket.clone(),
                body: Bytes::from_static(b"{}"),
                ..CallerRequest::plain(addr, key, request, Method::POST, SUBMIT_PATH)
            },
        }
    }
}

async fn ask_once(ask: &CallerRequest) -> Option<CallOutcome> {
    let client = Client::new(Options::default());
    let cx = CancellationToken::new();
    timeout(PATIENCE, send(&client, ask, &cx, |_| {})).await.ok()
}
