//! Callers that leave: their requests are given up.

use std::time::Duration;

use super::{Arrival, Call, Checker, Guarantee, Span, Violation, violation};

/// Time after its caller has left within which a request may still reach a runner, or be worked on.
const GONE_TOLERANCE: Duration = Duration::from_millis(500);

impl Checker<'_> {
    /// A request that reached a runner, or was worked on there, after its caller had left. A runner that waits before its
    /// response ends that wait by itself.
    pub(super) fn check_gone(&self, call: &Call) -> Option<Violation> {
        if !call.has_left {
            return None;
        }
        let limit = call.ended + GONE_TOLERANCE;
        let is_late = |arrival: &Arrival| {
            let works_until = limit.max(arrival.at + arrival.head_after.unwrap_or_default() + GONE_TOLERANCE);
            arrival.at > limit || arrival.ended.is_none_or(|ended| ended > works_until)
        };
        let arrivals = self.arrivals_of(&call.id).iter();
        let late = arrivals.copied().find(|arrival| is_late(arrival))?;
        if self.had_gone_fault(call, late) || !self.was_running(call) {
            return None;
        }
        let details = format!(
            "its caller left at {:?}; at {} from {:?} to {:?}",
            call.ended, late.runner, late.at, late.ended
        );
        Some(violation(Guarantee::Gone, call, details))
    }

    /// Whether the router, or the way to the runner, was faulty, or the runner silent, between the request and the time by which it has to be
    /// given up.
    fn had_gone_fault(&self, call: &Call, arrival: &Arrival) -> bool {
        let limit = call.ended + GONE_TOLERANCE;
        let had_link_fault = self.had_link_fault(call.router, &arrival.runner, call.sent, limit);
        let is_silent = |(runner, s): &(String, Span)| *runner == arrival.runner && s.overlaps(call.sent, limit);
        let was_silent = self.history.silences.iter().any(is_silent);
        had_link_fault || was_silent || self.had_outage(call.router, call.sent, limit)
    }

    /// Whether another request, sent to the same router behind the caller's end, reached a runner within the tolerance. If
    /// none did, the router, the relay or the runners got no processor time, and a late arrival shows nothing.
    fn was_running(&self, call: &Call) -> bool {
        let limit = call.ended + GONE_TOLERANCE;
        let is_later = |other: &&Call| other.router == call.router && other.sent > call.ended && other.sent < limit;
        let mut later = self.history.calls.iter().filter(is_later);
        later.any(|other| self.arrivals_of(&other.id).iter().any(|arrival| arrival.at < limit))
    }
}
