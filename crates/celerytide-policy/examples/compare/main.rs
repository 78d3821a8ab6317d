//! Event start at a multiple of capacity: the policy beside its baselines. `compare [LOAD] [SEEDS]`, in release mode.
//!
//! One pool of twelve fake engines runs in simulated time: calm, then a minute of overload in which one engine
//! restarts cold, then calm again. Attainment counts every arrival of the overload: its first token came within its
//! target and its whole answer arrived.

mod engine;
mod scene;
mod world;

use std::time::Duration;

use celerytide_policy::{Baseline, Options};
use scene::CLASSES;
use world::{Outcome, World};

struct Policy {
    name: &'static str,
    opts: Options,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let load = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(2.0);
    let seeds: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(5);
    println!("load {load} of capacity, median of {seeds} seeds");
    print!("{:<22}", "policy");
    for class in &CLASSES {
        print!("{:>12}", format!("{} t{}", class.name, class.tier));
    }
    println!(
        "{:>9}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}",
        "goodput", "wasted", "falls", "share", "small", "wave", "broken"
    );
    for policy in policies() {
        let outcomes: Vec<Outcome> = (1..=seeds)
            .map(|seed| World::run(policy.opts.clone(), load, seed))
            .collect();
        show(&policy, &outcomes);
    }
    println!();
    println!("per class: percent of arrivals that attained; goodput: tokens a second of attained answers");
    println!("wasted: percent of generated tokens of other answers; falls: crashes of engines in cold start");
    println!("share: least of a waiting class's grants in a 10 s window, in percent of its guaranteed share");
    println!("small: percent of arrivals of small customers that attained; broken: rules broken in all seeds");
    println!("wave: most returns of refused callers in 100 ms, as a multiple of the mean");
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
            "  no preemption",
            Options {
                preempt_lead: Duration::ZERO,
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

fn show(policy: &Policy, outcomes: &[Outcome]) {
    print!("{:<22}", policy.name);
    for class in 0..CLASSES.len() {
        print!("{:>12.1}", median(outcomes, |outcome| outcome.attained[class]));
    }
    let broken: usize = outcomes.iter().map(|outcome| outcome.broken).sum();
    println!(
        "{:>9.0}{:>9.1}{:>8.0}{:>8.0}{:>8.1}{:>8.1}{:>8}",
        median(outcomes, |outcome| outcome.goodput),
        median(outcomes, |outcome| outcome.wasted),
        median(outcomes, |outcome| outcome.falls),
        median(outcomes, |outcome| outcome.least_share),
        median(outcomes, |outcome| outcome.small),
        median(outcomes, |outcome| outcome.wave),
        broken
    );
}

fn median(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    let mut values: Vec<f64> = outcomes.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
