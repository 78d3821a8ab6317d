//! Compares the policy with its baselines at the start of an event, at a multiple of capacity:
//! `compare [LOAD] [SEEDS] [MIX or all] [all | short | back | check]`, in release mode.
//!
//! Only `all` runs variants of the policy; `back` lets refused callers retry after the delay that they were given;
//! `check`, which is slow, checks the rules.
//!
//! One pool of simulated engines runs at low load, then through a minute of overload in which one engine restarts cold,
//! then at low load again. A first offer in the overload attains its target if the first token arrives within the
//! target and the response is whole.

mod engine;
mod mix;
mod outcome;
mod simulation;

use std::time::Duration;

use celerytide_policy::{Baseline, DeliberateFault, Options};
use mix::{MIXES, Mix};
use outcome::Outcome;
use simulation::Simulation;

struct Policy {
    name: &'static str,
    opts: Options,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let load = args.first().and_then(|arg| arg.parse().ok()).unwrap_or(2.0);
    let seeds: u64 = args.get(1).and_then(|arg| arg.parse().ok()).unwrap_or(5);
    let wanted = args.get(2).map_or("all", String::as_str);
    let how = args.get(3).map_or("all", String::as_str);
    println!("load {load} of capacity, median of {seeds} seeds");
    for mix in MIXES.iter().filter(|mix| wanted == "all" || wanted == mix.name) {
        title(mix);
        let policies = policies().into_iter();
        for policy in policies.filter(|policy| how == "all" || !policy.name.starts_with(' ')) {
            let run = |seed| Simulation::run(mix, policy.opts.clone(), load, seed, how);
            let outcomes: Vec<Outcome> = (1..=seeds).map(run).collect();
            show(mix, &policy, &outcomes);
        }
    }
    println!();
    println!("per class: percent of first offers that attained, that were refused, and whose first token was late;");
    println!("  median time to a refusal in percent of the target. goodput: tokens a second of attained answers;");
    println!(
        "bound, tiers: goodput in percent of what perfect knowledge could yield in any order, and in order of tiers"
    );
    println!("wasted: percent of generated tokens of other answers; falls: crashes of engines in cold start");
    println!("share: least slot time of a waiting class in a 10 s window, in percent of its guaranteed share");
    println!("small: percent of first offers of small customers that attained; broken: rules broken in all seeds");
    println!("wave: most returns of refused callers in 100 ms, as a multiple of the mean (mean)");
}

fn title(mix: &Mix) {
    println!();
    println!("{}: the scenario asks for {:.2} of capacity", mix.name, mix.demand());
    print!("{:<18}", "policy");
    for class in mix.classes {
        print!("{:>26}", format!("{} t{}", class.name, class.tier));
    }
    println!(
        "{:>8}{:>7}{:>7}{:>7}{:>6}{:>7}{:>7}{:>14}{:>7}",
        "goodput", "bound", "tiers", "wasted", "falls", "share", "small", "wave", "broken"
    );
}

fn policies() -> Vec<Policy> {
    let tiers = Options::default;
    let baseline = |baseline| Options {
        baseline: Some(baseline),
        ..Options::default()
    };
    let policy = |name, opts| Policy { name, opts };
    vec![
        policy("celerytide", tiers()),
        policy(
            "  shares ignored",
            Options {
                fault: Some(DeliberateFault::IgnoreShares),
                ..tiers()
            },
        ),
        policy(
            "  no preemption",
            Options {
                preempt_lead: Duration::ZERO,
                ..tiers()
            },
        ),
        policy(
            "  locality 0",
            Options {
                locality_weight: 0.0,
                ..tiers()
            },
        ),
        policy(
            "  locality 0.3",
            Options {
                locality_weight: 0.3,
                ..tiers()
            },
        ),
        policy(
            "  locality 3",
            Options {
                locality_weight: 3.0,
                ..tiers()
            },
        ),
        policy(
            "  prefill 0",
            Options {
                prefill_weight: 0.0,
                ..tiers()
            },
        ),
        policy(
            "  prefill 3",
            Options {
                prefill_weight: 3.0,
                ..tiers()
            },
        ),
        policy(
            "  queue of 64",
            Options {
                max_queued: 64,
                ..tiers()
            },
        ),
        policy(
            "  cold for 0 s",
            Options {
                cold_min: Duration::ZERO,
                ..tiers()
            },
        ),
        policy(
            "  cold for 5 s",
            Options {
                cold_min: Duration::from_secs(5),
                ..tiers()
            },
        ),
        policy(
            "  cold for 20 s",
            Options {
                cold_min: Duration::from_secs(20),
                ..tiers()
            },
        ),
        policy("first come", baseline(Baseline::FirstCome)),
        policy("least in flight", baseline(Baseline::LeastInFlight)),
        policy("round robin", baseline(Baseline::RoundRobin)),
        policy("random", baseline(Baseline::Random)),
    ]
}

fn show(mix: &Mix, policy: &Policy, outcomes: &[Outcome]) {
    print!("{:<18}", policy.name);
    for class in 0..mix.classes.len() {
        let of = |of: fn(&Outcome) -> &Vec<f64>| median(outcomes, |outcome| of(outcome)[class]);
        let text = format!(
            "{:.1} ({:.0} {:.0}, {:.0}%)",
            of(|o| &o.attained),
            of(|o| &o.refused),
            of(|o| &o.late),
            of(|o| &o.refusal_delay)
        );
        print!("{text:>26}");
    }
    let broken: usize = outcomes.iter().map(|outcome| outcome.broken).sum();
    let wave = format!(
        "{:.1} ({:.1})",
        median(outcomes, |outcome| outcome.wave),
        median(outcomes, |outcome| outcome.wave_mean)
    );
    println!(
        "{:>8.0}{:>7.1}{:>7.1}{:>7.1}{:>6.0}{:>7.0}{:>7.1}{:>14}{:>7}",
        median(outcomes, |outcome| outcome.goodput),
        median(outcomes, |outcome| outcome.of_optimum),
        median(outcomes, |outcome| outcome.of_tiered_optimum),
        median(outcomes, |outcome| outcome.wasted),
        median(outcomes, |outcome| outcome.crashes),
        median(outcomes, |outcome| outcome.least_share),
        median(outcomes, |outcome| outcome.small),
        wave,
        broken
    );
}

fn median(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    let mut values: Vec<f64> = outcomes.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
