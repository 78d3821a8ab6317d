//! Sections of a report on goodput, refusals, guaranteed shares and zones.

use std::fmt::Write;

use crate::{
    histogram::Quantiles,
    run::{Results, ZoneTransition},
};

const PERCENT: f64 = 100.0;
const BOUND_EXPLANATION: &str = "The bound gives each request the engine time that it takes in a full batch (prompt beyond the shared \
blocks, answer of known length), lets it use the time from its arrival to its target plus its answer, and fills every interval up to \
the engines in service, their slowness and cold starts counted.";

/// Adds the sections to a report. Writing to a string does not fail.
pub(super) fn write(text: &mut String, results: &Results) {
    write_goodput(text, results);
    write_refusals(text, results);
    for (class, fraction) in &results.least_share {
        let _ = writeln!(
            text,
            "- {class}: while it waited, at least {:.0} % of its guaranteed share of the grants in any 10 s.",
            PERCENT * fraction
        );
    }
    for transition in &results.zones {
        write_zone(text, transition);
    }
}

/// Goodput in percent of the bound that disregards tiers.
pub(super) fn percent_of_bound(results: &Results) -> f64 {
    PERCENT * results.good_tokens as f64 / results.bound.tokens.max(1.0)
}

fn write_goodput(text: &mut String, results: &Results) {
    let bound = &results.bound;
    let _ = writeln!(
        text,
        "\nGoodput: {} tokens of {:.0} that perfect knowledge could yield, {:.1} %; {:.0} if higher tiers always went first; {:.0} \
         asked for. {BOUND_EXPLANATION} Falls of cold engines: {}.\n",
        results.good_tokens,
        bound.tokens,
        percent_of_bound(results),
        bound.tokens_by_tier,
        bound.demand,
        results.falls
    );
    for (class, fraction) in &bound.attainment_by_tier {
        let _ = writeln!(
            text,
            "- {class}: {:.1} % could attain with perfect knowledge where higher tiers always go first.",
            PERCENT * fraction
        );
    }
}

fn write_refusals(text: &mut String, results: &Results) {
    let refusals = &results.refusals;
    let quantiles = |quantiles: &Quantiles| {
        format!(
            "{} with p50 {:.1} ms, p99 {:.1} ms",
            quantiles.count, quantiles.p50_ms, quantiles.p99_ms
        )
    };
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

fn write_zone(text: &mut String, transition: &ZoneTransition) {
    let after =
        |seconds: Option<f64>| seconds.map_or("not in this run".to_owned(), |seconds| format!("after {seconds:.1} s"));
    let effect = if transition.out {
        format!(
            "out: {} rises of work later than 3 s after it, idle {}",
            transition.new_work,
            after(transition.idle_after)
        )
    } else {
        format!("back: carries 80 % of its share {}", after(transition.share_after))
    };
    let _ = writeln!(
        text,
        "- Zone {} at {:.1} s {effect}; {} requests around it broken or unknown.",
        transition.zone, transition.at, transition.cut
    );
}
