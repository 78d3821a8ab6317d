//! Grant deadlines: the time by which a request has to be granted so that its first token can meet its class's latency
//! target.
//!
//! A caller may wait longer than the target, which helps while a pool changes its owner or endpoints are cold. Under
//! overload this only delays everybody: a request that can't meet its target takes the slot of one that could. While
//! the grant rate of a class is known, that is, while the class has waited for some time, a request is therefore
//! refused at once if its grant deadline has passed or can't be met at that rate.

use std::time::Duration;

use celerytide_types::BootTime;

use super::Pool;
use crate::request::{PermitRequest, PermitRequestId, Refusal};

/// Largest part of a target that is reserved for the time from the grant to the first token.
pub(crate) const RESERVE_MAX: f64 = 0.5;
/// Weight of the newest sample in the average time from a grant to the first token.
const RESERVE_GAIN: f64 = 0.05;
/// Reserve as a multiple of the mean time from a grant to the first token.
const RESERVE_FACTOR: f64 = 1.5;
/// Part of the remaining time that the expected wait of a new request may take.
const WAIT_FRACTION_NEW: f64 = 0.8;
/// Part of the remaining time that the expected wait of a queued request may take.
const WAIT_FRACTION_QUEUED: f64 = 1.0;
/// Shortest time between two checks of the ends of queues.
const TAIL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound on the requests of a class that one check refuses.
const TAIL_SHED_MAX: usize = 4;

impl Pool {
    /// Time by which the request has to be granted to meet its target, or `None` if that has already passed, as for
    /// resumed work.
    pub(super) fn grant_by(&self, now: BootTime, class: usize, req: &PermitRequest) -> Option<BootTime> {
        let class = &self.classes[class];
        let target = class.plan.first_token;
        let reserve = Duration::from_secs_f64((class.first_token_seconds * RESERVE_FACTOR).max(0.0));
        let reserve = reserve.min(target.mul_f64(RESERVE_MAX));
        let grant_by = req.arrived.after(target - reserve);
        (grant_by > now && self.opts.baseline.is_none()).then_some(grant_by.min(req.deadline))
    }

    /// Records the time from a grant to the first token.
    pub(super) fn record_first_token_delay(&mut self, class: Option<usize>, elapsed: Duration) {
        let Some(class) = class else { return };
        let class = &mut self.classes[class];
        class.first_token_seconds += (elapsed.as_secs_f64() - class.first_token_seconds) * RESERVE_GAIN;
    }

    /// Refuses requests whose grant deadline has passed if the grant rate of their class is known; other requests may
    /// wait for their deadline.
    pub(super) fn shed_missed_targets(&mut self, now: BootTime) {
        while let Some(&(grant_by, id)) = self.grant_deadlines.first() {
            if grant_by > now {
                break;
            }
            self.grant_deadlines.pop_first();
            let Some(queued) = self.waiting.get_mut(&id) else {
                continue;
            };
            queued.grant_by = None;
            let class = queued.class;
            if self.has_known_rate(now, class) {
                self.shed(now, id, Refusal::DeadlineUnreachable);
            }
        }
        if now.since(self.last_tail_check) >= TAIL_CHECK_INTERVAL {
            self.last_tail_check = now;
            (0..self.classes.len()).for_each(|class| self.shed_unreachable_tail(now, class));
        }
    }

    /// Whether the class has waited long enough for its grant rate to be known.
    fn has_known_rate(&self, now: BootTime, class: usize) -> bool {
        self.opts.baseline.is_none()
            && self.classes[class].grant_rate.per_second(now).is_some()
            && self.drain.is_known()
    }

    /// Refuses requests at the end of a class's longest customer queue that can no longer be granted in time.
    fn shed_unreachable_tail(&mut self, now: BootTime, class: usize) {
        for _ in 0..TAIL_SHED_MAX {
            let Some((_, id)) = self.classes[class].queue.last_of_longest() else {
                return;
            };
            if !self.has_known_rate(now, class) || !self.cannot_meet_target(now, class, id) {
                return;
            }
            self.shed(now, id, Refusal::DeadlineUnreachable);
        }
    }

    fn cannot_meet_target(&self, now: BootTime, class: usize, id: PermitRequestId) -> bool {
        let Some(queued) = self.waiting.get(&id) else {
            return false;
        };
        let Some(grant_by) = queued.grant_by else { return false };
        let wait = self.expected_wait(now, class, &queued.req.customer);
        wait.is_some_and(|wait| now.after(wait.mul_f64(WAIT_FRACTION_QUEUED)) > grant_by)
    }

    /// Whether the expected wait of a new request is too long for its grant deadline, or for its deadline if it has no
    /// grant deadline.
    pub(super) fn is_unreachable(&self, now: BootTime, class: usize, req: &PermitRequest) -> bool {
        let Some(wait) = self.expected_wait(now, class, &req.customer) else {
            return false;
        };
        match self
            .grant_by(now, class, req)
            .filter(|_| self.has_known_rate(now, class))
        {
            Some(grant_by) => wait > grant_by.since(now).mul_f64(WAIT_FRACTION_NEW),
            None => now.after(wait) > req.deadline,
        }
    }
}
