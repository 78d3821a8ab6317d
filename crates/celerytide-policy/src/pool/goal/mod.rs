//! Goals: until when an ask has to be granted so that its first token can come within its class's target.
//!
//! A caller may wait longer than its target, which helps where an owner changes or endpoints are cold. Under overload it
//! only delays everybody: an ask that can't attain its target takes the slot of one that could. So an ask whose goal passes,
//! or can't be reached at the pace at which its class is granted, is refused at once while its class is under pressure.

use std::time::Duration;

use celerytide_types::BootTime;

use super::Pool;
use crate::ask::{Ask, AskId, Refusal};

/// Part of a target that is kept for the time from the grant to the first token, at most.
pub(crate) const RESERVE_MAX: f64 = 0.5;
/// Weight of the newest time from a grant to its first token.
const RESERVE_GAIN: f64 = 0.05;
/// The reserve in mean times from a grant to its first token.
const RESERVE_FACTOR: f64 = 1.5;
/// Part of the time that is left which a newcomer's expected wait may take.
const WAIT_ADMITTED: f64 = 0.8;
/// The same for an ask that is queued already.
const WAIT_KEPT: f64 = 1.0;
/// Shortest time between two looks at the ends of queues.
const LOOK: Duration = Duration::from_millis(20);
/// Asks of a class that one look refuses at most.
const REFUSED_MAX: usize = 4;

impl Pool {
    /// Until when the ask has to be granted; none where its target has passed already, as that of resumed work has.
    pub(super) fn goal(&self, now: BootTime, class: usize, ask: &Ask) -> Option<BootTime> {
        let class = &self.classes[class];
        let target = class.plan.first_token;
        let reserve = Duration::from_secs_f64((class.first_seconds * RESERVE_FACTOR).max(0.0));
        let reserve = reserve.min(target.mul_f64(RESERVE_MAX));
        let goal = ask.arrived.after(target - reserve);
        (goal > now && self.opts.baseline.is_none()).then_some(goal.min(ask.deadline))
    }

    /// Takes in the time from a grant to its first token.
    pub(super) fn learn_first(&mut self, class: Option<usize>, took: Duration) {
        let Some(class) = class else { return };
        let class = &mut self.classes[class];
        class.first_seconds += (took.as_secs_f64() - class.first_seconds) * RESERVE_GAIN;
    }

    /// Refuses asks whose goal has passed, where the class is under pressure; elsewhere they may wait for their deadline.
    pub(super) fn pass_goals(&mut self, now: BootTime) {
        while let Some(&(goal, id)) = self.goals.first() {
            if goal > now {
                break;
            }
            self.goals.pop_first();
            let Some(queued) = self.asks.get_mut(&id) else { continue };
            queued.goal = None;
            let class = queued.class;
            if self.is_pressed(now, class) {
                self.shed(now, id, Refusal::DeadlineUnreachable);
            }
        }
        if now.since(self.last_look) >= LOOK {
            self.last_look = now;
            (0..self.classes.len()).for_each(|class| self.look_at_end(now, class));
        }
    }

    /// Whether the class has waited for long enough that its pace is known.
    fn is_pressed(&self, now: BootTime, class: usize) -> bool {
        self.opts.baseline.is_none() && self.classes[class].pace.per_second(now).is_some() && self.drain.is_known()
    }

    /// Refuses asks at the end of the longest queue of a class that can't be reached in time any more.
    fn look_at_end(&mut self, now: BootTime, class: usize) {
        for _ in 0..REFUSED_MAX {
            let Some((_, id)) = self.classes[class].queue.last_of_longest() else {
                return;
            };
            if !self.is_pressed(now, class) || !self.is_out_of_reach(now, class, id) {
                return;
            }
            self.shed(now, id, Refusal::DeadlineUnreachable);
        }
    }

    fn is_out_of_reach(&self, now: BootTime, class: usize, id: AskId) -> bool {
        let Some(queued) = self.asks.get(&id) else { return false };
        let Some(goal) = queued.goal else { return false };
        let wait = self.expected_wait(now, class, &queued.ask.customer);
        wait.is_some_and(|wait| now.after(wait.mul_f64(WAIT_KEPT)) > goal)
    }

    /// Whether a newcomer's expected wait is too long for its goal, or for its deadline where it has no goal.
    pub(super) fn is_hopeless(&self, now: BootTime, class: usize, ask: &Ask) -> bool {
        let Some(wait) = self.expected_wait(now, class, &ask.customer) else {
            return false;
        };
        match self.goal(now, class, ask).filter(|_| self.is_pressed(now, class)) {
            Some(goal) => wait > goal.since(now).mul_f64(WAIT_ADMITTED),
            None => now.after(wait) > ask.deadline,
        }
    }
}
