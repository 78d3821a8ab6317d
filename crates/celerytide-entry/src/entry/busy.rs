//! Counts what a graceful stop waits for.

use std::cell::Cell;
use std::rc::Rc;

/// A counter of running requests. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Busy(Rc<Cell<usize>>);

/// Counts one until it is dropped.
#[derive(Debug)]
pub struct Running(Rc<Cell<usize>>);

impl Busy {
    /// Counts one more.
    pub fn enter(&self) -> Running {
        self.0.set(self.0.get() + 1);
        Running(self.0.clone())
    }

    /// How many run now.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
