//! Admission to the bounded queue.
//!
//! Each class has as many reserved places as its guaranteed share of the queue; all other places are shared. A class
//! that has filled its reserved places competes for the shared ones, and when these are full, requests beyond the share
//! of the lowest tier are shed first. So no request of a higher tier is shed while a lower tier holds more than its
//! share, and no request within its class's share is shed.

use celerytide_types::BootTime;

use super::Pool;
use crate::options::DeliberateFault;
use crate::request::{PermitRequestId, Refusal};

/// How a new request gets a place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// A place is free.
    Accept,
    /// This request has to be shed for the given cause.
    Evict(PermitRequestId, Refusal),
    /// There is no place for it.
    Reject,
}

impl Pool {
    /// Decides how a request of this class and customer gets a place.
    pub(super) fn admission(&self, class: usize, customer: &str) -> Admission {
        let queue_capacity = self.queue_capacity();
        let has_own = self.classes[class].queue.len() < self.reserved_places(class);
        if has_own || self.shared_in_use() < self.shared_places() {
            return Admission::Accept;
        }
        let Some(lowest) = self.lowest_class_with_excess(queue_capacity) else {
            return Admission::Reject;
        };
        let (lowest_rank, rank) = (self.classes[lowest].rank(), self.classes[class].rank());
        if lowest_rank.0 > rank.0 || self.opts.fault == Some(DeliberateFault::ShedHighest) {
            return self.evict_from(lowest, Refusal::ShedForHigherTier);
        }
        if lowest != class && lowest_rank > rank {
            return self.evict_from(lowest, Refusal::QueueFull);
        }
        if lowest != class
            || self.classes[class]
                .queue
                .would_be_longest(customer, self.weight(customer))
        {
            return Admission::Reject;
        }
        self.evict_from(class, Refusal::QueueFull)
    }

    /// Sheds the request that [`Pool::admission`] selected. Returns whether there is a place.
    pub(super) fn make_room(&mut self, now: BootTime, admission: Admission) -> bool {
        match admission {
            Admission::Accept => true,
            Admission::Reject => false,
            Admission::Evict(id, cause) => {
                self.shed(now, id, cause);
                true
            }
        }
    }

    fn evict_from(&self, class: usize, cause: Refusal) -> Admission {
        let last = self.classes[class].queue.last_of_longest();
        last.map_or(Admission::Reject, |(_, id)| Admission::Evict(id, cause))
    }

    fn queue_capacity(&self) -> usize {
        self.opts.max_queued.max(1)
    }

    fn reserved_places(&self, class: usize) -> usize {
        crate::plan::reserved_places(self.classes[class].share, self.queue_capacity())
    }

    fn shared_places(&self) -> usize {
        let own: usize = (0..self.classes.len()).map(|class| self.reserved_places(class)).sum();
        self.queue_capacity().saturating_sub(own)
    }

    fn shared_in_use(&self) -> usize {
        let queue_capacity = self.queue_capacity();
        self.classes.iter().map(|class| class.excess(queue_capacity)).sum()
    }

    fn lowest_class_with_excess(&self, queue_capacity: usize) -> Option<usize> {
        let mut with_excess = self
            .classes_by_rank
            .iter()
            .copied()
            .filter(|&idx| self.classes[idx].excess(queue_capacity) > 0);
        if self.opts.fault == Some(DeliberateFault::ShedHighest) {
            return with_excess.next();
        }
        with_excess.next_back()
    }
}
