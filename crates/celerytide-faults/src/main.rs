//! Runs the fault matrix, pairs of faults, and a search with fresh seeds.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use argh::FromArgs;
use celerytide_faults::{
    batch,
    matrix::{Fault, Step},
    render,
    run::{Reached, Report},
};

/// Faults at every step, on real processes.
#[derive(FromArgs)]
struct Args {
    /// runs at once
    #[argh(option, default = "5")]
    jobs: usize,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Table(Table),
    Pairs(Pairs),
    Search(Search),
}

/// Run every cell of the matrix.
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
struct Table {
    /// seed of every cell
    #[argh(option, default = "1")]
    seed: u64,
    /// only this step
    #[argh(option)]
    step: Option<String>,
    /// only this fault
    #[argh(option)]
    fault: Option<String>,
    /// write the table there instead of printing it
    #[argh(option)]
    write: Option<String>,
}

/// Run pairs of faults that fixed seeds draw.
#[derive(FromArgs)]
#[argh(subcommand, name = "pairs")]
struct Pairs {
    /// how many
    #[argh(option, default = "200")]
    count: u64,
    /// the first seed; the others follow
    #[argh(option, default = "1")]
    seed: u64,
}

/// Run pairs of fresh seeds and print the seeds that fail.
#[derive(FromArgs)]
#[argh(subcommand, name = "search")]
struct Search {
    /// for how long
    #[argh(option, default = "10")]
    minutes: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let passed = match args.command {
        Command::Table(table) => run_table(&table, args.jobs),
        Command::Pairs(pairs) => run_pairs(pairs.seed..pairs.seed + pairs.count, args.jobs),
        Command::Search(search) => run_search(&search, args.jobs),
    };
    match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn run_table(table: &Table, jobs: usize) -> bool {
    let steps = Step::ALL
        .into_iter()
        .filter(|s| table.step.as_deref().is_none_or(|name| s.name() == name));
    let steps: Vec<Step> = steps.collect();
    let faults = Fault::ALL
        .into_iter()
        .filter(|f| table.fault.as_deref().is_none_or(|name| f.name() == name));
    let faults: Vec<Fault> = faults.collect();
    let reports = batch::run_cells(&steps, &faults, table.seed, jobs, print);
    let text = render::document(&steps, &faults, &reports);
    match &table.write {
        Some(path) => {
            if let Err(error) = std::fs::write(path, &text) {
                eprintln!("faults: {path}: {error}");
                return false;
            }
        }
        None => println!("{text}"),
    }
    summary(&reports)
}

fn run_pairs(seeds: std::ops::Range<u64>, jobs: usize) -> bool {
    let seeds: Vec<u64> = seeds.collect();
    summary(&batch::run_pairs(&seeds, jobs, print))
}

fn run_search(search: &Search, jobs: usize) -> bool {
    let end = Instant::now() + Duration::from_secs(60 * search.minutes);
    let (mut count, mut passed) = (0, true);
    while Instant::now() < end {
        let seeds: Vec<u64> = (0..jobs).map(|_| rand::random()).collect();
        let reports = batch::run_pairs(&seeds, jobs, |report| {
            if !report.invariants_hold() {
                print(report);
            }
        });
        count += reports.len();
        passed &= reports.iter().all(Report::invariants_hold);
    }
    println!("{count} pairs of fresh seeds; all hold: {passed}");
    passed
}

fn print(report: &Report) {
    println!("{}", render::line(report));
}

fn summary(reports: &[Report]) -> bool {
    let count = |of: fn(&&Report) -> bool| reports.iter().filter(of).count();
    let separate = |r: &&Report| r.passes() && r.reached.contains(&Reached::Separate);
    println!(
        "{} of {} runs without a violation, {} of them at every step ({} apart)",
        count(|r| r.invariants_hold()),
        reports.len(),
        count(|r| r.passes()),
        reports.iter().filter(separate).count(),
    );
    reports
        .iter()
        .all(|r| r.invariants_hold() && (r.injections.len() > 1 || r.passes()))
}
