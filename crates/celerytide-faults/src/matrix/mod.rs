//! The fault matrix: every step of a request or of a configuration change, combined with every fault.

mod cell;
mod definitions;

pub use cell::{Cell, cell};
pub use definitions::{Fault, Step};

/// A fault injected at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Injection {
    /// Step at which requests or the change are held when the fault is injected.
    pub step: Step,
    /// The injected fault.
    pub fault: Fault,
}

/// Step and fault of every cell, row by row.
pub fn all_injections() -> impl Iterator<Item = Injection> {
    let row = |step: Step| Fault::ALL.into_iter().map(move |fault| Injection { step, fault });
    Step::ALL.into_iter().flat_map(row)
}
