//! Runs a plan against routers, runners and a store with relays between them, while callers send requests.

mod callers;
mod fleet;
mod late_writes;

use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use celerytide_standin::platform::RunnerMode;

use crate::check::{BrittleTime, CutOff, History, Leaving, RouterOutage, Span, Violation, check};
use crate::plan::{self, Fault, Step};

use callers::Callers;
use fleet::Fleet;

/// Options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Time within which faults begin.
    pub length: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Whether the links between all routers are cut for long.
    pub cuts_peers: bool,
    /// Whether some routers are cut off from all runners.
    pub cuts_off: bool,
    /// Whether the runners of each service are brittle for some time.
    pub is_brittle: bool,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Runners that fell over.
    pub falls: usize,
    /// Number of requests sent.
    pub calls: usize,
    /// Most requests that coordinators counted at a time, after the faults.
    pub most_counted: u64,
    /// The plan, in order of time.
    pub steps: Vec<Step>,
    /// Log lines of the routers about the requests of the violations.
    pub lines: Vec<String>,
}

/// Time after the last fault from which coordinators have to count right.
const RECOUNT_TIME: Duration = Duration::from_millis(3500);
/// Time for which callers continue after that.
const COUNTED_TRAFFIC: Duration = Duration::from_millis(1500);
/// Time between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last request within which coordinators must have stopped counting: an instance that doesn't report counts
/// as having none after 3 s.
const UNCOUNT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks for faults that begin or end.
const TICK: Duration = Duration::from_millis(5);

/// Runs the plan of a seed once.
pub fn run(opts: Options) -> Report {
    let steps = draw(&opts);
    let mut fleet = Fleet::start(&opts);
    let callers = Callers::new(fleet.addresses());
    let mut history = History::default();
    let caller_count = if opts.is_brittle {
        callers::MANY_CALLERS
    } else {
        callers::CALLER_COUNT
    };
    let started = Instant::now();
    scope(|s| {
        for n in 0..caller_count {
            let callers = &callers;
            s.spawn(move || callers.send_until_stopped(opts.seed, n, started));
        }
        run_steps(&steps, &mut fleet, &mut history, &callers, started);
        history.faults_ended_at = started.elapsed();
        sleep(RECOUNT_TIME);
        let end = Instant::now() + COUNTED_TRAFFIC;
        while Instant::now() < end {
            history.placements.during_load.push(counted(&fleet));
            sleep(COUNT_INTERVAL);
        }
        callers.stop();
    });
    history.placements.callers = caller_count as u64;
    history.placements.after_load = counted_after(&fleet);
    (history.calls, history.refused_tries) = callers.into_records();
    history.arrivals = fleet.arrivals(started);
    history.falls = fleet.falls(started);
    let violations = check(&history);
    let ids: Vec<&str> = violations.iter().filter_map(|v| v.details.split(' ').next()).collect();
    Report {
        lines: fleet.lines_of(&ids),
        violations,
        falls: history.falls.len(),
        calls: history.calls.len(),
        most_counted: history.placements.during_load.iter().max().copied().unwrap_or_default(),
        steps,
    }
}

fn draw(opts: &Options) -> Vec<Step> {
    let Options {
        seed, length, routers, ..
    } = *opts;
    if opts.is_brittle {
        plan::draw_with_brittle(seed, length, routers)
    } else if opts.cuts_off {
        plan::draw_with_cut_off(seed, length, routers)
    } else if opts.cuts_peers {
        plan::draw_with_cut(seed, length, routers)
    } else {
        plan::draw(seed, length, routers)
    }
}

/// Requests that coordinators count.
fn counted(fleet: &Fleet) -> u64 {
    fleet.placements().iter().map(|(_, count)| count).sum()
}

/// Routers that still count requests when [`UNCOUNT_TIMEOUT`] has passed, with their counts.
fn counted_after(fleet: &Fleet) -> Vec<(usize, u64)> {
    let end = Instant::now() + UNCOUNT_TIMEOUT;
    while counted(fleet) > 0 && Instant::now() < end {
        sleep(COUNT_INTERVAL);
    }
    fleet.placements()
}

/// An active fault.
struct ActiveFault {
    until: Duration,
    from: Duration,
    fault: Fault,
}

fn run_steps(steps: &[Step], fleet: &mut Fleet, history: &mut History, callers: &Callers, started: Instant) {
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut steps = steps.iter().peekable();
    while steps.peek().is_some() || !active.is_empty() {
        fleet.perform_due();
        let now = started.elapsed();
        history
            .ended
            .extend(fleet.restart_ended(callers).into_iter().map(|router| (router, now)));
        while let Some(step) = steps.next_if(|step| step.at <= now) {
            if fleet.begin(&step.fault) {
                active.push(ActiveFault {
                    until: now + step.duration,
                    from: now,
                    fault: step.fault.clone(),
                });
            }
        }
        let (ended, ongoing) = active
            .into_iter()
            .partition(|fault| fleet.has_ended(&fault.fault, fault.until, now));
        active = ongoing;
        for fault in ended {
            fleet.end(&fault.fault, callers);
            record(history, &fault, started.elapsed(), fleet.addresses().len());
        }
        sleep(TICK);
    }
}

fn record(history: &mut History, fault: &ActiveFault, to: Duration, routers: usize) {
    let span = Span { from: fault.from, to };
    match &fault.fault {
        Fault::KillAll => {
            let outage = |router| RouterOutage { router, span };
            history.outages.extend((0..routers).map(outage));
        }
        Fault::Pause(router) | Fault::Kill(router) => history.outages.push(RouterOutage { router: *router, span }),
        Fault::Store(_) | Fault::StoreLink(_) | Fault::Restore => history.store_faults.push(span),
        Fault::Link(n, _) => history.link_faults.push((fleet::runner_id(*n), span)),
        Fault::Brittle { is_engine } => history.brittle_times.push(BrittleTime {
            runners: fleet::service(*is_engine).map(fleet::runner_id).collect(),
            span,
        }),
        Fault::CutOff(routers, _) => history.cut_offs.push(CutOff {
            routers: routers.clone(),
            span,
        }),
        Fault::Silence(n) => history.silences.push((fleet::runner_id(*n), span)),
        Fault::Runner(n, RunnerMode::Leaving) => history.runner_restarts.push((fleet::runner_id(*n), to)),
        Fault::Term(router) => history.restarts.push(RouterOutage { router: *router, span }),
        Fault::Leave(runner) | Fault::LateWrite { runner, .. } => history.leaving.push(Leaving {
            runner: fleet::runner_id(*runner),
            span,
        }),
        Fault::Runner(..)
        | Fault::NameLimit(..)
        | Fault::Service { .. }
        | Fault::Crash(_)
        | Fault::PeerLinks
        | Fault::Hup(_)
        | Fault::Configure
        | Fault::ZoneOut => {}
    }
}
