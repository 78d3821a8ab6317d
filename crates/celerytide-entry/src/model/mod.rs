//! Model calls, whole and streamed.
//!
//! Model calls are idempotent: a call that breaks goes on at another engine. A stream goes on behind the text that the caller
//! has, where the engine resumes; otherwise it ends with an error event, never with an end that looks whole.

mod list;
mod stream;
mod whole;

pub use list::list;

use std::rc::Rc;

use celerytide_http::client::Call;
use celerytide_http::server::{Request, Responder};
use celerytide_types::now_boot;
use http::header::{ACCEPT_ENCODING, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::answer::Final;
use crate::call::{self, ModelCall};
use crate::caller;
use crate::entry::Entry;
use crate::facts::{Facts, class_of};
use crate::headers;
use crate::permit::{Lease, Wanted};
use crate::plain::bounds;

/// Engines tried for one request.
const MAX_ATTEMPTS: usize = 4;

/// A classified model call.
struct ModelRequest {
    facts: Facts,
    call: ModelCall,
    path: String,
    headers: HeaderMap,
}

/// Serves `POST /v1/chat/completions` and `/v1/completions`.
pub async fn serve(entry: &Rc<Entry>, request: &str, req: Request, out: Responder, cx: CancellationToken) {
    match classify(entry, request, req) {
        Ok(model) if model.call.stream => stream::serve(entry, model, out, cx).await,
        Ok(model) => whole::serve(entry, model, out, cx).await,
        Err(end) => entry.finish(request, out, &end).await,
    }
}

fn classify(entry: &Entry, request: &str, req: Request) -> Result<ModelRequest, Final> {
    let arrived = now_boot();
    let manifest = entry.manifest()?;
    let customer = caller::customer_of(&manifest, &req.headers)?;
    let call = call::read(req.body)?;
    let service = manifest
        .service_of_model(&call.model)
        .ok_or_else(|| unknown_model(&call.model))?;
    let class = class_of(&manifest, service, &req.headers)?;
    entry.admit(customer)?;
    let wait = entry.settings.timeouts.permit;
    let facts = Facts::new(request.to_owned(), &customer.id, service, class, arrived, wait);
    entry.node.trail.add_step(request, "classified", &facts.class);
    let path = req.uri.path().to_owned();
    Ok(ModelRequest {
        facts,
        call,
        path,
        headers: req.headers,
    })
}

fn unknown_model(model: &str) -> Final {
    let mut end = Final::bad(
        "unknown-model",
        "model",
        &format!("no service serves the model '{}'", caller::shown(model)),
    );
    end.status = StatusCode::NOT_FOUND;
    end
}

impl ModelRequest {
    fn wanted(&self) -> Wanted {
        Wanted {
            prompt_tokens: self.call.prompt_tokens,
            max_tokens: self.call.max_tokens,
            prefix: self.call.prefix.clone(),
            ..self.facts.wanted()
        }
    }

    /// The call to the engine; `resume_from` counts tokens that the caller has.
    fn call_for(&self, entry: &Entry, lease: &Lease, resume_from: u32) -> Call {
        let body = match resume_from {
            0 => self.call.body.clone(),
            tokens => self.call.resume_body(tokens),
        };
        let mut headers = headers::to_endpoint(&self.headers, &self.facts);
        headers.remove(ACCEPT_ENCODING);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Call {
            addr: lease.address(),
            method: Method::POST,
            path: self.path.clone(),
            headers,
            body,
            host: None,
            fresh: false,
            max_idle: None,
            bounds: bounds(entry, lease),
        }
    }
}

/// Whether an engine's status means that another engine may do better.
fn try_elsewhere(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

fn failed(may_have_run: bool) -> Final {
    if may_have_run {
        let message = "the engine's answer did not arrive whole and no other engine could take over";
        return Final::unknown(StatusCode::BAD_GATEWAY, "answer-lost", message).retry_after(RETRY_AFTER);
    }
    let message = "no engine could be reached; nothing was sent";
    Final::not_run(StatusCode::SERVICE_UNAVAILABLE, "endpoint-unreachable", message).retry_after(RETRY_AFTER)
}

/// Time to come back after engines failed.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);
