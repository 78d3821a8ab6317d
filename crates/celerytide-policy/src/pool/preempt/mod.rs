//! Preemption: running work of a lower tier makes room for an ask of a higher tier that is about to miss its deadline.
//!
//! The victim is of the lowest tier that has resumable work in flight beyond its guaranteed share of the slots, and
//! is the latest granted of its class, which has the least to lose.

use celerytide_types::{Boot, PermitId, Tier};

use super::Pool;
use crate::options::DeliberateFault;

/// Urgent asks that one decision looks at.
const URGENT_MAX: usize = 32;

impl Pool {
    /// A running permit to cancel and resume elsewhere later, so that an urgent ask of a higher tier gets its slot.
    /// Settle it as cancelled once it has ended. Each permit is named at most once.
    pub fn preempt(&mut self, now: Boot) -> Option<PermitId> {
        if self.opts.baseline.is_some() || self.table.has_room() {
            return None;
        }
        let tier = self.most_urgent_tier(now)?;
        let permit = self.victim(tier)?;
        self.unlist(permit);
        if let Some(flight) = self.flights.get_mut(&permit) {
            self.preempting += usize::from(!flight.preempted);
            flight.preempted = true;
        }
        Some(permit)
    }

    /// Highest tier with an ask that is about to miss its deadline and for which nothing was preempted yet.
    fn most_urgent_tier(&self, now: Boot) -> Option<Tier> {
        let soon = now.after(self.opts.preempt_lead);
        let urgent = self
            .deadlines
            .iter()
            .take_while(|&&(deadline, _)| deadline <= soon)
            .take(URGENT_MAX);
        let class_of = |id| self.asks.get(id).map(|queued| queued.class);
        let mut tiers: Vec<Tier> = urgent
            .filter_map(|(_, id)| class_of(id))
            .map(|class| self.classes[class].plan.tier)
            .collect();
        tiers.sort_unstable();
        tiers.get(self.preempting).copied()
    }

    fn victim(&self, tier: Tier) -> Option<PermitId> {
        if self.opts.fault == Some(DeliberateFault::PreemptAny) {
            let mut running: Vec<PermitId> = self.flights.keys().copied().collect();
            running.sort_unstable();
            return running.first().copied();
        }
        let below = self.ranked.iter().rev().copied();
        let below = below.take_while(|&class| self.classes[class].plan.tier > tier);
        below
            .filter(|&class| self.runs_beyond_share(class))
            .find_map(|class| self.latest(class))
    }

    fn runs_beyond_share(&self, class: usize) -> bool {
        let class = &self.classes[class];
        let kept = class.share * self.table.capacity() as f64;
        class.in_flight as f64 > kept + 1.0
    }

    /// The latest granted permit of the class whose end makes room.
    fn latest(&self, class: usize) -> Option<PermitId> {
        let latest = self.classes[class].resumable.iter().rev().map(|&(_, permit)| permit);
        let frees = |permit: &PermitId| {
            let flight = self.flights.get(permit);
            flight.is_some_and(|flight| self.frees_room(flight.endpoint))
        };
        latest.take(URGENT_MAX).find(frees)
    }

    fn frees_room(&self, at: usize) -> bool {
        let endpoint = self.table.get(at).filter(|endpoint| endpoint.is_open());
        endpoint.is_some_and(|endpoint| endpoint.in_flight <= self.table.limit(at))
    }
}
