//! Tickets: issuing them, looking up their outcome, and running an at-most-once action under one.
//!
//! Only the entry that issued a ticket runs the action. It does so in a separate task, so that a caller that disconnects
//! neither aborts the action nor loses its outcome. Any other entry relays the request to the issuing entry and never
//! runs it. Causes and messages to callers name the issuing entry the ticket's home.

mod forward;
mod issuer;
mod lookup;

pub use forward::call_at_most_once;
pub use issuer::serve_relay;
pub use lookup::{import_outcomes, look_up, serve_lookup};

use celerytide_once::Ticket;
use celerytide_types::data;
use http::{HeaderMap, HeaderName, StatusCode};

use crate::response::ErrorResponse;

/// Header that carries the ticket of an at-most-once request.
pub const TICKET_HEADER: HeaderName = HeaderName::from_static("celerytide-ticket");
/// Header that carries an idempotency key, which some endpoints check themselves.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

data! {
    /// Body of the response to `POST /v1/tickets`.
    pub struct IssuedTicket {
        /// Text of the ticket.
        pub ticket: String,
        /// Time within which the ticket must first be used.
        pub unused_for_ms: u64,
    }
}

/// The response to a call that was turned away before its ticket, if it has one, was looked at.
pub fn turned_away(headers: &HeaderMap, err: ErrorResponse) -> ErrorResponse {
    let text = headers.get(TICKET_HEADER).and_then(|v| v.to_str().ok());
    match text.map(Ticket::parse) {
        Some(Ok(_)) => err.before_ticket(),
        Some(Err(_)) | None => err,
    }
}

fn ticket_required() -> ErrorResponse {
    let message = "this call runs at most once and needs a ticket: POST /v1/tickets, then send the call with \
                   'celerytide-ticket: TICKET'; repeat it with the same ticket";
    ErrorResponse::not_run(StatusCode::PRECONDITION_REQUIRED, "ticket-required", message)
}

fn invalid_ticket(error: &celerytide_once::TicketError) -> ErrorResponse {
    ErrorResponse::bad_request("bad-ticket", "celerytide-ticket", &error.to_string())
}
