//! Disrupts the daemons and links of a world under a steady load, and checks what was recorded.
//!
//! Callers arrive at fixed times, whatever becomes of those before. Each repeats what it may through the other entry: at once after
//! a broken answer, and beside the first call when that takes long.

mod callers;
mod disrupt;
mod settle;

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use celerytide_load::fleet::Deployment;
use monoio::{LegacyDriver, RuntimeBuilder, time::sleep};

use crate::{
    check::{self, Violation},
    history::History,
    world::World,
};
use callers::Callers;
pub use disrupt::{Answers, Disruption, Place, Target};

/// Time in which a world must be ready.
const READY: Duration = Duration::from_secs(30);
/// Load before the disruption.
const BEFORE: Duration = Duration::from_millis(1500);
/// Load after the disruption has passed.
const AFTER: Duration = Duration::from_millis(1500);
/// Time that each run of the plain services takes, in milliseconds: some are on their way whenever a disruption comes.
const RUN_MS: u64 = 100;

/// What a run under load came to.
#[derive(Debug, Clone)]
pub struct Report {
    /// What was disrupted.
    pub disruption: Disruption,
    /// Requests sent.
    pub sent: usize,
    /// Of these, served to their end.
    pub done: usize,
    /// Tickets of protected calls.
    pub tickets: usize,
    /// Their words in the end: done, not run, unknown.
    pub words: [usize; 3],
    /// What broke.
    pub violations: Vec<Violation>,
    /// Why it could not be run to its end.
    pub fault: Option<String>,
    /// Time it took.
    pub took: Duration,
}

impl Report {
    /// Whether it ran to its end and every invariant held.
    pub fn holds(&self) -> bool {
        self.fault.is_none() && self.violations.is_empty()
    }

    fn new(disruption: Disruption, took: Duration, history: &Result<History, String>) -> Report {
        let empty = History::default();
        let known = history.as_ref().unwrap_or(&empty);
        let is_done = |told: &crate::Told| told.is_done();
        let done = known.sent.iter().filter_map(|s| s.told.as_ref()).filter(|t| is_done(t));
        let worded = |word: &str| known.finals.iter().filter(|f| f.word.as_deref() == Some(word)).count();
        Report {
            disruption,
            sent: known.sent.len(),
            done: done.count(),
            tickets: known.finals.len(),
            words: ["done", "not-run", "unknown"].map(worded),
            violations: history.as_ref().map(check::all).unwrap_or_default(),
            fault: history.as_ref().err().cloned(),
            took,
        }
    }
}

/// Disrupts a world of its own under load.
pub fn run(disruption: Disruption) -> Report {
    let began = Instant::now();
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.expect("the epoll runtime starts on Linux");
    let history = runtime.block_on(in_world(disruption));
    Report::new(disruption, began.elapsed(), &history)
}

/// Runs all, `jobs` at once; the reports stand in the order in which they end.
pub fn together(disruptions: &[Disruption], jobs: usize) -> Vec<Report> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(disruption) = disruptions.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report = run(*disruption);
                    reports.lock().unwrap_or_else(PoisonError::into_inner).push(report);
                }
            });
        }
    });
    reports.into_inner().unwrap_or_else(PoisonError::into_inner)
}

async fn in_world(disruption: Disruption) -> Result<History, String> {
    let busy = |plan: &mut Deployment| plan.plain.delay_ms = RUN_MS;
    let mut world = World::start_with(busy).map_err(|e| e.to_string())?;
    if !settle::ready(&world, READY).await {
        return Err(format!("the world is not ready; {}", world.log("celerytide-entry", 0)));
    }
    let callers = Callers::new(&world);
    let load = callers.start();
    sleep(BEFORE).await;
    let noted = disrupt::disrupt(&mut world, disruption).await?;
    sleep(AFTER).await;
    load.cancel();
    let settled = settle::settle(&world, &callers).await?;
    Ok(History {
        zone_out: noted.zone_out,
        in_force: noted.in_force,
        ..settled
    })
}
