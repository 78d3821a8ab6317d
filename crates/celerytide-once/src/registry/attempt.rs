//! The permission to run a ticket's action, owned by exactly one task.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use celerytide_types::{ExecutionStatus, RequestOutcome};

use super::Outcome;
use super::records::TicketRecords;

/// The permission to run a ticket's action; at most one is ever created per ticket.
///
/// While [`Attempt::may_have_sent`] is false, the owner may try one endpoint after another. Dropping it without
/// [`TicketRegistry::finish`](super::TicketRegistry::finish) records `unknown` if a byte may have been sent and the
/// endpoint didn't refuse the request, otherwise `not-run`.
#[derive(Debug)]
pub struct Attempt {
    nonce: u128,
    may_have_sent: bool,
    endpoint_refused: bool,
    is_open: bool,
    records: Weak<RefCell<TicketRecords>>,
}

impl Attempt {
    pub(super) fn new(nonce: u128, records: &Rc<RefCell<TicketRecords>>) -> Attempt {
        Attempt {
            nonce,
            may_have_sent: false,
            endpoint_refused: false,
            is_open: true,
            records: Rc::downgrade(records),
        }
    }

    /// Records that the next step may send a byte to an endpoint; can't be undone.
    pub fn mark_sending(&mut self) {
        self.may_have_sent = true;
    }

    /// Whether a byte may have been sent to an endpoint.
    pub fn may_have_sent(&self) -> bool {
        self.may_have_sent
    }

    /// Records that the endpoint responded with one of the HTTP statuses that mean not run according to the manifest.
    pub fn mark_endpoint_refused(&mut self) {
        self.endpoint_refused = true;
    }

    pub(super) fn correct_outcome(&self, outcome: RequestOutcome) -> RequestOutcome {
        let contradicts_send =
            outcome.status == ExecutionStatus::NotRun && self.may_have_sent && !self.endpoint_refused;
        if !contradicts_send {
            return outcome;
        }
        RequestOutcome {
            status: ExecutionStatus::Unknown,
            ..outcome
        }
    }

    pub(super) fn close(mut self) -> u128 {
        self.is_open = false;
        self.nonce
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let Some(records) = self.records.upgrade() else { return };
        let outcome = match self.may_have_sent && !self.endpoint_refused {
            true => Outcome::unknown("attempt-dropped"),
            false => Outcome::not_run("attempt-dropped"),
        };
        // The borrow can't fail: no method keeps the records borrowed while an attempt is dropped.
        if let Ok(mut records) = records.try_borrow_mut() {
            records.finish_dropped(self.nonce, outcome);
        }
    }
}
