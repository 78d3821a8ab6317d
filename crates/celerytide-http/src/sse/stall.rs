//! Detects a stream that keeps sending bytes but no events, for example only comments.

use std::time::Duration;

use celerytide_types::BootTime;

/// Time since the last event of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StallTimer {
    timeout: Duration,
    last_event: BootTime,
}

impl StallTimer {
    /// Starts the timer of a stream that must deliver an event at least every `timeout`.
    pub fn new(timeout: Duration, now: BootTime) -> StallTimer {
        StallTimer {
            timeout,
            last_event: now,
        }
    }

    /// Records the arrival of an event with data.
    pub fn reset(&mut self, now: BootTime) {
        self.last_event = now;
    }

    /// Whether no event arrived within the timeout. Meant to be checked when bytes arrive: a stream without any bytes is
    /// covered by other timeouts.
    pub fn is_stalled(&self, now: BootTime) -> bool {
        now.since(self.last_event) > self.timeout
    }
}
