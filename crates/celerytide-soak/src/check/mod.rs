//! The promises, checked over what callers and runners saw.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::plan::EVENTS;

/// What a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Safe,
    /// May run once at most.
    Once,
    /// A stream that may not go on elsewhere.
    Stream,
    /// A stream that may.
    Resume,
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// Status; zero if the connection ended without an answer.
    pub status: u16,
    /// It carries the proof of a runner.
    pub sealed: bool,
    /// It ended properly.
    pub whole: bool,
    /// The body, as far as it came.
    pub body: String,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// What it asked for.
    pub kind: Kind,
    /// The router's place in the fleet.
    pub router: usize,
    /// When it was sent whole.
    pub sent: Duration,
    /// When its answer or its connection ended.
    pub ended: Duration,
    /// What came.
    pub answer: Answered,
}

/// A request that reached a runner.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// The runner.
    pub runner: String,
    /// When.
    pub at: Duration,
    /// Whether it ran.
    pub ran: bool,
    /// What the runner said of itself in its answer.
    pub said: Said,
}

/// What a runner says of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// Nothing.
    Nothing,
    /// It leaves.
    Leaves,
    /// It wants a pause of this length.
    Pauses(Duration),
}

/// A time in which something was the case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Its start.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

/// A router was stopped or killed.
#[derive(Debug, Clone, Copy)]
pub struct Struck {
    /// Its place in the fleet.
    pub router: usize,
    /// When.
    pub span: Span,
}

/// A runner was published as leaving.
#[derive(Debug, Clone)]
pub struct Leaving {
    /// The runner.
    pub runner: String,
    /// When.
    pub span: Span,
}

impl Span {
    fn meets(&self, from: Duration, to: Duration) -> bool {
        self.from <= to && from <= self.to
    }
}

/// All that was seen in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests.
    pub calls: Vec<Call>,
    /// Arrivals at runners.
    pub arrivals: Vec<Arrival>,
    /// When routers were stopped or killed.
    pub struck: Vec<Struck>,
    /// When the store, or the way to it, was harmed.
    pub store_harmed: Vec<Span>,
    /// When a runner, or the way to it, was harmed.
    pub runners_harmed: Vec<Span>,
    /// When the way to which runner was harmed.
    pub links_harmed: Vec<(String, Span)>,
    /// When runners were published as leaving.
    pub leaving: Vec<Leaving>,
    /// Routers that were told to stop and started again.
    pub restarted: Vec<Struck>,
    /// Runners that started anew, and when.
    pub renewed: Vec<(String, Duration)>,
    /// When the last fault was over.
    pub calm_at: Duration,
}

/// A promise that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may run once ran twice.
    Twice,
    /// A request was said not to have run, and ran.
    NotRun,
    /// A success that isn't a runner's whole answer to this request.
    Mixed,
    /// A stream with events missing, doubled or out of order, or an early end that looks proper.
    Order,
    /// A valid request was denied.
    Denied,
    /// A leaving runner got a request after the time in which that is known.
    Leaving,
    /// A runner that said that it leaves, or wants a pause, got requests from a router that had heard it.
    Notice,
    /// A request that was passed on lost its answer, and nothing excuses that.
    Lost,
    /// Requests had no final answer at their route's time.
    Late,
    /// Requests fail though all faults are over.
    Recover,
    /// A runner ran what no caller sent.
    Unasked,
}

/// A broken promise, and where.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.seen)
    }
}

/// Time in which a change is known everywhere: `apply_ms` of the bed's settings.
const APPLY: Duration = Duration::from_secs(2);
/// Time after an outage in which a router is up to date again: `regain_ms` of the bed's settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after a runner's word in which requests that were on their way reach it.
const HEARD: Duration = Duration::from_millis(500);
/// Requests that may reach a runner in its pause, from one router.
const IN_PAUSE: usize = 2;
/// Time for an answer on the bed's plain routes.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time beyond that by which a final answer has to be there.
const LATE_BY: Duration = Duration::from_millis(500);
/// Late ones of a run that are borne, as the platform bears them.
const LATE_BORNE: usize = 8;
/// Time after its sending up to which a request may cross the end of its connection.
const CROSSING: Duration = Duration::from_millis(200);
/// Time after the last fault from which requests are served again.
const RECOVERY: Duration = Duration::from_millis(3500);
/// Share of the safe requests that is served then, at least.
const RECOVERED: f64 = 0.9;

/// Checks every promise.
pub fn check(history: &History) -> Vec<Violation> {
    let facts = Facts::new(history);
    let mut found = Vec::new();
    for call in &history.calls {
        found.extend(facts.runs(call));
        found.extend(facts.answer(call));
        found.extend(facts.loss(call));
    }
    found.extend(facts.unasked());
    found.extend(facts.leaving());
    found.extend(facts.notices());
    found.extend(facts.late());
    found.extend(facts.recovery());
    found
}

struct Facts<'a> {
    history: &'a History,
    runs: HashMap<&'a str, Vec<&'a Arrival>>,
}

impl<'a> Facts<'a> {
    fn new(history: &'a History) -> Facts<'a> {
        let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in history.arrivals.iter().filter(|a| a.ran) {
            runs.entry(&arrival.id).or_default().push(arrival);
        }
        Facts { history, runs }
    }

    fn runs_of(&self, id: &str) -> &[&'a Arrival] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    /// Whether a router was stopped or killed from shortly before `from` to `to`.
    fn is_struck(&self, router: usize, from: Duration, to: Duration) -> bool {
        let since = from.saturating_sub(CONTACT);
        let struck = &self.history.struck;
        struck.iter().any(|s| s.router == router && s.span.meets(since, to))
    }

    fn runs(&self, call: &Call) -> Option<Violation> {
        let runs = self.runs_of(&call.id).len();
        let once = matches!(call.kind, Kind::Once | Kind::Stream);
        let status = call.answer.status;
        if once && runs > 1 {
            return Some(broken(Promise::Twice, call, format!("ran {runs} times")));
        }
        let said_not_run = matches!(status, 408 | 421 | 429 | 503);
        if once && said_not_run && runs > 0 {
            return Some(broken(Promise::NotRun, call, format!("status {status}, and it ran")));
        }
        matches!(status, 400..=404 | 413 | 431).then(|| broken(Promise::Denied, call, format!("status {status}")))
    }

    fn answer(&self, call: &Call) -> Option<Violation> {
        let answer = &call.answer;
        if !(200..300).contains(&answer.status) {
            return None;
        }
        if !answer.sealed {
            return Some(broken(Promise::Mixed, call, "a success without a proof".to_owned()));
        }
        match call.kind {
            Kind::Safe | Kind::Once => {
                let own = |arrival: &&Arrival| answer.body == format!("answer of {} to {}", arrival.runner, call.id);
                let fits = !answer.whole || self.runs_of(&call.id).iter().any(own);
                (!fits).then(|| broken(Promise::Mixed, call, format!("body {:?}", answer.body)))
            }
            Kind::Stream | Kind::Resume => self.events(call),
        }
    }

    fn events(&self, call: &Call) -> Option<Violation> {
        let numbers: Vec<u32> = call
            .answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: piece ")?.parse().ok())
            .collect();
        let in_order = numbers.iter().zip(1..).all(|(number, want)| *number == want);
        let complete = numbers.len() == EVENTS as usize;
        if !in_order || (call.answer.whole && !complete) {
            return Some(broken(Promise::Order, call, format!("events {numbers:?}")));
        }
        None
    }

    /// A request that was passed on and whose connection ended without an answer.
    fn loss(&self, call: &Call) -> Option<Violation> {
        let plain = matches!(call.kind, Kind::Safe | Kind::Once);
        let cut = call.answer.status == 0 || !call.answer.whole;
        if !plain || !cut || self.is_struck(call.router, call.sent, call.ended) {
            return None;
        }
        let passed_on = !self.runs_of(&call.id).is_empty();
        let late = call.ended.saturating_sub(call.sent) > CROSSING;
        (passed_on || late).then(|| {
            let after = call.ended.saturating_sub(call.sent);
            broken(
                Promise::Lost,
                call,
                format!("no answer after {after:?}, passed on: {passed_on}"),
            )
        })
    }

    fn unasked(&self) -> Option<Violation> {
        let asked: HashSet<&str> = self.history.calls.iter().map(|call| call.id.as_str()).collect();
        let stray = self.history.arrivals.iter().find(|a| !asked.contains(a.id.as_str()))?;
        Some(Violation {
            promise: Promise::Unasked,
            seen: format!("{} at {}", stray.id, stray.runner),
        })
    }

    fn leaving(&self) -> Vec<Violation> {
        let h = self.history;
        let routers: HashMap<&str, usize> = h.calls.iter().map(|c| (c.id.as_str(), c.router)).collect();
        let late = |arrival: &&Arrival| {
            let known = |l: &&Leaving| l.span.from + APPLY < arrival.at && arrival.at <= l.span.to;
            let left = h.leaving.iter().filter(|l| l.runner == arrival.runner).find(known);
            let Some(Leaving { span, .. }) = left else {
                return false;
            };
            let since = span.from.saturating_sub(CONTACT);
            let harmed = |spans: &[Span]| spans.iter().any(|s| s.meets(since, arrival.at));
            let router = routers.get(arrival.id.as_str()).copied().unwrap_or_default();
            let struck = self.is_struck(router, span.from, arrival.at);
            !struck && !harmed(&h.store_harmed) && !harmed(&h.runners_harmed)
        };
        let found = h.arrivals.iter().filter(late).map(|arrival| Violation {
            promise: Promise::Leaving,
            seen: format!("{} reached {} at {:?}", arrival.id, arrival.runner, arrival.at),
        });
        found.collect()
    }

    /// Requests that a router sent to a runner behind its word.
    fn notices(&self) -> Vec<Violation> {
        let calls: HashMap<&str, &Call> = self.history.calls.iter().map(|c| (c.id.as_str(), c)).collect();
        let said = self.history.arrivals.iter().filter(|a| a.said != Said::Nothing);
        said.filter_map(|word| self.ignored(word, &calls)).collect()
    }

    fn ignored(&self, word: &Arrival, calls: &HashMap<&str, &Call>) -> Option<Violation> {
        let h = self.history;
        let call = calls.get(word.id.as_str())?;
        let renewed = h
            .renewed
            .iter()
            .filter(|(runner, at)| *runner == word.runner && *at > word.at);
        let (until, most) = match word.said {
            Said::Nothing => return None,
            Said::Leaves => (renewed.map(|(_, at)| *at).min()?, 0),
            Said::Pauses(pause) => (word.at + pause, IN_PAUSE),
        };
        let on_way = |(runner, s): &(String, Span)| *runner == word.runner && s.meets(word.at, until);
        let harmed = h.links_harmed.iter().any(on_way);
        let restarted = h
            .restarted
            .iter()
            .any(|s| s.router == call.router && s.span.meets(word.at, until));
        if harmed || restarted || self.is_struck(call.router, word.at, until) {
            return None;
        }
        let from_router = |a: &&Arrival| calls.get(a.id.as_str()).is_some_and(|c| c.router == call.router);
        let behind = |a: &&Arrival| a.runner == word.runner && word.at + HEARD < a.at && a.at < until;
        let reached = h.arrivals.iter().filter(behind).filter(from_router).count();
        (reached > most).then(|| Violation {
            promise: Promise::Notice,
            seen: format!(
                "{} at {} said {:?}, {reached} reached it behind that",
                word.id, word.runner, word.said
            ),
        })
    }

    fn late(&self) -> Option<Violation> {
        let h = self.history;
        let is_late = |call: &&Call| {
            let plain = matches!(call.kind, Kind::Safe | Kind::Once);
            let struck = self.is_struck(call.router, call.sent, call.ended);
            plain && !struck && call.ended.saturating_sub(call.sent) > PLAIN_TIMEOUT + LATE_BY
        };
        let late: Vec<&str> = h.calls.iter().filter(is_late).map(|call| call.id.as_str()).collect();
        (late.len() >= LATE_BORNE).then(|| Violation {
            promise: Promise::Late,
            seen: format!("{} requests, the first {:?}", late.len(), late.first()),
        })
    }

    fn recovery(&self) -> Option<Violation> {
        let from = self.history.calm_at + RECOVERY;
        let safe = |call: &&Call| call.kind == Kind::Safe && call.sent > from;
        let after: Vec<&Call> = self.history.calls.iter().filter(safe).collect();
        let served = after.iter().filter(|call| call.answer.status == 200).count();
        let enough = served as f64 >= after.len() as f64 * RECOVERED && !after.is_empty();
        (!enough).then(|| Violation {
            promise: Promise::Recover,
            seen: format!("{served} of {} served", after.len()),
        })
    }
}

fn broken(promise: Promise, call: &Call, seen: String) -> Violation {
    Violation {
        promise,
        seen: format!(
            "{} ({:?}, router {}, sent at {:?}): {seen}",
            call.id, call.kind, call.router, call.sent
        ),
    }
}
