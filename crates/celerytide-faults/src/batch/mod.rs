//! Many runs, some at once.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicUsize, Ordering},
};

use crate::{
    matrix::{Cell, Fault, Step, Strike, cell},
    run::{Report, draw_pair, run},
};

/// Runs each running cell of `steps` and `faults`; `each` sees every report as it comes.
pub fn cells(steps: &[Step], faults: &[Fault], seed: u64, jobs: usize, each: impl Fn(&Report) + Sync) -> Vec<Report> {
    let row = |step: &Step| {
        let step = *step;
        faults.iter().map(move |fault| Strike { step, fault: *fault })
    };
    let all = steps
        .iter()
        .flat_map(row)
        .filter(|s| cell(s.step, s.fault) == Cell::Runs);
    let runs: Vec<(Vec<Strike>, u64)> = all.map(|strike| (vec![strike], seed)).collect();
    together(&runs, jobs, each)
}

/// Runs the pair that each seed draws.
pub fn pairs(seeds: &[u64], jobs: usize, each: impl Fn(&Report) + Sync) -> Vec<Report> {
    let runs: Vec<_> = seeds.iter().map(|seed| (draw_pair(*seed).to_vec(), *seed)).collect();
    together(&runs, jobs, each)
}

/// Runs all, `jobs` at once; the reports stand in the order of the runs.
pub fn together(runs: &[(Vec<Strike>, u64)], jobs: usize, each: impl Fn(&Report) + Sync) -> Vec<Report> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some((strikes, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report = run(strikes, *seed);
                    each(&report);
                    reports.lock().unwrap_or_else(PoisonError::into_inner).push(report);
                }
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    let place = |report: &Report| {
        runs.iter()
            .position(|(strikes, seed)| *strikes == report.strikes && *seed == report.seed)
    };
    reports.sort_by_key(place);
    reports
}
