//! Errors of calls between processes.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a call to another process failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("wire: cannot connect to {addr}: {source}"))]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Error of the connect call.
        source: io::Error,
    },
    /// The connection was not established within [`Options::connect`](crate::Options::connect); nothing was sent.
    #[snafu(display("wire: no connection to {addr} in time"))]
    ConnectTimeout {
        /// Address of the peer.
        addr: SocketAddr,
    },
    /// An HTTP/2 error on the connection or the stream.
    #[snafu(display("wire: {source}"))]
    H2 {
        /// Error of the `h2` crate.
        source: h2::Error,
    },
    /// The peer ended the exchange before the expected message.
    #[snafu(display("wire: the peer ended the exchange"))]
    Ended,
    /// A message could not be encoded.
    #[snafu(display("wire: cannot encode: {source}"))]
    Encode {
        /// Error of the `bincode` crate.
        source: bincode::error::EncodeError,
    },
    /// A message could not be decoded.
    #[snafu(display("wire: cannot decode: {source}"))]
    Decode {
        /// Error of the `bincode` crate.
        source: bincode::error::DecodeError,
    },
    /// A frame is larger than [`crate::MAX_FRAME_BYTES`].
    #[snafu(display("wire: a frame of {bytes} bytes is too large"))]
    TooLarge {
        /// Length of the frame.
        bytes: usize,
    },
    /// The path names no known [`Method`](crate::messages::Method).
    #[snafu(display("wire: unknown method {path}"))]
    Method {
        /// Path of the HTTP/2 request.
        path: String,
    },
    /// The call was cancelled.
    #[snafu(display("wire: cancelled"))]
    Cancelled,
}

impl Error {
    /// Whether it is certain that no byte of the message reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect { .. } | Error::ConnectTimeout { .. })
    }

    /// Whether the peer reset the stream, which implies that the connection works.
    pub fn is_reset_by_peer(&self) -> bool {
        matches!(self, Error::H2 { source } if source.is_reset() && source.is_remote())
    }

    /// Whether the peer's machine refused the connection, because no process listens on the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Error::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}
