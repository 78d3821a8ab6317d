//! Error responses that the server sends without a handler.

use bytes::Bytes;
use celerytide_types::{ExecutionStatus, data};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use crate::validate::ProtocolError;

/// Header that tells the caller whether its request ran: [`ExecutionStatus::as_str`].
pub const WORD_HEADER: HeaderName = HeaderName::from_static("celerytide-word");

const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");
const INVALID_REQUEST: &str = "invalid_request_error";
const SERVER_ERROR: &str = "server_error";
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

data! {
    /// JSON body of an error response.
    pub struct ErrorBody {
        /// The error in the format that client libraries of model APIs read.
        pub error: ErrorDetail,
        /// Whether the request ran.
        pub celerytide: ErrorOutcome,
    }

    /// The error in the format that client libraries of model APIs read.
    pub struct ErrorDetail {
        /// Human-readable message.
        pub message: String,
        /// Error type, for example `invalid_request_error`.
        #[serde(rename = "type")]
        pub kind: String,
        /// Stable machine-readable code.
        pub code: String,
        /// The request parameter at fault, if any.
        pub param: Option<String>,
    }

    /// Whether the request ran, and the cause of the error.
    pub struct ErrorOutcome {
        /// Whether the request ran.
        pub word: ExecutionStatus,
        /// Stable machine-readable cause.
        pub cause: String,
    }
}

/// An encoded error response.
pub(super) struct ErrorResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// The request violates the protocol or a size limit; nothing was forwarded.
pub(super) fn protocol_error(error: ProtocolError) -> ErrorResponse {
    error_response(
        error.status(),
        INVALID_REQUEST,
        error.code(),
        &error.to_string(),
        ExecutionStatus::NotRun,
    )
}

/// The head or body of the request did not arrive in time; nothing was forwarded.
pub(super) fn request_timeout() -> ErrorResponse {
    let message = "the request did not arrive in time";
    error_response(
        StatusCode::REQUEST_TIMEOUT,
        INVALID_REQUEST,
        "request-timeout",
        message,
        ExecutionStatus::NotRun,
    )
}

/// All connections are in use; nothing was read.
pub(super) fn connections_full() -> ErrorResponse {
    unavailable("connections-full", "too many connections")
}

/// The memory account has no room for the request; nothing was forwarded.
pub(super) fn memory_full() -> ErrorResponse {
    unavailable("memory-full", "the memory for requests is in use")
}

/// The process has too few descriptors; nothing was forwarded.
pub(super) fn descriptors_full() -> ErrorResponse {
    unavailable("descriptors-full", "too many requests at once")
}

fn unavailable(code: &str, message: &str) -> ErrorResponse {
    let mut response = error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        SERVER_ERROR,
        code,
        message,
        ExecutionStatus::NotRun,
    );
    response.headers.insert(RETRY_AFTER, RETRY_AFTER_SECONDS);
    response
}

/// The handler sent no response; whether anything was forwarded is not known here.
pub(super) fn internal(word: ExecutionStatus) -> ErrorResponse {
    let message = "no answer was made";
    error_response(
        StatusCode::INTERNAL_SERVER_ERROR,
        SERVER_ERROR,
        "internal",
        message,
        word,
    )
}

fn error_response(status: StatusCode, kind: &str, code: &str, message: &str, word: ExecutionStatus) -> ErrorResponse {
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
    headers.insert(CONTENT_TYPE, JSON_CONTENT_TYPE);
    headers.insert(WORD_HEADER, HeaderValue::from_static(word.as_str()));
    let body = serde_json::to_vec(&body).unwrap_or_default().into();
    ErrorResponse { status, headers, body }
}
