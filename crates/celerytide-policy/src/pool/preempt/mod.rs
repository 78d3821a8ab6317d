//! Preemption: cancels running work of a lower tier for a request of a higher tier that is about to miss its deadline.
//! Tiers with smaller numbers are higher.
//!
//! The victim belongs to the lowest tier that has resumable work in flight beyond its guaranteed share of the slots. It
//! is the permit of its class that was granted last, which loses the least work.

use celerytide_types::{BootTime, PermitId};

use super::Pool;
use crate::options::DeliberateFault;
use crate::request::{PermitRequest, PermitRequestId};

/// Upper bound on the requests that one decision considers from each of the two lists of deadlines, and on the permits of
/// a class that it inspects.
const URGENT_MAX: usize = 32;

impl Pool {
    /// Returns a permit to cancel, and to resume elsewhere later, so that an urgent request of a higher tier gets its
    /// slot. The caller of this method cancels the work and then settles the permit as cancelled. Each permit is returned at most once.
    pub fn preempt(&mut self, now: BootTime) -> Option<PermitId> {
        if self.opts.baseline.is_some() || self.table.has_room() {
            return None;
        }
        let class = self.most_urgent_class(now)?;
        self.update_lags(now);
        // Preempts only for the class that is next: the freed slot would otherwise go to another class, possibly to the
        // one that lost it.
        if self.order().first() != Some(&class) {
            return None;
        }
        let permit = self.select_victim(class)?;
        self.unmark_resumable(permit);
        if let Some(active) = self.active_permits.get_mut(&permit) {
            self.preemptions_under_way += usize::from(!active.preempted);
            active.preempted = true;
        }
        Some(permit)
    }

    /// Highest class with a request that is about to miss its deadline and that no preemption under way will serve.
    fn most_urgent_class(&self, now: BootTime) -> Option<usize> {
        let soon = now.after(self.opts.preempt_lead);
        let urgent = self
            .deadlines
            .iter()
            .take_while(|&&(deadline, _)| deadline <= soon)
            .take(URGENT_MAX);
        let grant_deadlines = self
            .grant_deadlines
            .iter()
            .take_while(|&&(grant_by, _)| grant_by <= soon);
        let mut urgent: Vec<PermitRequestId> = grant_deadlines
            .take(URGENT_MAX)
            .chain(urgent)
            .map(|&(_, id)| id)
            .collect();
        urgent.sort_unstable();
        urgent.dedup();
        let class_of = |id| self.waiting.get(id).map(|queued| queued.class);
        let mut classes: Vec<usize> = urgent.iter().filter_map(class_of).collect();
        classes.sort_by_key(|&class| self.classes[class].rank());
        classes.get(self.preemptions_under_way).copied()
    }

    /// Selects the permit to cancel for the next request of this class.
    fn select_victim(&self, class: usize) -> Option<PermitId> {
        if self.opts.fault == Some(DeliberateFault::PreemptAny) {
            let mut running: Vec<PermitId> = self.active_permits.keys().copied().collect();
            running.sort_unstable();
            return running.first().copied();
        }
        let (_, id) = self.classes[class].queue.peek()?;
        let next = NextRequest {
            id,
            req: &self.waiting.get(&id)?.req,
        };
        let tier = self.classes[class].plan.tier;
        let lower = self.classes_by_rank.iter().rev().copied();
        let lower = lower.take_while(|&other| self.classes[other].plan.tier > tier);
        for victim in lower.filter(|&other| self.runs_beyond_share(other)) {
            // After the loss of a slot this class would be due and get the slot back. The classes that remain rank above
            // it, and their work isn't preempted before its own.
            if self.would_be_due(victim) {
                return None;
            }
            if let Some(permit) = self.latest_permit(victim, &next) {
                return Some(permit);
            }
        }
        None
    }

    fn runs_beyond_share(&self, class: usize) -> bool {
        let class = &self.classes[class];
        let entitled = class.share * self.table.capacity() as f64;
        class.in_flight as f64 > entitled + 1.0
    }

    /// The most recently granted permit of a class whose end makes room for the request.
    fn latest_permit(&self, class: usize, next: &NextRequest) -> Option<PermitId> {
        let avoided = self.avoided_endpoints(next.req);
        let latest = self.classes[class].resumable.iter().rev().map(|&(_, permit)| permit);
        let frees = |permit: &PermitId| {
            let idx = self.active_permits.get(permit).map(|active| active.endpoint);
            idx.is_some_and(|idx| {
                !avoided.contains(&idx) && self.end_frees_slot(idx) && self.fits(next.id, next.req, idx)
            })
        };
        latest.take(URGENT_MAX).find(frees)
    }

    /// Whether the end of one permit frees a slot. On an endpoint over its limit it frees none.
    fn end_frees_slot(&self, idx: usize) -> bool {
        let endpoint = self.table.get(idx).filter(|endpoint| endpoint.accepts_requests());
        endpoint.is_some_and(|endpoint| endpoint.in_flight <= self.table.limit(idx))
    }
}

/// The request that would get the freed slot. If it didn't fit there, the slot would go to work of a lower tier
/// again.
struct NextRequest<'a> {
    id: PermitRequestId,
    req: &'a PermitRequest,
}
