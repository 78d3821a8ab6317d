//! Runs one stand-in until the process is killed.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::process::ExitCode;

use argh::FromArgs;
use celerytide_standin::{config, daemon, engine, plain, relay};

/// Stand-ins for what the platform gives.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(engine::Options),
    Plain(plain::Options),
    Config(config::Options),
    Relay(relay::Options),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Engine(options) => daemon::run(options.listen, || engine::Engine::start(&options)),
        Command::Plain(options) => daemon::run(options.listen, || Ok(plain::PlainService::new(&options))),
        Command::Config(options) => daemon::run(options.listen, || config::ConfigService::open(&options)),
        Command::Relay(options) => daemon::run(options.listen, || relay::Relay::open(&options)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}
