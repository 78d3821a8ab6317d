//! Every step of the matrix with every single fault; one test per step.

use celerytide_faults::{
    batch, matrix,
    matrix::{Cell, Fault, Step, cell},
    render,
    run::{Reached, Report},
};

const SEED: u64 = 1;
/// Parallel runs within a row; the rows run in parallel as tests.
const JOBS: usize = 1;

fn check(step: Step, faults: &[Fault]) {
    let reports = batch::run_cells(&[step], faults, SEED, JOBS, |_| {});
    let broken: Vec<String> = reports.iter().filter(|r| !r.passes()).map(render::line).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    assert!(!reports.is_empty() || faults.iter().all(|f| cell(step, *f) != Cell::Runs));
}

fn check_row(step: Step) {
    check(step, &Fault::ALL);
}

/// The list lacks an instance that is still running. A separate test, because a failure here has a cause of its own.
#[test]
fn queued_and_list_lagging() {
    check(Step::Queued, &[Fault::ListLagging]);
}

#[test]
fn queued_and_other_faults() {
    let others = Fault::ALL.into_iter().filter(|fault| *fault != Fault::ListLagging);
    check(Step::Queued, &others.collect::<Vec<_>>());
}

macro_rules! rows {
    ($($name:ident: $step:expr,)*) => {
        $(#[test]
        fn $name() {
            check_row($step);
        })*
    };
}

rows! {
    accepted: Step::Accepted,
    classified: Step::Classified,
    permitted: Step::Permitted,
    connecting: Step::Connecting,
    head_written: Step::HeadWritten,
    body_written: Step::BodyWritten,
    first_byte: Step::FirstByte,
    mid_answer: Step::MidAnswer,
    last_byte: Step::LastByte,
    answer_to_caller: Step::AnswerToCaller,
    version_seen: Step::VersionSeen,
    fetched: Step::Fetched,
    checked: Step::Checked,
    applied: Step::Applied,
    spread: Step::Spread,
}

#[test]
fn every_cell_runs_or_gives_a_reason() {
    for injection in matrix::all_injections() {
        match cell(injection.step, injection.fault) {
            Cell::Runs => {}
            Cell::NotApplicable { reason } => assert!(reason.len() > 20, "{injection:?}"),
            Cell::Open { reason } => assert!(reason.len() > 20, "{injection:?}"),
        }
    }
    let running = matrix::all_injections().filter(|s| cell(s.step, s.fault) == Cell::Runs);
    assert!(running.count() > 200);
}

#[test]
fn a_report_passes_only_if_its_step_was_reached() {
    let report = Report {
        injections: Vec::new(),
        seed: SEED,
        reached: vec![Reached::Combined, Reached::Missed],
        violations: Vec::new(),
        error: None,
        elapsed: std::time::Duration::ZERO,
    };
    assert!(!report.passes());
}
