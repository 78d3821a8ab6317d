//! What each cell of the matrix is.

use super::{Fault, Step};

/// What a cell is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cell {
    /// It runs on real processes.
    Runs,
    /// The fault has no meaning at that step.
    NotApplicable {
        /// Why.
        reason: &'static str,
    },
    /// It should run and doesn't yet.
    Open {
        /// Why.
        reason: &'static str,
    },
}

const NO_CONNECTION: &str = "no connection exists before this step ends";
const ORDERED: &str = "one connection keeps its order; calls on two connections meet in 'duplicate', and at 'accepted'";
const NO_ENDPOINT: &str = "endpoints have no part in a change of the configuration";
const NO_WAIT: &str = "the check runs in one turn of one process; it waits for no byte";

/// The cell of `step` and `fault`.
pub fn cell(step: Step, fault: Fault) -> Cell {
    match not_applicable(step, fault) {
        Some(reason) => Cell::NotApplicable { reason },
        None => Cell::Runs,
    }
}

fn not_applicable(step: Step, fault: Fault) -> Option<&'static str> {
    match (step, fault) {
        (Step::Connecting, Fault::Reset | Fault::Silent) => Some(NO_CONNECTION),
        (Step::Checked, Fault::Reset | Fault::Silent | Fault::CutOneWay | Fault::CutBoth | Fault::Late) => {
            Some(NO_WAIT)
        }
        (step, Fault::KillEndpoint | Fault::PauseEndpoint | Fault::Cold) if step.is_change() => Some(NO_ENDPOINT),
        (step, Fault::Reordered) if !step.is_change() && step != Step::Accepted => Some(ORDERED),
        _ => None,
    }
}
