//! Guaranteed shares of slot time, which keep lower tiers from starving.
//!
//! While a class has queued requests, its lag grows with time and shrinks by the ratio of the slots that it holds to
//! the slots that its share entitles it to. The lag is thus the time for which it lacked its whole share. A class is
//! due, and is served before all classes that aren't, while it holds at least one whole slot less than its share, or
//! while its lag has reached [`DUE_SECONDS`] and it holds no more than [`CATCH_UP_FACTOR`] allows. A share of less than
//! one slot is spread over time: when a grant that was made for the share ends, its class is charged for the time that
//! it held the slot beyond the share.

use celerytide_types::BootTime;

use super::Pool;
use super::permit::ActivePermit;

/// Lag in seconds from which a class is due: a fortieth of the ten seconds over which a share has to be kept.
pub(crate) const DUE_SECONDS: f64 = 0.25;
/// Slots that a lagging class may hold, as a multiple of its entitlement, rounded up.
const CATCH_UP_FACTOR: f64 = 1.25;
/// Upper bound on a lag, in seconds.
pub(crate) const LAG_SECONDS_MAX: f64 = 60.0;
/// Longest time in seconds for which a charge keeps a class from being due.
pub(crate) const DEBT_SECONDS_MAX: f64 = 10.0;

/// Whether a class that holds `held` slots could hold one more within the `entitled` slots of its share.
pub(crate) fn lacks_slot(held: u64, entitled: f64) -> bool {
    (held + 1) as f64 <= entitled
}

/// Whether a lagging class may hold one more slot.
pub(crate) fn may_catch_up(held: u64, entitled: f64) -> bool {
    (held as f64) < (entitled * CATCH_UP_FACTOR).ceil()
}

impl Pool {
    /// Brings the lag of every class up to date. Call it before anything that the lag depends on changes.
    pub(super) fn update_lags(&mut self, now: BootTime) {
        let seconds = now.since(self.lags_updated_at).as_secs_f64();
        self.lags_updated_at = self.lags_updated_at.max(now);
        let held = self.held as f64;
        for class in &mut self.classes {
            let waits = !class.queue.is_empty();
            class.grant_rate.set_waiting(now, waits);
            let entitled = class.share * held;
            class.lag = match waits && entitled > 0.0 {
                true => {
                    let lag = class.lag + seconds * (1.0 - class.held as f64 / entitled);
                    lag.clamp(class.lag.min(0.0), LAG_SECONDS_MAX)
                }
                // A class without queued requests earns nothing, but its debt decreases.
                false if waits => class.lag,
                false => (class.lag + seconds).min(0.0),
            };
        }
    }

    /// Lag in seconds of a class that is due; zero for a class that isn't.
    pub(super) fn due_lag(&self, class: usize) -> f64 {
        self.due_lag_with(class, self.classes[class].held)
    }

    /// Whether a class would be due without one of its permits, so that it would get the freed slot back.
    pub(super) fn would_be_due(&self, class: usize) -> bool {
        let held = self.classes[class].held.saturating_sub(1);
        self.due_lag_with(class, held) > 0.0
    }

    fn due_lag_with(&self, class: usize, held: u64) -> f64 {
        let class = &self.classes[class];
        let entitled = class.share * (self.held + 1) as f64;
        if lacks_slot(held, entitled) {
            return class.lag.max(DUE_SECONDS);
        }
        let catches_up = class.lag >= DUE_SECONDS && may_catch_up(held, entitled);
        if catches_up { class.lag } else { 0.0 }
    }

    /// Counts a permit as holding a slot.
    pub(super) fn count_held(&mut self, class: Option<usize>) {
        self.held += 1;
        if let Some(class) = class {
            self.classes[class].held += 1;
        }
    }

    /// Removes a permit from those that hold a slot.
    pub(super) fn uncount_held(&mut self, class: Option<usize>) {
        self.held -= 1;
        if let Some(class) = class {
            self.classes[class].held -= 1;
        }
    }

    /// Charges a class whose share is less than one slot for a grant that was made for the share and has ended.
    pub(super) fn charge_for_share(&mut self, now: BootTime, active: &ActivePermit) {
        let Some(class) = active
            .class
            .filter(|_| active.is_share_grant && active.orphaned.is_none())
        else {
            return;
        };
        let slots = self.table.capacity().max(self.held + 1);
        let class = &mut self.classes[class];
        let entitled = class.share * slots as f64;
        if entitled > 0.0 && entitled < 1.0 {
            let beyond = now.since(active.granted).as_secs_f64() * (1.0 / entitled - 1.0);
            let lag = (class.lag.max(0.0) - beyond).max(-DEBT_SECONDS_MAX);
            class.lag = class.lag.min(lag);
        }
    }
}
