//! Tickets and outcomes of actions that run at most once.
//!
//! A caller gets a [`Ticket`] from any entry process. The ticket names its issuing entry: one incarnation of that
//! process. Only the issuing entry may run the action, and its [`TicketRegistry`] marks the ticket used before anything
//! is sent. This needs no agreement between processes, so no partition, suspension or restart can run an action twice.
//! A ticket whose issuing entry is gone has the execution status `unknown` and never runs again.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod copies;

mod registry;
mod ticket;

pub use copies::{OutcomeCopies, OutcomeCopy, copy_holders};
pub use registry::{
    Attempt, BeginResult, IssueError, LookupResult, Outcome, RegistryOptions, RegistrySizes, StoredResponse,
    TicketRegistry,
};
pub use ticket::{IssuerId, Ticket, TicketError};
