//! Errors of the client: how far a request got, and why it failed.

use std::io;

use snafu::Snafu;

use crate::h1::{HeadError, WriteError};
use crate::validate::ProtocolError;

/// How far a request got before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No byte of the request was sent.
    Connect,
    /// At least one byte of the request may have been sent.
    Written,
    /// The response head was received, and its body failed.
    Body,
}

impl Stage {
    /// Whether the endpoint may have run the request.
    pub fn may_have_run(self) -> bool {
        self != Stage::Connect
    }
}

/// Why a request failed.
#[derive(Debug, Snafu)]
pub enum Cause {
    /// The method or path can't be written as a request line.
    #[snafu(display("the request target is invalid"))]
    Target,
    /// No connection could be established.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// Error of the connect call.
        source: io::Error,
    },
    /// No connection was established within [`Bounds::connect_timeout`](super::Bounds::connect_timeout).
    #[snafu(display("connecting timed out"))]
    ConnectTimeout,
    /// Writing to the connection failed.
    #[snafu(display("can't write: {source}"))]
    Write {
        /// Error of the write call.
        source: io::Error,
    },
    /// The endpoint accepted no byte within [`Options::write_timeout`](super::Options::write_timeout).
    #[snafu(display("the endpoint stopped reading"))]
    WriteTimeout,
    /// Reading from the connection failed.
    #[snafu(display("can't read: {source}"))]
    Read {
        /// Error of the read call.
        source: io::Error,
    },
    /// The endpoint closed the connection before the end of the response.
    #[snafu(display("the endpoint closed before the end"))]
    Closed,
    /// The endpoint ended a response without a length and read no more of the request.
    #[snafu(display("the endpoint closed before it had read the request"))]
    RequestUnread,
    /// No byte arrived within [`Bounds::first_byte_timeout`](super::Bounds::first_byte_timeout).
    #[snafu(display("no first byte in time"))]
    FirstByteTimeout,
    /// No further byte arrived within [`Bounds::between_bytes_timeout`](super::Bounds::between_bytes_timeout).
    #[snafu(display("no further byte in time"))]
    BetweenBytesTimeout,
    /// The head was incomplete after [`Bounds::head_timeout`](super::Bounds::head_timeout), though bytes arrived.
    #[snafu(display("the head of the answer had no end in time"))]
    HeadTimeout,
    /// The response was incomplete after [`Bounds::total_timeout`](super::Bounds::total_timeout), though bytes arrived.
    #[snafu(display("the answer had no end in time"))]
    TotalTimeout,
    /// The response violates the protocol or a size limit.
    #[snafu(display("{source}"), context(false))]
    Protocol {
        /// The violated rule.
        source: ProtocolError,
    },
    /// The response carries the id of another request, or none though the endpoint names requests.
    #[snafu(display("the answer belongs to another request"))]
    RequestIdMismatch,
    /// Too many interim responses, or `101 Switching Protocols`.
    #[snafu(display("unexpected interim answer"))]
    Interim,
    /// The body exceeds `max_body`, or all buffered responses together exceed their limit.
    #[snafu(display("the answer is too large"))]
    TooLarge,
    /// The call was cancelled.
    #[snafu(display("cancelled"))]
    Cancelled,
}

impl From<HeadError> for Cause {
    fn from(e: HeadError) -> Self {
        match e {
            HeadError::Closed => Cause::Closed,
            HeadError::Protocol { source } => source.into(),
            HeadError::Io { source } => Cause::Read { source },
        }
    }
}

impl From<WriteError> for Cause {
    fn from(e: WriteError) -> Self {
        match e {
            WriteError::Stalled => Cause::WriteTimeout,
            WriteError::Io { source } => Cause::Write { source },
        }
    }
}

/// Error of a request to an endpoint.
#[derive(Debug, Snafu)]
#[snafu(display("request failed ({stage:?}): {source}"))]
pub struct SendError {
    /// How far the request got.
    pub stage: Stage,
    /// Why the request failed.
    pub source: Cause,
}

impl SendError {
    /// Whether the endpoint may have run the request; false only if no byte was sent.
    pub fn may_have_run(&self) -> bool {
        self.stage.may_have_run()
    }

    /// Whether nothing came back after bytes may have been sent, neither a byte nor the end of the connection.
    pub fn is_silence(&self) -> bool {
        let is_silent = match &self.source {
            Cause::FirstByteTimeout | Cause::HeadTimeout | Cause::WriteTimeout => true,
            Cause::Read { source } | Cause::Write { source } => is_unreached(source),
            _ => false,
        };
        self.stage == Stage::Written && is_silent
    }

    /// Whether the endpoint ended the connection after bytes may have been sent, as one that crashes does.
    pub fn is_broken_off(&self) -> bool {
        let is_ended = matches!(self.source, Cause::Closed | Cause::Read { .. } | Cause::Write { .. });
        self.stage != Stage::Connect && is_ended
    }
}

/// Whether the kernel gave a connection up since nothing came back.
fn is_unreached(error: &io::Error) -> bool {
    use io::ErrorKind::{HostUnreachable, NetworkDown, NetworkUnreachable, TimedOut};
    matches!(
        error.kind(),
        TimedOut | HostUnreachable | NetworkUnreachable | NetworkDown
    )
}

pub(super) fn send_error(stage: Stage, source: Cause) -> SendError {
    SendError { stage, source }
}
