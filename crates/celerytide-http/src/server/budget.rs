//! Memory limit shared by the request bodies of all connections.

use std::cell::Cell;
use std::rc::Rc;

/// Number of bytes that are still available.
#[derive(Clone)]
pub(super) struct Budget {
    available: Rc<Cell<usize>>,
}

/// Bytes taken from a budget; returned to it on drop.
pub(super) struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    pub(super) fn new(bytes: usize) -> Self {
        Budget {
            available: Rc::new(Cell::new(bytes)),
        }
    }

    /// Creates an empty reservation.
    pub(super) fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Takes `more` bytes; returns false, and takes nothing, if fewer are available.
    pub(super) fn try_grow(&mut self, more: usize) -> bool {
        let Some(available) = self.budget.available.get().checked_sub(more) else {
            return false;
        };
        self.budget.available.set(available);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let available = &self.budget.available;
        available.set(available.get() + self.bytes);
    }
}
