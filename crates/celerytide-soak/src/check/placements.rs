//! Coordinators count a request from its placement to its end. One that they count for longer keeps others from its engine.

use super::{Checker, Guarantee, Violation};

/// Requests that coordinators may count for each caller, which sends one at a time: its request, one that a former
/// coordinator still counts, and one whose end is on its way.
const MAX_PER_CALLER: u64 = 3;

/// Requests that coordinators count in flight or waiting.
#[derive(Debug, Clone, Default)]
pub struct PlacementCounts {
    /// Number of callers, each of which sends one request at a time.
    pub callers: u64,
    /// Counts of all routers together, at several times while callers sent requests and all faults were over.
    pub during_load: Vec<u64>,
    /// Routers that still counted requests some seconds after the last one, with their counts.
    pub after_load: Vec<(usize, u64)>,
}

impl Checker<'_> {
    pub(super) fn check_placements(&self) -> Option<Violation> {
        let counts = &self.history.placements;
        let least = counts.during_load.iter().min().copied().unwrap_or_default();
        let details = if let Some((router, count)) = counts.after_load.first() {
            format!("router {router} counts {count} requests, and none is sent any more")
        } else if least > counts.callers * MAX_PER_CALLER {
            format!("all routers count {least} requests of {} callers", counts.callers)
        } else {
            return None;
        };
        Some(Violation {
            guarantee: Guarantee::Counted,
            details,
        })
    }
}
