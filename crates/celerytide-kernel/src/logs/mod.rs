//! Structured logs on standard error, or on standard output without ever blocking.

mod lines;

pub use lines::dropped_lines;

use lines::Lines;
use snafu::{ResultExt, Snafu};
use tracing_subscriber::EnvFilter;

/// How lines look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Why logging could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The level is not one that is known.
    #[snafu(display("logs: unknown level {level}"))]
    Level {
        /// What was given.
        level: String,
        /// The parser's error.
        source: tracing_subscriber::filter::ParseError,
    },
    /// A subscriber was installed before.
    #[snafu(display("logs: already started"))]
    Started,
}

/// Starts logging at `level` (`error`, `warn`, `info`, `debug`, `trace`).
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

/// Starts logging at `level` to standard output, one JSON object a line. A line that the reader can't take at once is
/// dropped and counted in [`dropped_lines`].
pub fn init_nonblocking(level: &str) -> Result<(), Error> {
    if let Err(error) = lines::set_nonblocking() {
        eprintln!("logs: standard output stays blocking: {error}");
    }
    let base = tracing_subscriber::fmt()
        .with_env_filter(filter(level)?)
        .with_writer(|| Lines)
        .with_target(false)
        .json()
        .flatten_event(true);
    base.try_init().map_err(|_| Error::Started)
}

fn filter(level: &str) -> Result<EnvFilter, Error> {
    let directives = format!("{level},h2=warn,monoio=warn,monoio_http=warn");
    EnvFilter::try_new(directives).context(LevelSnafu { level })
}
