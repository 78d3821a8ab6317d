//! Runs faults at steps on a world of its own, and checks what was recorded.

mod callers;
mod change;
mod inject;
mod recovery;
mod step;
mod watch;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use monoio::{LegacyDriver, RuntimeBuilder};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    check::{self, Violation},
    cluster::{BEYOND_TIMEOUTS, Cluster},
    history::History,
    matrix::{Cell, Fault, Injection, Step, cell},
};
use callers::Callers;

/// Time in which a world must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Where a fault struck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reached {
    /// At its step, while the faults before it stood.
    Combined,
    /// At its step, in a second world where the faults before it had passed: they had kept it from its step.
    Separate,
    /// Elsewhere: its step was not reached.
    Missed,
}

/// What a run came to.
#[derive(Debug, Clone)]
pub struct Report {
    /// What struck, in order.
    pub injections: Vec<Injection>,
    /// Seed.
    pub seed: u64,
    /// Where each fault struck.
    pub reached: Vec<Reached>,
    /// What broke.
    pub violations: Vec<Violation>,
    /// Why it could not be run to its end.
    pub error: Option<String>,
    /// Time it took.
    pub elapsed: Duration,
}

impl Report {
    /// Whether every step was reached and every invariant held.
    pub fn passes(&self) -> bool {
        self.invariants_hold() && !self.reached.contains(&Reached::Missed)
    }

    /// Whether it ran and every invariant held. A first fault may keep requests from the step of the second.
    pub fn invariants_hold(&self) -> bool {
        self.error.is_none() && self.violations.is_empty()
    }
}

/// Runs `injections` in one world; again apart in a second world if an earlier one kept a later one from its step.
pub fn run(injections: &[Injection], seed: u64) -> Report {
    let mut report = run_once(injections, seed, Reached::Combined);
    if report.invariants_hold() && injections.len() > 1 && !report.passes() {
        let separate = run_once(injections, seed, Reached::Separate);
        for (reached, separate) in report.reached.iter_mut().zip(separate.reached) {
            *reached = if *reached == Reached::Missed {
                separate
            } else {
                *reached
            };
        }
        report.violations = separate.violations;
        report.error = separate.error;
        report.elapsed += separate.elapsed;
    }
    report
}

fn run_once(injections: &[Injection], seed: u64, reached_if_held: Reached) -> Report {
    let started = Instant::now();
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.expect("the epoll runtime starts on Linux");
    // A stand-in that doesn't answer panics; the other runs go on.
    let ran = catch_unwind(AssertUnwindSafe(|| {
        runtime.block_on(run_in_cluster(injections, seed, reached_if_held))
    }));
    let ran = ran.unwrap_or_else(|_| Err(String::from("the harness panicked; see its output")));
    let (reached, violations, error) = match ran {
        Ok((reached, history)) => (reached, check::violations(&history), None),
        Err(error) => (Vec::new(), Vec::new(), Some(error)),
    };
    Report {
        injections: injections.to_vec(),
        seed,
        reached,
        violations,
        error,
        elapsed: started.elapsed(),
    }
}

/// A pair of strikes that a seed draws, each of a cell that runs.
pub fn draw_pair(seed: u64) -> [Injection; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut draw = || loop {
        let step = Step::ALL[rng.random_range(0..Step::ALL.len())];
        let fault = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
        if cell(step, fault) == Cell::Runs {
            return Injection { step, fault };
        }
    };
    [draw(), draw()]
}

async fn run_in_cluster(
    injections: &[Injection],
    seed: u64,
    reached_if_held: Reached,
) -> Result<(Vec<Reached>, History), String> {
    let mut cluster = Cluster::start().map_err(|e| e.to_string())?;
    wait_ready(&cluster).await?;
    let callers = Callers::new(&cluster, seed);
    let watch = watch::ConfigWatcher::start(&cluster);
    let mut change = change::ConfigChange::default();
    let mut active = inject::ActiveFaults::default();
    let mut reached = Vec::new();
    for (index, injection) in injections.iter().enumerate() {
        if index > 0 && reached_if_held == Reached::Separate {
            wait_and_clear(&mut cluster, &injections[..index], &mut active).await?;
            wait_ready(&cluster).await?;
        }
        let at_step = match injection.step.is_change() {
            true => change.hold_change(&mut cluster, injection.step).await,
            false => step::hold_requests(&cluster, &callers, injection).await,
        };
        reached.push(if at_step { reached_if_held } else { Reached::Missed });
        inject::inject(&mut cluster, &callers, &mut change, *injection, &mut active).await;
    }
    wait_and_clear(&mut cluster, injections, &mut active).await?;
    change.record_evacuation(&cluster);
    let mut history = recovery::observe_recovery(&cluster, &callers, &change).await;
    history.active_configs = watch.stop();
    history.runs = active.saved_runs;
    history.overloads += active.saved_overloads;
    recovery::collect_records(&cluster, &mut history).await?;
    Ok((reached, history))
}

async fn wait_ready(cluster: &Cluster) -> Result<(), String> {
    match recovery::wait_ready(cluster, READY_TIMEOUT).await {
        true => Ok(()),
        false => Err(format!(
            "the world is not ready; {}",
            cluster.read_log("celerytide-entry", 0)
        )),
    }
}

/// Waits until faults that last have outlasted each bound, and lets all pass.
async fn wait_and_clear(
    cluster: &mut Cluster,
    injections: &[Injection],
    active: &mut inject::ActiveFaults,
) -> Result<(), String> {
    if injections.iter().any(|s| inject::is_lasting(s.fault)) {
        monoio::time::sleep(BEYOND_TIMEOUTS).await;
    }
    inject::clear_faults(cluster, active).await.map_err(|e| e.to_string())
}
