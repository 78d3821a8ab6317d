//! Command line of the capacity measurements.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::process::ExitCode;

use argh::FromArgs;
use celerytide_capacity::{change, customers, endpoints, idle, requests};

/// Slopes of processor time, memory and messages, measured on real processes on loopback.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Change(change::Options),
    Customers(customers::Options),
    Endpoints(endpoints::Options),
    Idle(idle::Options),
    Requests(requests::Options),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Change(options) => change::run(&options),
        Command::Customers(options) => customers::run(&options),
        Command::Endpoints(options) => endpoints::run(&options),
        Command::Idle(options) => idle::run(&options),
        Command::Requests(options) => requests::run(&options),
    };
    match done {
        Ok(report) => {
            report.print();
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("capacity: {e}");
            ExitCode::FAILURE
        }
    }
}
