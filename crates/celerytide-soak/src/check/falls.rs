//! Runners that say that they are brittle, and fall over when they have to refuse too much.

use std::time::Duration;

use super::{Checker, Guarantee, Span, Violation};

/// Falls that are allowed in one brittle time of a service, and the share of its runners that is allowed beside them.
const FALLS: f64 = 2.0;
const FALLS_SHARE: f64 = 0.1;

/// A period in which the runners of a service were brittle.
#[derive(Debug, Clone)]
pub struct BrittleTime {
    /// Ids of the runners.
    pub runners: Vec<String>,
    /// The period.
    pub span: Span,
}

/// A runner that fell over.
#[derive(Debug, Clone)]
pub struct Fall {
    /// Id of the runner.
    pub runner: String,
    /// Time of the fall.
    pub at: Duration,
    /// Attempt ids of the requests that it refused in the second before.
    pub rejected: Vec<String>,
}

impl Checker<'_> {
    pub(super) fn check_falls(&self) -> Vec<Violation> {
        let times = self.history.brittle_times.iter();
        times.filter_map(|time| self.check_brittle_time(time)).collect()
    }

    fn check_brittle_time(&self, time: &BrittleTime) -> Option<Violation> {
        let is_in = |fall: &&Fall| time.runners.contains(&fall.runner) && time.span.overlaps(fall.at, fall.at);
        let falls = self.history.falls.iter().filter(is_in);
        let counted: Vec<&Fall> = falls.filter(|fall| self.is_counted(fall)).collect();
        let allowed = FALLS + FALLS_SHARE * time.runners.len() as f64;
        let last = counted.last().filter(|_| counted.len() as f64 > allowed)?;
        let id = last.rejected.last().map_or("none", String::as_str);
        Some(Violation {
            guarantee: Guarantee::Falls,
            details: format!(
                "{id} was one too many at {} at {:?}; {} falls of {} runners from {:?}",
                last.runner,
                last.at,
                counted.len(),
                time.runners.len(),
                time.span.from
            ),
        })
    }

    /// Whether most of what was refused before a fall came from routers without a fault of their own.
    fn is_counted(&self, fall: &Fall) -> bool {
        let calls = self.calls_by_id();
        let routers = fall
            .rejected
            .iter()
            .filter_map(|id| calls.get(id.as_str()).map(|c| c.router));
        let in_touch = routers.filter(|router| self.is_in_touch(*router, fall.at)).count();
        in_touch * 2 > fall.rejected.len()
    }
}
