//! Lines to standard output that never block: what doesn't fit in the pipe is dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

use nix::fcntl::{FcntlArg, OFlag, fcntl};

/// Lines that were dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

pub(super) fn set_nonblocking() -> nix::Result<()> {
    let out = io::stdout();
    let flags = OFlag::from_bits_truncate(fcntl(&out, FcntlArg::F_GETFL)?);
    fcntl(&out, FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
    Ok(())
}

/// Writes each line with one call.
pub(super) struct Lines;

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
