//! Client for operator and control addresses that doesn't block the callers on the same thread.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use ::http::{self, Method};
use bytes::Bytes;
use celerytide_http::client::{Bounds, Call, Client, Options};
use celerytide_standin::{
    plain::{RUNS_PATH, Run},
    probe::FAULT_PATH,
};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use super::{Cluster, Daemon};

/// Timeout of each step of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Time between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends small requests over a new connection each.
pub struct ControlClient {
    cx: CancellationToken,
}

impl Default for ControlClient {
    fn default() -> ControlClient {
        ControlClient {
            cx: CancellationToken::new(),
        }
    }
}

impl ControlClient {
    /// JSON at `path`; `None` without a successful response.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Option<Value> {
        self.request_json(addr, Method::GET, path, Bytes::new()).await
    }

    /// HTTP status of `path`; 0 if there was no response.
    pub async fn status(&self, addr: SocketAddr, path: &str) -> u16 {
        let response = self.send(addr, Method::GET, path, Bytes::new()).await;
        response.map_or(0, |response| response.status.as_u16())
    }

    /// Sets the fault of a stand-in; returns whether it was accepted.
    pub async fn set_fault(&self, addr: SocketAddr, json: &str) -> bool {
        let body = Bytes::from(json.to_owned());
        self.request_json(addr, Method::PUT, FAULT_PATH, body).await.is_some()
    }

    async fn request_json(&self, addr: SocketAddr, method: Method, path: &str, body: Bytes) -> Option<Value> {
        let response = self.send(addr, method, path, body).await?;
        let body = Some(response.body).filter(|_| response.status.is_success())?;
        serde_json::from_slice(&body).ok()
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<celerytide_http::client::BufferedResponse> {
        let mut headers = http::HeaderMap::new();
        headers.insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
        let call = Call {
            body: body.into(),
            headers,
            fresh: true,
            bounds: Bounds {
                connect_timeout: REQUEST_TIMEOUT,
                first_byte_timeout: REQUEST_TIMEOUT,
                between_bytes_timeout: REQUEST_TIMEOUT,
                ..Bounds::default()
            },
            ..Call::new(addr, method, path)
        };
        // A separate client for each request, so that no connection outlives its response.
        let client = Client::new(Options::default());
        client.send_buffered(call, MAX_RESPONSE_BYTES, &self.cx).await.ok()
    }
}

impl Cluster {
    /// Operator address of a daemon, or control address of a stand-in.
    pub fn operator_addr(&self, daemon: Daemon) -> SocketAddr {
        match daemon {
            Daemon::Entry(index) => self.instances[index].entry_operator,
            Daemon::Dispatch(index) => self.instances[index].dispatch_operator,
            Daemon::Engine(_) | Daemon::Plain(_) => self.process(daemon).addr(),
        }
    }

    /// `/status` of a daemon; null if it doesn't respond.
    pub async fn status(&self, daemon: Daemon) -> Value {
        self.control
            .get(self.operator_addr(daemon), "/status")
            .await
            .unwrap_or_default()
    }

    /// Runs that a plain service recorded; `None` if it doesn't respond.
    pub async fn runs(&self, index: usize) -> Option<Vec<Run>> {
        let runs = self.control.get(self.plain_endpoints[index].addr(), RUNS_PATH).await?;
        serde_json::from_value(runs).ok()
    }

    /// Sets the fault of the configuration service; returns whether it was accepted.
    pub async fn config_fault(&self, json: &str) -> bool {
        self.control.set_fault(self.config.addr(), json).await
    }

    /// Pools that a dispatch owns, as reported by its status.
    pub async fn pools(&self, index: usize) -> Vec<Value> {
        let status = self.status(Daemon::Dispatch(index)).await;
        let pools = status.get("pools").and_then(Value::as_array);
        pools.cloned().unwrap_or_default()
    }
}

/// Waits until `condition` is true; returns false after `timeout`.
pub async fn wait_until(timeout: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    loop {
        if condition().await {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
