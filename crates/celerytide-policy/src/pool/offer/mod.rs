//! Admission: an ask is queued, or refused at once with a time to return.

use std::time::Duration;

use celerytide_types::BootTime;

use super::seat::Seat;
use super::{Pool, Queued};
use crate::ask::{Ask, AskId, Offer, Refusal, Refused};

/// How often endpoints are looked through for silence, in milliseconds.
const SWEEP_MS: u64 = 1000;

impl Pool {
    /// Queues an ask, or refuses it at once. Another ask may be shed for it: call [`Pool::expire`] after it.
    pub fn offer(&mut self, now: BootTime, ask: Ask) -> Offer {
        let id = self.next_ask;
        self.next_ask += 1;
        self.accrue(now);
        let class = self.by_class.get(&ask.class).copied();
        let Some(class) = class.filter(|&class| self.classes[class].planned) else {
            return Offer::Refused(self.refuse(now, id, None, Refusal::UnknownClass));
        };
        if let Some(why) = self.reject(now, class, &ask) {
            return Offer::Refused(self.refuse(now, id, Some(class), why));
        }
        let seat = match self.opts.baseline {
            Some(_) => self.plain_seat(),
            None => self.seat(class, &ask.customer),
        };
        if !self.clear(now, seat) {
            return Offer::Refused(self.refuse(now, id, Some(class), Refusal::QueueFull));
        }
        self.enqueue(now, id, class, ask);
        Offer::Queued(id)
    }

    /// Takes an ask out of the queue at its caller's wish; a refusal of it that is still due is dropped.
    pub fn withdraw(&mut self, now: BootTime, ask: AskId) {
        self.accrue(now);
        if self.take(ask).is_none() {
            self.shed.retain(|refused| refused.ask != ask);
        }
    }

    /// Refusals that are due: deadlines that passed, and asks that were shed since the last call.
    pub fn expire(&mut self, now: BootTime) -> Vec<Refused> {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.shed(now, id, Refusal::DeadlinePassed);
        }
        self.pass_goals(now);
        self.release_orphans(now);
        self.end_pauses(now);
        if now.since(self.last_sweep) >= Duration::from_millis(SWEEP_MS) {
            self.last_sweep = now;
            self.sweep(now);
        }
        std::mem::take(&mut self.shed)
    }

    /// When [`Pool::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<BootTime> {
        if !self.shed.is_empty() {
            return Some(BootTime::default());
        }
        let deadline = self.deadlines.first().map(|&(at, _)| at);
        let orphan = self.orphans.first().map(|&(at, _)| at);
        let pause = self.pauses.first().map(|&(at, _)| at);
        deadline.into_iter().chain(orphan).chain(pause).min()
    }

    /// Refuses everything that is queued, for an owner that stops or lost the pool. Work in flight goes on.
    pub fn refuse_all(&mut self, now: BootTime, why: Refusal) -> Vec<Refused> {
        let mut ids: Vec<AskId> = self.asks.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.shed(now, id, why);
        }
        std::mem::take(&mut self.shed)
    }

    fn reject(&self, now: BootTime, class: usize, ask: &Ask) -> Option<Refusal> {
        if ask.deadline <= now {
            return Some(Refusal::DeadlinePassed);
        }
        if self.table.open_count() == 0 {
            return Some(Refusal::NoEndpoint);
        }
        if self.opts.baseline.is_some() {
            return None;
        }
        let hopeless = self.is_hopeless(now, class, ask);
        hopeless.then_some(Refusal::DeadlineUnreachable)
    }

    /// Time until an ask of this class and customer would be granted; none where the drain rate isn't known.
    pub(super) fn expected_wait(&self, now: BootTime, class: usize, customer: &str) -> Option<Duration> {
        if self.asks.is_empty() && self.table.has_room() {
            return Some(Duration::ZERO);
        }
        let rate = self.drain.per_second(now, self.table.capacity())?;
        let own = self.ahead_inside(class, customer) as f64;
        if let Some(pace) = self.classes[class].pace.per_second(now) {
            return Some(Duration::from_secs_f64((own / pace).min(f64::from(u32::MAX))));
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

    /// Asks of the same class that are served before the next one of this customer.
    fn ahead_inside(&self, class: usize, customer: &str) -> usize {
        let queue = &self.classes[class].queue;
        let of_customer = queue.len_of(customer);
        let active = queue.customers() + usize::from(of_customer == 0);
        queue.len().min((of_customer + 1) * active)
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

    /// Asks that are served before a newcomer of this class.
    pub(super) fn ahead_of(&self, class: usize) -> usize {
        self.queued_above(class) + self.classes[class].queue.len()
    }

    fn enqueue(&mut self, now: BootTime, id: AskId, class: usize, ask: Ask) {
        let goal = self.goal(now, class, &ask);
        if let Some(goal) = goal {
            self.goals.insert((goal, id));
        }
        let weight = self.weight(&ask.customer);
        let queue = &mut self.classes[class].queue;
        queue.push(&ask.customer, weight, (ask.deadline, id));
        self.deadlines.insert((ask.deadline, id));
        self.asks.insert(id, Queued { ask, class, goal });
    }

    fn plain_seat(&self) -> Seat {
        if self.asks.len() < self.opts.max_queued {
            Seat::Free
        } else {
            Seat::None
        }
    }
}
