//! Callers that arrive at fixed intervals and repeat their calls through the other entry.

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
use monoio::time::{sleep, timeout};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::{
    cluster::{Cluster, INSTANCES, Link},
    history::{RequestKind, RequestRecord},
};

/// Time between arrivals of callers of each kind.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller repeats a call that has no outcome yet.
const REPEAT_AFTER: Duration = Duration::from_millis(1500);
/// Delay before a call is repeated after a response.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of calls that a caller makes for one action.
const MAX_ATTEMPTS: usize = 3;
/// Timeout of a call: longer than every timeout of the daemons and than each disruption.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Tokens of each chat call.
const CHAT_TOKENS: usize = 30;
const SUBMIT_PATH: &str = "/services/forms/submit";

/// The callers of a run.
pub(super) struct Callers {
    shared: Rc<Shared>,
}

struct Shared {
    entries: Vec<SocketAddr>,
    key: String,
    model: String,
    next: Cell<usize>,
    open_tasks: Cell<usize>,
    requests: RefCell<Vec<RequestRecord>>,
}

impl Callers {
    pub(super) fn new(cluster: &Cluster) -> Callers {
        let deployment = cluster.deployment();
        let entries = Link::all_of_kind(Link::Caller)
            .into_iter()
            .map(|link| cluster.link_addr(link));
        let shared = Shared {
            entries: entries.collect(),
            key: deployment.customers.first().map(|c| c.key()).unwrap_or_default(),
            model: deployment.engines.model.clone(),
            next: Cell::default(),
            open_tasks: Cell::default(),
            requests: RefCell::default(),
        };
        Callers {
            shared: Rc::new(shared),
        }
    }

    /// Starts the load, which continues until the token is cancelled.
    pub(super) fn start(&self) -> CancellationToken {
        let cx = CancellationToken::new();
        monoio::spawn(generate_load(self.shared.clone(), cx.clone()));
        cx
    }

    /// Records of all requests so far.
    pub(super) fn requests(&self) -> Vec<RequestRecord> {
        self.shared.requests.borrow().clone()
    }

    /// Number of callers and calls that have not ended.
    pub(super) fn open_tasks(&self) -> usize {
        self.shared.open_tasks.get()
    }

    /// Sends a call, records it and returns its outcome.
    pub(super) async fn call(&self, entry: usize, kind: RequestKind, ticket: Option<String>) -> Option<CallOutcome> {
        self.shared.call(entry, kind, ticket).await
    }

    /// Requests a ticket from an entry.
    pub(super) async fn take_ticket(&self, entry: usize) -> Option<String> {
        self.shared.take_ticket(entry).await
    }

    /// Final execution status of a ticket, if the entry has one.
    pub(super) async fn ticket_word(&self, entry: usize, ticket: &str) -> Option<String> {
        let path = format!("/v1/tickets/{ticket}");
        let body = self.shared.entry_json(entry, Method::GET, &path).await?;
        body["word"].as_str().map(str::to_owned)
    }
}

async fn generate_load(shared: Rc<Shared>, cx: CancellationToken) {
    let mut arrival = 0;
    while !cx.is_cancelled() {
        for kind in [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get, RequestKind::Protected] {
            shared.spawn(run_action(shared.clone(), kind, arrival));
        }
        arrival += 1;
        sleep(ARRIVAL_INTERVAL).await;
    }
}

/// Runs the action of one caller: a call, repeated through the other entry until it is done or reported as not run.
async fn run_action(shared: Rc<Shared>, kind: RequestKind, arrival: usize) {
    let mut ticket = None;
    if kind == RequestKind::Protected {
        ticket = shared.take_ticket(arrival % INSTANCES).await;
        if ticket.is_none() {
            return;
        }
    }
    for attempt in 0..MAX_ATTEMPTS {
        let entry = (arrival + attempt) % INSTANCES;
        let call = shared.clone().call_detached(entry, kind, ticket.clone());
        let outcome = timeout(REPEAT_AFTER, call).await.ok().flatten();
        if outcome.is_some_and(|outcome| outcome.is_done() || (outcome.word == "not-run" && ticket.is_some())) {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

impl Shared {
    /// Counts a task as open until it ends.
    fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let shared = self.clone();
        shared.open_tasks.set(shared.open_tasks.get() + 1);
        monoio::spawn(async move {
            task.await;
            shared.open_tasks.set(shared.open_tasks.get() - 1);
        });
    }

    /// Sends a call in a separate task, which continues if its caller stops waiting.
    async fn call_detached(
        self: Rc<Self>,
        entry: usize,
        kind: RequestKind,
        ticket: Option<String>,
    ) -> Option<CallOutcome> {
        let (tx, rx) = futures::channel::oneshot::channel();
        let shared = self.clone();
        self.spawn(async move {
            // The caller may have stopped waiting.
            let _ = tx.send(shared.call(entry, kind, ticket).await);
        });
        rx.await.ok().flatten()
    }

    async fn call(&self, entry: usize, kind: RequestKind, ticket: Option<String>) -> Option<CallOutcome> {
        let request_id = self.next_id();
        let req = self.caller_request(entry, &request_id, kind, ticket.as_deref());
        let index = self.requests.borrow().len();
        self.requests.borrow_mut().push(RequestRecord {
            request_id,
            kind,
            ticket,
            outcome: None,
            connection_lost: false,
        });
        let outcome = send_with_timeout(&req, RESPONSE_TIMEOUT).await;
        self.requests.borrow_mut()[index].outcome = outcome.clone();
        outcome
    }

    async fn take_ticket(&self, entry: usize) -> Option<String> {
        let body = self.entry_json(entry, Method::POST, "/v1/tickets").await?;
        body["ticket"].as_str().map(str::to_owned)
    }

    /// JSON response of a path that the entry handles itself.
    async fn entry_json(&self, entry: usize, method: Method, path: &str) -> Option<Value> {
        let req = CallerRequest::plain(self.entries[entry], &self.key, &self.next_id(), method, path);
        let outcome = send_with_timeout(&req, REPEAT_AFTER)
            .await
            .filter(|outcome| outcome.is_complete && outcome.status < 300)?;
        serde_json::from_slice(&outcome.body).ok()
    }

    fn next_id(&self) -> String {
        let next = self.next.get();
        self.next.set(next + 1);
        format!("load-{next}")
    }

    fn caller_request(&self, entry: usize, request_id: &str, kind: RequestKind, ticket: Option<&str>) -> CallerRequest {
        let (addr, key) = (self.entries[entry], &self.key);
        match kind {
            RequestKind::Chat(tokens) => CallerRequest::chat(addr, key, request_id, &self.model, "hello", Some(tokens)),
            RequestKind::Get => CallerRequest::plain(addr, key, request_id, Method::GET, "/services/forms/read"),
            RequestKind::Protected => CallerRequest {
                ticket: ticket.map(str::to_owned),
                body: Bytes::from_static(b"{}"),
                ..CallerRequest::plain(addr, key, request_id, Method::POST, SUBMIT_PATH)
            },
        }
    }
}

async fn send_with_timeout(req: &CallerRequest, timeout_after: Duration) -> Option<CallOutcome> {
    let client = Client::new(Options::default());
    let cx = CancellationToken::new();
    timeout(timeout_after, send(&client, req, &cx, |_| {})).await.ok()
}
