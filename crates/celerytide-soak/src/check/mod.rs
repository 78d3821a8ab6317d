//! Guarantees of the router, checked over what callers and runners saw.

mod cut_off;
mod falls;
mod gone;
mod limits;
mod notices;
mod placements;
mod retries;

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::plan::STREAM_EVENTS;

pub use cut_off::{CutOff, RefusedTry};
pub use falls::{BrittleTime, Fall};
pub use limits::{Excess, RatedArrival, find_excess};
pub use placements::PlacementCounts;
pub use retries::{REPEAT_RATIO, REPEAT_SLACK};

/// Kind of a request, by the guarantees of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A plain request that may run any number of times.
    Safe,
    /// A plain request that may run at most once.
    Once,
    /// A stream that may not continue at another runner.
    Stream,
    /// A stream that may continue at another runner.
    Resume,
}

/// Response as the caller received it.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseRecord {
    /// HTTP status; zero if the connection ended without a response.
    pub status: u16,
    /// Whether it carries a runner's seal.
    pub is_sealed: bool,
    /// Whether the whole body was received.
    pub is_complete: bool,
    /// The body as far as it was received.
    pub body: String,
}

/// A request and its response, as the caller saw them.
#[derive(Debug, Clone)]
pub struct Call {
    /// Attempt id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the router in the fleet.
    pub router: usize,
    /// Earlier sends under the same id that were refused, from the time at which each was sent to its response.
    pub refused: Vec<Span>,
    /// Time since the start of the run at which it was sent completely, for the last time.
    pub sent: Duration,
    /// Time at which its response or its connection ended.
    pub ended: Duration,
    /// Whether its caller closed the connection then, without reading a response.
    pub has_left: bool,
    /// The response.
    pub response: ResponseRecord,
}

/// Whether a status promises that the request has not run and never will, in this send.
pub fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl Call {
    /// Index of the send that an arrival at this time belongs to: the last one whose predecessors had all been refused by
    /// then.
    fn send_of(&self, at: Duration) -> usize {
        self.refused.iter().take_while(|refused| refused.to <= at).count()
    }

    /// When it was sent, each time.
    fn sends(&self) -> impl Iterator<Item = Duration> {
        self.refused.iter().map(|refused| refused.from).chain([self.sent])
    }

    /// When it was sent, by the index of the send.
    fn sent_at(&self, send: usize) -> Duration {
        self.refused.get(send).map_or(self.sent, |refused| refused.from)
    }
}

/// Arrival of a request at a runner.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Attempt id of the request.
    pub id: String,
    /// Id of the runner.
    pub runner: String,
    /// Time of the arrival, since the start of the run.
    pub at: Duration,
    /// Whether the runner ran the request.
    pub ran: bool,
    /// Notice in the runner's response.
    pub notice: RunnerNotice,
    /// Rate limit that the runner named then, in requests per second.
    pub limit: Option<f64>,
    /// Time from the arrival to the head of a response of the runner; `None` without one.
    pub head_after: Option<Duration>,
    /// Time that the request says is left for it.
    pub time_left: Option<Duration>,
    /// Time at which the runner had ended its work; `None` if it worked to the end of the run.
    pub ended: Option<Duration>,
}

/// What a runner announces about itself in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerNotice {
    /// No notice.
    Nothing,
    /// The runner leaves.
    Leaves,
    /// The runner asks for a pause of this length.
    Pauses(Duration),
}

/// A period of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Start, since the start of the run.
    pub from: Duration,
    /// End, since the start of the run.
    pub to: Duration,
}

/// A period in which a router was paused, killed or restarting.
#[derive(Debug, Clone, Copy)]
pub struct RouterOutage {
    /// Index of the router in the fleet.
    pub router: usize,
    /// The period.
    pub span: Span,
}

/// A period in which a runner was published as leaving.
#[derive(Debug, Clone)]
pub struct Leaving {
    /// Id of the runner.
    pub runner: String,
    /// The period.
    pub span: Span,
}

impl Span {
    fn overlaps(&self, from: Duration, to: Duration) -> bool {
        self.from <= to && from <= self.to
    }
}

/// Everything that was observed in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// All requests of callers.
    pub calls: Vec<Call>,
    /// All arrivals at runners.
    pub arrivals: Vec<Arrival>,
    /// Periods in which routers were paused, or down after a kill; a stop with SIGTERM is in `restarts`.
    pub outages: Vec<RouterOutage>,
    /// Periods in which the store or its link was faulty.
    pub store_faults: Vec<Span>,
    /// Runners with the periods in which their link was faulty.
    pub link_faults: Vec<(String, Span)>,
    /// Periods in which runners were published as leaving.
    pub leaving: Vec<Leaving>,
    /// Routers that were stopped with SIGTERM and restarted, with the period; not in `outages`.
    pub restarts: Vec<RouterOutage>,
    /// Requests that weren't sent, since the router refused or had closed the connection.
    pub refused_tries: Vec<RefusedTry>,
    /// Periods in which routers were cut off from all runners.
    pub cut_offs: Vec<CutOff>,
    /// Periods in which the runners of a service were brittle.
    pub brittle_times: Vec<BrittleTime>,
    /// Runners that fell over since they had to refuse too much.
    pub falls: Vec<Fall>,
    /// Runners with the periods in which they were silent, which excuses only that they don't notice an end.
    pub silences: Vec<(String, Span)>,
    /// Runners that restarted, with the time of the restart.
    pub runner_restarts: Vec<(String, Duration)>,
    /// Routers that ended by themselves, with the time at which that was seen.
    pub ended: Vec<(usize, Duration)>,
    /// What coordinators counted.
    pub placements: PlacementCounts,
    /// Time at which the last fault ended.
    pub faults_ended_at: Duration,
}

/// A guarantee of the router, named after its violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Guarantee {
    /// A request that may run once ran more than once.
    Twice,
    /// A stream went on at a runner while the one before still worked on it.
    Overlap,
    /// A request was reported as not run, but it ran.
    NotRun,
    /// A success is not a runner's complete response to this request.
    Mixed,
    /// A stream lacks, repeats or reorders events, or looks complete although it ended early.
    Order,
    /// A valid request was rejected as invalid or unauthorized.
    Denied,
    /// A leaving runner got a request after every router had to know that it leaves.
    Leaving,
    /// A runner got requests from a router after a notice to that router that it leaves or needs a pause.
    Notice,
    /// A runner got more requests from all routers together than the rate limit that it had named allows.
    Limit,
    /// A service got more repeats from all routers together than the retry budget allows.
    Budget,
    /// A request reached or ran at more runners than its route allows.
    Attempts,
    /// A request was at a runner after its caller had left.
    Gone,
    /// Runners were told more time than is left.
    TimeLeft,
    /// A router ended by itself.
    Ended,
    /// The response to a forwarded request was lost without a fault that excuses it.
    Lost,
    /// Requests had no final response within their route's timeout.
    Late,
    /// Requests fail although all faults have ended.
    Recover,
    /// Callers of routers that are cut off from all runners are served far worse than those of the others.
    CutOff,
    /// Runners that say that they are brittle fall over too often.
    Falls,
    /// A runner got a request that no caller sent.
    Unasked,
    /// Coordinators count requests that have ended.
    Counted,
}

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// What was observed, starting with the id of the request.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.details)
    }
}

/// Time after an outage within which a router is up to date again: `regain_ms` in the settings of the test bed.
const REGAIN_TIME: Duration = Duration::from_secs(3);
/// Response timeout of the plain routes of the test bed.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time beyond that timeout within which a final response has to arrive.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);
/// Time after a stream goes on elsewhere within which the runner before has ended its work.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(400);
/// Number of late responses in a run from which the guarantee is violated; the platform has the same limit.
const LATE_LIMIT: usize = 8;
/// Time after sending within which a cut request is no loss if no runner ran it: it may have been sent while the router
/// was closing the connection.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// Time after the last fault within which requests have to be served again.
const RECOVERY_TIME: Duration = Duration::from_millis(3500);
/// Minimum share of the safe requests that is served after that time.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Checks every guarantee.
pub fn check(history: &History) -> Vec<Violation> {
    let checker = Checker::new(history);
    let mut violations = Vec::new();
    for call in &history.calls {
        violations.extend(checker.check_runs(call));
        violations.extend(checker.check_overlap(call));
        violations.extend(checker.check_response(call));
        violations.extend(checker.check_loss(call));
        violations.extend(checker.check_attempts(call));
        violations.extend(checker.check_gone(call));
    }
    violations.extend(checker.check_unasked());
    violations.extend(checker.check_leaving());
    violations.extend(checker.check_notices());
    violations.extend(checker.check_limits());
    violations.extend(checker.check_budget());
    violations.extend(checker.check_time_left());
    violations.extend(checker.check_ended());
    violations.extend(checker.check_late());
    violations.extend(checker.check_recovery());
    violations.extend(checker.check_cut_offs());
    violations.extend(checker.check_falls());
    violations.extend(checker.check_placements());
    violations
}

struct Checker<'a> {
    history: &'a History,
    arrivals: HashMap<&'a str, Vec<&'a Arrival>>,
    runs: HashMap<&'a str, Vec<&'a Arrival>>,
}

impl<'a> Checker<'a> {
    fn new(history: &'a History) -> Checker<'a> {
        let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in &history.arrivals {
            arrivals.entry(&arrival.id).or_default().push(arrival);
        }
        let ran = |of_id: &Vec<&'a Arrival>| of_id.iter().copied().filter(|a| a.ran).collect();
        let runs = arrivals.iter().map(|(id, of_id)| (*id, ran(of_id))).collect();
        Checker {
            history,
            arrivals,
            runs,
        }
    }

    fn calls_by_id(&self) -> HashMap<&'a str, &'a Call> {
        self.history.calls.iter().map(|call| (call.id.as_str(), call)).collect()
    }

    fn arrivals_of(&self, id: &str) -> &[&'a Arrival] {
        self.arrivals.get(id).map_or(&[], Vec::as_slice)
    }

    fn runs_of(&self, id: &str) -> &[&'a Arrival] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    /// Whether the router was paused or down after a kill at any time from [`REGAIN_TIME`] before `from` until `to`.
    fn had_outage(&self, router: usize, from: Duration, to: Duration) -> bool {
        let since = from.saturating_sub(REGAIN_TIME);
        let outages = &self.history.outages;
        outages.iter().any(|s| s.router == router && s.span.overlaps(since, to))
    }

    /// Whether the way of a router to a runner was faulty at any time from `from` until `to`.
    fn had_link_fault(&self, router: usize, runner: &str, from: Duration, to: Duration) -> bool {
        let h = self.history;
        let on_link = |(faulty, s): &(String, Span)| faulty == runner && s.overlaps(from, to);
        let is_cut_off = |cut: &CutOff| cut.routers.contains(&router) && cut.span.overlaps(from, to);
        h.link_faults.iter().any(on_link) || h.cut_offs.iter().any(is_cut_off)
    }

    fn check_runs(&self, call: &Call) -> Option<Violation> {
        let runs = self.runs_of(&call.id).len();
        let once = matches!(call.kind, RequestKind::Once | RequestKind::Stream);
        let status = call.response.status;
        if once && runs > 1 {
            return Some(violation(Guarantee::Twice, call, format!("ran {runs} times")));
        }
        if once && is_refusal(status) && runs > 0 {
            return Some(violation(
                Guarantee::NotRun,
                call,
                format!("status {status}, and it ran"),
            ));
        }
        let ran_of_refused = |run: &&&Arrival| call.send_of(run.at) < call.refused.len();
        if let Some(run) = self.runs_of(&call.id).iter().find(ran_of_refused).filter(|_| once) {
            let details = format!("sent {} times, and it ran at {:?}", call.refused.len() + 1, run.at);
            return Some(violation(Guarantee::NotRun, call, details));
        }
        matches!(status, 400..=404 | 413 | 431).then(|| violation(Guarantee::Denied, call, format!("status {status}")))
    }

    /// A stream that went on although the runner before still worked on it, over a link without a fault.
    fn check_overlap(&self, call: &Call) -> Option<Violation> {
        if call.kind != RequestKind::Resume {
            return None;
        }
        let mut runs = self.runs_of(&call.id).to_vec();
        runs.sort_by_key(|run| run.at);
        let still_works = |pair: &&[&Arrival]| {
            let (before, next) = (pair[0], pair[1]);
            let limit = next.at + OVERLAP_TOLERANCE;
            let has_link_fault = self.had_link_fault(call.router, &before.runner, before.at, limit);
            let works_on = before.ended.is_none_or(|ended| ended > limit);
            works_on && !has_link_fault && !self.had_outage(call.router, before.at, limit)
        };
        let pair = runs.windows(2).find(still_works)?;
        let details = format!("it went on at {}, and {} works on", pair[1].runner, pair[0].runner);
        Some(violation(Guarantee::Overlap, call, details))
    }

    fn check_response(&self, call: &Call) -> Option<Violation> {
        let response = &call.response;
        if !(200..300).contains(&response.status) {
            return None;
        }
        if !response.is_sealed {
            return Some(violation(Guarantee::Mixed, call, "a success without a seal".to_owned()));
        }
        match call.kind {
            RequestKind::Safe | RequestKind::Once => {
                let own = |arrival: &&Arrival| response.body == format!("answer of {} to {}", arrival.runner, call.id);
                let matches = !response.is_complete || self.runs_of(&call.id).iter().any(own);
                (!matches).then(|| violation(Guarantee::Mixed, call, format!("body {:?}", response.body)))
            }
            RequestKind::Stream | RequestKind::Resume => self.check_events(call),
        }
    }

    fn check_events(&self, call: &Call) -> Option<Violation> {
        let numbers: Vec<u32> = call
            .response
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: piece ")?.parse().ok())
            .collect();
        let in_order = numbers.iter().zip(1..).all(|(number, want)| *number == want);
        let complete = numbers.len() == STREAM_EVENTS as usize;
        if !in_order || (call.response.is_complete && !complete) {
            return Some(violation(Guarantee::Order, call, format!("events {numbers:?}")));
        }
        None
    }

    /// A request that was forwarded, but whose connection ended without a response.
    fn check_loss(&self, call: &Call) -> Option<Violation> {
        let plain = matches!(call.kind, RequestKind::Safe | RequestKind::Once);
        let cut = call.response.status == 0 || !call.response.is_complete;
        if !plain || !cut || call.has_left || self.had_outage(call.router, call.sent, call.ended) {
            return None;
        }
        let is_forwarded = !self.runs_of(&call.id).is_empty();
        let is_past_crossing = call.ended.saturating_sub(call.sent) > CROSSING_TIME;
        (is_forwarded || is_past_crossing).then(|| {
            let after = call.ended.saturating_sub(call.sent);
            violation(
                Guarantee::Lost,
                call,
                format!("no answer after {after:?}, forwarded: {is_forwarded}"),
            )
        })
    }

    fn check_unasked(&self) -> Option<Violation> {
        let asked: HashSet<&str> = self.history.calls.iter().map(|call| call.id.as_str()).collect();
        let unasked = self.history.arrivals.iter().find(|a| !asked.contains(a.id.as_str()))?;
        Some(Violation {
            guarantee: Guarantee::Unasked,
            details: format!("{} at {}", unasked.id, unasked.runner),
        })
    }

    fn check_late(&self) -> Option<Violation> {
        let h = self.history;
        let is_late = |call: &&Call| {
            let plain = matches!(call.kind, RequestKind::Safe | RequestKind::Once);
            let last = Span {
                from: call.sent,
                to: call.ended,
            };
            let is_long = |send: &Span| send.to.saturating_sub(send.from) > PLAIN_TIMEOUT + LATE_TOLERANCE;
            let had_outage = |send: &Span| self.had_outage(call.router, send.from, send.to);
            let mut sends = call.refused.iter().chain([&last]);
            plain && sends.any(|send| is_long(send) && !had_outage(send))
        };
        let late: Vec<&str> = h.calls.iter().filter(is_late).map(|call| call.id.as_str()).collect();
        (late.len() >= LATE_LIMIT).then(|| Violation {
            guarantee: Guarantee::Late,
            details: format!("{} and others, {} requests", late[0], late.len()),
        })
    }

    fn check_recovery(&self) -> Option<Violation> {
        let from = self.history.faults_ended_at + RECOVERY_TIME;
        let safe = |call: &&Call| call.kind == RequestKind::Safe && call.sent_at(0) > from && !call.has_left;
        let after: Vec<&Call> = self.history.calls.iter().filter(safe).collect();
        let is_served = |call: &&&Call| call.response.status == 200 && call.refused.is_empty();
        let served = after.iter().filter(is_served).count();
        let enough = served as f64 >= after.len() as f64 * MIN_SERVED_SHARE && !after.is_empty();
        let refused = after.iter().find(|call| !is_served(call));
        let first = refused.map_or("none", |call| call.id.as_str());
        (!enough).then(|| Violation {
            guarantee: Guarantee::Recover,
            details: format!("{first} wasn't served, {served} of {} were", after.len()),
        })
    }
}

fn violation(guarantee: Guarantee, call: &Call, details: String) -> Violation {
    Violation {
        guarantee,
        details: format!(
            "{} ({:?}, router {}, sent at {:?}): {details}",
            call.id, call.kind, call.router, call.sent
        ),
    }
}
