//! The `celerytide-entry SETTINGS` binary.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use argh::FromArgs;
use celerytide_entry::daemon;
use celerytide_manifest::check_entry_settings;
use celerytide_node::run_process;

/// Takes callers' requests and answers them.
#[derive(FromArgs)]
struct Args {
    /// path of the settings file (YAML)
    #[argh(positional)]
    settings: String,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    run_process(&args.settings, check_entry_settings, |s| s.log, daemon::run)
}
