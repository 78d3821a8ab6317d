//! How far a failed request got, and why it failed.

use std::io;

use snafu::Snafu;

use crate::validate::ProtocolError;
use crate::wire::{HeadError, WriteError};

/// How far a request got before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing left us.
    Connect,
    /// At least one byte may have left.
    Written,
    /// A status was seen; the body broke.
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
    /// Connecting failed.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The system's error.
        source: io::Error,
    },
    /// Connecting took longer than its bound.
    #[snafu(display("connecting timed out"))]
    ConnectTimeout,
    /// Writing failed.
    #[snafu(display("can't write: {source}"))]
    Write {
        /// The system's error.
        source: io::Error,
    },
    /// The endpoint took no byte for the write bound.
    #[snafu(display("the endpoint stopped reading"))]
    WriteTimeout,
    /// Reading failed.
    #[snafu(display("can't read: {source}"))]
    Read {
        /// The system's error.
        source: io::Error,
    },
    /// The endpoint closed before the answer's proper end.
    #[snafu(display("the endpoint closed before the end"))]
    Closed,
    /// No byte within the first-byte bound.
    #[snafu(display("no first byte in time"))]
    FirstByteTimeout,
    /// No byte within the between-bytes bound.
    #[snafu(display("no further byte in time"))]
    BetweenBytesTimeout,
    /// The head had not ended within its bound, though bytes came.
    #[snafu(display("the head of the answer had no end in time"))]
    HeadTimeout,
    /// The answer had not ended within its bound, though bytes came.
    #[snafu(display("the answer had no end in time"))]
    WholeTimeout,
    /// The answer broke the protocol or a bound.
    #[snafu(display("{source}"), context(false))]
    Protocol {
        /// What is wrong with it.
        source: ProtocolError,
    },
    /// The answer carries another request's id.
    #[snafu(display("the answer belongs to another request"))]
    Crossed,
    /// Too many interim answers, or one that switches protocols.
    #[snafu(display("unexpected interim answer"))]
    Interim,
    /// The answer is longer than the caller allows.
    #[snafu(display("the answer is too large"))]
    TooLarge,
    /// The caller gave up.
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

/// A request failed.
#[derive(Debug, Snafu)]
#[snafu(display("request failed ({stage:?}): {source}"))]
pub struct SendError {
    /// How far it got.
    pub stage: Stage,
    /// Why it failed.
    pub source: Cause,
}

impl SendError {
    /// Whether the endpoint may have run the request; false only if nothing left us.
    pub fn may_have_run(&self) -> bool {
        self.stage.may_have_run()
    }
}

pub(super) fn failed(stage: Stage, source: Cause) -> SendError {
    SendError { stage, source }
}
