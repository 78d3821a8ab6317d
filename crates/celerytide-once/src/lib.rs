//! Tickets and outcomes of actions that run at most once.
//!
//! A caller takes a [`Ticket`] from any entry. The ticket names its [`Home`]: one incarnation of one entry process.
//! Only the home may run the action, and it marks the ticket used in one local step before sending anything. This needs
//! no agreement between processes, so no partition, suspension or restart can run an action twice. A ticket whose home
//! is gone has the final word `unknown` and never runs again.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod copies;
mod home;
mod ticket;

pub use copies::{OutcomeCopies, OutcomeCopy, copy_holders};
pub use home::{Attempt, BeginResult, Home, HomeOptions, HomeSizes, IssueError, LookupResult, Outcome, StoredAnswer};
pub use ticket::{HomeId, Ticket, TicketError};
