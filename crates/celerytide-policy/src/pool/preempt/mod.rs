//! Preemption: running work of a lower tier makes room for an ask of a higher tier that is about to miss its deadline.
//!
//! The victim is of the lowest tier that has resumable work in flight beyond its guaranteed share of the slots, and
//! is the latest granted of its class, which has the least to lose.

use celerytide_types::{BootTime, PermitId};

use super::Pool;
use crate::ask::{Ask, AskId};
use crate::options::DeliberateFault;

/// Urgent asks that one decision looks at.
const URGENT_MAX: usize = 32;

impl Pool {
    /// A running permit to cancel and resume elsewhere later, so that an urgent ask of a higher tier gets its slot.
    /// Settle it as cancelled once it has ended. Each permit is named at most once.
    pub fn preempt(&mut self, now: BootTime) -> Option<PermitId> {
        if self.opts.baseline.is_some() || self.table.has_room() {
            return None;
        }
        let class = self.most_urgent_class(now)?;
        self.accrue(now);
        // Else the slot would go to another class, and perhaps back to the one that lost it.
        if self.order().first() != Some(&class) {
            return None;
        }
        let permit = self.victim(class)?;
        self.unlist(permit);
        if let Some(flight) = self.flights.get_mut(&permit) {
            self.preempting += usize::from(!flight.preempted);
            flight.preempted = true;
        }
        Some(permit)
    }

    /// Class of the highest tier with an ask that is about to miss its deadline and for which nothing was preempted yet.
    fn most_urgent_class(&self, now: BootTime) -> Option<usize> {
        let soon = now.after(self.opts.preempt_lead);
        let urgent = self
            .deadlines
            .iter()
            .take_while(|&&(deadline, _)| deadline <= soon)
            .take(URGENT_MAX);
        let goals = self.goals.iter().take_while(|&&(goal, _)| goal <= soon);
        let mut urgent: Vec<AskId> = goals.take(URGENT_MAX).chain(urgent).map(|&(_, id)| id).collect();
        urgent.sort_unstable();
        urgent.dedup();
        let class_of = |id| self.asks.get(id).map(|queued| queued.class);
        let mut classes: Vec<usize> = urgent.iter().filter_map(class_of).collect();
        classes.sort_by_key(|&class| self.classes[class].rank());
        classes.get(self.preempting).copied()
    }

    /// The permit to cancel for the ask that is next in this class.
    fn victim(&self, class: usize) -> Option<PermitId> {
        if self.opts.fault == Some(DeliberateFault::PreemptAny) {
            let mut running: Vec<PermitId> = self.flights.keys().copied().collect();
            running.sort_unstable();
            return running.first().copied();
        }
        let (_, id) = self.classes[class].queue.peek()?;
        let next = Next {
            id,
            ask: &self.asks.get(&id)?.ask,
        };
        let tier = self.classes[class].plan.tier;
        let below = self.ranked.iter().rev().copied();
        let below = below.take_while(|&class| self.classes[class].plan.tier > tier);
        for class in below.filter(|&class| self.runs_beyond_share(class)) {
            // Its share would give it the slot back; and no higher work goes before it.
            if self.would_be_due(class) {
                return None;
            }
            if let Some(permit) = self.latest(class, &next) {
                return Some(permit);
            }
        }
        None
    }

    fn runs_beyond_share(&self, class: usize) -> bool {
        let class = &self.classes[class];
        let kept = class.share * self.table.capacity() as f64;
        class.in_flight as f64 > kept + 1.0
    }

    /// The latest granted permit of a class whose end makes room for the ask.
    fn latest(&self, class: usize, next: &Next) -> Option<PermitId> {
        let avoids = self.avoids(next.ask);
        let latest = self.classes[class].resumable.iter().rev().map(|&(_, permit)| permit);
        let frees = |permit: &PermitId| {
            let at = self.flights.get(permit).map(|flight| flight.endpoint);
            at.is_some_and(|at| !avoids.contains(&at) && self.frees_room(at) && self.fits(next.id, next.ask, at))
        };
        latest.take(URGENT_MAX).find(frees)
    }

    fn frees_room(&self, at: usize) -> bool {
        let endpoint = self.table.get(at).filter(|endpoint| endpoint.is_open());
        endpoint.is_some_and(|endpoint| endpoint.in_flight <= self.table.limit(at))
    }
}

/// The ask that would get the freed slot. If it didn't fit there, the slot would go to lower work again.
struct Next<'a> {
    id: AskId,
    ask: &'a Ask,
}
