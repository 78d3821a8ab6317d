//! Rate limits that runners name, checked over what arrived at one runner.

use std::time::Duration;

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a runner first named a limit from which windows are checked: `regain_ms` in the settings of the test bed.
const GRACE: Duration = Duration::from_secs(3);
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
