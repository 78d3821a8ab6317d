//! Error answers that this crate gives by itself.

use bytes::Bytes;
use celerytide_types::{ExecutionStatus, data};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use crate::validate::ProtocolError;

/// Header that carries the final word.
pub const WORD_HEADER: HeaderName = HeaderName::from_static("celerytide-word");

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const INVALID: &str = "invalid_request_error";
const SERVER: &str = "server_error";
const RETRY_SECONDS: HeaderValue = HeaderValue::from_static("1");

data! {
    /// Body of an error answer.
    pub struct ErrorBody {
        /// The error in the shape that client libraries read.
        pub error: ErrorDetail,
        /// The final word.
        pub celerytide: ErrorOutcome,
    }

    /// The error in the shape that client libraries read.
    pub struct ErrorDetail {
        /// For people.
        pub message: String,
        /// Kind of error.
        #[serde(rename = "type")]
        pub kind: String,
        /// Stable machine-readable code.
        pub code: String,
        /// The offending parameter, where there is one.
        pub param: Option<String>,
    }

    /// The final word with its cause.
    pub struct ErrorOutcome {
        /// The word.
        pub word: ExecutionStatus,
        /// Stable machine-readable cause.
        pub cause: String,
    }
}

/// An error answer, ready to send.
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A caller's bytes are at fault; nothing was forwarded.
pub(super) fn fault(fault: ProtocolError) -> Refusal {
    refusal(
        fault.status(),
        INVALID,
        fault.code(),
        &fault.to_string(),
        ExecutionStatus::NotRun,
    )
}

/// A caller's head or body came too slowly; nothing was forwarded.
pub(super) fn too_slow() -> Refusal {
    let message = "the request did not arrive in time";
    refusal(
        StatusCode::REQUEST_TIMEOUT,
        INVALID,
        "request-timeout",
        message,
        ExecutionStatus::NotRun,
    )
}

/// All connections are in use; nothing was read.
pub(super) fn too_many() -> Refusal {
    busy("connections-full", "too many connections")
}

/// The memory for bodies is in use; nothing was forwarded.
pub(super) fn too_much() -> Refusal {
    busy("memory-full", "too many bytes of requests are held")
}

fn busy(code: &str, message: &str) -> Refusal {
    let mut answer = refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        SERVER,
        code,
        message,
        ExecutionStatus::NotRun,
    );
    answer.headers.insert(RETRY_AFTER, RETRY_SECONDS);
    answer
}

/// The handler gave no answer; whether anything was forwarded is not known here.
pub(super) fn internal(word: ExecutionStatus) -> Refusal {
    let message = "no answer was made";
    refusal(StatusCode::INTERNAL_SERVER_ERROR, SERVER, "internal", message, word)
}

fn refusal(status: StatusCode, kind: &str, code: &str, message: &str, word: ExecutionStatus) -> Refusal {
    let body = ErrorBody {
        error: ErrorDetail {
            message: message.to_owned(),
            kind: kind.to_owned(),
            code: code.to_owned(),
            param: None,
        },
        celerytide: ErrorOutcome {
            word,
            cause: code.to_owned(),
        },
    };
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, JSON);
    headers.insert(WORD_HEADER, HeaderValue::from_static(word.as_str()));
    let body = serde_json::to_vec(&body).unwrap_or_default().into();
    Refusal { status, headers, body }
}
