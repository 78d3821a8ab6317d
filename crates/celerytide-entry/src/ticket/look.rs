//! What became of a ticket, for callers, for other entries, and after the home has stopped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_once::{Look, Outcome, OutcomeCopy, Ticket};
use celerytide_types::{BootTime, ExecutionStatus, RequestOutcome, data, now_boot};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Ack, Method, TicketQuery, TicketStatus};
use http::StatusCode;

use super::{bad_ticket, home};
use crate::answer::Final;
use crate::entry::Entry;

/// Time to come back where the home could not be reached.
const HOME_RETRY: Duration = Duration::from_secs(1);

data! {
    /// What `GET /v1/tickets/ID` answers.
    pub struct TicketState {
        /// The ticket.
        pub ticket: String,
        /// `unused`, `running` or `finished`.
        pub state: String,
        /// The final word, once finished.
        pub word: Option<ExecutionStatus>,
        /// Its cause.
        pub cause: Option<String>,
    }
}

/// Answers a caller's question.
pub async fn look(entry: &Rc<Entry>, text: &str) -> Result<TicketState, Final> {
    let ticket = Ticket::parse(text).map_err(|error| bad_ticket(&error))?;
    let seen = match here(entry, &ticket, now_boot()) {
        Some(seen) => seen,
        None => elsewhere(entry, &ticket).await?,
    };
    Ok(state(&ticket, seen))
}

/// Serves another entry's question.
pub async fn serve_look(entry: &Rc<Entry>, mut ex: Exchange) {
    let Ok(ask) = ex.recv_required::<TicketQuery>().await else {
        return;
    };
    let ticket = Ticket::parse(&ask.ticket).ok();
    let seen = ticket
        .and_then(|t| here(entry, &t, now_boot()))
        .unwrap_or(TicketStatus::Unknown);
    if ex.send_last(&seen).await.is_err() {
        tracing::debug!("ticket: the asking entry is gone");
    }
}

/// Takes in the outcomes of an entry that stops.
pub async fn take_in_outcomes(entry: &Rc<Entry>, mut ex: Exchange) {
    while let Ok(Some(copies)) = ex.recv::<Vec<OutcomeCopy>>().await {
        entry.copies.import(copies);
    }
    if ex.send_last(&Ack { taken: true }).await.is_err() {
        tracing::debug!("ticket: the stopping entry is gone");
    }
}

/// What this process knows itself. A former life of it is unknown here: it may have handed over its outcomes.
fn here(entry: &Entry, ticket: &Ticket, now: BootTime) -> Option<TicketStatus> {
    if let Some(copied) = entry.copies.look(ticket) {
        return Some(seen(copied));
    }
    if ticket.home.incarnation != entry.home.id().incarnation {
        return None;
    }
    match entry.home.look(ticket, now) {
        Look::NotHome(_) => None,
        known => Some(seen(known)),
    }
}

fn seen(look: Look) -> TicketStatus {
    match look {
        Look::Unused => TicketStatus::Unused,
        Look::Running => TicketStatus::Running,
        Look::Finished(Outcome { word, .. }) => TicketStatus::Finished(word),
        Look::NotHome(_) => TicketStatus::Unknown,
    }
}

async fn elsewhere(entry: &Entry, ticket: &Ticket) -> Result<TicketStatus, Final> {
    if let Some(home) = other_home(entry, ticket) {
        let ask = TicketQuery { ticket: ticket.id() };
        let asked = entry.node.links.call::<_, TicketStatus>(home, Method::Look, &ask).await;
        match asked {
            Ok(TicketStatus::Unknown) => {}
            Ok(seen) => return Ok(seen),
            Err(_) => return Err(unreachable()),
        }
    }
    for holder in entry.holders_of(&ticket.home.instance) {
        let ask = TicketQuery { ticket: ticket.id() };
        let asked = entry
            .node
            .links
            .call::<_, TicketStatus>(holder, Method::Look, &ask)
            .await;
        if let Ok(TicketStatus::Finished(word)) = asked {
            return Ok(TicketStatus::Finished(word));
        }
    }
    Ok(TicketStatus::Finished(home::gone().word))
}

/// Where the ticket's home listens, if it is listed and another instance.
fn other_home(entry: &Entry, ticket: &Ticket) -> Option<SocketAddr> {
    let id = &ticket.home.instance;
    let view = entry.node.membership.view();
    let home = view.instance(id).filter(|_| *id != entry.node.instance);
    home.map(|i| i.entry_peer)
}

fn state(ticket: &Ticket, seen: TicketStatus) -> TicketState {
    let unknown = || home::gone().word;
    let (name, word) = match seen {
        TicketStatus::Unused => ("unused", None),
        TicketStatus::Running => ("running", None),
        TicketStatus::Finished(word) => ("finished", Some(word)),
        TicketStatus::Unknown => ("finished", Some(unknown())),
    };
    let cause = word.as_ref().map(|w: &RequestOutcome| w.cause.clone());
    TicketState {
        ticket: ticket.id(),
        state: name.to_owned(),
        word: word.map(|w| w.word),
        cause,
    }
}

fn unreachable() -> Final {
    let message = "the ticket's home could not be reached; ask again";
    Final::unknown(StatusCode::SERVICE_UNAVAILABLE, "home-unreachable", message).retry_after(HOME_RETRY)
}
