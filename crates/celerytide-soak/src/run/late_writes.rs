//! Heartbeats that the store performs after their runner has left, and what follows them.

use std::time::{Duration, Instant};

use celerytide_standin::platform::Write;

use super::fleet::Fleet;
use crate::plan::{Departure, NEXT_HEARTBEAT};

/// What happens to an entry at a later time.
pub struct Due {
    at: Instant,
    event: Event,
}

enum Event {
    /// The store performs a write that was sent before.
    Late(Write),
    /// The runner's next heartbeat.
    Heartbeat(usize),
    /// The store drops an entry that nobody renews.
    Lapse(usize),
}

impl Fleet {
    /// A runner leaves; the store performs its heartbeat from before only after `late`.
    pub(super) fn leave_before_late_write(&mut self, index: usize, departure: Departure, late: Duration) {
        let heartbeat = self.send(index);
        let at = Instant::now() + late;
        if departure == Departure::Restarted {
            self.start_again(index);
        }
        self.set_leaving(index, true);
        let next = match departure {
            Departure::Removed => {
                self.delete_entry(index);
                Event::Lapse(index)
            }
            Departure::Reported | Departure::Restarted => {
                self.publish(index);
                Event::Heartbeat(index)
            }
        };
        self.due.push(Due {
            at,
            event: Event::Late(heartbeat),
        });
        self.due.push(Due {
            at: at + NEXT_HEARTBEAT,
            event: next,
        });
    }

    /// The runner is back; after its removal or restart it starts again.
    pub(super) fn return_after_late_write(&mut self, index: usize, departure: Departure) {
        if departure != Departure::Reported {
            self.start_again(index);
        }
        self.set_leaving(index, false);
        self.publish(index);
    }

    /// Does what is due.
    pub(super) fn perform_due(&mut self) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.due)
            .into_iter()
            .partition(|due: &Due| due.at <= now);
        self.due = later;
        for Due { event, .. } in due {
            match event {
                Event::Late(write) => self.perform(&write),
                Event::Heartbeat(index) => self.publish(index),
                Event::Lapse(index) => self.delete_entry(index),
            }
        }
    }
}
