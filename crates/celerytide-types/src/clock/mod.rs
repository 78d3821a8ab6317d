//! A clock that counts suspended time, and wall time for records.
//!
//! `Instant` stops while a machine is suspended; a process that slept would find its views fresh. [`BootTime`] does not
//! stop. It is only compared inside one process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Time since the machine started, suspended time included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct BootTime(Duration);

impl BootTime {
    /// A point in time from its distance to the machine's start; for tests and simulations.
    pub fn from_start(since: Duration) -> BootTime {
        BootTime(since)
    }

    /// Distance to the machine's start.
    pub fn since_start(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The point `span` after `self`.
    pub fn after(self, span: Duration) -> BootTime {
        BootTime(self.0.saturating_add(span))
    }
}

/// Reads the clock that counts suspended time.
pub fn now_boot() -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(at) => BootTime(Duration::from(at)),
        Err(_) => BootTime(monotonic_fallback()),
    }
}

/// Milliseconds since the Unix epoch; for records only, never for decisions.
pub fn now_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis().try_into().unwrap_or(u64::MAX)
}

fn monotonic_fallback() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC)
        .map(Duration::from)
        .unwrap_or_default()
}
