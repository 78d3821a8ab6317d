//! Reports of runs as JSON, Markdown and plots.

mod goodput;
mod plots;
mod policies;
mod seeds;

use std::{fmt::Write, fs, io, path::Path};

use celerytide_manifest::PolicyName;
use snafu::Snafu;

use crate::run::{ClassResult, Results};

pub use policies::policies;
pub use seeds::seeds;

const GIB: f64 = 1024.0 * 1024.0 * 1024.0;
const PERCENT: f64 = 100.0;
/// Number of causes that a report lists for each class, the most frequent first.
const MAX_CAUSES: usize = 4;

/// Reason why a report could not be written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file could not be written.
    #[snafu(display("{source}"), context(false))]
    File {
        /// Underlying error.
        source: io::Error,
    },
    /// The results could not be encoded as JSON.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Underlying error.
        source: serde_json::Error,
    },
    /// A plot could not be drawn.
    #[snafu(display("plot {name}: {message}"))]
    Plot {
        /// File name of the plot.
        name: String,
        /// Message of the plotting library.
        message: String,
    },
}

/// Name of a policy in settings and directories.
pub fn policy_name(policy: PolicyName) -> &'static str {
    match policy {
        PolicyName::Celerytide => "celerytide",
        PolicyName::Random => "random",
        PolicyName::RoundRobin => "round-robin",
        PolicyName::LeastInFlight => "least-in-flight",
        PolicyName::FirstCome => "first-come",
    }
}

/// Writes the results of several runs to one file.
pub fn write_json(all: &[Results], path: &Path) -> Result<(), Error> {
    fs::write(path, serde_json::to_vec(all)?)?;
    Ok(())
}

/// Writes `results.json`, `report.md` and the plots to an existing directory.
pub fn write(results: &Results, dir: &Path) -> Result<(), Error> {
    fs::write(dir.join("results.json"), serde_json::to_vec_pretty(results)?)?;
    let mut text = markdown(results);
    for (title, name) in plots::draw(results, dir)? {
        // Writing to a string does not fail.
        let _ = writeln!(text, "\n## {title}\n\n![{title}]({name})");
    }
    fs::write(dir.join("report.md"), text)?;
    Ok(())
}

/// Formats the results as Markdown, without plots.
pub fn markdown(results: &Results) -> String {
    let mut text = format!("# {}\n\n", results.scenario);
    let machine = &results.machine;
    let _ = writeln!(
        text,
        "{}\n\nPolicy {}, seed {}. {} cores of {:?}, {:.0} GiB; {} build; load averages at the start {}, at the end {}.\n",
        results.about,
        policy_name(results.policy),
        results.seed,
        machine.cores,
        machine.processor,
        machine.memory_bytes as f64 / GIB,
        machine.build,
        machine.load,
        results.load_at_end
    );
    write_tokens(&mut text, results);
    text.push_str("\n| class | tier | phase | sent | done | not run | unknown | no word | attained % ");
    text.push_str("| first p50 ms | p99 ms | refusal p99 ms |\n");
    text.push_str("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for class in &results.classes {
        write_row(&mut text, class);
    }
    goodput::write(&mut text, results);
    text.push_str("\nRequests that were not served:\n\n");
    for class in results.classes.iter().filter(|class| class.phase.is_none()) {
        write_causes(&mut text, class);
    }
    text
}

fn write_tokens(text: &mut String, results: &Results) {
    let generated = results.generated_tokens.max(1) as f64;
    let wasted = results.generated_tokens.saturating_sub(results.delivered_tokens) as f64;
    let _ = writeln!(
        text,
        "Tokens: {} generated, {} in whole answers, {} in answers that met their targets; {:.2} % wasted. \
         Calls to the configuration service: {}, at most {} in a second. Daemons stopped by themselves: {}.",
        results.generated_tokens,
        results.delivered_tokens,
        results.good_tokens,
        PERCENT * wasted / generated,
        results.config_calls.total,
        results.config_calls.peak_second,
        results.stopped
    );
}

fn write_row(text: &mut String, class: &ClassResult) {
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {} | {} | {} | {} | {:.1} | {:.0} | {:.0} | {:.1} |",
        class.class,
        class.tier,
        class.phase.as_deref().unwrap_or("**all**"),
        class.sent,
        class.done,
        class.not_run,
        class.unknown,
        class.wordless,
        PERCENT * class.attainment,
        class.first.p50_ms,
        class.first.p99_ms,
        class.refusal.p99_ms
    );
}

fn write_causes(text: &mut String, class: &ClassResult) {
    let mut causes: Vec<(&String, &u64)> = class.causes.iter().collect();
    causes.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for (cause, count) in causes.into_iter().take(MAX_CAUSES) {
        let _ = writeln!(text, "- {}: {count} × {cause}", class.class);
    }
}
