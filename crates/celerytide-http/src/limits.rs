//! Limits on the sizes and times of callers' requests.

use std::time::Duration;

const KIB: usize = 1024;
const MAX_HEAD_BYTES: usize = 64 * KIB;
const MAX_BODY_BYTES: usize = 4 * KIB * KIB;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_CONNECTIONS: usize = 4096;

/// Limits for connections from callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a head in bytes, including its final empty line.
    pub max_head_bytes: usize,
    /// Maximum size of a body in bytes. What all connections hold together is limited by the account, see
    /// [`memory`](crate::memory).
    pub max_body_bytes: usize,
    /// Time to receive a complete head, from its first byte; also the time to wait for that byte on a new connection.
    pub head_timeout: Duration,
    /// Time to receive a complete body.
    pub body_timeout: Duration,
    /// Time to wait for the next request on a keep-alive connection.
    pub idle_timeout: Duration,
    /// Time after which a write without progress fails.
    pub write_timeout: Duration,
    /// Maximum number of concurrent connections; further ones are rejected with 503.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            max_connections: MAX_CONNECTIONS,
        }
    }
}
