//! What is asked of an endpoint, and within which bounds.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use super::Cause;

const CONNECT: Duration = Duration::from_secs(2);
const FIRST_BYTE: Duration = Duration::from_secs(60);
const BETWEEN_BYTES: Duration = Duration::from_secs(20);
const HEAD: Duration = Duration::from_secs(120);
const WHOLE: Duration = Duration::from_secs(3600);
const MAX_HEAD: usize = 64 * 1024;

/// Bounds on one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time for a new connection.
    pub connect: Duration,
    /// Wait for the first byte of the answer, and again for the first byte of its body.
    pub first_byte: Duration,
    /// Wait for each further byte.
    pub between_bytes: Duration,
    /// Time from the request's first byte to the end of the answer's head, interim answers among it.
    pub head: Duration,
    /// Time from the request's first byte to the end of the answer, however its bytes come.
    pub whole: Duration,
    /// Bytes of the answer's head.
    pub max_head: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            connect: CONNECT,
            first_byte: FIRST_BYTE,
            between_bytes: BETWEEN_BYTES,
            head: HEAD,
            whole: WHOLE,
            max_head: MAX_HEAD,
        }
    }
}

/// One request to an endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// The endpoint.
    pub addr: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query, from its leading slash.
    pub path: String,
    /// Headers; host and framing headers are written by the client.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Value of the host header; the address if it is absent.
    pub host: Option<HeaderValue>,
    /// Use a new connection only.
    pub fresh: bool,
    /// Use no connection that was idle for longer.
    pub max_idle: Option<Duration>,
    /// Bounds.
    pub bounds: Bounds,
}

impl Call {
    /// A call without headers or body, with default bounds.
    pub fn new(addr: SocketAddr, method: Method, path: &str) -> Self {
        Call {
            addr,
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            host: None,
            fresh: false,
            max_idle: None,
            bounds: Bounds::default(),
        }
    }

    /// Refuses a path that would break the request line.
    pub(super) fn check(&self) -> Result<(), Cause> {
        let clean = self.path.bytes().all(|b| b.is_ascii_graphic());
        if clean && self.path.starts_with('/') && self.method != Method::CONNECT {
            return Ok(());
        }
        Err(Cause::Target)
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}
