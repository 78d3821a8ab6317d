//! Typed messages between celerytide processes: HTTP/2 streams that carry bincode frames.
//!
//! One connection between two processes carries any number of exchanges. Each side sends pings while the connection is
//! busy. A connection whose pings stay unanswered is dropped, which fails its exchanges; the peer itself is not
//! considered failed, and the next call opens a new connection. A frame is a four-byte length and a bincode body, at
//! most [`MAX_FRAME_BYTES`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod activity;
mod connection;
mod error;
mod exchange;
pub mod messages;
mod server;
mod socket;

pub use connection::{ConnectionPool, PeerConnection};
pub use error::Error;
pub use exchange::{Exchange, MAX_FRAME_BYTES};
pub use server::{Service, serve};

use std::time::Duration;

/// Timeouts of a connection between two processes.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Timeout for the TCP connect and the HTTP/2 handshake.
    pub connect: Duration,
    /// Interval between pings on a busy connection.
    pub ping: Duration,
    /// Timeout of a ping, after which the connection is dropped.
    pub ping_timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect: Duration::from_secs(1),
            ping: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(3),
        }
    }
}
