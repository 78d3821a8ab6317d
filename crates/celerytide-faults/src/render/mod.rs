//! Renders reports as text lines and as the page docs/FAULTS.md.

use std::fmt::Write;

use crate::{
    matrix::{Cell, Fault, Injection, Step, cell},
    run::{Reached, Report},
};

const INTRODUCTION: &str = "# Faults at every step

Written by `celerytide-faults table --write docs/FAULTS.md`. Each cell starts real processes, brings a streamed model call, a
plain call that may be repeated and two plain calls that run at most once (or a change of the configuration) to the step, lets
the fault strike and pass, and checks the invariants of `celerytide_faults::check` over what was recorded. The number behind a
result is the seed. `cargo test -p celerytide-faults` runs every cell (tests/matrix.rs) and the pairs of seeds 1 to 24
(tests/pairs.rs); `celerytide-faults pairs --count 200 --seed 1` runs all 200, `celerytide-faults search --minutes M` fresh seeds.

A fault that stands may keep requests or a change from the step of the next one. Such a pair runs once more in a second world where
the first fault has passed before the second strikes, and its report says \"(apart)\"; both runs must hold every invariant.

";

/// One line for the report, followed by one line for each violation.
pub fn line(report: &Report) -> String {
    let injections: Vec<String> = report
        .injections
        .iter()
        .enumerate()
        .map(|(index, s)| injection_text(report, index, s))
        .collect();
    let verdict = verdict(report);
    let mut text = format!(
        "{verdict}: {}, seed {}, {} ms",
        injections.join(", then "),
        report.seed,
        report.elapsed.as_millis()
    );
    if let Some(error) = &report.error {
        let _ = write!(text, "\n    {error}");
    }
    for violation in &report.violations {
        let _ = write!(text, "\n    {}: {}", violation.invariant, violation.details);
    }
    text
}

/// Step and fault, with a note if the step was not reached or was reached only in a separate run.
fn injection_text(report: &Report, index: usize, injection: &Injection) -> String {
    let note = match report.reached.get(index) {
        Some(Reached::Missed) => " (step not reached)",
        Some(Reached::Separate) => " (apart)",
        Some(Reached::Combined) | None => "",
    };
    format!("{} x {}{note}", injection.step.name(), injection.fault.name())
}

/// Markdown table of steps and faults with the result of each cell.
pub fn table(steps: &[Step], faults: &[Fault], reports: &[Report]) -> String {
    let mut text = String::from("| step |");
    for fault in faults {
        let _ = write!(text, " {} |", fault.name());
    }
    let _ = write!(text, "\n|---|{}\n", "---|".repeat(faults.len()));
    for step in steps {
        let _ = write!(text, "| {} |", step.name());
        for fault in faults {
            let _ = write!(text, " {} |", cell_text(*step, *fault, reports));
        }
        text.push('\n');
    }
    text
}

fn cell_text(step: Step, fault: Fault, reports: &[Report]) -> String {
    let of_cell =
        |r: &&Report| r.injections.len() == 1 && r.injections[0].step == step && r.injections[0].fault == fault;
    match (cell(step, fault), reports.iter().find(of_cell)) {
        (Cell::NotApplicable { .. }, _) => "–".to_owned(),
        (Cell::Open { .. }, _) => "open".to_owned(),
        (Cell::Runs, Some(report)) => format!("{} ({})", verdict(report), report.seed),
        (Cell::Runs, None) => "not run".to_owned(),
    }
}

fn verdict(report: &Report) -> &'static str {
    if report.error.is_some() {
        return "not started";
    }
    if !report.violations.is_empty() {
        return "broken";
    }
    match report.passes() {
        true => "holds",
        false => "not reached",
    }
}

/// The complete page: introduction, counts, table, violations and descriptions.
pub fn document(steps: &[Step], faults: &[Fault], reports: &[Report]) -> String {
    let mut text = String::from(INTRODUCTION);
    let count = |of: fn(&&Report) -> bool| reports.iter().filter(of).count();
    let left_out: Vec<(Step, Fault, &str)> = not_applicable(steps, faults);
    let _ = writeln!(
        text,
        "Cells run: {}; held: {}; broken: {}; step not reached: {}; not started: {}; not applicable: {}; open: 0.\n",
        reports.len(),
        count(|r| r.passes()),
        count(|r| !r.violations.is_empty()),
        count(|r| r.invariants_hold() && !r.passes()),
        count(|r| r.error.is_some()),
        left_out.len(),
    );
    text.push_str(&table(steps, faults, reports));
    text.push_str("\n## Broken or not reached\n\n");
    for report in reports.iter().filter(|r| !r.passes()) {
        let seen = report
            .violations
            .iter()
            .map(|v| format!("{}: {}", v.invariant, v.details));
        let injections = report
            .injections
            .iter()
            .map(|s| format!("{} x {}", s.step.name(), s.fault.name()));
        let (injections, seen): (Vec<String>, Vec<String>) = (injections.collect(), seen.collect());
        let _ = writeln!(
            text,
            "- {}: {} {}",
            injections.join(", "),
            verdict(report),
            seen.join("; ")
        );
    }
    text.push_str("\n## Steps\n\n");
    for step in steps {
        let _ = writeln!(text, "- {}: {}", step.name(), step.description());
    }
    text.push_str("\n## Faults\n\n");
    for fault in faults {
        let _ = writeln!(text, "- {}: {}", fault.name(), fault.description());
    }
    text.push_str("\n## Not applicable\n\n");
    for (step, fault, reason) in left_out {
        let _ = writeln!(text, "- {} x {}: {reason}", step.name(), fault.name());
    }
    text
}

fn not_applicable(steps: &[Step], faults: &[Fault]) -> Vec<(Step, Fault, &'static str)> {
    let row = |step: &Step| {
        let step = *step;
        faults.iter().map(move |fault| (step, *fault))
    };
    let reason = |(step, fault): (Step, Fault)| match cell(step, fault) {
        Cell::NotApplicable { reason } => Some((step, fault, reason)),
        _ => None,
    };
    steps.iter().flat_map(row).filter_map(reason).collect()
}
