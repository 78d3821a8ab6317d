//! Memory that all callers' bodies share.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that may still be held.
#[derive(Clone)]
pub(super) struct Budget {
    left: Rc<Cell<usize>>,
}

/// Bytes taken from a budget; dropped, they return to it.
pub(super) struct Hold {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    pub(super) fn new(bytes: usize) -> Self {
        Budget {
            left: Rc::new(Cell::new(bytes)),
        }
    }

    /// A hold of nothing yet.
    pub(super) fn hold(&self) -> Hold {
        Hold {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Hold {
    /// Takes `more` bytes; false if they are not there.
    pub(super) fn grow(&mut self, more: usize) -> bool {
        let Some(left) = self.budget.left.get().checked_sub(more) else {
            return false;
        };
        self.budget.left.set(left);
        self.bytes += more;
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let left = &self.budget.left;
        left.set(left.get() + self.bytes);
    }
}
