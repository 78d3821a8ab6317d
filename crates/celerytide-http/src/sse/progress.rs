//! Whether a stream whose bytes come brings its reader any further.

use std::time::Duration;

use celerytide_types::BootTime;

/// When a stream last brought an event.
#[derive(Debug, Clone, Copy)]
pub struct StallTimer {
    bound: Duration,
    since: BootTime,
}

impl StallTimer {
    /// A stream that starts now and has to bring an event within `bound`, again and again.
    pub fn new(bound: Duration, now: BootTime) -> StallTimer {
        StallTimer { bound, since: now }
    }

    /// An event with data came.
    pub fn event(&mut self, now: BootTime) {
        self.since = now;
    }

    /// Whether bytes that came since the last event were too few, or too long on their way, for another one. Asked when
    /// bytes come: silence has bounds of its own.
    pub fn is_stalled(&self, now: BootTime) -> bool {
        now.since(self.since) > self.bound
    }
}
