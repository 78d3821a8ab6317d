//! What a run shows of goodput, refusals, shares and zones.

use std::fmt::Write;

use crate::{
    histogram::Quantiles,
    run::{Results, ZoneTransition},
};

const PERCENT: f64 = 100.0;
const BOUND: &str = "The bound gives each request the engine time that it takes in a full batch (prompt beyond the shared \
blocks, answer of known length), lets it use the time from its arrival to its target plus its answer, and fills every interval up to \
the engines in service, their slowness and cold starts counted.";

/// Adds the lines to a report. Writing to a string does not fail.
pub(super) fn write(text: &mut String, results: &Results) {
    goodput(text, results);
    refusals(text, results);
    for (class, part) in &results.least_share {
        let _ = writeln!(
            text,
            "- {class}: while it waited, at least {:.0} % of its guaranteed share of the grants in any 10 s.",
            PERCENT * part
        );
    }
    for one in &results.zones {
        zone(text, one);
    }
}

/// Goodput in percent of the bound, whatever the tiers.
pub(super) fn percent_of_bound(results: &Results) -> f64 {
    PERCENT * results.good_tokens as f64 / results.bound.tokens.max(1.0)
}

fn goodput(text: &mut String, results: &Results) {
    let bound = &results.bound;
    let _ = writeln!(
        text,
        "\nGoodput: {} tokens of {:.0} that perfect knowledge could yield, {:.1} %; {:.0} if higher tiers always went first; {:.0} \
         asked for. {BOUND} Falls of cold engines: {}.\n",
        results.good_tokens,
        bound.tokens,
        percent_of_bound(results),
        bound.tokens_by_tier,
        bound.demand,
        results.falls
    );
    for (class, part) in &bound.attainment_by_tier {
        let _ = writeln!(
            text,
            "- {class}: {:.1} % could attain with perfect knowledge where higher tiers always go first.",
            PERCENT * part
        );
    }
}

fn refusals(text: &mut String, results: &Results) {
    let refusals = &results.refusals;
    let quantiles = |of: &Quantiles| format!("{} with p50 {:.1} ms, p99 {:.1} ms", of.count, of.p50_ms, of.p99_ms);
    let _ = writeln!(
        text,
        "- Refusals, timed at the caller: decided at arrival {} after sending; decided at the deadline {} after it ({} before it); \
         {} others.",
        quantiles(&refusals.at_arrival),
        quantiles(&refusals.at_deadline),
        refusals.before_deadline,
        refusals.other
    );
    let returns = &refusals.returns;
    if returns.count > 0 {
        let _ = writeln!(
            text,
            "- Returns: {}; at most {} in 100 ms, {:.1} times the mean of {:.2} within 5 s of it.",
            returns.count,
            returns.peak,
            returns.peak as f64 / returns.mean.max(f64::EPSILON),
            returns.mean
        );
    }
}

fn zone(text: &mut String, one: &ZoneTransition) {
    let after = |span: Option<f64>| span.map_or("not in this run".to_owned(), |span| format!("after {span:.1} s"));
    let what = if one.out {
        format!(
            "out: {} rises of work later than 3 s after it, idle {}",
            one.new_work,
            after(one.idle_after)
        )
    } else {
        format!("back: carries 80 % of its share {}", after(one.share_after))
    };
    let _ = writeln!(
        text,
        "- Zone {} at {:.1} s {what}; {} requests around it broken or unknown.",
        one.zone, one.at, one.cut
    );
}
