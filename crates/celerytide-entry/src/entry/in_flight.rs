//! Counts running requests; a graceful stop waits until none is left.

use std::cell::Cell;
use std::rc::Rc;

/// Counter of running requests. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct InFlight(Rc<Cell<usize>>);

/// Counts as one running request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<usize>>);

impl InFlight {
    /// Counts one more request until the guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.0.clone())
    }

    /// Number of requests running now.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
