//! What can be wrong with a peer's bytes.

use http::StatusCode;
use snafu::Snafu;

/// A peer's bytes broke a rule or a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProtocolError {
    /// The bytes are not an HTTP/1.x head.
    #[snafu(display("not an HTTP/1.1 head"))]
    Syntax,
    /// The head is longer than its bound.
    #[snafu(display("the head is too large"))]
    HeadTooLarge,
    /// The body is longer than its bound.
    #[snafu(display("the body is too large"))]
    BodyTooLarge,
    /// Content-length is repeated, not a number, or stands beside transfer-encoding.
    #[snafu(display("the stated lengths conflict"))]
    Length,
    /// A transfer coding other than `chunked`.
    #[snafu(display("the transfer coding is not supported"))]
    Coding,
    /// The chunk framing is broken.
    #[snafu(display("the chunked body is broken"))]
    Chunk,
    /// The host header is missing or repeated.
    #[snafu(display("exactly one host header is needed"))]
    Host,
    /// The protocol version is not served for this request.
    #[snafu(display("the protocol version is not supported"))]
    Version,
    /// The method is not served.
    #[snafu(display("the method is not supported"))]
    Method,
    /// An expectation other than `100-continue`.
    #[snafu(display("the expectation is not supported"))]
    Expectation,
    /// The answer has neither length nor chunked coding.
    #[snafu(display("the end of the answer can't be told"))]
    Unframed,
}

impl ProtocolError {
    /// Status of the error answer to a caller.
    pub fn status(self) -> StatusCode {
        match self {
            ProtocolError::Syntax
            | ProtocolError::Length
            | ProtocolError::Chunk
            | ProtocolError::Host
            | ProtocolError::Unframed => StatusCode::BAD_REQUEST,
            ProtocolError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ProtocolError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ProtocolError::Coding | ProtocolError::Method => StatusCode::NOT_IMPLEMENTED,
            ProtocolError::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            ProtocolError::Expectation => StatusCode::EXPECTATION_FAILED,
        }
    }

    /// Stable machine-readable code.
    pub fn code(self) -> &'static str {
        match self {
            ProtocolError::Syntax => "bad-head",
            ProtocolError::HeadTooLarge => "head-too-large",
            ProtocolError::BodyTooLarge => "body-too-large",
            ProtocolError::Length => "conflicting-length",
            ProtocolError::Coding => "unsupported-coding",
            ProtocolError::Chunk => "bad-chunk",
            ProtocolError::Host => "bad-host",
            ProtocolError::Version => "unsupported-version",
            ProtocolError::Method => "unsupported-method",
            ProtocolError::Expectation => "unsupported-expectation",
            ProtocolError::Unframed => "unframed",
        }
    }
}
