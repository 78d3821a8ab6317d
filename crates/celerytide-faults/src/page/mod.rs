//! Reports as text and as a table.

use std::fmt::Write;

use crate::{
    matrix::{Cell, Fault, Step, cell},
    run::Report,
};

/// A report in one line, with its violations in lines of their own.
pub fn line(report: &Report) -> String {
    let strikes = report
        .strikes
        .iter()
        .map(|s| format!("{} x {}", s.step.name(), s.fault.name()));
    let strikes: Vec<String> = strikes.collect();
    let word = word(report);
    let mut text = format!(
        "{word}: {}, seed {}, {} ms",
        strikes.join(", then "),
        report.seed,
        report.took.as_millis()
    );
    if let Some(fault) = &report.fault {
        let _ = write!(text, "\n    {fault}");
    }
    for violation in &report.violations {
        let _ = write!(text, "\n    {}: {}", violation.invariant, violation.seen);
    }
    text
}

/// A table of steps and faults with the result of each cell.
pub fn table(steps: &[Step], faults: &[Fault], reports: &[Report]) -> String {
    let mut text = String::from("| step |");
    for fault in faults {
        let _ = write!(text, " {} |", fault.name());
    }
    let _ = write!(text, "\n|---|{}\n", "---|".repeat(faults.len()));
    for step in steps {
        let _ = write!(text, "| {} |", step.name());
        for fault in faults {
            let _ = write!(text, " {} |", shown(*step, *fault, reports));
        }
        text.push('\n');
    }
    text
}

fn shown(step: Step, fault: Fault, reports: &[Report]) -> String {
    let of_cell = |r: &&Report| r.strikes.len() == 1 && r.strikes[0].step == step && r.strikes[0].fault == fault;
    match (cell(step, fault), reports.iter().find(of_cell)) {
        (Cell::NotApplicable { .. }, _) => "–".to_owned(),
        (Cell::Open { .. }, _) => "open".to_owned(),
        (Cell::Runs, Some(report)) => format!("{} ({})", word(report), report.seed),
        (Cell::Runs, None) => "not run".to_owned(),
    }
}

fn word(report: &Report) -> &'static str {
    if report.fault.is_some() {
        return "not started";
    }
    if !report.violations.is_empty() {
        return "broken";
    }
    match report.reached.iter().all(|reached| *reached) {
        true => "holds",
        false => "not reached",
    }
}
