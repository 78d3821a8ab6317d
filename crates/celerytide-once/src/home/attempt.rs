//! The right to run a ticket's action, held by exactly one task.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use celerytide_types::{ExecutionStatus, RequestOutcome};

use super::Outcome;
use super::record::Records;

/// The right to run a ticket's action: at most one exists per ticket, ever.
///
/// While [`Attempt::may_have_left`] is false the holder may try one endpoint after the other. Dropping it without
/// [`Home::finish`](super::Home::finish) records `not-run` if nothing left and `unknown` otherwise.
#[derive(Debug)]
pub struct Attempt {
    nonce: u128,
    left: bool,
    refused: bool,
    open: bool,
    records: Weak<RefCell<Records>>,
}

impl Attempt {
    pub(super) fn new(nonce: u128, records: &Rc<RefCell<Records>>) -> Attempt {
        Attempt {
            nonce,
            left: false,
            refused: false,
            open: true,
            records: Rc::downgrade(records),
        }
    }

    /// Notes that the next step may write a byte to an endpoint; never goes back.
    pub fn leaving(&mut self) {
        self.left = true;
    }

    /// Whether a byte may have left.
    pub fn may_have_left(&self) -> bool {
        self.left
    }

    /// Notes that the endpoint answered with a status that, by its contract in the manifest, means not run.
    pub fn endpoint_refused(&mut self) {
        self.refused = true;
    }

    pub(super) fn checked(&self, word: RequestOutcome) -> RequestOutcome {
        let untrue = word.word == ExecutionStatus::NotRun && self.left && !self.refused;
        if !untrue {
            return word;
        }
        RequestOutcome {
            word: ExecutionStatus::Unknown,
            ..word
        }
    }

    pub(super) fn close(mut self) -> u128 {
        self.open = false;
        self.nonce
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let Some(records) = self.records.upgrade() else { return };
        let outcome = match self.left && !self.refused {
            true => Outcome::unknown("attempt-dropped"),
            false => Outcome::not_run("attempt-dropped"),
        };
        // A drop inside a borrow would need a task that holds the records across a step, which no method does.
        if let Ok(mut records) = records.try_borrow_mut() {
            records.finish_dropped(self.nonce, outcome);
        }
    }
}
