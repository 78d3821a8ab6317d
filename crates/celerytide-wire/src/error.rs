//! Errors of this layer.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a call between our processes failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection came up; nothing was sent.
    #[snafu(display("wire: cannot connect to {addr}: {source}"))]
    Connect {
        /// The peer.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// No connection came up in time; nothing was sent.
    #[snafu(display("wire: no connection to {addr} in time"))]
    ConnectTimeout {
        /// The peer.
        addr: SocketAddr,
    },
    /// The h2 layer failed.
    #[snafu(display("wire: {source}"))]
    H2 {
        /// The library's error.
        source: h2::Error,
    },
    /// The peer ended the exchange before its answer.
    #[snafu(display("wire: the peer ended the exchange"))]
    Ended,
    /// A message could not be encoded.
    #[snafu(display("wire: cannot encode: {source}"))]
    Encode {
        /// The library's error.
        source: bincode::error::EncodeError,
    },
    /// A message could not be decoded.
    #[snafu(display("wire: cannot decode: {source}"))]
    Decode {
        /// The library's error.
        source: bincode::error::DecodeError,
    },
    /// A frame is larger than [`crate::MAX_FRAME_BYTES`].
    #[snafu(display("wire: a frame of {bytes} bytes is too large"))]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
    /// The method is not known.
    #[snafu(display("wire: unknown method {path}"))]
    Method {
        /// Path of the h2 request.
        path: String,
    },
    /// The call was cancelled.
    #[snafu(display("wire: cancelled"))]
    Cancelled,
}

impl Error {
    /// Whether it is certain that nothing reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect { .. } | Error::ConnectTimeout { .. })
    }

    /// Whether the peer itself reset the exchange, on a connection that works.
    pub fn is_reset_by_peer(&self) -> bool {
        matches!(self, Error::H2 { source } if source.is_reset() && source.is_remote())
    }

    /// Whether the peer's machine refused the connection: no process listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Error::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}
