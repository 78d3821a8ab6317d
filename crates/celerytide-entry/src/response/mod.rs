//! Error responses that the entry generates itself, and the headers, SSE comments and events that carry a request's
//! outcome.
//!
//! Every response says in `celerytide-word` whether the request was done, did not run, or may have run. The body of an
//! error has the shape that clients of `/v1/chat/completions` parse, with the outcome repeated under `celerytide`.

use std::time::Duration;

use bytes::Bytes;
use celerytide_types::{ExecutionStatus, RequestId, RequestOutcome, data};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use serde::Serialize;

/// Header that says whether the request was done, did not run, or may have run.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("celerytide-word");
/// Header with the cause of the outcome, as a machine-readable name.
pub const CAUSE_HEADER: HeaderName = HeaderName::from_static("celerytide-cause");
/// Header with the time to wait before a retry, in milliseconds; `retry-after` has whole seconds only.
pub const RETRY_AFTER_MS_HEADER: HeaderName = HeaderName::from_static("celerytide-retry-after-ms");
/// Header with the request's id, from and to callers and to endpoints.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

const MILLIS_PER_SECOND: u64 = 1000;

/// A generated response that ends a request.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Whether the request ran, and why it failed.
    pub outcome: RequestOutcome,
    /// Explanation for people.
    pub message: String,
    /// Name of the request's field or header that is at fault.
    pub param: Option<String>,
}

impl ErrorResponse {
    /// An error of a request that did not run.
    pub fn not_run(status: StatusCode, cause: &str, message: &str) -> ErrorResponse {
        ErrorResponse::new(status, ExecutionStatus::NotRun, cause, message)
    }

    /// An error of a request that may have run.
    pub fn unknown(status: StatusCode, cause: &str, message: &str) -> ErrorResponse {
        ErrorResponse::new(status, ExecutionStatus::Unknown, cause, message)
    }

    /// A 400 response: field or header `param` of the request is at fault.
    pub fn bad_request(cause: &str, param: &str, message: &str) -> ErrorResponse {
        let mut err = ErrorResponse::not_run(StatusCode::BAD_REQUEST, cause, message);
        err.param = Some(param.to_owned());
        err
    }

    /// The response to a refusal by the pool's owner.
    pub fn refused(outcome: RequestOutcome) -> ErrorResponse {
        let message = format!("the request was refused before it ran: {}", outcome.cause);
        ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome,
            message,
            param: None,
        }
    }

    /// Adds the time after which the caller may retry.
    pub fn retry_after(mut self, wait: Duration) -> ErrorResponse {
        self.outcome.retry_after_ms = Some(wait.as_millis().try_into().unwrap_or(u64::MAX));
        self
    }

    /// The same error for a call with a ticket that was turned away before its ticket was looked at: the action may have
    /// run under an earlier call, and `not-run` would let the caller take a new ticket.
    pub fn before_ticket(mut self) -> ErrorResponse {
        if self.outcome.status == ExecutionStatus::NotRun {
            self.outcome.status = ExecutionStatus::Unknown;
            self.message
                .push_str("; this says nothing of earlier calls with the ticket");
        }
        self
    }

    fn new(status: StatusCode, execution: ExecutionStatus, cause: &str, message: &str) -> ErrorResponse {
        let outcome = RequestOutcome {
            status: execution,
            cause: cause.to_owned(),
            retry_after_ms: None,
        };
        ErrorResponse {
            status,
            outcome,
            message: message.to_owned(),
            param: None,
        }
    }

    /// Headers of the response, with the outcome and the request's id.
    pub fn headers(&self, request: &str) -> HeaderMap {
        let mut headers = outcome_headers(&self.outcome, request);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers
    }

    /// JSON body of the response.
    pub fn body(&self, request: &str) -> Bytes {
        let body = Body {
            error: ErrorBody {
                message: self.message.clone(),
                kind: self.kind().to_owned(),
                code: self.outcome.cause.clone(),
                param: self.param.clone(),
            },
            celerytide: OutcomeBody::of(&self.outcome, request),
        };
        Bytes::from(serde_json::to_vec(&body).unwrap_or_default())
    }

    fn kind(&self) -> &'static str {
        match self.status {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// Headers that tell the caller the outcome and the request's id.
pub fn outcome_headers(outcome: &RequestOutcome, request: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.status.as_str()));
    insert_text(&mut headers, CAUSE_HEADER, &outcome.cause);
    insert_text(&mut headers, REQUEST_ID_HEADER, request);
    if let Some(ms) = outcome.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(MILLIS_PER_SECOND).max(1)));
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(ms));
    }
    headers
}

/// Inserts a header whose value comes from outside; omits it if it isn't a valid header value.
pub fn insert_text(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The outcome of a request that the endpoint responded to.
pub fn done_outcome(cause: &str) -> RequestOutcome {
    RequestOutcome {
        status: ExecutionStatus::Done,
        cause: cause.to_owned(),
        retry_after_ms: None,
    }
}

data! {
    struct Body {
        error: ErrorBody,
        celerytide: OutcomeBody,
    }

    struct ErrorBody {
        message: String,
        #[serde(rename = "type")]
        kind: String,
        code: String,
        param: Option<String>,
    }

    /// An outcome as JSON, in error bodies and SSE comments.
    pub struct OutcomeBody {
        /// Whether the request was done, did not run, or may have run.
        pub word: ExecutionStatus,
        /// Machine-readable cause.
        pub cause: String,
        /// Time after which the caller may retry.
        pub retry_after_ms: Option<u64>,
        /// Id of the request, as in `x-request-id`.
        pub request_id: RequestId,
    }
}

impl OutcomeBody {
    /// The JSON form of the outcome of `request`.
    pub fn of(outcome: &RequestOutcome, request: &str) -> OutcomeBody {
        OutcomeBody {
            word: outcome.status,
            cause: outcome.cause.clone(),
            retry_after_ms: outcome.retry_after_ms,
            request_id: request.to_owned(),
        }
    }
}

/// The SSE comment that carries the outcome before `[DONE]`; clients that don't know it ignore comments.
pub fn outcome_comment(outcome: &RequestOutcome, request: &str) -> Bytes {
    sse_comment(": celerytide ", &OutcomeBody::of(outcome, request))
}

/// The SSE event that ends a stream which could not be completed. No `[DONE]` follows it.
pub fn error_event(err: &ErrorResponse, request: &str) -> Bytes {
    let body = err.body(request);
    let mut event = Vec::with_capacity(body.len() + 16);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(&body);
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}

fn sse_comment<T: Serialize>(prefix: &str, value: &T) -> Bytes {
    let mut line = prefix.as_bytes().to_vec();
    line.extend(serde_json::to_vec(value).unwrap_or_default());
    line.extend_from_slice(b"\n\n");
    Bytes::from(line)
}
