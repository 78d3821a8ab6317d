//! Runs faults at steps on a world of its own, and checks what was recorded.

mod callers;
mod change;
mod settle;
mod step;
mod strike;
mod watch;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use monoio::{LegacyDriver, RuntimeBuilder};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    check::{self, Violation},
    history::History,
    matrix::{Cell, Fault, Step, Strike, cell},
    world::{PAST_BOUNDS, World},
};
use callers::Callers;

/// Time in which a world must be ready.
const READY: Duration = Duration::from_secs(30);

/// Where a fault struck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reached {
    /// At its step, while the faults before it stood.
    Together,
    /// At its step, in a second world where the faults before it had passed: they had kept it from its step.
    Apart,
    /// Elsewhere: its step was not reached.
    Missed,
}

/// What a run came to.
#[derive(Debug, Clone)]
pub struct Report {
    /// What struck, in order.
    pub strikes: Vec<Strike>,
    /// Seed.
    pub seed: u64,
    /// Where each fault struck.
    pub reached: Vec<Reached>,
    /// What broke.
    pub violations: Vec<Violation>,
    /// Why it could not be run to its end.
    pub fault: Option<String>,
    /// Time it took.
    pub took: Duration,
}

impl Report {
    /// Whether every step was reached and every invariant held.
    pub fn holds(&self) -> bool {
        self.is_sound() && !self.reached.contains(&Reached::Missed)
    }

    /// Whether it ran and every invariant held. A first fault may keep requests from the step of the second.
    pub fn is_sound(&self) -> bool {
        self.fault.is_none() && self.violations.is_empty()
    }
}

/// Runs `strikes` in one world; again apart in a second world if an earlier one kept a later one from its step.
pub fn run(strikes: &[Strike], seed: u64) -> Report {
    let mut report = run_once(strikes, seed, Reached::Together);
    if report.is_sound() && strikes.len() > 1 && !report.holds() {
        let apart = run_once(strikes, seed, Reached::Apart);
        for (reached, apart) in report.reached.iter_mut().zip(apart.reached) {
            *reached = if *reached == Reached::Missed { apart } else { *reached };
        }
        report.violations = apart.violations;
        report.fault = apart.fault;
        report.took += apart.took;
    }
    report
}

fn run_once(strikes: &[Strike], seed: u64, how: Reached) -> Report {
    let began = Instant::now();
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.expect("the epoll runtime starts on Linux");
    // A stand-in that doesn't answer panics; the other runs go on.
    let ran = catch_unwind(AssertUnwindSafe(|| runtime.block_on(in_world(strikes, seed, how))));
    let ran = ran.unwrap_or_else(|_| Err(String::from("the harness panicked; see its output")));
    let (reached, violations, fault) = match ran {
        Ok((reached, history)) => (reached, check::all(&history), None),
        Err(fault) => (Vec::new(), Vec::new(), Some(fault)),
    };
    Report {
        strikes: strikes.to_vec(),
        seed,
        reached,
        violations,
        fault,
        took: began.elapsed(),
    }
}

/// A pair of strikes that a seed draws, each of a cell that runs.
pub fn draw_pair(seed: u64) -> [Strike; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut draw = || loop {
        let step = Step::ALL[rng.random_range(0..Step::ALL.len())];
        let fault = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
        if cell(step, fault) == Cell::Runs {
            return Strike { step, fault };
        }
    };
    [draw(), draw()]
}

async fn in_world(strikes: &[Strike], seed: u64, how: Reached) -> Result<(Vec<Reached>, History), String> {
    let mut world = World::start().map_err(|e| e.to_string())?;
    ready(&world).await?;
    let callers = Callers::new(&world, seed);
    let watch = watch::Watch::start(&world);
    let mut change = change::Change::default();
    let mut struck = strike::Struck::default();
    let mut reached = Vec::new();
    for (at, strike) in strikes.iter().enumerate() {
        if at > 0 && how == Reached::Apart {
            pass(&mut world, &strikes[..at], &mut struck).await?;
            ready(&world).await?;
        }
        let at_step = match strike.step.is_change() {
            true => change.bring(&mut world, strike.step).await,
            false => step::bring(&world, &callers, strike).await,
        };
        reached.push(if at_step { how } else { Reached::Missed });
        strike::strike(&mut world, &callers, &mut change, *strike, &mut struck).await;
    }
    pass(&mut world, strikes, &mut struck).await?;
    change.reachable(&world);
    let mut history = settle::settle(&world, &callers, &change).await;
    history.in_force = watch.stop();
    history.runs = struck.saved_runs;
    history.falls += struck.saved_falls;
    settle::gather(&world, &mut history).await?;
    Ok((reached, history))
}

async fn ready(world: &World) -> Result<(), String> {
    match settle::ready(world, READY).await {
        true => Ok(()),
        false => Err(format!("the world is not ready; {}", world.log("celerytide-entry", 0))),
    }
}

/// Waits until faults that last have outlasted each bound, and lets all pass.
async fn pass(world: &mut World, strikes: &[Strike], struck: &mut strike::Struck) -> Result<(), String> {
    if strikes.iter().any(|s| strike::lasts(s.fault)) {
        monoio::time::sleep(PAST_BOUNDS).await;
    }
    strike::relent(world, struck).await.map_err(|e| e.to_string())
}
