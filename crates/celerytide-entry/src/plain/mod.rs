//! Requests to plain HTTP services.
//!
//! A request that the manifest declares as an at-most-once action is sent to one endpoint, on a new connection, and
//! never retried once bytes may have been sent. Any other request is retried on another endpoint if nothing was sent,
//! or if its HTTP method is idempotent.

mod attempt;

pub use attempt::AttemptObserver;
pub(crate) use attempt::{bounds, end_for_error};

use std::rc::Rc;

use bytes::Bytes;
use celerytide_manifest::{Action, Manifest, Service, ServiceKind};
use celerytide_types::{ExecutionStatus, RequestOutcome};
use celerytide_wire::messages::Ended;
use http::{HeaderMap, Method, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::attempts::{AttemptEnd, Attempts, Proof, ResponseHead, Stop};
use crate::entry::Entry;
use crate::headers;
use crate::permit::PermitError;
use crate::request_info::RequestInfo;
use crate::response::{ErrorResponse, outcome_headers};

/// Largest response body that is buffered, of plain services and of models.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// HTTP method, also used towards the endpoint.
    pub method: Method,
    /// Path and query after the service's prefix, with a leading slash.
    pub path: String,
    /// Headers as the caller sent them, not yet filtered.
    pub headers: HeaderMap,
    /// Body as the caller sent it.
    pub body: Bytes,
}

/// A buffered response to the caller.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// HTTP status for the caller.
    pub status: StatusCode,
    /// Headers, with those of the outcome.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Outcome, as in the headers; for the metrics and the request's trace.
    pub outcome: RequestOutcome,
}

impl CallerResponse {
    /// The response for an error that the entry generated.
    pub fn of(err: &ErrorResponse, request: &str) -> CallerResponse {
        let (headers, body) = (err.headers(request), err.body(request));
        CallerResponse {
            status: err.status,
            headers,
            body,
            outcome: err.outcome.clone(),
        }
    }

    /// The response of an endpoint, passed on with the request's outcome.
    pub fn passed_on(
        status: StatusCode,
        from_endpoint: &HeaderMap,
        body: Bytes,
        outcome: RequestOutcome,
        request: &str,
    ) -> CallerResponse {
        let mut headers = headers::caller_headers(from_endpoint);
        headers.extend(outcome_headers(&outcome, request));
        CallerResponse {
            status,
            headers,
            body,
            outcome,
        }
    }
}

/// Whether a request may be sent again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It is sent again only if no byte of the earlier attempts can have left.
    OnlyIfUnsent,
    /// It may be sent again, even if an earlier attempt may have run.
    Idempotent,
}

/// The plain service of that name, or a 404 response.
pub fn find_service<'m>(manifest: &'m Manifest, name: &str) -> Result<&'m Service, ErrorResponse> {
    let service = manifest.service(name).filter(|s| s.kind == ServiceKind::Plain);
    let none = || {
        ErrorResponse::not_run(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "no plain service of that name",
        )
    };
    service.ok_or_else(none)
}

/// The at-most-once action that the request matches, if any.
pub fn find_action<'m>(service: &'m Service, req: &PlainRequest) -> Option<&'m Action> {
    let path = req.path.split('?').next().unwrap_or_default();
    service
        .actions
        .iter()
        .find(|a| a.method.eq_ignore_ascii_case(req.method.as_str()) && path_matches(&a.path, path))
}

/// The retry policy of a request that matches no at-most-once action.
pub fn retry_policy_for(method: &Method) -> RetryPolicy {
    match *method {
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE => RetryPolicy::Idempotent,
        _ => RetryPolicy::OnlyIfUnsent,
    }
}

fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => path.trim_end_matches('/') == pattern.trim_end_matches('/'),
    }
}

/// Sends a request to endpoints until one responds or the attempts are used up.
///
/// `observer` is notified when bytes may have been sent, and when the endpoint says that the request did not run:
/// `not_run_status` lists the HTTP statuses with which the service says so.
pub async fn run<S: AttemptObserver>(
    entry: &Rc<Entry>,
    info: &RequestInfo,
    req: &PlainRequest,
    retry_policy: RetryPolicy,
    not_run_status: &[u16],
    observer: &mut S,
    cx: &CancellationToken,
) -> CallerResponse {
    let mut spec = info.permit_spec();
    let mut attempts = Attempts::default();
    let respond = |err: &ErrorResponse| CallerResponse::of(err, &info.request);
    loop {
        let lease = match entry.permits.acquire(&spec, &mut attempts, cx).await {
            Ok(lease) => lease,
            Err(PermitError::Rejected(err)) => return respond(&err),
            Err(PermitError::CallerLeft) => return respond(&attempts.caller_left()),
        };
        entry
            .node
            .trace_log
            .add_step(&info.request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        match attempt::send_once(entry, info, req, &lease, retry_policy, observer, cx).await {
            Ok(response) => {
                let proof = attempts.end(&AttemptEnd::Response(ResponseHead {
                    status: response.status,
                    headers: &response.headers,
                    request: &info.request,
                    not_run_status,
                }));
                lease.settle(Ended::Whole { tokens: 0 });
                let outcome = attempts.response_outcome(proof);
                if outcome.status == ExecutionStatus::NotRun {
                    observer.on_endpoint_refused();
                }
                let (status, headers) = (response.status, &response.headers);
                return CallerResponse::passed_on(status, headers, response.body, outcome, &info.request);
            }
            Err(error) => {
                attempts.end(&AttemptEnd::of_error(&error, 0));
                lease.settle(end_for_error(&error, 0));
                entry.record_failure(&info.request, &endpoint, &error.to_string());
            }
        }
        if attempts.proof() != Proof::DidNotRun && retry_policy == RetryPolicy::OnlyIfUnsent {
            return respond(&attempts.stopped(Stop::RunsOnce));
        }
        spec.avoid.push(endpoint);
        if attempts.are_used_up() {
            return respond(&attempts.stopped(Stop::AttemptsUsed));
        }
        if !entry.retry_limiter.try_take() {
            return respond(&attempts.stopped(Stop::NoRetryLeft));
        }
    }
}
