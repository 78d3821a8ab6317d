//! Rate at which a class is granted permits while it has queued requests.

use std::time::Duration;

use celerytide_types::BootTime;

/// Length of each of the two windows in which grants are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the grants to a class while it has queued requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct GrantRate {
    waiting_since: Option<BootTime>,
    start: BootTime,
    previous: u32,
    grants: u32,
}

impl GrantRate {
    /// Sets whether the class has queued requests from now on. A new wait resets the counts.
    pub fn set_waiting(&mut self, now: BootTime, waits: bool) {
        if !waits {
            self.waiting_since = None;
        } else if self.waiting_since.is_none() {
            *self = GrantRate {
                waiting_since: Some(now),
                start: now,
                ..GrantRate::default()
            };
        }
    }

    /// Counts a grant.
    pub fn record_grant(&mut self, now: BootTime) {
        let age = now.since(self.start);
        if age >= WINDOW {
            self.previous = if age < WINDOW * 2 { self.grants } else { 0 };
            self.grants = 0;
            self.start = if age < WINDOW * 2 {
                self.start.after(WINDOW)
            } else {
                now
            };
        }
        self.grants += 1;
    }

    /// Grants per second, or `None` unless the class waited throughout a window.
    pub fn per_second(&self, now: BootTime) -> Option<f64> {
        let waited = now.since(self.waiting_since?);
        if waited < WINDOW {
            return None;
        }
        let age = now.since(self.start).as_secs_f64();
        let window = WINDOW.as_secs_f64();
        let is_first_window = self.waiting_since == Some(self.start);
        let (grants, span) = match age < window && !is_first_window {
            true => (self.previous + self.grants, window + age),
            false => (self.grants, age.max(window)),
        };
        Some(f64::from(grants.max(1)) / span)
    }
}
