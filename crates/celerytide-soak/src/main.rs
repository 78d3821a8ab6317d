//! `celerytide-soak`: runs the soak test with random faults and prints each violated guarantee.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::collections::HashMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use celerytide_soak::check::Guarantee;
use celerytide_soak::plan::ROUTERS;
use celerytide_soak::run::{Options, run};

/// Violations of one guarantee that are printed for a run.
const MAX_PRINTED: usize = 4;
/// Log lines that are printed for a run.
const MAX_LINES: usize = 200;

/// Plays runs with random faults against routers as real processes; prints the seed of each run.
#[derive(FromArgs)]
struct Args {
    /// first seed; drawn if absent
    #[argh(option)]
    seed: Option<u64>,
    /// runs, with one seed after the other
    #[argh(option, default = "1")]
    count: u64,
    /// seconds in which faults begin
    #[argh(option, default = "6")]
    seconds: u64,
    /// routers in each run
    #[argh(option, default = "ROUTERS")]
    routers: usize,
    /// cut the links between all routers for long
    #[argh(switch)]
    cut_peers: bool,
    /// cut some routers off from all runners
    #[argh(switch)]
    cut_off: bool,
    /// let the runners of each service be brittle for some time
    #[argh(switch)]
    brittle: bool,
    /// play fresh seeds for so many minutes instead of a count
    #[argh(option)]
    minutes: Option<u64>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let first = args.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let end = args
        .minutes
        .map(|minutes| Instant::now() + Duration::from_secs(minutes * 60));
    let mut broken = 0;
    let mut played = 0;
    while end.map_or(played < args.count, |end| Instant::now() < end) {
        let seed = first + played;
        let outcome = run(Options {
            seed,
            length: Duration::from_secs(args.seconds),
            routers: args.routers,
            cuts_peers: args.cut_peers,
            cuts_off: args.cut_off,
            is_brittle: args.brittle,
        });
        played += 1;
        println!(
            "seed {seed}: {} faults, {} requests, at most {} counted by coordinators, {} falls, {} broken",
            outcome.steps.len(),
            outcome.calls,
            outcome.most_counted,
            outcome.falls,
            outcome.violations.len()
        );
        let mut printed: HashMap<Guarantee, usize> = HashMap::new();
        for violation in &outcome.violations {
            let count = printed.entry(violation.guarantee).or_default();
            *count += 1;
            if *count <= MAX_PRINTED {
                println!("  {violation}");
            }
        }
        for (guarantee, count) in printed {
            println!("  {guarantee:?}: {count} in all");
        }
        let planned = outcome.steps.iter().filter(|_| !outcome.violations.is_empty());
        for step in planned {
            println!("    {:?} for {:?}: {:?}", step.at, step.duration, step.fault);
        }
        for line in outcome.lines.iter().take(MAX_LINES) {
            println!("    {line}");
        }
        broken += usize::from(!outcome.violations.is_empty());
    }
    println!("{played} runs, {broken} with a broken promise");
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
