//! Structured logging to standard error, or to standard output without blocking.

mod stdout;

pub use stdout::dropped_lines;

use snafu::{ResultExt, Snafu};
use stdout::NonblockingStdout;
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Why logging could not be initialized.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The level is unknown.
    #[snafu(display("logs: unknown level {level}"))]
    Level {
        /// The given level.
        level: String,
        /// Error of the filter parser.
        source: tracing_subscriber::filter::ParseError,
    },
    /// A subscriber is already installed.
    #[snafu(display("logs: already started"))]
    Started,
}

/// Starts logging to standard error at `level` (`error`, `warn`, `info`, `debug` or `trace`).
pub fn init(format: Format, level: &str) -> Result<(), Error> {
    let base = tracing_subscriber::fmt()
        .with_env_filter(filter(level)?)
        .with_writer(std::io::stderr)
        .with_target(false);
    let started = match format {
        Format::Text => base.with_ansi(false).try_init(),
        Format::Json => base.json().flatten_event(true).try_init(),
    };
    started.map_err(|_| Error::Started)
}

/// Starts logging to standard output at `level`, one JSON object per line. A line that doesn't fit into the pipe at
/// once is dropped and counted in [`dropped_lines`].
pub fn init_nonblocking(level: &str) -> Result<(), Error> {
    if let Err(error) = stdout::set_nonblocking() {
        eprintln!("logs: standard output stays blocking: {error}");
    }
    let base = tracing_subscriber::fmt()
        .with_env_filter(filter(level)?)
        .with_writer(|| NonblockingStdout)
        .with_target(false)
        .json()
        .flatten_event(true);
    base.try_init().map_err(|_| Error::Started)
}

fn filter(level: &str) -> Result<EnvFilter, Error> {
    let directives = format!("{level},h2=warn,monoio=warn,monoio_http=warn");
    EnvFilter::try_new(directives).context(LevelSnafu { level })
}
