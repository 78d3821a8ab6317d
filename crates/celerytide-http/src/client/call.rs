//! A request to an endpoint with its limits, and its buffered response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use super::Cause;
use crate::memory::Payload;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(60);
const BETWEEN_BYTES_TIMEOUT: Duration = Duration::from_secs(20);
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3600);
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time and size limits of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time to establish a connection.
    pub connect_timeout: Duration,
    /// Time to wait for the first byte of the response, and again for the first byte of its body.
    pub first_byte_timeout: Duration,
    /// Time to wait for each further byte.
    pub between_bytes_timeout: Duration,
    /// Time from the request's first byte to the end of the response's head, including interim responses.
    pub head_timeout: Duration,
    /// Time from the request's first byte to the end of the response, even if bytes keep arriving.
    pub total_timeout: Duration,
    /// Maximum size of the response's head in bytes.
    pub max_head_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            connect_timeout: CONNECT_TIMEOUT,
            first_byte_timeout: FIRST_BYTE_TIMEOUT,
            between_bytes_timeout: BETWEEN_BYTES_TIMEOUT,
            head_timeout: HEAD_TIMEOUT,
            total_timeout: RESPONSE_TIMEOUT,
            max_head_bytes: MAX_HEAD_BYTES,
        }
    }
}

/// One request to an endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// Request method; `CONNECT` is rejected.
    pub method: Method,
    /// Path and query, starting with a slash.
    pub path: String,
    /// Request headers; `host` and framing headers are written by the client.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Payload,
    /// Value of the `host` header; defaults to the address.
    pub host: Option<HeaderValue>,
    /// Opens a new connection instead of reusing one.
    pub fresh: bool,
    /// Reuses no connection that was idle for longer than this.
    pub max_idle: Option<Duration>,
    /// Time and size limits.
    pub bounds: Bounds,
}

impl Call {
    /// Creates a call without headers or body and with default limits.
    pub fn new(addr: SocketAddr, method: Method, path: &str) -> Self {
        Call {
            addr,
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Payload::default(),
            host: None,
            fresh: false,
            max_idle: None,
            bounds: Bounds::default(),
        }
    }

    /// Rejects a method or path that can't be written as a request line.
    pub(super) fn validate(&self) -> Result<(), Cause> {
        let clean = self.path.bytes().all(|b| b.is_ascii_graphic());
        if clean && self.path.starts_with('/') && self.method != Method::CONNECT {
            return Ok(());
        }
        Err(Cause::Target)
    }
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}
