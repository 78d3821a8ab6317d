//! The fault matrix: steps of a request's and of a change's life against faults.

mod cell;
mod definitions;

pub use cell::{Cell, cell};
pub use definitions::{Fault, Step};

/// A fault at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Injection {
    /// Where requests or the change stand when it strikes.
    pub step: Step,
    /// What strikes.
    pub fault: Fault,
}

/// Every cell's place, row by row.
pub fn all_injections() -> impl Iterator<Item = Injection> {
    let row = |step: Step| Fault::ALL.into_iter().map(move |fault| Injection { step, fault });
    Step::ALL.into_iter().flat_map(row)
}
