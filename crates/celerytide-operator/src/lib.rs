//! The operators' HTTP address of a daemon: health, readiness, metrics, status, audit trail and explanations.
//!
//! It listens on an address of its own, so that callers never reach it, and keeps answering while the daemon drains.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod answer;

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

use answer::Answer;

/// Names under which a daemon registers what the operators' address shows.
pub mod names {
    /// The audit trail.
    pub const AUDIT: &str = "audit";
    /// Stories of recent requests.
    pub const TRACE_LOG: &str = "trail";
    /// Readiness.
    pub const READY: &str = "ready";
    /// The metrics registry.
    pub const METRICS: &str = "metrics";
}

/// What a daemon tells of itself.
pub trait StatusSource: 'static {
    /// The daemon's status as a JSON object.
    fn status(&self) -> serde_json::Value;

    /// Brings gauges up to date before the metrics are read.
    fn update_gauges(&self) {}
}

/// Serves the operators' address.
pub struct Operator<S: StatusSource> {
    audit: Rc<Audit>,
    trace_log: Rc<TraceLog>,
    ready: Rc<Readiness>,
    metrics: Rc<Metrics>,
    status: Rc<S>,
}

impl<S: StatusSource> Operator<S> {
    /// Finds its parts in `kernel`. Fails if one of [`names`] is not registered.
    pub fn new(kernel: &Kernel, status: Rc<S>) -> Result<Operator<S>, KernelError> {
        Ok(Operator {
            audit: kernel.find(names::AUDIT)?,
            trace_log: kernel.find(names::TRACE_LOG)?,
            ready: kernel.find(names::READY)?,
            metrics: kernel.find(names::METRICS)?,
            status,
        })
    }

    fn answer(&self, req: &Request) -> Answer {
        if req.method != Method::GET {
            return Answer::not_allowed();
        }
        let path = req.uri.path();
        if let Some(request) = path.strip_prefix("/explain/") {
            return self.explain(request);
        }
        match path {
            "/healthz" => Answer::text("alive\n"),
            "/readyz" => self.readyz(),
            "/metrics" => self.metrics(),
            "/status" => Answer::json(&self.status.status()),
            "/audit" => Answer::json(&self.audit.since(since(req))),
            _ => Answer::not_found("no such page; see /healthz /readyz /metrics /status /audit /explain/ID"),
        }
    }

    fn readyz(&self) -> Answer {
        if self.ready.is_ready() {
            return Answer::text("ready\n");
        }
        let missing = self.ready.missing().join(", ");
        Answer::unavailable(&format!("not ready: {missing}\n"))
    }

    fn metrics(&self) -> Answer {
        self.status.update_gauges();
        Answer::open_metrics(self.metrics.text())
    }

    fn explain(&self, request: &str) -> Answer {
        match self.trace_log.get(request) {
            Some(story) => Answer::json(&story),
            None => Answer::not_found("request not known here"),
        }
    }
}

impl<S: StatusSource> Handler for Operator<S> {
    fn handle(&self, req: Request, out: Responder, _cx: CancellationToken) -> impl Future<Output = ()> {
        let answer = self.answer(&req);
        async move {
            let sent = out.whole(answer.status, answer.headers, Bytes::from(answer.body)).await;
            if sent.is_err() {
                tracing::debug!("operator: the reader left");
            }
        }
    }
}

fn since(req: &Request) -> u64 {
    let query = req.uri.query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}
