//! Guaranteed shares, counted in slot time.
//!
//! While a class waits, its lag grows by the time that passes and falls by the slot time that it holds over the slot
//! While a class waits, its lag grows by the time that passes and falls by the slot time that it holds over the slot
//! time that its share gives it: the lag is the time for which it lost its whole share. A class is due, and goes before
//! all that aren't, while it holds a whole slot less than its share, or while its lag has reached [`DUE_SECONDS`] and it
//! holds no more than [`CATCH_UP`] allows. A share under one slot is paced: a grant that was made for the share is paid,
//! at its end, by the time that it held a slot beyond the share.

use celerytide_types::BootTime;

use super::Pool;
use super::flight::Flight;

/// Lag from which a class is due, in seconds. A fortieth of the ten seconds in which a share has to be kept.
pub(crate) const DUE_SECONDS: f64 = 0.25;
/// Slots that a class with a lag may hold, in parts of its share, rounded up.
const CATCH_UP: f64 = 1.25;
/// Greatest lag that is told apart, in seconds.
pub(crate) const LAG_SECONDS_MAX: f64 = 60.0;
/// Longest time for which a paid grant keeps its class from being due, in seconds.
pub(crate) const PAID_SECONDS_MAX: f64 = 10.0;

/// Whether a class that holds `held` slots could hold one more within the `kept` slots of its share.
pub(crate) fn lacks_slot(held: u64, kept: f64) -> bool {
    (held + 1) as f64 <= kept
}

/// Whether a class with a lag may hold one slot more.
pub(crate) fn may_catch_up(held: u64, kept: f64) -> bool {
    (held as f64) < (kept * CATCH_UP).ceil()
}

impl Pool {
    /// Brings every class's lag up to date. To be called before what it counts changes.
    pub(super) fn accrue(&mut self, now: BootTime) {
        let seconds = now.since(self.accrued).as_secs_f64();
        self.accrued = self.accrued.max(now);
        let held = self.held as f64;
        for class in &mut self.classes {
            let waits = !class.queue.is_empty();
            class.pace.note_waiting(now, waits);
            let kept = class.share * held;
            class.lag = match waits && kept > 0.0 {
                true => {
                    let lag = class.lag + seconds * (1.0 - class.held as f64 / kept);
                    lag.clamp(class.lag.min(0.0), LAG_SECONDS_MAX)
                }
                // Nothing is earned, but what was paid wears off.
                false if waits => class.lag,
                false => (class.lag + seconds).min(0.0),
            };
        }
    }

    /// Lag of a class that is due, in seconds; zero for one that isn't.
    pub(super) fn due(&self, class: usize) -> f64 {
        self.due_at(class, self.classes[class].held)
    }

    /// Whether a class would be due if one of its permits were taken from it; that permit's slot would go back to it.
    pub(super) fn would_be_due(&self, class: usize) -> bool {
        let held = self.classes[class].held.saturating_sub(1);
        self.due_at(class, held) > 0.0
    }

    fn due_at(&self, class: usize, held: u64) -> f64 {
        let class = &self.classes[class];
        let kept = class.share * (self.held + 1) as f64;
        if lacks_slot(held, kept) {
            return class.lag.max(DUE_SECONDS);
        }
        let catches_up = class.lag >= DUE_SECONDS && may_catch_up(held, kept);
        if catches_up { class.lag } else { 0.0 }
    }

    /// Counts a permit as holding a slot.
    pub(super) fn hold(&mut self, class: Option<usize>) {
        self.held += 1;
        if let Some(class) = class {
            self.classes[class].held += 1;
        }
    }

    /// Takes a permit out of those that hold a slot.
    pub(super) fn unhold(&mut self, class: Option<usize>) {
        self.held -= 1;
        if let Some(class) = class {
            self.classes[class].held -= 1;
        }
    }

    /// A grant for a share under one slot ended: its class paid for it with the time that it held the slot.
    pub(super) fn pay(&mut self, now: BootTime, flight: &Flight) {
        let Some(class) = flight.class.filter(|_| flight.by_share && flight.orphaned.is_none()) else {
            return;
        };
        let slots = self.table.capacity().max(self.held + 1);
        let class = &mut self.classes[class];
        let kept = class.share * slots as f64;
        if kept > 0.0 && kept < 1.0 {
            let beyond = now.since(flight.granted).as_secs_f64() * (1.0 / kept - 1.0);
            let lag = (class.lag.max(0.0) - beyond).max(-PAID_SECONDS_MAX);
            class.lag = class.lag.min(lag);
        }
    }
}
