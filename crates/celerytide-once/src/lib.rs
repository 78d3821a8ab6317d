//! Tickets and outcomes: what carries at most once.
//!
//! A caller takes a [`Ticket`] from any entry. The ticket names its [`Home`]: one life of one entry process. Only the
//! home may run the action, and it marks the ticket used in one local step before anything leaves the process. No
//! agreement between processes is needed, so neither a partition nor a pause nor a restart can double a run. A ticket
//! whose home is gone has the final word `unknown` and never runs again.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod copies;
mod home;
mod ticket;

pub use copies::{OutcomeCopies, OutcomeCopy, copy_holders};
pub use home::{Attempt, BeginResult, Home, HomeOptions, IssueError, Outcome, Sizes, StoredAnswer, TicketStatus};
pub use ticket::{HomeId, Ticket, TicketError};
