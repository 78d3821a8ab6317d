//! What can be wrong with a peer's bytes.

use http::StatusCode;
use snafu::Snafu;

/// A peer's bytes broke a rule or a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Fault {
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

impl Fault {
    /// Status of the error answer to a caller.
    pub fn status(self) -> StatusCode {
        match self {
            Fault::Syntax | Fault::Length | Fault::Chunk | Fault::Host | Fault::Unframed => StatusCode::BAD_REQUEST,
            Fault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Fault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Fault::Coding | Fault::Method => StatusCode::NOT_IMPLEMENTED,
            Fault::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Fault::Expectation => StatusCode::EXPECTATION_FAILED,
        }
    }

    /// Stable machine-readable code.
    pub fn code(self) -> &'static str {
        match self {
            Fault::Syntax => "bad-head",
            Fault::HeadTooLarge => "head-too-large",
            Fault::BodyTooLarge => "body-too-large",
            Fault::Length => "conflicting-length",
            Fault::Coding => "unsupported-coding",
            Fault::Chunk => "bad-chunk",
            Fault::Host => "bad-host",
            Fault::Version => "unsupported-version",
            Fault::Method => "unsupported-method",
            Fault::Expectation => "unsupported-expectation",
            Fault::Unframed => "unframed",
        }
    }
}
