//! Retries: their number over all routers, the attempts of a request, and the time that runners are told; and processes
//! that end by themselves.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{Arrival, Call, Checker, Guarantee, RequestKind, Violation, violation};
use crate::plan;

/// Retries allowed per request: `repeat_ratio` in the settings of a run.
pub const REPEAT_RATIO: f64 = 0.05;
/// Retries allowed in a window beside that: `repeat_slack` in the settings of a run.
pub const REPEAT_SLACK: u32 = 50;
/// Length of the windows over which requests and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Attempts of a request that may run, on all routes of the test bed.
const MAX_ATTEMPTS: usize = 2;
/// Sends of a request to runners that refuse it, beside its attempts; a third refusal ends the request.
const MAX_REFUSED: usize = 2;
/// Time that a caller gives its request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time beyond the caller's that a runner may be told.
const TIME_TOLERANCE: Duration = Duration::from_millis(500);
/// Arrivals with more time from which the guarantee is violated.
const TIME_LIMIT: usize = 21;

/// Number of times in the window that ends at `to`.
fn count(times: &[Duration], to: Duration) -> usize {
    let is_in = |at: &&Duration| **at <= to && **at + WINDOW > to;
    times.iter().filter(is_in).count()
}

/// Whether an arrival of a request was told too long a time. A router can't know how long a request waited before it was
/// read, so that the first arrival may be told as much as its caller gave.
fn is_told_long(sent: Duration, first: &Arrival, arrival: &Arrival) -> bool {
    let (Some(left), Some(first_left)) = (arrival.time_left, first.time_left) else {
        return true;
    };
    let end = arrival.at + left;
    let is_late = arrival.at > first.at + TIME_TOLERANCE;
    let first_end = first.at + first_left;
    let ends_late = end > first_end.max(sent + DEADLINE) + TIME_TOLERANCE;
    left > DEADLINE + TIME_TOLERANCE || (is_late && ends_late)
}

/// Whether a request goes to the service of the engines.
fn uses_engines(kind: RequestKind) -> bool {
    matches!(kind, RequestKind::Stream | RequestKind::Resume)
}

impl<'a> Checker<'a> {
    /// The first repeat at each service that exceeds the budget of the window that it ends.
    pub(super) fn check_budget(&self) -> Vec<Violation> {
        [false, true]
            .into_iter()
            .filter_map(|is_engine| self.check_service(is_engine))
            .collect()
    }

    fn check_service(&self, is_engine: bool) -> Option<Violation> {
        let calls = &self.history.calls;
        let to_service = |call: &&Call| uses_engines(call.kind) == is_engine;
        let requests = calls.iter().filter(to_service).flat_map(Call::sends);
        let requests: Vec<Duration> = requests.collect();
        let repeats = self.repeats(is_engine);
        let times: Vec<Duration> = repeats.iter().map(|arrival| arrival.at).collect();
        let allowed = |to: Duration| {
            let ends = [to, to.saturating_sub(WINDOW / 2), to.saturating_sub(WINDOW)];
            let most = ends.iter().map(|end| count(&requests, *end)).max().unwrap_or(0);
            most as f64 * REPEAT_RATIO + f64::from(REPEAT_SLACK)
        };
        let excess = |arrival: &&&Arrival| count(&times, arrival.at) as f64 > allowed(arrival.at);
        let first = repeats.iter().find(excess)?;
        let (at, most) = (first.at, times.iter().map(|at| count(&times, *at)).max().unwrap_or(0));
        Some(Violation {
            guarantee: Guarantee::Budget,
            details: format!(
                "{} reached {} at {at:?}, {} repeats allowed in 10 s, {most} at the most",
                first.id,
                first.runner,
                allowed(at)
            ),
        })
    }

    /// Arrivals beyond the first of each send of a request at a service, by time.
    fn repeats(&self, is_engine: bool) -> Vec<&'a Arrival> {
        let of_service = |arrival: &&Arrival| {
            let index = arrival.runner.strip_prefix('i').and_then(|index| index.parse().ok());
            index.is_some_and(plan::is_engine) == is_engine
        };
        let mut arrivals: Vec<&Arrival> = self.history.arrivals.iter().filter(of_service).collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        let calls = self.calls_by_id();
        let mut seen = BTreeSet::new();
        arrivals.retain(|arrival| {
            let send = calls.get(arrival.id.as_str()).map(|call| call.send_of(arrival.at));
            !seen.insert((arrival.id.as_str(), send))
        });
        arrivals
    }

    /// A request that, sent once, ran at or reached more runners than its route allows.
    pub(super) fn check_attempts(&self, call: &Call) -> Option<Violation> {
        (0..=call.refused.len()).find_map(|send| self.check_send(call, send))
    }

    fn check_send(&self, call: &Call, send: usize) -> Option<Violation> {
        let of_send = |arrivals: &[&Arrival]| arrivals.iter().filter(|a| call.send_of(a.at) == send).count();
        let runs = of_send(self.runs_of(&call.id));
        let arrivals = of_send(self.arrivals_of(&call.id));
        let exceeds = runs > MAX_ATTEMPTS || arrivals > MAX_ATTEMPTS + MAX_REFUSED;
        let details = format!("send {send} ran {runs} times, reached {arrivals} runners");
        exceeds.then(|| violation(Guarantee::Attempts, call, details))
    }

    /// Arrivals that were told no time, more than their caller gave, or, sent once more later, a later end.
    pub(super) fn check_time_left(&self) -> Option<Violation> {
        let mut arrivals: Vec<&'a Arrival> = self.history.arrivals.iter().collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        let calls = self.calls_by_id();
        let mut firsts: HashMap<(&'a str, usize), &'a Arrival> = HashMap::new();
        let is_long = |arrival: &&'a Arrival| {
            let Some(call) = calls.get(arrival.id.as_str()) else {
                return false;
            };
            let send = call.send_of(arrival.at);
            let first = *firsts.entry((arrival.id.as_str(), send)).or_insert(arrival);
            is_told_long(call.sent_at(send), first, arrival) && !self.had_outage(call.router, call.sent, arrival.at)
        };
        let long: Vec<&Arrival> = arrivals.into_iter().filter(is_long).collect();
        (long.len() >= TIME_LIMIT).then(|| Violation {
            guarantee: Guarantee::TimeLeft,
            details: format!("{} and others, {} arrivals", long[0].id, long.len()),
        })
    }

    /// Routers that ended by themselves.
    pub(super) fn check_ended(&self) -> Vec<Violation> {
        let violation = |(router, at): &(usize, Duration)| Violation {
            guarantee: Guarantee::Ended,
            details: format!("router {router} ended by itself before {at:?}"),
        };
        self.history.ended.iter().map(violation).collect()
    }
}
