//! Looks up the state of a ticket: at its issuing entry, or in the copies that it left with other entries when it
//! stopped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_once::{LookupResult, Outcome, OutcomeCopy, Ticket};
use celerytide_types::{BootTime, ExecutionStatus, RequestOutcome, data, now_boot};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Ack, Method, TicketQuery, TicketStatus};
use http::StatusCode;

use super::{invalid_ticket, issuer};
use crate::entry::Entry;
use crate::response::ErrorResponse;

/// Retry time told to the caller when the issuing entry can't be reached.
const ISSUER_RETRY_AFTER: Duration = Duration::from_secs(1);

data! {
    /// Body of the response to `GET /v1/tickets/ID`.
    pub struct TicketState {
        /// Text of the ticket.
        pub ticket: String,
        /// `unused`, `running` or `finished`.
        pub state: String,
        /// Outcome of the action, once finished.
        #[serde(rename = "word")]
        pub execution: Option<ExecutionStatus>,
        /// Machine-readable cause of the outcome.
        pub cause: Option<String>,
    }
}

/// Looks up a ticket for a caller.
pub async fn look_up(entry: &Rc<Entry>, text: &str) -> Result<TicketState, ErrorResponse> {
    let ticket = Ticket::parse(text).map_err(|error| invalid_ticket(&error))?;
    let status = match look_up_local(entry, &ticket, now_boot()) {
        Some(status) => status,
        None => look_up_remote(entry, &ticket).await?,
    };
    Ok(ticket_state(&ticket, status))
}

/// Looks up a ticket for another entry.
pub async fn serve_lookup(entry: &Rc<Entry>, mut ex: Exchange) {
    let Ok(query) = ex.recv_required::<TicketQuery>().await else {
        return;
    };
    let ticket = Ticket::parse(&query.ticket).ok();
    let status = ticket
        .and_then(|t| look_up_local(entry, &t, now_boot()))
        .unwrap_or(TicketStatus::Unknown);
    if ex.send_last(&status).await.is_err() {
        tracing::debug!("ticket: the asking entry is gone");
    }
}

/// Stores copies of the ticket outcomes of an entry that stops.
pub async fn import_outcomes(entry: &Rc<Entry>, mut ex: Exchange) {
    while let Ok(Some(copies)) = ex.recv::<Vec<OutcomeCopy>>().await {
        entry.copies.import(copies);
    }
    if ex.send_last(&Ack { accepted: true }).await.is_err() {
        tracing::debug!("ticket: the stopping entry is gone");
    }
}

/// The state that this process knows. Tickets of an earlier process of this instance aren't known: it may have handed
/// over its outcomes.
fn look_up_local(entry: &Entry, ticket: &Ticket, now: BootTime) -> Option<TicketStatus> {
    if let Some(copied) = entry.copies.look_up(ticket) {
        return Some(status(copied));
    }
    if ticket.issuer.incarnation != entry.tickets.id().incarnation {
        return None;
    }
    match entry.tickets.look_up(ticket, now) {
        LookupResult::NotIssuer(_) => None,
        known => Some(status(known)),
    }
}

fn status(result: LookupResult) -> TicketStatus {
    match result {
        LookupResult::Unused => TicketStatus::Unused,
        LookupResult::Running => TicketStatus::Running,
        LookupResult::Finished(Outcome { request, .. }) => TicketStatus::Finished(request),
        LookupResult::NotIssuer(_) => TicketStatus::Unknown,
    }
}

async fn look_up_remote(entry: &Entry, ticket: &Ticket) -> Result<TicketStatus, ErrorResponse> {
    if let Some(issuer) = issuer_address(entry, ticket) {
        let query = TicketQuery { ticket: ticket.id() };
        let result = entry
            .node
            .connections
            .call::<_, TicketStatus>(issuer, Method::Look, &query)
            .await;
        match result {
            Ok(TicketStatus::Unknown) => {}
            Ok(status) => return Ok(status),
            Err(_) => return Err(issuer_unreachable()),
        }
    }
    for holder in entry.outcome_holders(&ticket.issuer.instance) {
        let query = TicketQuery { ticket: ticket.id() };
        let result = entry
            .node
            .connections
            .call::<_, TicketStatus>(holder, Method::Look, &query)
            .await;
        if let Ok(TicketStatus::Finished(outcome)) = result {
            return Ok(TicketStatus::Finished(outcome));
        }
    }
    Ok(TicketStatus::Finished(issuer::issuer_gone().outcome))
}

/// Peer address of the ticket's issuing entry, if it is listed and another instance.
fn issuer_address(entry: &Entry, ticket: &Ticket) -> Option<SocketAddr> {
    let id = &ticket.issuer.instance;
    let view = entry.node.membership.view();
    let issuer = view.instance(id).filter(|_| *id != entry.node.instance);
    issuer.map(|i| i.entry_peer)
}

fn ticket_state(ticket: &Ticket, status: TicketStatus) -> TicketState {
    let unknown = || issuer::issuer_gone().outcome;
    let (state, outcome) = match status {
        TicketStatus::Unused => ("unused", None),
        TicketStatus::Running => ("running", None),
        TicketStatus::Finished(outcome) => ("finished", Some(outcome)),
        TicketStatus::Unknown => ("finished", Some(unknown())),
    };
    let cause = outcome.as_ref().map(|o: &RequestOutcome| o.cause.clone());
    TicketState {
        ticket: ticket.id(),
        state: state.to_owned(),
        execution: outcome.map(|o| o.status),
        cause,
    }
}

fn issuer_unreachable() -> ErrorResponse {
    let message = "the ticket's home could not be reached; ask again";
    ErrorResponse::unknown(StatusCode::SERVICE_UNAVAILABLE, "home-unreachable", message).retry_after(ISSUER_RETRY_AFTER)
}
