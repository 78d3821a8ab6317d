//! Model requests whose response is buffered and sent at once.

use std::rc::Rc;

use celerytide_http::client::{BufferedResponse, SendError, Stage};
use celerytide_http::server::Responder;
use celerytide_wire::messages::Ended;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::{MAX_ATTEMPTS, ModelRequest, attempts_failed, is_retryable};
use crate::entry::Entry;
use crate::headers;
use crate::permit::{Lease, PermitError};
use crate::plain::{CallerResponse, MAX_RESPONSE_BYTES};
use crate::response::{done_outcome, outcome_headers};

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
}

#[derive(Deserialize)]
struct Completion {
    usage: Option<Usage>,
}

enum AttemptResult {
    Responded(BufferedResponse),
    Failed(SendError),
    Preempted,
    CallerLeft,
}

pub(super) async fn serve(entry: &Rc<Entry>, model: ModelRequest, out: Responder, cx: CancellationToken) {
    let request = model.info.request.clone();
    if let Some(response) = run(entry, &model, &cx).await {
        entry.send_response(&request, out, response).await;
    } else {
        entry.record_caller_left(&request);
    }
}

/// Tries engines until one responds; `None` if the caller left.
async fn run(entry: &Rc<Entry>, model: &ModelRequest, cx: &CancellationToken) -> Option<CallerResponse> {
    let request = &model.info.request;
    let mut permit_spec = model.permit_spec();
    let mut may_have_run = false;
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        let lease = match entry.permits.acquire(&permit_spec, cx).await {
            Ok(lease) => lease,
            Err(PermitError::CallerLeft) => return None,
            Err(PermitError::Rejected(_)) if may_have_run => {
                return Some(CallerResponse::of(&attempts_failed(true), request));
            }
            Err(PermitError::Rejected(err)) => return Some(CallerResponse::of(&err, request)),
        };
        entry.node.trace_log.add_step(request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        match attempt(entry, model, &lease, cx).await {
            AttemptResult::CallerLeft => {
                lease.settle(Ended::Cancelled);
                return None;
            }
            AttemptResult::Preempted => lease.settle(Ended::Cancelled),
            AttemptResult::Responded(response) if !is_retryable(response.status) || attempts + 1 == MAX_ATTEMPTS => {
                lease.settle(Ended::Whole {
                    tokens: generated_tokens(&response),
                });
                return Some(caller_response(model, response));
            }
            AttemptResult::Responded(_) => {
                lease.settle(Ended::Failed);
                permit_spec.avoid.push(endpoint);
                attempts += 1;
            }
            AttemptResult::Failed(error) => {
                entry
                    .node
                    .trace_log
                    .add_step(request, "failed", &format!("{endpoint}: {error}"));
                may_have_run |= error.may_have_run();
                lease.settle(end_for_error(&error));
                permit_spec.avoid.push(endpoint);
                attempts += 1;
            }
        }
        if !entry.retry_limiter.try_take() {
            break;
        }
    }
    Some(CallerResponse::of(&attempts_failed(may_have_run), request))
}

async fn attempt(entry: &Entry, model: &ModelRequest, lease: &Lease, cx: &CancellationToken) -> AttemptResult {
    let call = model.engine_call(entry, lease, 0);
    let result = monoio::select! {
        result = entry.client.send_buffered(call, MAX_RESPONSE_BYTES, cx) => result,
        () = lease.preempted().cancelled() => return AttemptResult::Preempted,
    };
    match result {
        Ok(response) => AttemptResult::Responded(response),
        Err(_) if cx.is_cancelled() => AttemptResult::CallerLeft,
        Err(error) => AttemptResult::Failed(error),
    }
}

pub(super) fn end_for_error(error: &SendError) -> Ended {
    match error.stage {
        Stage::Connect => Ended::NotStarted,
        Stage::Written | Stage::Body => Ended::Failed,
    }
}

fn caller_response(model: &ModelRequest, response: BufferedResponse) -> CallerResponse {
    let outcome = done_outcome("answered");
    let mut out = headers::caller_headers(&response.headers);
    out.extend(outcome_headers(&outcome, &model.info.request));
    CallerResponse {
        status: response.status,
        headers: out,
        body: response.body,
        outcome,
    }
}

fn generated_tokens(response: &BufferedResponse) -> u32 {
    let completion: Option<Completion> = serde_json::from_slice(&response.body).ok();
    completion.and_then(|c| c.usage).map_or(0, |u| u.completion_tokens)
}
