//! Comparison of several runs of one scenario with different seeds, by their medians.

use std::fmt::Write;

use crate::run::{ClassResult, Results};

const PERCENT: f64 = 100.0;

/// Formats attainment, time to the first token and wasted tokens over all runs as Markdown.
pub fn seeds(all: &[Results]) -> String {
    let name = all.first().map(|results| results.scenario.as_str()).unwrap_or_default();
    let seeds: Vec<String> = all.iter().map(|results| results.seed.to_string()).collect();
    let mut text = format!("# {name}, seeds {}\n\n", seeds.join(", "));
    text.push_str("| class | tier | phase | attained %: median | lowest | highest | first p99 ms: median |\n");
    text.push_str("|---|---|---|---|---|---|---|\n");
    for (i, class) in all
        .first()
        .map(|results| results.classes.as_slice())
        .unwrap_or_default()
        .iter()
        .enumerate()
    {
        let runs: Vec<&ClassResult> = all.iter().filter_map(|results| results.classes.get(i)).collect();
        write_row(&mut text, class, &runs);
    }
    let wasted = sorted(all.iter().map(|results| {
        let lost = results.generated_tokens.saturating_sub(results.delivered_tokens);
        PERCENT * lost as f64 / results.generated_tokens.max(1) as f64
    }));
    // Writing to a string does not fail.
    let _ = writeln!(text, "\nWasted tokens, median: {:.2} %.", median(&wasted));
    text
}

fn write_row(text: &mut String, class: &ClassResult, runs: &[&ClassResult]) {
    let attained = sorted(runs.iter().map(|run| PERCENT * run.attainment));
    let first = sorted(runs.iter().map(|run| run.first.p99_ms));
    let _ = writeln!(
        text,
        "| {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.0} |",
        class.class,
        class.tier,
        class.phase.as_deref().unwrap_or("**all**"),
        median(&attained),
        attained.first().copied().unwrap_or_default(),
        attained.last().copied().unwrap_or_default(),
        median(&first)
    );
}

pub(super) fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

/// Median of sorted values; the lower of the two middle values for an even number.
pub(super) fn median(sorted: &[f64]) -> f64 {
    sorted
        .get(sorted.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or_default()
}
