//! Calls to plain services.
//!
//! A call that the manifest names as at most once is written to an endpoint once, on a new connection, and never again. Any
//! other call is repeated on another endpoint if nothing left, or if its method is idempotent by HTTP.

mod attempt;

pub use attempt::Sent;
pub(crate) use attempt::bounds;

use std::rc::Rc;

use bytes::Bytes;
use celerytide_http::client::BufferedResponse;
use celerytide_manifest::{Action, Manifest, Service, ServiceKind};
use celerytide_types::{ExecutionStatus, RequestOutcome};
use celerytide_wire::messages::Ended;
use http::{HeaderMap, Method, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::answer::{Final, done, word_headers};
use crate::entry::Entry;
use crate::facts::Facts;
use crate::headers;
use crate::permit::Denied;

/// Largest answer of a plain service in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Endpoints tried for one request.
const MAX_ATTEMPTS: usize = 4;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service's prefix.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A whole answer for the caller.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, the final word among them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The final word.
    pub word: RequestOutcome,
}

impl Reply {
    /// The reply that a final answer of our own is.
    pub fn of(end: &Final, request: &str) -> Reply {
        let (headers, body) = (end.headers(request), end.body(request));
        Reply {
            status: end.status,
            headers,
            body,
            word: end.word.clone(),
        }
    }
}

/// How often a call may be written to endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// At most once.
    Never,
    /// Again if it broke.
    Idempotent,
}

/// The plain service of that name.
pub fn find_service<'m>(manifest: &'m Manifest, name: &str) -> Result<&'m Service, Final> {
    let service = manifest.service(name).filter(|s| s.kind == ServiceKind::Plain);
    let none = || {
        Final::not_run(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "no plain service of that name",
        )
    };
    service.ok_or_else(none)
}

/// The at-most-once action that the call is, if it is one.
pub fn find_action<'m>(service: &'m Service, call: &PlainCall) -> Option<&'m Action> {
    let path = call.path.split('?').next().unwrap_or_default();
    service
        .actions
        .iter()
        .find(|a| a.method.eq_ignore_ascii_case(call.method.as_str()) && matches(&a.path, path))
}

/// Whether a call that is no at-most-once action may be repeated.
pub fn repeat_of(method: &Method) -> Repeat {
    match *method {
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE => Repeat::Idempotent,
        _ => Repeat::Never,
    }
}

fn matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => path.trim_end_matches('/') == pattern.trim_end_matches('/'),
    }
}

/// Runs a call to its reply. `sent` is told before a byte may leave and if the endpoint says that it did not run.
pub async fn run<S: Sent>(
    entry: &Rc<Entry>,
    facts: &Facts,
    call: &PlainCall,
    repeat: Repeat,
    not_run_status: &[u16],
    sent: &mut S,
    cx: &CancellationToken,
) -> Reply {
    let mut wanted = facts.wanted();
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let lease = match entry.acquire.permit(&wanted, cx).await {
            Ok(lease) => lease,
            Err(Denied::Final(end)) => return Reply::of(&last.unwrap_or(end), &facts.request),
            Err(Denied::Left) => return Reply::of(&last.unwrap_or_else(caller_left), &facts.request),
        };
        entry.node.trail.add_step(&facts.request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        let tried = attempt::once(entry, facts, call, &lease, repeat, sent, cx).await;
        match tried {
            Ok(whole) => {
                lease.settle(Ended::Whole { tokens: 0 });
                return answered(facts, whole, not_run_status, sent);
            }
            Err(broke) => {
                lease.settle(broke.ended);
                entry
                    .node
                    .trail
                    .add_step(&facts.request, "failed", &format!("{endpoint}: {}", broke.detail));
                if broke.may_have_run && repeat == Repeat::Never {
                    return Reply::of(&broken(), &facts.request);
                }
                last = Some(if broke.may_have_run || was_unknown(&last) {
                    broken()
                } else {
                    unreachable()
                });
                wanted.avoid.push(endpoint);
            }
        }
        if !entry.retries.take() {
            break;
        }
    }
    Reply::of(&last.unwrap_or_else(unreachable), &facts.request)
}

fn answered<S: Sent>(facts: &Facts, whole: BufferedResponse, not_run_status: &[u16], sent: &mut S) -> Reply {
    let not_run = not_run_status.contains(&whole.status.as_u16());
    if not_run {
        sent.endpoint_refused();
    }
    let word = match not_run {
        true => RequestOutcome {
            word: ExecutionStatus::NotRun,
            cause: String::from("endpoint-refused"),
            retry_after_ms: None,
        },
        false => done("answered"),
    };
    let mut out = headers::to_caller(&whole.headers);
    out.extend(word_headers(&word, &facts.request));
    Reply {
        status: whole.status,
        headers: out,
        body: whole.body,
        word,
    }
}

fn was_unknown(last: &Option<Final>) -> bool {
    last.as_ref()
        .is_some_and(|end| end.word.word == ExecutionStatus::Unknown)
}

fn caller_left() -> Final {
    Final::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "caller-left",
        "the caller left before the request ran",
    )
}

fn broken() -> Final {
    let message = "the endpoint's answer did not arrive whole; the request may have run";
    Final::unknown(StatusCode::BAD_GATEWAY, "answer-lost", message)
}

fn unreachable() -> Final {
    let message = "no endpoint could be reached; nothing was sent";
    let end = Final::not_run(StatusCode::SERVICE_UNAVAILABLE, "endpoint-unreachable", message);
    end.retry_after(std::time::Duration::from_secs(1))
}
