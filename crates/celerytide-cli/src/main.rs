//! The `celerytide` binary.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let exit = celerytide_cli::run(&args, &mut io::stdout().lock(), &mut io::stderr().lock());
    ExitCode::from(exit.code())
}
