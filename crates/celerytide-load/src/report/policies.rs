//! Comparison of several policies on the same scenario and seeds, by their medians.

use std::fmt::Write;

use celerytide_manifest::PolicyName;

use super::{
    goodput::percent_of_bound,
    policy_name,
    seeds::{median, sorted},
};
use crate::run::{ClassResult, Results};

const PERCENT: f64 = 100.0;

/// Formats goodput, waste, shares and attainment by class and phase of each policy as Markdown.
pub fn policies(all: &[Results]) -> String {
    let name = all.first().map(|results| results.scenario.as_str()).unwrap_or_default();
    let policies = distinct(all.iter().map(|results| results.policy));
    let seeds = distinct(all.iter().map(|results| results.seed));
    let seeds: Vec<String> = seeds.iter().map(u64::to_string).collect();
    let mut text = format!("# {name}, policies compared, seeds {}\n\n", seeds.join(", "));
    write_summary(&mut text, all, &policies);
    write_attainment(&mut text, all, &policies);
    write_runs(&mut text, all);
    text
}

fn distinct<T: PartialEq>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut all = Vec::new();
    for value in values {
        if !all.contains(&value) {
            all.push(value);
        }
    }
    all
}

fn policy_median<'a>(all: &'a [Results], policy: PolicyName, value: impl Fn(&'a Results) -> f64) -> f64 {
    let of_policy = all.iter().filter(|results| results.policy == policy);
    median(&sorted(of_policy.map(value)))
}

/// Adds a table with one row per policy. Writing to a string does not fail.
fn write_summary(text: &mut String, all: &[Results], policies: &[PolicyName]) {
    text.push_str("Medians over the seeds.\n\n");
    text.push_str(
        "| policy | good tokens | % of the bound | wasted % | refused | unknown or no word | falls | least share % |\n",
    );
    text.push_str("|---|---|---|---|---|---|---|---|\n");
    for policy in policies {
        let count = |of: fn(&ClassResult) -> u64| {
            policy_median(all, *policy, |results| {
                let whole_run = results.classes.iter().filter(|class| class.phase.is_none());
                whole_run.map(of).sum::<u64>() as f64
            })
        };
        let least = policy_median(all, *policy, |results| {
            results.least_share.values().copied().fold(f64::INFINITY, f64::min)
        });
        let least = if least.is_finite() {
            format!("{:.0}", PERCENT * least)
        } else {
            "-".to_owned()
        };
        let _ = writeln!(
            text,
            "| {} | {:.0} | {:.1} | {:.2} | {:.0} | {:.0} | {:.0} | {least} |",
            policy_name(*policy),
            policy_median(all, *policy, |results| results.good_tokens as f64),
            policy_median(all, *policy, percent_of_bound),
            policy_median(all, *policy, wasted_percent),
            count(|class| class.not_run),
            count(|class| class.unknown + class.wordless),
            policy_median(all, *policy, |results| results.falls as f64),
        );
    }
}

fn wasted_percent(results: &Results) -> f64 {
    let lost = results.generated_tokens.saturating_sub(results.delivered_tokens);
    PERCENT * lost as f64 / results.generated_tokens.max(1) as f64
}

fn write_attainment(text: &mut String, all: &[Results], policies: &[PolicyName]) {
    let names: Vec<&str> = policies.iter().map(|policy| policy_name(*policy)).collect();
    let _ = writeln!(
        text,
        "\nAttained %, and % refused in parentheses.\n\n| class | tier | phase | {} |",
        names.join(" | ")
    );
    let _ = writeln!(text, "|---|---|---|{}", "---|".repeat(names.len()));
    let classes = all
        .first()
        .map(|results| results.classes.as_slice())
        .unwrap_or_default();
    for (i, class) in classes.iter().enumerate() {
        let phase = class.phase.as_deref().unwrap_or("**all**");
        let _ = write!(text, "| {} | {} | {phase} |", class.class, class.tier);
        for policy in policies {
            let median_of = |part: fn(&ClassResult) -> f64| {
                policy_median(all, *policy, |results| results.classes.get(i).map_or(0.0, part))
            };
            let refused = median_of(|class| class.not_run as f64 / class.sent.max(1) as f64);
            let _ = write!(
                text,
                " {:.1} ({:.1}) |",
                PERCENT * median_of(|class| class.attainment),
                PERCENT * refused
            );
        }
        text.push('\n');
    }
}

/// Adds a table with the load averages of each run and a link to its report.
fn write_runs(text: &mut String, all: &[Results]) {
    let has_seeds = all
        .iter()
        .any(|results| Some(results.seed) != all.first().map(|first| first.seed));
    text.push_str("\n| policy | seed | load averages at the start | at the end | report |\n|---|---|---|---|---|\n");
    for results in all {
        let name = policy_name(results.policy);
        let dir = if has_seeds {
            format!("{name}/seed-{}", results.seed)
        } else {
            name.to_owned()
        };
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | [{dir}]({dir}/report.md) |",
            results.seed, results.machine.load, results.load_at_end
        );
    }
}
