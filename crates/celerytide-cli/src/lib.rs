//! The operators' and authors' command line.
//!
//! `check` reads files and `split` writes some; `status`, `audit` and `explain` ask daemons at their operators' addresses. Each prints text for
//! people or, with `--json`, one JSON value for scripts, and ends with a documented [`Exit`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod args;
mod ask;
mod audit;
mod check;
mod exit;
mod explain;
mod show;
mod split;
mod status;
mod version;

use std::io::{ErrorKind, Write};

pub use args::{Args, Command};
pub use exit::Exit;

/// The command's name, as help texts show it.
const COMMAND: &str = "celerytide";

/// Runs the command line `args`, without the command's own name.
pub fn run(args: &[&str], out: &mut impl Write, err: &mut impl Write) -> Exit {
    let command = match args::parse(COMMAND, args) {
        Ok(command) => command,
        Err(stop) => return say(&stop, out, err),
    };
    let done = match command {
        Command::Check(cmd) => check::run(&cmd, out, err),
        Command::Split(cmd) => split::run(&cmd, out, err),
        Command::Status(cmd) => status::run(&cmd, out, err),
        Command::Audit(cmd) => audit::run(&cmd, out, err),
        Command::Explain(cmd) => explain::run(&cmd, out, err),
        Command::Version(cmd) => version::run(&cmd, out),
    };
    match done {
        Ok(exit) => exit,
        // A reader that leaves early, such as `head`, is no fault of the command.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Fine,
        Err(error) => say(&args::Stop::Usage(error.to_string()), out, err),
    }
}

fn say(stop: &args::Stop, out: &mut impl Write, err: &mut impl Write) -> Exit {
    let (text, exit) = match stop {
        args::Stop::Help(text) => (write!(out, "{text}"), Exit::Fine),
        args::Stop::Usage(text) => (writeln!(err, "{}", text.trim_end()), Exit::Usage),
    };
    text.map_or(exit, |()| exit)
}
