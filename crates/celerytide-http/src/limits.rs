//! Bounds on what one caller may use.

use std::time::Duration;

const KIB: usize = 1024;
const MAX_HEAD: usize = 64 * KIB;
const MAX_BODY: usize = 4 * KIB * KIB;
const HEAD_TIME: Duration = Duration::from_secs(10);
const BODY_TIME: Duration = Duration::from_secs(30);
const IDLE_TIME: Duration = Duration::from_secs(60);
const WRITE_STALL: Duration = Duration::from_secs(30);
const MAX_CONNECTIONS: usize = 4096;

/// Bounds on callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head, its empty line included.
    pub max_head: usize,
    /// Bytes of a body. All connections together hold 64 times as much; a body beyond that is refused with 503.
    pub max_body: usize,
    /// Time for a whole head, from its first byte (on a new connection, from its start).
    pub head: Duration,
    /// Time for a whole body.
    pub body: Duration,
    /// Wait for the next request on a kept connection.
    pub idle: Duration,
    /// Time for which a single write may make no progress.
    pub write: Duration,
    /// Connections served at once; further ones are refused with 503.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head: MAX_HEAD,
            max_body: MAX_BODY,
            head: HEAD_TIME,
            body: BODY_TIME,
            idle: IDLE_TIME,
            write: WRITE_STALL,
            connections: MAX_CONNECTIONS,
        }
    }
}
