//! `celerytide-dispatch SETTINGS`.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use argh::FromArgs;
use celerytide_dispatch::daemon;
use celerytide_manifest::check_dispatch_settings;
use celerytide_node::run_process;

/// Owns pools of endpoints and grants permits to entries.
#[derive(FromArgs)]
struct Args {
    /// path of the settings file (YAML)
    #[argh(positional)]
    settings: String,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    run_process(&args.settings, check_dispatch_settings, |s| s.log, daemon::run)
}
