//! Disrupts daemons and links of a cluster under a steady load and checks the invariants afterwards.
//!
//! Callers arrive at fixed intervals, independent of earlier requests. A caller repeats a call through the other entry
//! after a failed response, and in parallel to the first call if that takes long.

mod callers;
mod disrupt;
mod recovery;

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
    cluster::Cluster,
    history::History,
};
use callers::Callers;
pub use disrupt::{Disruption, LinkSet, ResponseFault, Target};

/// Timeout for a cluster to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of the load before the disruption.
const BEFORE: Duration = Duration::from_millis(1500);
/// Duration of the load after the disruption.
const AFTER: Duration = Duration::from_millis(1500);
/// Duration of each run of the plain services in milliseconds, so that some runs are in progress at any disruption.
const RUN_MS: u64 = 100;

/// Result of a run under load.
#[derive(Debug, Clone)]
pub struct Report {
    /// The disruption.
    pub disruption: Disruption,
    /// Number of requests sent.
    pub record: usize,
    /// Number of requests that were served completely.
    pub done: usize,
    /// Number of ticket queries; each ticket is queried at each entry.
    pub tickets: usize,
    /// Number of final execution statuses by value: done, not run, unknown.
    pub words: [usize; 3],
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Error that kept the run from completing.
    pub error: Option<String>,
    /// Duration of the run.
    pub elapsed: Duration,
}

impl Report {
    /// Whether the run completed and every invariant held.
    pub fn invariants_hold(&self) -> bool {
        self.error.is_none() && self.violations.is_empty()
    }

    fn new(disruption: Disruption, elapsed: Duration, history: &Result<History, String>) -> Report {
        let empty = History::default();
        let known = history.as_ref().unwrap_or(&empty);
        let is_done = |outcome: &crate::CallOutcome| outcome.is_done();
        let done = known
            .requests
            .iter()
            .filter_map(|s| s.outcome.as_ref())
            .filter(|t| is_done(t));
        let worded = |word: &str| {
            known
                .ticket_outcomes
                .iter()
                .filter(|f| f.word.as_deref() == Some(word))
                .count()
        };
        Report {
            disruption,
            record: known.requests.len(),
            done: done.count(),
            tickets: known.ticket_outcomes.len(),
            words: ["done", "not-run", "unknown"].map(worded),
            violations: history.as_ref().map(check::violations).unwrap_or_default(),
            error: history.as_ref().err().cloned(),
            elapsed,
        }
    }
}

/// Runs one disruption under load in a new cluster.
pub fn run(disruption: Disruption) -> Report {
    let started = Instant::now();
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.expect("the epoll runtime starts on Linux");
    let history = runtime.block_on(run_in_cluster(disruption));
    Report::new(disruption, started.elapsed(), &history)
}

/// Runs all disruptions, `jobs` at a time; returns the reports in the order of completion.
pub fn run_all(disruptions: &[Disruption], jobs: usize) -> Vec<Report> {
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

async fn run_in_cluster(disruption: Disruption) -> Result<History, String> {
    let with_running_calls = |deployment: &mut Deployment| deployment.plain.delay_ms = RUN_MS;
    let mut cluster = Cluster::start_with(with_running_calls).map_err(|e| e.to_string())?;
    if !recovery::wait_ready(&cluster, READY_TIMEOUT).await {
        return Err(format!(
            "the cluster is not ready; {}",
            cluster.read_log("celerytide-entry", 0)
        ));
    }
    let callers = Callers::new(&cluster);
    let load = callers.start();
    sleep(BEFORE).await;
    let recorded = disrupt::disrupt(&mut cluster, disruption).await?;
    sleep(AFTER).await;
    load.cancel();
    let settled_pools = recovery::observe_recovery(&cluster, &callers).await?;
    Ok(History {
        zone_evacuation: recorded.zone_evacuation,
        active_configs: recorded.active_configs,
        ..settled_pools
    })
}
