//! Ways in which an attempt ends, requests of each kind, and what their callers are told.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celerytide_faults::{CallOutcome, Harness, HarnessOptions, wait_until};
use celerytide_load::caller::{CHAT_PATH, CallerRequest};
use celerytide_load::fleet::Deployment;
use celerytide_standin::{engine::ResponseLengths, probe};
use http::Method;
use serde_json::json;

/// Class of the requests under test.
pub const TEST_CLASS: &str = "lookup";
/// Class of requests that may wait longer.
pub const PATIENT_CLASS: &str = "draft";
/// Duration of a decode step in milliseconds.
pub const DECODE_MS: f64 = 20.0;
/// Attempts of one request.
pub const MAX_ATTEMPTS: usize = 4;
/// Attempts of one request whose endpoints break the connection off before any of the response.
pub const MAX_BROKEN_OFF: usize = 2;
/// Requests broken off that empty the retry budget of a new entry: it has saved up 10 retries, and each request earns a
/// tenth of one and takes one.
pub const RETRY_DRAIN_REQUESTS: usize = 12;
/// Time that a request may take to reach an endpoint.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Tokens of a request under test.
const TOKENS: usize = 2;
/// Tokens of a request that holds its engine: 20 s.
const HOLDING_TOKENS: usize = 1000;
/// Default seed of engines.
const ENGINE_SEED: u64 = 1;

/// How an attempt ends, and what it proves.
pub struct Ending {
    pub name: &'static str,
    /// The fault that makes an endpoint end an attempt so.
    pub fault: &'static str,
    /// Whether the endpoint begins the request.
    pub runs: bool,
    /// What the caller is told if no attempt follows.
    pub word: &'static str,
    /// Attempts of a request whose attempts all end so.
    pub max_attempts: usize,
}

/// The endings that stand-ins can make happen at will.
pub const ENDINGS: [Ending; 6] = [
    Ending {
        name: "502 after a run",
        fault: r#"{"kind":"status","code":502,"ran":true}"#,
        runs: true,
        word: "unknown",
        max_attempts: MAX_ATTEMPTS,
    },
    Ending {
        name: "503 after a run, without a statement",
        fault: r#"{"kind":"status","code":503,"ran":true}"#,
        runs: true,
        word: "unknown",
        max_attempts: MAX_ATTEMPTS,
    },
    Ending {
        name: "503 with the statement that it did not run",
        fault: r#"{"kind":"status","code":503,"stated":true}"#,
        runs: false,
        word: "not-run",
        max_attempts: MAX_ATTEMPTS,
    },
    Ending {
        name: "504 after a run",
        fault: r#"{"kind":"status","code":504,"ran":true}"#,
        runs: true,
        word: "unknown",
        max_attempts: MAX_ATTEMPTS,
    },
    Ending {
        name: "head without a body",
        fault: r#"{"kind":"cut-mid-answer","after":0}"#,
        runs: true,
        word: "unknown",
        max_attempts: MAX_BROKEN_OFF,
    },
    Ending {
        name: "reset after the bytes",
        fault: r#"{"kind":"reset"}"#,
        runs: true,
        word: "unknown",
        max_attempts: MAX_BROKEN_OFF,
    },
];

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model call with a buffered response.
    Buffered,
    /// Model call with a streamed response.
    Stream,
    /// Idempotent call to the plain service.
    Get,
    /// Call to the plain service that matches no action and is not idempotent.
    Post,
    /// At-most-once action with a ticket.
    Ticket,
}

/// What the caller of one request was told, beside what happened.
pub struct Told {
    pub outcome: CallOutcome,
    /// Permits that the request got.
    pub permits: usize,
    /// Times that an endpoint began it.
    pub runs: usize,
}

impl Kind {
    fn is_model(self) -> bool {
        matches!(self, Kind::Buffered | Kind::Stream)
    }

    /// Control addresses of the endpoints that serve it.
    pub fn endpoints(self, harness: &Harness) -> Vec<SocketAddr> {
        let fleet = &harness.fleet;
        let endpoints = match self.is_model() {
            true => &fleet.engines,
            false => &fleet.plain_endpoints,
        };
        endpoints.iter().map(|e| e.process.addr()).collect()
    }

    /// Sets a fault at every endpoint that serves it.
    pub fn set_fault(self, harness: &Harness, fault: &str) {
        for addr in self.endpoints(harness) {
            probe::set_fault(addr, fault).expect("fault");
        }
    }

    /// A short request, whose content no other id has.
    pub fn request(self, harness: &Harness, id: &str) -> CallerRequest {
        let (entry, key) = (harness.entry(0), harness.key());
        let plain = |method, path| CallerRequest::plain(entry, &key, id, method, path);
        match self {
            Kind::Buffered => CallerRequest {
                body: Bytes::from(
                    json!({ "model": harness.model(), "max_tokens": TOKENS, "messages": [{ "role": "user", "content": id }] })
                        .to_string(),
                ),
                ..plain(Method::POST, CHAT_PATH)
            },
            Kind::Stream => CallerRequest::chat(entry, &key, id, &harness.model(), id, Some(TOKENS)),
            Kind::Get => plain(Method::GET, "/services/forms/read"),
            Kind::Post => plain(Method::POST, "/services/forms/other"),
            Kind::Ticket => plain(Method::POST, "/services/forms/submit"),
        }
    }

    /// Occupies the slot of one endpoint until the returned connection is dropped.
    pub async fn hold(self, harness: &Harness, id: &str) -> std::net::TcpStream {
        let req = match self.is_model() {
            true => long_chat(harness, id),
            false => {
                self.set_fault(harness, r#"{"kind":"late","ms":20000}"#);
                self.request(harness, id)
            }
        };
        let held = harness.hold(&req).expect("entry");
        let is_running = || self.runs_of(harness, &req.request) > 0;
        assert!(wait_until(START_TIMEOUT, is_running).await, "the holder doesn't start");
        self.set_fault(harness, r#"{"kind":"none"}"#);
        held
    }

    pub fn runs_of(self, harness: &Harness, id: &str) -> usize {
        match self.is_model() {
            true => harness.engine_runs_of(id),
            false => harness.runs_of(id),
        }
    }

    /// Sends a request whose attempts all end with `fault`.
    pub async fn call(self, harness: &Harness, id: &str, fault: &str) -> Told {
        let mut req = self.request(harness, id);
        if self == Kind::Ticket {
            req.ticket = harness.take_ticket(0).await;
        }
        self.set_fault(harness, fault);
        let outcome = harness.send(&req).await;
        self.set_fault(harness, r#"{"kind":"none"}"#);
        let steps = harness.steps(0, id);
        Told {
            outcome,
            permits: steps.iter().filter(|step| *step == "permitted").count(),
            runs: self.runs_of(harness, id),
        }
    }

    /// Empties the retry budget of a new entry. Each of its attempts needs an endpoint that hasn't failed yet, because
    /// backoffs grow.
    pub async fn use_up_retries(self, harness: &Harness) {
        for i in 0..RETRY_DRAIN_REQUESTS {
            self.call(harness, &format!("drain-{i}"), r#"{"kind":"reset"}"#).await;
        }
    }

    /// Sends requests until one is done, which ends the backoff of a failed endpoint.
    pub async fn warm_up(self, harness: &Harness, id: &str) {
        for i in 0..100 {
            let class = match self.is_model() {
                true => Some(PATIENT_CLASS.to_owned()),
                false => None,
            };
            let req = CallerRequest {
                class,
                ..self.request(harness, &format!("warm-{id}-{i}"))
            };
            if harness.send(&req).await.is_done() {
                return;
            }
        }
        panic!("no request is served");
    }
}

/// A streamed request that runs for many seconds.
pub fn long_chat(harness: &Harness, id: &str) -> CallerRequest {
    let lengths = ResponseLengths::new(ENGINE_SEED);
    let mut ids = (0..).map(|i| format!("{id}-{i}"));
    let id = ids.find(|id| lengths.draw(id, None) >= HOLDING_TOKENS);
    let id = id.expect("an id with a long response");
    CallerRequest::chat(harness.entry(0), &harness.key(), &id, &harness.model(), "hi", None)
}

/// A deployment of one instance whose endpoints have one slot each.
pub fn start(endpoints: usize, first_token: Duration, change: impl FnOnce(&mut Deployment)) -> Harness {
    let opts = HarnessOptions {
        instances: 1,
        engines: endpoints,
        plain_endpoints: endpoints,
        slots: 1,
        cold_slots: 1,
        decode_ms: DECODE_MS,
        ..HarnessOptions::default()
    };
    let harness = Harness::start_with(&opts, |deployment| {
        deployment.engines.report_lag_ms = 0;
        deployment.plain.slots = 1;
        for class in deployment.classes.iter_mut().filter(|c| c.name != PATIENT_CLASS) {
            class.first_token = first_token;
        }
        change(deployment);
    });
    harness.expect("deployment")
}

/// Compares what the caller was told with what the ending proves; describes each difference.
pub fn differences(cell: &str, ending: &Ending, told: &Told, permits: usize) -> Vec<String> {
    let mut found = Vec::new();
    let outcome = &told.outcome;
    let text = String::from_utf8_lossy(&outcome.body);
    let context = format!(
        "{cell}: told {} ({}), began {} times",
        outcome.word, outcome.cause, told.runs
    );
    if told.permits != permits || (told.runs > 0) != ending.runs {
        found.push(format!("{context}; the cell did not happen: {} permits", told.permits));
    }
    if outcome.word != ending.word {
        found.push(format!("{context}; must be told {}", ending.word));
    }
    if told.runs > 0 && text.contains("nothing was sent") {
        found.push(format!("{context}; the message says that nothing was sent"));
    }
    found
}
