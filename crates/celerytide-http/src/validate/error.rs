//! Violations of the protocol or of a size limit by a peer.

use http::StatusCode;
use snafu::Snafu;

/// A violation of the protocol or of a size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProtocolError {
    /// The bytes are not a valid HTTP/1.x head.
    #[snafu(display("not an HTTP/1.1 head"))]
    Syntax,
    /// The head, the name of a header or the number of headers exceeds its limit.
    #[snafu(display("the head is too large"))]
    HeadTooLarge,
    /// The body exceeds its size limit.
    #[snafu(display("the body is too large"))]
    BodyTooLarge,
    /// `content-length` is repeated, not a number, or combined with `transfer-encoding`.
    #[snafu(display("the stated lengths conflict"))]
    Length,
    /// A transfer coding other than `chunked`.
    #[snafu(display("the transfer coding is not supported"))]
    Coding,
    /// The chunk framing is malformed.
    #[snafu(display("the chunked body is broken"))]
    Chunk,
    /// A line between the last chunk and the end of the body is not a field.
    #[snafu(display("a trailer is not a field"))]
    Trailer,
    /// The `host` header is missing or repeated.
    #[snafu(display("exactly one host header is needed"))]
    Host,
    /// The protocol version is not supported for this method.
    #[snafu(display("the protocol version is not supported"))]
    Version,
    /// The method is `CONNECT`.
    #[snafu(display("the method is not supported"))]
    Method,
    /// An expectation other than `100-continue`.
    #[snafu(display("the expectation is not supported"))]
    Expectation,
    /// The status of the response is outside 100 to 599.
    #[snafu(display("the status is outside 100 to 599"))]
    Status,
    /// The response has neither a length nor chunked coding.
    #[snafu(display("the end of the answer can't be told"))]
    Unframed,
}

impl ProtocolError {
    /// HTTP status of the error response to a caller.
    pub fn status(self) -> StatusCode {
        match self {
            ProtocolError::Syntax
            | ProtocolError::Status
            | ProtocolError::Length
            | ProtocolError::Chunk
            | ProtocolError::Trailer
            | ProtocolError::Host
            | ProtocolError::Unframed => StatusCode::BAD_REQUEST,
            ProtocolError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ProtocolError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ProtocolError::Coding | ProtocolError::Method => StatusCode::NOT_IMPLEMENTED,
            ProtocolError::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            ProtocolError::Expectation => StatusCode::EXPECTATION_FAILED,
        }
    }

    /// Stable machine-readable code of the error response.
    pub fn code(self) -> &'static str {
        match self {
            ProtocolError::Syntax => "bad-head",
            ProtocolError::Status => "bad-status",
            ProtocolError::HeadTooLarge => "head-too-large",
            ProtocolError::BodyTooLarge => "body-too-large",
            ProtocolError::Length => "conflicting-length",
            ProtocolError::Coding => "unsupported-coding",
            ProtocolError::Chunk => "bad-chunk",
            ProtocolError::Trailer => "bad-trailer",
            ProtocolError::Host => "bad-host",
            ProtocolError::Version => "unsupported-version",
            ProtocolError::Method => "unsupported-method",
            ProtocolError::Expectation => "unsupported-expectation",
            ProtocolError::Unframed => "unframed",
        }
    }
}
