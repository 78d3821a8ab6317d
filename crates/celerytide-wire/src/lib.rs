//! Typed messages between celerytide processes: h2 streams that carry bincode frames.
//!
//! One connection joins two processes and carries any number of exchanges. Each side pings while the connection is busy; one whose pings go
//! unanswered is dropped as silent, which fails its exchanges but says nothing of the peer: the next call opens a new
//! connection. Frames are a four-byte length and a bincode body, bounded by [`MAX_FRAME_BYTES`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod busy;
mod error;
mod exchange;
mod link;
pub mod messages;
mod server;
mod socket;

pub use error::Error;
pub use exchange::{Exchange, MAX_FRAME_BYTES};
pub use link::{ConnectionPool, PeerConnection};
pub use server::{Service, serve};

use std::time::Duration;

/// Bounds of every connection between our processes.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time for TCP and h2 to come up.
    pub connect: Duration,
    /// Time between pings of a busy connection.
    pub ping: Duration,
    /// A connection without an answer to its ping for this long is dropped.
    pub silence: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect: Duration::from_secs(1),
            ping: Duration::from_secs(1),
            silence: Duration::from_secs(3),
        }
    }
}
