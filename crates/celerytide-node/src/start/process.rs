//! The `main` of a daemon: reads settings, starts logging and the runtime, returns the exit code.

use std::fs;
use std::process::ExitCode;

use celerytide_kernel::{Kernel, logs};
use celerytide_manifest::{Fault, LogFormat, LogLevel, LogSettings};
use monoio::{LegacyDriver, RuntimeBuilder};
use snafu::ResultExt;

use super::{Error, LogsSnafu, ReadSnafu, RuntimeSnafu};

/// Exit code after faulty settings or a failed start.
const EXIT_START_FAILED: u8 = 2;

/// Reads and checks the settings in `file`, then runs `daemon` on one thread until it ends.
///
/// `log_settings` picks the log settings. Returns 0 after a graceful stop, the daemon's code after a forced one, and 2
/// if it could not start.
pub fn run_process<S>(
    file: &str,
    check: impl Fn(&str, &str) -> Result<S, Vec<Fault>>,
    log_settings: impl Fn(&S) -> LogSettings,
    daemon: impl AsyncFnOnce(Kernel, S) -> Result<ExitCode, Error>,
) -> ExitCode {
    let result = load_settings(file, check, log_settings).and_then(|settings| block_on(settings, daemon));
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn load_settings<S>(
    file: &str,
    check: impl Fn(&str, &str) -> Result<S, Vec<Fault>>,
    log_settings: impl Fn(&S) -> LogSettings,
) -> Result<S, Error> {
    let text = fs::read_to_string(file).context(ReadSnafu { file })?;
    let settings = check(file, &text).map_err(|faults| Error::Settings { faults })?;
    let log = log_settings(&settings);
    let format = match log.format {
        LogFormat::Text => logs::Format::Text,
        LogFormat::Json => logs::Format::Json,
    };
    logs::init(format, level_name(log.level)).context(LogsSnafu)?;
    Ok(settings)
}

fn block_on<S>(settings: S, daemon: impl AsyncFnOnce(Kernel, S) -> Result<ExitCode, Error>) -> Result<ExitCode, Error> {
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = built.context(RuntimeSnafu)?;
    runtime.block_on(daemon(Kernel::new(), settings))
}

fn level_name(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    }
}
