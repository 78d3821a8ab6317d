//! Injects faults at steps of requests and configuration changes, in a cluster per run, and checks the invariants afterwards.

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

/// Timeout for a cluster to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether a fault was injected at its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reached {
    /// At its step, while the earlier faults were still active.
    Combined,
    /// At its step, but only in a second cluster, because the earlier faults kept requests from reaching it and were cleared first.
    Separate,
    /// Not at its step, which was not reached.
    Missed,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The injected faults, in order.
    pub injections: Vec<Injection>,
    /// Seed of the run.
    pub seed: u64,
    /// For each fault, whether its step was reached.
    pub reached: Vec<Reached>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Error that kept the run from completing.
    pub error: Option<String>,
    /// Duration of the run.
    pub elapsed: Duration,
}

impl Report {
    /// Whether every step was reached and every invariant held.
    pub fn passes(&self) -> bool {
        self.invariants_hold() && !self.reached.contains(&Reached::Missed)
    }

    /// Whether the run completed and every invariant held. Steps may have been missed, because an earlier
    /// fault can keep requests from the step of a later one.
    pub fn invariants_hold(&self) -> bool {
        self.error.is_none() && self.violations.is_empty()
    }
}

/// Runs `injections` in one cluster. If every invariant held but a step was missed, because an earlier fault kept
/// requests from it, runs them again in a second cluster, where each fault is cleared before the next one. The
/// violations and the error are then those of the second run, and so is the result of each step that the first run
/// missed.
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

/// Runs `injections` in one cluster; records `reached_if_held` for each step at which requests or the change were held.
fn run_once(injections: &[Injection], seed: u64, reached_if_held: Reached) -> Report {
    let started = Instant::now();
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.expect("the epoll runtime starts on Linux");
    // A stand-in that doesn't respond causes a panic; other runs must continue.
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

/// Draws a pair of applicable step and fault combinations from a seed.
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
            "the cluster is not ready; {}",
            cluster.read_log("celerytide-entry", 0)
        )),
    }
}

/// Keeps lasting faults active for longer than every timeout, then clears all faults.
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
