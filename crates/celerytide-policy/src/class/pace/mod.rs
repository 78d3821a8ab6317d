//! How fast a class is granted while it waits.

use std::time::Duration;

use celerytide_types::BootTime;

/// Length of each of the two windows that grants are counted in.
const WINDOW: Duration = Duration::from_secs(1);

/// Grants to a class that waits.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pace {
    waits_since: Option<BootTime>,
    start: BootTime,
    before: u32,
    grants: u32,
}

impl Pace {
    /// Whether the class waits from now on.
    pub fn note_waiting(&mut self, now: BootTime, waits: bool) {
        if !waits {
            self.waits_since = None;
        } else if self.waits_since.is_none() {
            *self = Pace {
                waits_since: Some(now),
                start: now,
                ..Pace::default()
            };
        }
    }

    /// The class was granted a permit.
    pub fn note_grant(&mut self, now: BootTime) {
        let age = now.since(self.start);
        if age >= WINDOW {
            self.before = if age < WINDOW * 2 { self.grants } else { 0 };
            self.grants = 0;
            self.start = if age < WINDOW * 2 {
                self.start.after(WINDOW)
            } else {
                now
            };
        }
        self.grants += 1;
    }

    /// Grants a second; none unless the class waited throughout the window.
    pub fn per_second(&self, now: BootTime) -> Option<f64> {
        let waited = now.since(self.waits_since?);
        if waited < WINDOW {
            return None;
        }
        let age = now.since(self.start).as_secs_f64();
        let window = WINDOW.as_secs_f64();
        let begun_at_start = self.waits_since == Some(self.start);
        let (grants, span) = match age < window && !begun_at_start {
            true => (self.before + self.grants, window + age),
            false => (self.grants, age.max(window)),
        };
        Some(f64::from(grants.max(1)) / span)
    }
}
