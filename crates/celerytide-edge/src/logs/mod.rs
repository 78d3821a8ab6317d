//! Log lines to standard output that never block: what doesn't fit in the pipe is dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

use nix::fcntl::{FcntlArg, OFlag, fcntl};
use snafu::{ResultExt, Snafu};
use tracing_subscriber::EnvFilter;

/// Lines that were dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Logging can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The level is not known.
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

/// Starts logging at `level`.
pub fn init(level: &str) -> Result<(), Error> {
    if let Err(error) = set_nonblocking() {
        eprintln!("logs: standard output stays blocking: {error}");
    }
    let directives = format!("{level},h2=warn,monoio=warn,monoio_http=warn");
    let filter = EnvFilter::try_new(directives).context(LevelSnafu { level })?;
    let base = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(|| Lines)
        .with_target(false)
        .json()
        .flatten_event(true);
    base.try_init().map_err(|_| Error::Started)
}

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn set_nonblocking() -> nix::Result<()> {
    let out = io::stdout();
    let flags = OFlag::from_bits_truncate(fcntl(&out, FcntlArg::F_GETFL)?);
    fcntl(&out, FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
    Ok(())
}

/// Writes each line with one call.
struct Lines;

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match nix::unistd::write(io::stdout(), line) {
            Ok(n) if n == line.len() => {}
            _ => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
