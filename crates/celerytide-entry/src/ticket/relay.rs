//! The other entries' side: send the call to the ticket's home, never run it here.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_manifest::{Action, TicketRule};
use celerytide_once::Ticket;
use celerytide_types::{ExecutionStatus, RequestOutcome};
use celerytide_wire::messages::{Header, Method as WireMethod, RelayRequest, RelayResponse};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio_util::sync::CancellationToken;

use super::{IDEMPOTENCY_KEY, TICKET, bad_ticket, home, no_ticket};
use crate::answer::{CAUSE, Final, WORD};
use crate::entry::Entry;
use crate::facts::Facts;
use crate::plain::{self, PlainCall, Repeat, Reply};

/// Time to come back where the home could not be reached.
const HOME_RETRY: Duration = Duration::from_secs(1);

/// Serves a call that the manifest names as at most once.
pub async fn protected(
    entry: &Rc<Entry>,
    action: &Action,
    facts: &Facts,
    call: PlainCall,
    cx: &CancellationToken,
) -> Reply {
    let Some(text) = call.headers.get(TICKET) else {
        return without_ticket(entry, action, facts, &call, cx).await;
    };
    let ticket = match Ticket::parse(text.to_str().unwrap_or_default()) {
        Ok(ticket) => ticket,
        Err(error) => return Reply::of(&bad_ticket(&error), &facts.request),
    };
    if ticket.home.instance == entry.node.instance || entry.copies.look(&ticket).is_some() {
        return home::call(entry, &ticket, facts, call).await;
    }
    relay(entry, &ticket, facts, &call).await
}

async fn without_ticket(
    entry: &Rc<Entry>,
    action: &Action,
    facts: &Facts,
    call: &PlainCall,
    cx: &CancellationToken,
) -> Reply {
    let keyed = action.refuses_duplicates && call.headers.contains_key(IDEMPOTENCY_KEY);
    if action.ticket == TicketRule::Required && !keyed {
        return Reply::of(&no_ticket(), &facts.request);
    }
    plain::run(entry, facts, call, Repeat::Never, &action.not_run_status, &mut (), cx).await
}

async fn relay(entry: &Rc<Entry>, ticket: &Ticket, facts: &Facts, call: &PlainCall) -> Reply {
    let view = entry.node.membership.view();
    let home = view.instances.iter().find(|i| i.id == ticket.home.instance);
    let Some(addr) = home.map(|i| i.entry_peer) else {
        return Reply::of(&home::gone(), &facts.request);
    };
    let message = message(ticket, facts, call);
    entry
        .node
        .trail
        .add_step(&facts.request, "relayed", &ticket.home.instance);
    let answer = entry
        .node
        .links
        .call::<_, RelayResponse>(addr, WireMethod::Relay, &message)
        .await;
    match answer {
        Ok(relayed) => reply(relayed),
        Err(error) => {
            entry
                .node
                .trail
                .add_step(&facts.request, "relay-failed", &error.to_string());
            Reply::of(&unreachable(), &facts.request)
        }
    }
}

fn message(ticket: &Ticket, facts: &Facts, call: &PlainCall) -> RelayRequest {
    RelayRequest {
        ticket: ticket.id(),
        request: facts.request.clone(),
        customer: facts.customer.clone(),
        service: facts.service.clone(),
        method: call.method.as_str().to_owned(),
        path: call.path.clone(),
        headers: to_wire(&call.headers),
        body: call.body.to_vec(),
    }
}

fn reply(relayed: RelayResponse) -> Reply {
    let headers = from_wire(&relayed.headers);
    let word = word_of(&headers);
    let status = StatusCode::from_u16(relayed.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Reply {
        status,
        headers,
        body: Bytes::from(relayed.body),
        word,
    }
}

fn word_of(headers: &HeaderMap) -> RequestOutcome {
    let text = |name: HeaderName| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let word = match text(WORD).as_str() {
        "done" => ExecutionStatus::Done,
        "not-run" => ExecutionStatus::NotRun,
        _ => ExecutionStatus::Unknown,
    };
    RequestOutcome {
        word,
        cause: text(CAUSE),
        retry_after_ms: None,
    }
}

/// An earlier call with the ticket may have run, so that nothing better can be said here.
fn unreachable() -> Final {
    let message = "the ticket's home could not be reached; repeat the call with the same ticket";
    Final::unknown(StatusCode::SERVICE_UNAVAILABLE, "home-unreachable", message).retry_after(HOME_RETRY)
}

pub(super) fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let wire = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(wire).collect()
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
