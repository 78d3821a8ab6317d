//! Runners that leave, as published or as they say themselves, and pauses that they ask for.

use std::collections::HashMap;
use std::time::Duration;

use super::{Arrival, Call, Checker, Guarantee, Leaving, REGAIN_TIME, RunnerNotice, Violation};

/// Time within which a change is known everywhere: `apply_ms` in the settings of the test bed.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after a notice within which requests already on their way may still reach the runner.
const NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Requests that one router may send to a runner during its pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;

impl Checker<'_> {
    pub(super) fn check_leaving(&self) -> Vec<Violation> {
        let h = self.history;
        let routers: HashMap<&str, usize> = h.calls.iter().map(|c| (c.id.as_str(), c.router)).collect();
        let reached_leaving = |arrival: &&Arrival| {
            let known = |l: &&Leaving| l.span.from + APPLY_TIME < arrival.at && arrival.at <= l.span.to;
            let left = h.leaving.iter().filter(|l| l.runner == arrival.runner).find(known);
            let Some(Leaving { span, .. }) = left else {
                return false;
            };
            let since = span.from.saturating_sub(REGAIN_TIME);
            let had_store_fault = h.store_faults.iter().any(|s| s.overlaps(since, arrival.at));
            let router = routers.get(arrival.id.as_str()).copied().unwrap_or_default();
            let had_link_fault = self.had_link_fault(router, &arrival.runner, since, arrival.at);
            let had_outage = self.had_outage(router, span.from, arrival.at);
            !had_outage && !had_store_fault && !had_link_fault
        };
        let violations = h.arrivals.iter().filter(reached_leaving).map(|arrival| Violation {
            guarantee: Guarantee::Leaving,
            details: format!("{} reached {} at {:?}", arrival.id, arrival.runner, arrival.at),
        });
        violations.collect()
    }

    /// Requests that a router sent to a runner despite its notice.
    pub(super) fn check_notices(&self) -> Vec<Violation> {
        let calls: HashMap<&str, &Call> = self.history.calls.iter().map(|c| (c.id.as_str(), c)).collect();
        let with_notice = self
            .history
            .arrivals
            .iter()
            .filter(|a| a.notice != RunnerNotice::Nothing);
        with_notice
            .filter_map(|source| self.check_notice(source, &calls))
            .collect()
    }

    fn check_notice(&self, source: &Arrival, calls: &HashMap<&str, &Call>) -> Option<Violation> {
        let h = self.history;
        let call = calls.get(source.id.as_str())?;
        let runner_restarts = h
            .runner_restarts
            .iter()
            .filter(|(runner, at)| *runner == source.runner && *at > source.at);
        let (until, max_requests) = match source.notice {
            RunnerNotice::Nothing => return None,
            RunnerNotice::Leaves => (runner_restarts.map(|(_, at)| *at).min()?, 0),
            RunnerNotice::Pauses(pause) => (source.at + pause, MAX_REQUESTS_IN_PAUSE),
        };
        let has_link_fault = self.had_link_fault(call.router, &source.runner, source.at, until);
        let is_restarted = h
            .restarts
            .iter()
            .any(|s| s.router == call.router && s.span.overlaps(source.at, until));
        if has_link_fault || is_restarted || self.had_outage(call.router, source.at, until) {
            return None;
        }
        let from_router = |a: &&Arrival| calls.get(a.id.as_str()).is_some_and(|c| c.router == call.router);
        let after_notice = |a: &&Arrival| a.runner == source.runner && source.at + NOTICE_DELAY < a.at && a.at < until;
        let reached = h.arrivals.iter().filter(after_notice).filter(from_router).count();
        (reached > max_requests).then(|| Violation {
            guarantee: Guarantee::Notice,
            details: format!(
                "{} at {} said {:?}, {reached} reached it after that",
                source.id, source.runner, source.notice
            ),
        })
    }
}
