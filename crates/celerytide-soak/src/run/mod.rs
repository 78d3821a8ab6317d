//! Plays a plan: routers, runners, the store and relays between them, callers that send all the while.

mod callers;
mod fleet;

use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use celerytide_standin::platform::RunnerMode;

use crate::check::{History, Leaving, Span, Struck, Violation, check};
use crate::plan::{self, Fault, Step};

use callers::Callers;
use fleet::Fleet;

/// How a run is played.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Time in which faults begin.
    pub length: Duration,
}

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Requests sent.
    pub calls: usize,
    /// Faults played.
    pub faults: usize,
    /// Last lines of the routers' logs, if a promise was broken.
    pub lines: Vec<String>,
}

/// Time after the last fault for which callers go on.
const AFTER: Duration = Duration::from_secs(5);
/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(5);

/// Plays one run.
pub fn run(opts: Options) -> Outcome {
    let steps = plan::draw(opts.seed, opts.length);
    let mut fleet = Fleet::start(opts.seed);
    let callers = Callers::new(fleet.addresses());
    let mut history = History::default();
    let began = Instant::now();
    scope(|s| {
        for n in 0..callers::COUNT {
            let callers = &callers;
            s.spawn(move || callers.send_until_stopped(opts.seed, n, began));
        }
        play(&steps, &mut fleet, &mut history, &callers, began);
        history.calm_at = began.elapsed();
        sleep(AFTER);
        callers.stop();
    });
    history.calls = callers.into_calls();
    history.arrivals = fleet.arrivals(began);
    let violations = check(&history);
    let broken: Vec<&str> = violations.iter().filter_map(|v| v.seen.split(' ').next()).collect();
    Outcome {
        lines: fleet.lines_of(&broken),
        violations,
        calls: history.calls.len(),
        faults: steps.len(),
    }
}

/// A fault that is on, until its time.
struct On {
    until: Duration,
    from: Duration,
    fault: Fault,
}

fn play(steps: &[Step], fleet: &mut Fleet, history: &mut History, callers: &Callers, began: Instant) {
    let mut on: Vec<On> = Vec::new();
    let mut steps = steps.iter().peekable();
    while steps.peek().is_some() || !on.is_empty() {
        let now = began.elapsed();
        while let Some(step) = steps.next_if(|step| step.at <= now) {
            if fleet.begin(&step.fault) {
                on.push(On {
                    until: now + step.lasts,
                    from: now,
                    fault: step.fault.clone(),
                });
            }
        }
        let (over, going) = on.into_iter().partition(|o| fleet.is_over(&o.fault, o.until, now));
        on = going;
        for o in over {
            fleet.end(&o.fault, callers);
            note(history, &o, began.elapsed());
        }
        sleep(TICK);
    }
}

fn note(history: &mut History, on: &On, to: Duration) {
    let span = Span { from: on.from, to };
    match &on.fault {
        Fault::Pause(router) | Fault::Kill(router) => history.struck.push(Struck { router: *router, span }),
        Fault::Store(_) | Fault::StoreLink(_) | Fault::Restore => history.store_harmed.push(span),
        Fault::Link(n, _) => {
            history.links_harmed.push((fleet::runner_id(*n), span));
            history.runners_harmed.push(span);
        }
        Fault::Runner(n, answer) => {
            history.runners_harmed.push(span);
            if *answer == RunnerMode::Leaving {
                history.renewed.push((fleet::runner_id(*n), to));
            }
        }
        Fault::Term(router) => history.restarted.push(Struck { router: *router, span }),
        Fault::Leave(runner) => history.leaving.push(Leaving {
            runner: fleet::runner_id(*runner),
            span,
        }),
        Fault::Hup(_) | Fault::Configure | Fault::ZoneOut => {}
    }
}
