//! The issuing entry's side of a ticket: runs its action once, stores the outcome, and replays it to repeated requests.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_http::validate::response_status;
use celerytide_once::{Attempt, BeginResult, Outcome, StoredResponse, Ticket};
use celerytide_types::{ExecutionStatus, RequestOutcome, now_boot};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Header, RelayRequest, RelayResponse};
use futures::channel::oneshot;
use http::{HeaderMap, Method, StatusCode};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;

use super::forward::{from_wire, to_wire};
use crate::entry::Entry;
use crate::plain::{self, CallerResponse, PlainRequest, RetryPolicy};
use crate::request_info::{RequestInfo, resolve_class};
use crate::response::{ErrorResponse, outcome_headers};

/// Retry time told to the caller while the action is running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a request with a ticket that this entry issued, or one whose outcome was copied here.
pub(super) async fn serve(entry: &Rc<Entry>, ticket: &Ticket, info: &RequestInfo, req: PlainRequest) -> CallerResponse {
    let fingerprint = fingerprint(info, &req);
    let result = match entry.copies.begin(ticket, fingerprint) {
        Some(result) => result,
        None => entry.tickets.begin(ticket, now_boot(), fingerprint),
    };
    match result {
        BeginResult::Run(attempt) => run_in_task(entry, attempt, info, req).await,
        BeginResult::Running => error_response(info, still_running()),
        BeginResult::Finished(outcome) => replay(info, outcome),
        BeginResult::Expired => error_response(
            info,
            ErrorResponse::not_run(StatusCode::GONE, "ticket-expired", "the ticket has expired unused"),
        ),
        BeginResult::Unknown | BeginResult::NotIssuer(_) => error_response(info, issuer_gone()),
        BeginResult::OtherRequest => error_response(info, ticket_used_otherwise()),
    }
}

/// Serves a request that another entry relayed.
pub async fn serve_relay(entry: &Rc<Entry>, mut ex: Exchange) {
    let Ok(relay) = ex.recv_required::<RelayRequest>().await else {
        return;
    };
    let response = respond_to_relay(entry, relay).await;
    let headers = to_wire(&response.headers);
    let relayed = RelayResponse {
        status: response.status.as_u16(),
        headers,
        body: response.body.to_vec(),
    };
    if ex.send_last(&relayed).await.is_err() {
        tracing::info!("ticket: the relaying entry is gone; the outcome is stored");
    }
}

async fn respond_to_relay(entry: &Rc<Entry>, relay: RelayRequest) -> CallerResponse {
    let request = relay.request.clone();
    let Ok(ticket) = Ticket::parse(&relay.ticket) else {
        return CallerResponse::of(&issuer_gone(), &request);
    };
    let method = Method::from_bytes(relay.method.as_bytes()).unwrap_or(Method::POST);
    let req = PlainRequest {
        method,
        path: relay.path,
        headers: from_wire(&relay.headers),
        body: Bytes::from(relay.body),
    };
    let info = match classify(entry, &relay.service, &relay.customer, &req.headers, &request) {
        Ok(info) => info,
        Err(err) => return CallerResponse::of(&err.before_ticket(), &request),
    };
    entry.node.trace_log.add_step(&request, "relayed", "to this home");
    serve(entry, &ticket, &info, req).await
}

fn classify(
    entry: &Entry,
    service: &str,
    customer: &str,
    headers: &HeaderMap,
    request: &str,
) -> Result<RequestInfo, ErrorResponse> {
    let manifest = entry.manifest()?;
    let service = plain::find_service(&manifest, service)?;
    let class = resolve_class(&manifest, service, headers)?;
    Ok(RequestInfo::new(
        request.to_owned(),
        customer,
        service,
        class,
        now_boot(),
        entry.settings.timeouts.permit,
    ))
}

async fn run_in_task(entry: &Rc<Entry>, attempt: Attempt, info: &RequestInfo, req: PlainRequest) -> CallerResponse {
    let (tx, rx) = oneshot::channel();
    let (task_entry, task_info) = (entry.clone(), info.clone());
    let in_flight = entry.in_flight.enter();
    monoio::spawn(async move {
        let response = run(&task_entry, attempt, &task_info, req).await;
        drop(in_flight);
        // The caller may have left; the outcome is stored either way.
        let _ = tx.send(response);
    });
    match rx.await {
        Ok(response) => response,
        Err(oneshot::Canceled) => error_response(info, issuer_gone()),
    }
}

async fn run(entry: &Rc<Entry>, mut attempt: Attempt, info: &RequestInfo, req: PlainRequest) -> CallerResponse {
    let not_run_status = not_run_status(entry, info, &req);
    let cx = CancellationToken::new();
    let response = plain::run(
        entry,
        info,
        &req,
        RetryPolicy::OnlyIfUnsent,
        &not_run_status,
        &mut attempt,
        &cx,
    )
    .await;
    let stored = stored_response(&response);
    let outcome = entry
        .tickets
        .finish(now_boot(), attempt, response.outcome.clone(), stored);
    if outcome.status != response.outcome.status {
        // The registry contradicts the response, whose headers and body still state the other outcome.
        return outcome_without_response(info, outcome);
    }
    CallerResponse { outcome, ..response }
}

/// HTTP statuses with which the service says that it did not run the request.
fn not_run_status(entry: &Entry, info: &RequestInfo, req: &PlainRequest) -> Vec<u16> {
    let Ok(manifest) = entry.manifest() else {
        return Vec::new();
    };
    let service = manifest.service(&info.service);
    let action = service.and_then(|s| plain::find_action(s, req));
    action.map(|a| a.not_run_status.clone()).unwrap_or_default()
}

fn stored_response(response: &CallerResponse) -> Option<StoredResponse> {
    let headers = headers_as_bytes(&response.headers)?;
    Some(StoredResponse {
        status: response.status.as_u16(),
        headers,
        body: response.body.to_vec(),
    })
}

fn headers_as_bytes(headers: &HeaderMap) -> Option<Vec<u8>> {
    serde_json::to_vec(&to_wire(headers)).ok()
}

fn replay(info: &RequestInfo, outcome: Outcome) -> CallerResponse {
    let stored = outcome
        .response
        .and_then(|s| Some((response_status(s.status).ok()?, s)));
    let Some((status, stored)) = stored else {
        return outcome_without_response(info, outcome.request);
    };
    let headers: Vec<Header> = serde_json::from_slice(&stored.headers).unwrap_or_default();
    let mut headers = from_wire(&headers);
    headers.extend(outcome_headers(&outcome.request, &info.request));
    CallerResponse {
        status,
        headers,
        body: Bytes::from(stored.body),
        outcome: outcome.request,
    }
}

/// The recorded outcome, for an action whose response is no longer stored.
fn outcome_without_response(info: &RequestInfo, outcome: RequestOutcome) -> CallerResponse {
    let status = match outcome.status {
        ExecutionStatus::Done => StatusCode::OK,
        ExecutionStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        ExecutionStatus::Unknown => StatusCode::BAD_GATEWAY,
    };
    let message = String::from("the recorded outcome of this ticket; its answer is not kept");
    error_response(
        info,
        ErrorResponse {
            status,
            outcome,
            message,
            param: None,
        },
    )
}

fn error_response(info: &RequestInfo, err: ErrorResponse) -> CallerResponse {
    CallerResponse::of(&err, &info.request)
}

/// Ends this request only; the action goes on under the request that started it.
fn still_running() -> ErrorResponse {
    let message = "the action is running under an earlier call with this ticket; ask again for its outcome";
    ErrorResponse::unknown(StatusCode::CONFLICT, "running", message).retry_after(RUNNING_RETRY_AFTER)
}

pub(super) fn issuer_gone() -> ErrorResponse {
    let message = "the ticket's home is gone or does not know it; the action may have run and will not run again";
    ErrorResponse::unknown(StatusCode::GONE, "home-gone", message)
}

fn ticket_used_otherwise() -> ErrorResponse {
    let message = "the ticket was used for a request with other content; this request did not run";
    ErrorResponse::not_run(StatusCode::UNPROCESSABLE_ENTITY, "ticket-used-otherwise", message)
}

fn fingerprint(info: &RequestInfo, req: &PlainRequest) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        info.customer.as_bytes(),
        info.service.as_bytes(),
        req.method.as_str().as_bytes(),
    ] {
        hash.update(part);
        hash.update(&[0]);
    }
    hash.update(req.path.as_bytes());
    hash.update(&[0]);
    hash.update(&req.body);
    hash.digest()
}
