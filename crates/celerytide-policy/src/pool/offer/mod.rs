//! Offering requests to the queue: a request is queued, or refused at once with a retry delay.

use std::time::Duration;

use celerytide_types::BootTime;

use super::admission::Admission;
use super::{Pool, QueuedRequest};
use crate::request::{Offer, PermitRequest, PermitRequestId, Refusal, Refused};

/// Time between two checks of endpoints for inactivity, in milliseconds.
const SWEEP_MS: u64 = 1000;

impl Pool {
    /// Queues a request, or refuses it at once. Another request may be shed for it, so call [`Pool::expire`]
    /// afterwards.
    pub fn offer(&mut self, now: BootTime, req: PermitRequest) -> Offer {
        let id = self.next_req;
        self.next_req += 1;
        self.update_lags(now);
        let class = self.class_indices.get(&req.class).copied();
        let Some(class) = class.filter(|&class| self.classes[class].is_planned) else {
            return Offer::Refused(self.refuse(now, id, None, Refusal::UnknownClass));
        };
        if let Some(refused) = self.refuse_withheld(now, id, class, &req) {
            return Offer::Refused(refused);
        }
        if let Some(cause) = self.reject(now, class, &req) {
            return Offer::Refused(self.refuse(now, id, Some(class), cause));
        }
        let admission = match self.opts.baseline {
            Some(_) => self.plain_admission(),
            None => self.admission(class, &req.customer),
        };
        if !self.make_room(now, admission) {
            return Offer::Refused(self.refuse(now, id, Some(class), Refusal::QueueFull));
        }
        self.enqueue(now, id, class, req);
        Offer::Queued(id)
    }

    /// Removes a request from the queue at its caller's wish, and drops a refusal that has not been returned yet.
    pub fn withdraw(&mut self, now: BootTime, req: PermitRequestId) {
        self.update_lags(now);
        if self.dequeue(req).is_none() {
            self.refusals.retain(|refused| refused.req != req);
        }
    }

    /// Returns the refusals since the last call: requests whose deadline has passed and requests that were shed.
    pub fn expire(&mut self, now: BootTime) -> Vec<Refused> {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.shed(now, id, Refusal::DeadlinePassed);
        }
        self.shed_missed_targets(now);
        self.release_orphans(now);
        self.end_backoffs(now);
        if now.since(self.last_sweep) >= Duration::from_millis(SWEEP_MS) {
            self.last_sweep = now;
            self.sweep(now);
        }
        std::mem::take(&mut self.refusals)
    }

    /// Time at which [`Pool::expire`] has to be called next.
    pub fn next_expiry(&self) -> Option<BootTime> {
        if !self.refusals.is_empty() {
            return Some(BootTime::default());
        }
        let deadline = self.deadlines.first().map(|&(at, _)| at);
        let orphan = self.orphans.first().map(|&(at, _)| at);
        let backoff = self.backoffs.first().map(|&(at, _)| at);
        deadline.into_iter().chain(orphan).chain(backoff).min()
    }

    /// Refuses all queued requests, for an owner that stops or loses the pool. Permits in flight continue.
    pub fn refuse_all(&mut self, now: BootTime, cause: Refusal) -> Vec<Refused> {
        let mut ids: Vec<PermitRequestId> = self.waiting.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.shed(now, id, cause);
        }
        std::mem::take(&mut self.refusals)
    }

    fn reject(&self, now: BootTime, class: usize, req: &PermitRequest) -> Option<Refusal> {
        if req.deadline <= now {
            return Some(Refusal::DeadlinePassed);
        }
        if self.table.open_count() == 0 {
            return Some(Refusal::NoEndpoint);
        }
        if self.opts.baseline.is_some() {
            return None;
        }
        let unreachable = self.is_unreachable(now, class, req);
        unreachable.then_some(Refusal::DeadlineUnreachable)
    }

    /// Expected time until a request of this class and customer is granted, or `None` if the drain rate is unknown.
    pub(super) fn expected_wait(&self, now: BootTime, class: usize, customer: &str) -> Option<Duration> {
        if self.waiting.is_empty() && self.table.has_room() {
            return Some(Duration::ZERO);
        }
        let rate = self.drain.per_second(now, self.table.capacity())?;
        let own = self.ahead_inside(class, customer) as f64;
        if let Some(grant_rate) = self.classes[class].grant_rate.per_second(now) {
            return Some(Duration::from_secs_f64((own / grant_rate).min(f64::from(u32::MAX))));
        }
        let higher = self.queued_above(class) as f64;
        let rest = 1.0 - self.shares_below(class);
        let by_rank = (own + higher) / (rate * rest.max(0.01));
        let share = self.classes[class].share;
        let by_share = if share > 0.0 {
            own / (rate * share)
        } else {
            f64::INFINITY
        };
        let seconds = by_rank.min(by_share).min(f64::from(u32::MAX));
        Some(Duration::from_secs_f64(seconds))
    }

    /// Number of requests of the same class that are served before the next one of this customer.
    fn ahead_inside(&self, class: usize, customer: &str) -> usize {
        let queue = &self.classes[class].queue;
        let of_customer = queue.len_of(customer);
        let customers = queue.customer_count() + usize::from(of_customer == 0);
        queue.len().min((of_customer + 1) * customers)
    }

    fn queued_above(&self, class: usize) -> usize {
        let rank = self.classes[class].rank();
        let above = self.classes.iter().filter(|other| other.rank() < rank);
        above.map(|other| other.queue.len()).sum()
    }

    fn shares_below(&self, class: usize) -> f64 {
        let rank = self.classes[class].rank();
        let below = self
            .classes
            .iter()
            .filter(|other| other.rank() > rank && !other.queue.is_empty());
        below.map(|other| other.share).sum()
    }

    /// Number of requests that are served before a new one of this class.
    pub(super) fn ahead_of(&self, class: usize) -> usize {
        self.queued_above(class) + self.classes[class].queue.len()
    }

    fn enqueue(&mut self, now: BootTime, id: PermitRequestId, class: usize, req: PermitRequest) {
        let grant_by = self.grant_by(now, class, &req);
        if let Some(grant_by) = grant_by {
            self.grant_deadlines.insert((grant_by, id));
        }
        let weight = self.weight(&req.customer);
        let queue = &mut self.classes[class].queue;
        queue.push(&req.customer, weight, (req.deadline, id));
        self.deadlines.insert((req.deadline, id));
        self.waiting.insert(id, QueuedRequest { req, class, grant_by });
    }

    fn plain_admission(&self) -> Admission {
        if self.waiting.len() < self.opts.max_queued {
            Admission::Accept
        } else {
            Admission::Reject
        }
    }
}
