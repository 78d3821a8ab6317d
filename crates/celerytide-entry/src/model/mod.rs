//! Model requests, buffered and streamed.
//!
//! An engine is an endpoint of a model service. Model requests are idempotent, so one that fails is retried at another
//! engine. A stream is resumed after the text that the caller has received, if the engine can resume; otherwise it ends
//! with an error event, never with an end that looks complete.

mod buffered;
mod list;
mod stream;

pub use list::list;

use std::rc::Rc;

use celerytide_http::client::Call;
use celerytide_http::server::{Request, Responder};
use celerytide_types::{BootTime, now_boot};
use celerytide_wire::messages::Ended;
use http::header::{ACCEPT_ENCODING, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::attempts::{AttemptEnd, ResponseHead};
use crate::auth;
use crate::entry::Entry;
use crate::headers;
use crate::model_body::{self, ModelBody};
use crate::permit::{Lease, PermitSpec};
use crate::plain::bounds;
use crate::request_info::{RequestInfo, resolve_class};
use crate::response::ErrorResponse;

/// A classified model request.
struct ModelRequest {
    info: RequestInfo,
    body: ModelBody,
    path: String,
    headers: HeaderMap,
}

/// Serves `POST /v1/chat/completions` and `/v1/completions`.
pub async fn serve(entry: &Rc<Entry>, request: &str, req: Request, out: Responder, cx: CancellationToken) {
    match classify(entry, request, req) {
        Ok(model) if model.body.stream => stream::serve(entry, model, out, cx).await,
        Ok(model) => buffered::serve(entry, model, out, cx).await,
        Err(err) => entry.send_error(request, out, &err).await,
    }
}

fn classify(entry: &Entry, request: &str, req: Request) -> Result<ModelRequest, ErrorResponse> {
    let arrived_at = now_boot();
    let manifest = entry.manifest()?;
    let customer = auth::authenticate(&manifest, &req.headers)?;
    let body = model_body::parse(req.body.to_bytes())?;
    let service = manifest
        .service_for_model(&body.model)
        .ok_or_else(|| unknown_model(&body.model))?;
    let class = resolve_class(&manifest, service, &req.headers)?;
    entry.admit(customer)?;
    let wait_limit = entry.settings.timeouts.permit;
    let info = RequestInfo::new(request.to_owned(), &customer.id, service, class, arrived_at, wait_limit);
    entry.node.trace_log.add_step(request, "classified", &info.class);
    let path = req.uri.path().to_owned();
    Ok(ModelRequest {
        info,
        body,
        path,
        headers: req.headers,
    })
}

fn unknown_model(model: &str) -> ErrorResponse {
    let mut err = ErrorResponse::bad_request(
        "unknown-model",
        "model",
        &format!("no service serves the model '{}'", auth::printable(model)),
    );
    err.status = StatusCode::NOT_FOUND;
    err
}

impl ModelRequest {
    fn permit_spec(&self) -> PermitSpec {
        PermitSpec {
            prompt_tokens: self.body.prompt_tokens,
            max_tokens: self.body.max_tokens,
            prefix: self.body.prefix.clone(),
            content: Some(self.body.content_hash(&self.info.customer, &self.path)),
            ..self.info.permit_spec()
        }
    }

    /// The end of an attempt to which the engine responded.
    fn response_end<'a>(&'a self, status: StatusCode, headers: &'a HeaderMap) -> AttemptEnd<'a> {
        AttemptEnd::Response(ResponseHead {
            status,
            headers,
            request: &self.info.request,
            not_run_status: &[],
        })
    }

    /// Gives back a preempted permit and prepares the request for another one. The request started in time and was
    /// taken off its engine by its own pool, so it may wait once more, and no retry is taken from the budget, which
    /// bounds what failures cost.
    fn requeue_preempted(&self, entry: &Entry, spec: &mut PermitSpec, lease: Lease) {
        entry
            .node
            .trace_log
            .add_step(&self.info.request, "preempted", lease.endpoint());
        lease.settle(Ended::Cancelled);
        spec.start_deadline = self.renewed_deadline(entry);
    }

    /// Deadline of the next permit of a request that started in time before.
    fn renewed_deadline(&self, entry: &Entry) -> BootTime {
        now_boot().after(self.info.latency_target.min(entry.settings.timeouts.permit))
    }

    /// The HTTP call to the engine; `resume_from` is the number of tokens that the caller has received.
    fn engine_call(&self, entry: &Entry, lease: &Lease, resume_from: u32) -> Call {
        let body = match resume_from {
            0 => self.body.raw.clone(),
            tokens => self.body.resume_body(tokens),
        };
        let mut headers = headers::endpoint_headers(&self.headers, &self.info);
        headers.remove(ACCEPT_ENCODING);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Call {
            addr: lease.address(),
            method: Method::POST,
            path: self.path.clone(),
            headers,
            body: body.into(),
            host: None,
            fresh: false,
            max_idle: None,
            bounds: bounds(entry, lease),
        }
    }
}
