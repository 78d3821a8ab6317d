//! The `celerytide` command line, for operators and for authors of manifests and settings.
//!
//! `check` checks files and `split` writes some; `status`, `audit` and `explain` query daemons at their operators'
//! addresses. Each command prints text for people or, with `--json`, one JSON value for scripts, and ends with a
//! documented [`Exit`] code.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod args;
mod audit;
mod check;
mod exit;
mod explain;
mod output;
mod query;
mod split;
mod status;
mod version;

use std::io::{ErrorKind, Write};

pub use args::{Args, Command};
pub use exit::Exit;

/// Name of the command in help texts.
const COMMAND: &str = "celerytide";

/// Runs the command line `args`, which doesn't include the command's own name.
pub fn run(args: &[&str], out: &mut impl Write, err: &mut impl Write) -> Exit {
    let command = match args::parse(COMMAND, args) {
        Ok(command) => command,
        Err(reason) => return print_no_command(&reason, out, err),
    };
    let result = match command {
        Command::Check(cmd) => check::run(&cmd, out, err),
        Command::Split(cmd) => split::run(&cmd, out, err),
        Command::Status(cmd) => status::run(&cmd, out, err),
        Command::Audit(cmd) => audit::run(&cmd, out, err),
        Command::Explain(cmd) => explain::run(&cmd, out, err),
        Command::Version(cmd) => version::run(&cmd, out),
    };
    match result {
        Ok(exit) => exit,
        // A reader that closes the pipe early, such as `head`, is not an error.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Fine,
        Err(error) => print_no_command(&args::NoCommand::Usage(error.to_string()), out, err),
    }
}

fn print_no_command(reason: &args::NoCommand, out: &mut impl Write, err: &mut impl Write) -> Exit {
    let (text, exit) = match reason {
        args::NoCommand::Help(text) => (write!(out, "{text}"), Exit::Fine),
        args::NoCommand::Usage(text) => (writeln!(err, "{}", text.trim_end()), Exit::Usage),
    };
    text.map_or(exit, |()| exit)
}
