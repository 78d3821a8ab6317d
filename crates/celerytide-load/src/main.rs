//! Command line of the load generator.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::process::ExitCode;

use argh::FromArgs;
use celerytide_load::{compare, demo, run};

/// Demonstration, comparison and load over stand-ins on loopback.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::Options),
    Run(run::Options),
    Compare(compare::Options),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Compare(options) => compare::run(&options).map_err(|e| e.to_string()),
        Command::Demo(options) => demo::run(&options).map_err(|e| e.to_string()),
        Command::Run(options) => run::run(&options).map_err(|e| e.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("load: {e}");
            ExitCode::FAILURE
        }
    }
}
