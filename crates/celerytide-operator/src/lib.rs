//! The operators' HTTP server of a daemon: health, readiness, metrics, status, audit trail and the steps of requests.
//!
//! It listens on a separate address that callers don't reach, and stays available while the daemon drains.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod response;

use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use celerytide_http::server::{Handler, Request, Responder};
use celerytide_kernel::audit::Audit;
use celerytide_kernel::metrics::Metrics;
use celerytide_kernel::readiness::Readiness;
use celerytide_kernel::trace::TraceLog;
use celerytide_kernel::{Error as KernelError, Kernel};
use http::Method;
use tokio_util::sync::CancellationToken;

use response::Response;

/// Names under which a daemon registers the services that the operators' address reads.
pub mod names {
    /// Audit trail of changes.
    pub const AUDIT: &str = "audit";
    /// Steps of recent requests.
    pub const TRACE_LOG: &str = "trail";
    /// Conditions of readiness.
    pub const READINESS: &str = "ready";
    /// Metrics registry.
    pub const METRICS: &str = "metrics";
}

/// Source of a daemon's own status and gauges.
pub trait StatusSource: 'static {
    /// The daemon's status, a JSON object.
    fn status(&self) -> serde_json::Value;

    /// Sets gauges to current values; called before the metrics are read.
    fn update_gauges(&self) {}
}

/// HTTP handler of the operators' address.
pub struct OperatorHandler<S: StatusSource> {
    audit: Rc<Audit>,
    trace_log: Rc<TraceLog>,
    readiness: Rc<Readiness>,
    metrics: Rc<Metrics>,
    status: Rc<S>,
}

impl<S: StatusSource> OperatorHandler<S> {
    /// Looks up the services in `kernel`; fails if one of [`names`] isn't registered.
    pub fn new(kernel: &Kernel, status: Rc<S>) -> Result<OperatorHandler<S>, KernelError> {
        Ok(OperatorHandler {
            audit: kernel.find(names::AUDIT)?,
            trace_log: kernel.find(names::TRACE_LOG)?,
            readiness: kernel.find(names::READINESS)?,
            metrics: kernel.find(names::METRICS)?,
            status,
        })
    }

    fn respond(&self, req: &Request) -> Response {
        if req.method != Method::GET {
            return Response::method_not_allowed();
        }
        let path = req.uri.path();
        if let Some(request) = path.strip_prefix("/explain/") {
            return self.explain(request);
        }
        match path {
            "/healthz" => Response::text("alive\n"),
            "/readyz" => self.readyz(),
            "/metrics" => self.metrics(),
            "/status" => Response::json(&self.status.status()),
            "/audit" => Response::json(&self.audit.since(since(req))),
            _ => Response::not_found("no such page; see /healthz /readyz /metrics /status /audit /explain/ID"),
        }
    }

    fn readyz(&self) -> Response {
        if self.readiness.is_ready() {
            return Response::text("ready\n");
        }
        let missing = self.readiness.missing().join(", ");
        Response::unavailable(&format!("not ready: {missing}\n"))
    }

    fn metrics(&self) -> Response {
        self.status.update_gauges();
        Response::open_metrics(self.metrics.text())
    }

    fn explain(&self, request: &str) -> Response {
        match self.trace_log.get(request) {
            Some(trace) => Response::json(&trace),
            None => Response::not_found("request not known here"),
        }
    }
}

impl<S: StatusSource> Handler for OperatorHandler<S> {
    fn handle(&self, req: Request, out: Responder, _cx: CancellationToken) -> impl Future<Output = ()> {
        let response = self.respond(&req);
        async move {
            let sent = out
                .whole(response.status, response.headers, Bytes::from(response.body))
                .await;
            if sent.is_err() {
                tracing::debug!("operator: the client left before its response");
            }
        }
    }
}

fn since(req: &Request) -> u64 {
    let query = req.uri.query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}
