//! Non-blocking writes of log lines to standard output: a line that doesn't fit into the pipe is dropped and counted,
//! so that a slow log reader can't stall the process.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

use nix::fcntl::{FcntlArg, OFlag, fcntl};

/// Number of lines dropped since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

pub(super) fn set_nonblocking() -> nix::Result<()> {
    let out = io::stdout();
    let flags = OFlag::from_bits_truncate(fcntl(&out, FcntlArg::F_GETFL)?);
    fcntl(&out, FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
    Ok(())
}

/// Writes each line with a single system call.
pub(super) struct NonblockingStdout;

impl Write for NonblockingStdout {
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
