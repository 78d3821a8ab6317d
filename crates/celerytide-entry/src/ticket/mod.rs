//! Tickets: taking one, asking what became of it, and running an at-most-once action under it.
//!
//! The ticket's home alone runs the action. The home runs it in a task of its own, so that a caller that leaves neither cuts it nor
//! loses its outcome. Any other entry relays the call to the home and never runs it.

mod home;
mod look;
mod relay;

pub use home::serve_relay;
pub use look::{look, serve_look, take_in_outcomes};
pub use relay::protected;

use celerytide_types::data;
use http::{HeaderName, StatusCode};

use crate::answer::Final;

/// Bears the ticket.
pub const TICKET: HeaderName = HeaderName::from_static("celerytide-ticket");
/// Bears a plain idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

data! {
    /// What `POST /v1/tickets` answers.
    pub struct TicketTaken {
        /// The ticket.
        pub ticket: String,
        /// It may be used for the first time within this time.
        pub unused_for_ms: u64,
    }
}

fn no_ticket() -> Final {
    let message = "this call runs at most once and needs a ticket: POST /v1/tickets, then send the call with \
                   'celerytide-ticket: TICKET'; repeat it with the same ticket";
    Final::not_run(StatusCode::PRECONDITION_REQUIRED, "ticket-required", message)
}

fn bad_ticket(error: &celerytide_once::TicketError) -> Final {
    Final::bad("bad-ticket", "celerytide-ticket", &error.to_string())
}
