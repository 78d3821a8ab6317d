//! Serves at-most-once requests at any entry: relays one with a ticket to the issuing entry, which alone runs it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_http::validate::response_status;
use celerytide_manifest::{Action, TicketRule};
use celerytide_once::Ticket;
use celerytide_types::{ExecutionStatus, RequestOutcome};
use celerytide_wire::messages::{Header, Method as WireMethod, RelayRequest, RelayResponse};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio_util::sync::CancellationToken;

use super::{IDEMPOTENCY_KEY_HEADER, TICKET_HEADER, invalid_ticket, issuer, ticket_required};
use crate::entry::Entry;
use crate::plain::{self, CallerResponse, PlainRequest, RetryPolicy};
use crate::request_info::RequestInfo;
use crate::response::{CAUSE_HEADER, ErrorResponse, OUTCOME_HEADER};

/// Retry time told to the caller when the issuing entry can't be reached.
const ISSUER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a request that matches an at-most-once action of the manifest.
pub async fn call_at_most_once(
    entry: &Rc<Entry>,
    action: &Action,
    info: &RequestInfo,
    req: PlainRequest,
    cx: &CancellationToken,
) -> CallerResponse {
    let Some(text) = req.headers.get(TICKET_HEADER) else {
        return without_ticket(entry, action, info, &req, cx).await;
    };
    let ticket = match Ticket::parse(text.to_str().unwrap_or_default()) {
        Ok(ticket) => ticket,
        Err(error) => return CallerResponse::of(&invalid_ticket(&error), &info.request),
    };
    if ticket.issuer.instance == entry.node.instance || entry.copies.look_up(&ticket).is_some() {
        return issuer::serve(entry, &ticket, info, req).await;
    }
    relay(entry, &ticket, info, &req).await
}

async fn without_ticket(
    entry: &Rc<Entry>,
    action: &Action,
    info: &RequestInfo,
    req: &PlainRequest,
    cx: &CancellationToken,
) -> CallerResponse {
    let has_key = action.refuses_duplicates && req.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
    if action.ticket == TicketRule::Required && !has_key {
        return CallerResponse::of(&ticket_required(), &info.request);
    }
    plain::run(
        entry,
        info,
        req,
        RetryPolicy::OnlyIfUnsent,
        &action.not_run_status,
        &mut (),
        cx,
    )
    .await
}

async fn relay(entry: &Rc<Entry>, ticket: &Ticket, info: &RequestInfo, req: &PlainRequest) -> CallerResponse {
    let view = entry.node.membership.view();
    let issuer = view.instances.iter().find(|i| i.id == ticket.issuer.instance);
    let Some(addr) = issuer.map(|i| i.entry_peer) else {
        return CallerResponse::of(&issuer::issuer_gone(), &info.request);
    };
    let relay_request = relay_request(ticket, info, req);
    entry
        .node
        .trace_log
        .add_step(&info.request, "relayed", &ticket.issuer.instance);
    let result = entry
        .node
        .connections
        .call::<_, RelayResponse>(addr, WireMethod::Relay, &relay_request)
        .await;
    match result {
        Ok(relayed) => caller_response(relayed),
        Err(error) => {
            entry
                .node
                .trace_log
                .add_step(&info.request, "relay-failed", &error.to_string());
            CallerResponse::of(&issuer_unreachable(), &info.request)
        }
    }
}

fn relay_request(ticket: &Ticket, info: &RequestInfo, req: &PlainRequest) -> RelayRequest {
    RelayRequest {
        ticket: ticket.id(),
        request: info.request.clone(),
        customer: info.customer.clone(),
        service: info.service.clone(),
        method: req.method.as_str().to_owned(),
        path: req.path.clone(),
        headers: to_wire(&req.headers),
        body: req.body.to_vec(),
    }
}

fn caller_response(relayed: RelayResponse) -> CallerResponse {
    let headers = from_wire(&relayed.headers);
    let outcome = outcome_from(&headers);
    let status = response_status(relayed.status).unwrap_or(StatusCode::BAD_GATEWAY);
    CallerResponse {
        status,
        headers,
        body: Bytes::from(relayed.body),
        outcome,
    }
}

fn outcome_from(headers: &HeaderMap) -> RequestOutcome {
    let text = |name: HeaderName| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let status = match text(OUTCOME_HEADER).as_str() {
        "done" => ExecutionStatus::Done,
        "not-run" => ExecutionStatus::NotRun,
        _ => ExecutionStatus::Unknown,
    };
    RequestOutcome {
        status,
        cause: text(CAUSE_HEADER),
        retry_after_ms: None,
    }
}

/// The outcome is unknown, because an earlier request with the ticket may have run.
fn issuer_unreachable() -> ErrorResponse {
    let message = "the ticket's home could not be reached; repeat the call with the same ticket";
    ErrorResponse::unknown(StatusCode::SERVICE_UNAVAILABLE, "home-unreachable", message).retry_after(ISSUER_RETRY_AFTER)
}

pub(super) fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let to_header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(to_header).collect()
}

pub(super) fn from_wire(wire: &[Header]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(wire.len());
    for header in wire {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
