//! Model requests whose response is buffered and sent at once.

use std::rc::Rc;

use celerytide_http::client::{BufferedResponse, SendError};
use celerytide_http::server::Responder;
use celerytide_wire::messages::Ended;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::ModelRequest;
use crate::attempts::{AttemptEnd, Attempts, Stop, is_gateway_status};
use crate::entry::Entry;
use crate::permit::{Lease, PermitError};
use crate::plain::{CallerResponse, MAX_RESPONSE_BYTES, end_for_error};

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
    let mut attempts = Attempts::default();
    loop {
        let lease = match entry.permits.acquire(&permit_spec, &mut attempts, cx).await {
            Ok(lease) => lease,
            Err(PermitError::CallerLeft) => return None,
            Err(PermitError::Rejected(err)) => return Some(CallerResponse::of(&err, request)),
        };
        entry.node.trace_log.add_step(request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        match attempt(entry, model, &lease, cx).await {
            AttemptResult::CallerLeft => {
                lease.settle(Ended::Cancelled);
                return None;
            }
            AttemptResult::Preempted => {
                attempts.end(&AttemptEnd::Preempted);
                model.requeue_preempted(entry, &mut permit_spec, lease);
                continue;
            }
            AttemptResult::Responded(response) => {
                let proof = attempts.end(&model.response_end(response.status, &response.headers));
                if !is_gateway_status(response.status) || attempts.are_used_up() {
                    lease.settle(Ended::Whole {
                        tokens: generated_tokens(&response),
                    });
                    let outcome = attempts.response_outcome(proof);
                    let (status, headers) = (response.status, &response.headers);
                    return Some(CallerResponse::passed_on(
                        status,
                        headers,
                        response.body,
                        outcome,
                        request,
                    ));
                }
                entry.record_failure(request, &endpoint, &format!("status {}", response.status));
                lease.settle(Ended::Failed);
            }
            AttemptResult::Failed(error) => {
                attempts.end(&AttemptEnd::of_error(&error, 0));
                entry.record_failure(request, &endpoint, &error.to_string());
                lease.settle(end_for_error(&error, 0));
            }
        }
        permit_spec.avoid.push(endpoint);
        if attempts.are_used_up() {
            return Some(CallerResponse::of(&attempts.stopped(Stop::AttemptsUsed), request));
        }
        if !entry.retry_limiter.try_take() {
            return Some(CallerResponse::of(&attempts.stopped(Stop::NoRetryLeft), request));
        }
    }
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

fn generated_tokens(response: &BufferedResponse) -> u32 {
    let completion: Option<Completion> = serde_json::from_slice(&response.body).ok();
    completion.and_then(|c| c.usage).map_or(0, |u| u.completion_tokens)
}
