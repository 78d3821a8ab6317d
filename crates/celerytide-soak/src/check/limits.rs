//! Rate limits that runners name, checked over what arrived at one runner.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{Arrival, Checker, Guarantee, REGAIN_TIME, Violation};

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a runner first named a limit from which windows are checked: `regain_ms` in the settings of the test bed.
const GRACE: Duration = Duration::from_secs(3);
/// Time after an arrival within which the head of its response has reached the router.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Time after a response with a limit from which its router's requests are counted.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// Factor on the limit, and number of requests beyond it, that a window may have.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Arrival of a request at the runner.
#[derive(Debug, Clone, Copy)]
pub struct RatedArrival {
    /// Index of the router that sent it.
    pub router: usize,
    /// Time of the arrival.
    pub at: Duration,
    /// Time at which its router had the head of a response that named the runner's limit, if any.
    pub told_at: Option<Duration>,
    /// Rate limit that the runner named then, in requests per second.
    pub per_s: Option<f64>,
    /// Whether a fault on the router excuses the arrival.
    pub is_excused: bool,
}

/// More arrivals than the limit allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// End of the window.
    pub at: Duration,
    /// Arrivals in the window.
    pub count: usize,
    /// Arrivals that the limit allows.
    pub allowed: f64,
}

/// Finds the first window with too many arrivals; `arrivals` are in order of time.
pub fn find_excess(arrivals: &[RatedArrival]) -> Option<Excess> {
    let periods = arrivals.split(|arrival| arrival.per_s.is_none());
    periods.filter_map(find_in_period).next()
}

/// The same for arrivals during which the runner named a limit.
fn find_in_period(arrivals: &[RatedArrival]) -> Option<Excess> {
    let checked_from = arrivals.first()?.at + GRACE;
    let last_of_windows = arrivals.iter().enumerate().filter(|(_, last)| last.at >= checked_from);
    let mut excesses = last_of_windows.filter_map(|(index, last)| {
        let in_window = arrivals[..=index].iter().filter(|a| a.at + WINDOW > last.at);
        let limit = in_window.clone().filter_map(|a| a.per_s).fold(0.0, f64::max);
        let counted = in_window.filter(|a| !a.is_excused && is_told(a, arrivals));
        let (count, allowed) = (counted.count(), limit * FACTOR * WINDOW.as_secs_f64() + SLACK);
        (count as f64 > allowed).then_some(Excess {
            at: last.at,
            count,
            allowed,
        })
    });
    excesses.next()
}

/// Whether the router of the arrival had been told of the limit in time.
fn is_told(arrival: &RatedArrival, arrivals: &[RatedArrival]) -> bool {
    let mut of_router = arrivals.iter().filter(|a| a.router == arrival.router);
    of_router.any(|a| a.told_at.is_some_and(|told| told + TOLD_DELAY <= arrival.at))
}

impl<'a> Checker<'a> {
    /// Runners that got more than the rate limits that they named.
    pub(super) fn check_limits(&self) -> Vec<Violation> {
        let mut by_runner: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &self.history.arrivals {
            by_runner.entry(&arrival.runner).or_default().push(arrival);
        }
        let routers: HashMap<&str, usize> = self.history.calls.iter().map(|c| (c.id.as_str(), c.router)).collect();
        let violations = by_runner.into_iter().filter_map(|(runner, mut arrivals)| {
            arrivals.sort_by_key(|arrival| arrival.at);
            let (excess, last) = self.check_limit(runner, &arrivals, &routers)?;
            let Excess { at, count, allowed } = excess;
            Some(Violation {
                guarantee: Guarantee::Limit,
                details: format!("{last} reached {runner} at {at:?} as number {count} in 4 s, allowed {allowed}"),
            })
        });
        violations.collect()
    }

    /// The first excess at a runner, and the request that exceeds. A restart of the runner begins anew.
    fn check_limit(
        &self,
        runner: &str,
        arrivals: &[&'a Arrival],
        routers: &HashMap<&str, usize>,
    ) -> Option<(Excess, &'a str)> {
        let h = self.history;
        let restarts: Vec<Duration> = h
            .runner_restarts
            .iter()
            .filter_map(|(r, at)| (r == runner).then_some(*at))
            .collect();
        let starts_between = |a: &&Arrival, b: &&Arrival| restarts.iter().any(|at| a.at <= *at && *at < b.at);
        let lives = arrivals.chunk_by(|a, b| !starts_between(a, b));
        lives
            .filter_map(|life| {
                let rated: Vec<RatedArrival> = life.iter().map(|a| self.rated(a, routers)).collect();
                let excess = find_excess(&rated)?;
                let last = life.iter().find(|a| a.at == excess.at)?;
                Some((excess, last.id.as_str()))
            })
            .next()
    }

    fn rated(&self, arrival: &Arrival, routers: &HashMap<&str, usize>) -> RatedArrival {
        let h = self.history;
        let router = routers.get(arrival.id.as_str()).copied().unwrap_or_default();
        let since = arrival.at.saturating_sub(REGAIN_TIME);
        let was_restarted = h
            .restarts
            .iter()
            .any(|s| s.router == router && s.span.overlaps(since, arrival.at));
        let had_link_fault = self.had_link_fault(router, &arrival.runner, since, arrival.at + RESPONSE_TIME);
        let told_at = arrival.head_after.map(|after| arrival.at + after);
        RatedArrival {
            router,
            at: arrival.at,
            told_at: told_at.filter(|_| !had_link_fault),
            per_s: arrival.limit,
            is_excused: was_restarted || had_link_fault || self.had_outage(router, since, arrival.at),
        }
    }
}
