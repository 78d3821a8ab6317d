//! Which cells of the fault matrix run, and why the others don't.

use super::{Fault, Step};

/// Whether a cell of the matrix, a combination of step and fault, is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cell {
    /// The cell runs on real processes.
    Runs,
    /// The fault can't occur at that step.
    NotApplicable {
        /// Explanation printed in the report.
        reason: &'static str,
    },
    /// The cell should run, but is not implemented yet.
    Open {
        /// Explanation printed in the report.
        reason: &'static str,
    },
}

const NO_CONNECTION: &str = "no connection exists before this step ends";
const ORDERED: &str = "one connection keeps its order; calls on two connections meet in 'duplicate', and at 'accepted'";
const NO_ENDPOINT: &str = "endpoints have no part in a change of the configuration";
const NO_WAIT: &str = "the check runs in one turn of one process; it waits for no byte";

/// Whether the cell of `step` and `fault` is run.
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
