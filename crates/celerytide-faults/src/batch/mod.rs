//! Executes many runs in parallel on a fixed number of threads.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    matrix::{Cell, Fault, Injection, Step, cell},
    run::{Report, draw_pair, run},
};

/// Runs each applicable cell of `steps` and `faults`; `on_report` gets every report as its run ends.
pub fn run_cells(
    steps: &[Step],
    faults: &[Fault],
    seed: u64,
    jobs: usize,
    on_report: impl Fn(&Report) + Sync,
) -> Vec<Report> {
    let row = |step: &Step| {
        let step = *step;
        faults.iter().map(move |fault| Injection { step, fault: *fault })
    };
    let all = steps
        .iter()
        .flat_map(row)
        .filter(|s| cell(s.step, s.fault) == Cell::Runs);
    let runs: Vec<(Vec<Injection>, u64)> = all.map(|injection| (vec![injection], seed)).collect();
    run_all(&runs, jobs, on_report)
}

/// Runs the pair of faults that each seed draws.
pub fn run_pairs(seeds: &[u64], jobs: usize, on_report: impl Fn(&Report) + Sync) -> Vec<Report> {
    let runs: Vec<_> = seeds.iter().map(|seed| (draw_pair(*seed).to_vec(), *seed)).collect();
    run_all(&runs, jobs, on_report)
}

/// Executes all runs, `jobs` at a time; returns the reports in the order of `runs`.
pub fn run_all(runs: &[(Vec<Injection>, u64)], jobs: usize, on_report: impl Fn(&Report) + Sync) -> Vec<Report> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some((injections, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report = run(injections, *seed);
                    on_report(&report);
                    reports.lock().unwrap_or_else(PoisonError::into_inner).push(report);
                }
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    let position = |report: &Report| {
        runs.iter()
            .position(|(injections, seed)| *injections == report.injections && *seed == report.seed)
    };
    reports.sort_by_key(position);
    reports
}
