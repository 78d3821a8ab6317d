//! Final answers that this entry makes itself: refusals, failures, and headers that carry the final word.
//!
//! Every answer says in `celerytide-word` whether the request was done, did not run, or may have run. The body has the shape
//! that clients of `/v1/chat/completions` parse, with the same facts under `celerytide`.

use std::time::Duration;

use bytes::Bytes;
use celerytide_types::{ExecutionStatus, RequestId, RequestOutcome, data};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use serde::Serialize;

/// The final word.
pub const WORD: HeaderName = HeaderName::from_static("celerytide-word");
/// Cause of the final word.
pub const CAUSE: HeaderName = HeaderName::from_static("celerytide-cause");
/// Time to come back, in milliseconds; finer than `retry-after`.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("celerytide-retry-after-ms");
/// The request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

const MILLIS_PER_SECOND: u64 = 1000;

/// An answer that ends a request.
#[derive(Debug, Clone)]
pub struct Final {
    /// HTTP status.
    pub status: StatusCode,
    /// The word and its cause.
    pub word: RequestOutcome,
    /// Text for people.
    pub message: String,
    /// Field of the request that is wrong, if one is.
    pub param: Option<String>,
}

impl Final {
    /// The request did not run.
    pub fn not_run(status: StatusCode, cause: &str, message: &str) -> Final {
        Final::of(status, ExecutionStatus::NotRun, cause, message)
    }

    /// The request may have run.
    pub fn unknown(status: StatusCode, cause: &str, message: &str) -> Final {
        Final::of(status, ExecutionStatus::Unknown, cause, message)
    }

    /// A fault in the request itself, in field `param`.
    pub fn bad(cause: &str, param: &str, message: &str) -> Final {
        let mut bad = Final::not_run(StatusCode::BAD_REQUEST, cause, message);
        bad.param = Some(param.to_owned());
        bad
    }

    /// The answer that a refusal by a pool's owner becomes.
    pub fn refused(word: RequestOutcome) -> Final {
        let message = format!("the request was refused before it ran: {}", word.cause);
        Final {
            status: StatusCode::SERVICE_UNAVAILABLE,
            word,
            message,
            param: None,
        }
    }

    /// The same with a time to come back.
    pub fn retry_after(mut self, wait: Duration) -> Final {
        self.word.retry_after_ms = Some(wait.as_millis().try_into().unwrap_or(u64::MAX));
        self
    }

    fn of(status: StatusCode, word: ExecutionStatus, cause: &str, message: &str) -> Final {
        let word = RequestOutcome {
            word,
            cause: cause.to_owned(),
            retry_after_ms: None,
        };
        Final {
            status,
            word,
            message: message.to_owned(),
            param: None,
        }
    }

    /// Headers of the answer.
    pub fn headers(&self, request: &str) -> HeaderMap {
        let mut headers = word_headers(&self.word, request);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers
    }

    /// Body of the answer.
    pub fn body(&self, request: &str) -> Bytes {
        let body = Body {
            error: ErrorBody {
                message: self.message.clone(),
                kind: self.kind().to_owned(),
                code: self.word.cause.clone(),
                param: self.param.clone(),
            },
            celerytide: WordBody::of(&self.word, request),
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

/// Headers that carry `word`.
pub fn word_headers(word: &RequestOutcome, request: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(WORD, HeaderValue::from_static(word.word.as_str()));
    insert_text(&mut headers, CAUSE, &word.cause);
    insert_text(&mut headers, REQUEST_ID, request);
    if let Some(ms) = word.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(MILLIS_PER_SECOND).max(1)));
        headers.insert(RETRY_AFTER_MS, HeaderValue::from(ms));
    }
    headers
}

/// Inserts a header whose value came from outside; leaves it out if it is not valid.
pub fn insert_text(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A word for a request that the endpoint answered.
pub fn done(cause: &str) -> RequestOutcome {
    RequestOutcome {
        word: ExecutionStatus::Done,
        cause: cause.to_owned(),
        retry_after_ms: None,
    }
}

data! {
    struct Body {
        error: ErrorBody,
        celerytide: WordBody,
    }

    struct ErrorBody {
        message: String,
        #[serde(rename = "type")]
        kind: String,
        code: String,
        param: Option<String>,
    }

    /// The final word as JSON.
    pub struct WordBody {
        /// The word.
        pub word: ExecutionStatus,
        /// Its cause.
        pub cause: String,
        /// When to come back.
        pub retry_after_ms: Option<u64>,
        /// The request.
        pub request_id: RequestId,
    }
}

impl WordBody {
    /// The word of `request`.
    pub fn of(word: &RequestOutcome, request: &str) -> WordBody {
        WordBody {
            word: word.word,
            cause: word.cause.clone(),
            retry_after_ms: word.retry_after_ms,
            request_id: request.to_owned(),
        }
    }
}

/// The SSE comment that carries the word before `[DONE]`; clients that don't know it skip it.
pub fn word_comment(word: &RequestOutcome, request: &str) -> Bytes {
    sse_line(": celerytide ", &WordBody::of(word, request))
}

/// The SSE event that ends a stream which could not be finished. No `[DONE]` follows it.
pub fn error_event(end: &Final, request: &str) -> Bytes {
    let body = end.body(request);
    let mut event = Vec::with_capacity(body.len() + 16);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(&body);
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}

fn sse_line<T: Serialize>(prefix: &str, value: &T) -> Bytes {
    let mut line = prefix.as_bytes().to_vec();
    line.extend(serde_json::to_vec(value).unwrap_or_default());
    line.extend_from_slice(b"\n\n");
    Bytes::from(line)
}
