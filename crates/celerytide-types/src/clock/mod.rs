//! A monotonic clock that includes suspended time, and wall-clock time for records.
//!
//! `Instant` stops while a machine is suspended, so that a resumed process would consider outdated state as fresh.
//! [`BootTime`] does not stop. Its values are only comparable within one process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A point in time as the duration since the machine booted, including suspended time (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates a point in time from the duration since boot; for tests and simulations.
    pub fn from_start(elapsed: Duration) -> BootTime {
        BootTime(elapsed)
    }

    /// Duration since the machine booted.
    pub fn since_start(self) -> Duration {
        self.0
    }

    /// Duration from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The point in time `duration` after `self`, saturating.
    pub fn after(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_add(duration))
    }
}

/// Returns the current [`BootTime`]; falls back to `CLOCK_MONOTONIC` if `CLOCK_BOOTTIME` can't be read.
pub fn now_boot() -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(at) => BootTime(Duration::from(at)),
        Err(_) => BootTime(monotonic_fallback()),
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. For records only: it can jump, so no decision may
/// depend on it.
pub fn now_unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis().try_into().unwrap_or(u64::MAX)
}

fn monotonic_fallback() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC)
        .map(Duration::from)
        .unwrap_or_default()
}
