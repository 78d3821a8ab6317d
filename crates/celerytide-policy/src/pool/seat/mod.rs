//! Seats in the bounded queue.
//!
//! Each class keeps as many seats as its guaranteed share of the queue; the other seats are common. A class that has
//! taken its own seats competes for the common ones, and where these are full the lowest tier's excess is shed first.
//! So no ask of a higher tier is shed while lower work beyond its share waits, and no share is pushed out.

use celerytide_types::BootTime;

use super::Pool;
use crate::ask::{AskId, Refusal};
use crate::options::DeliberateFault;

/// What has to happen so that a newcomer gets a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Seat {
    /// One is free.
    Free,
    /// This ask has to go.
    Shed(AskId, Refusal),
    /// There is none.
    None,
}

impl Pool {
    /// Finds a seat for an ask of this class and customer.
    pub(super) fn seat(&self, class: usize, customer: &str) -> Seat {
        let seats = self.seats();
        let has_own = self.classes[class].queue.len() < self.own_seats(class);
        if has_own || self.common_taken() < self.common_seats() {
            return Seat::Free;
        }
        let Some(lowest) = self.lowest_with_excess(seats) else {
            return Seat::None;
        };
        let (lowest_rank, rank) = (self.classes[lowest].rank(), self.classes[class].rank());
        if lowest_rank.0 > rank.0 || self.opts.fault == Some(DeliberateFault::ShedHighest) {
            return self.seat_of(lowest, Refusal::ShedForHigherTier);
        }
        if lowest != class && lowest_rank > rank {
            return self.seat_of(lowest, Refusal::QueueFull);
        }
        if lowest != class
            || self.classes[class]
                .queue
                .would_be_longest(customer, self.weight(customer))
        {
            return Seat::None;
        }
        self.seat_of(class, Refusal::QueueFull)
    }

    /// Frees the seat that [`Pool::seat`] named; says whether there is one.
    pub(super) fn clear(&mut self, now: BootTime, seat: Seat) -> bool {
        match seat {
            Seat::Free => true,
            Seat::None => false,
            Seat::Shed(id, why) => {
                self.shed(now, id, why);
                true
            }
        }
    }

    fn seat_of(&self, class: usize, why: Refusal) -> Seat {
        let last = self.classes[class].queue.last_of_longest();
        last.map_or(Seat::None, |(_, id)| Seat::Shed(id, why))
    }

    fn seats(&self) -> usize {
        self.opts.max_queued.max(1)
    }

    fn own_seats(&self, class: usize) -> usize {
        crate::plan::reserved_seats(self.classes[class].share, self.seats())
    }

    fn common_seats(&self) -> usize {
        let own: usize = (0..self.classes.len()).map(|class| self.own_seats(class)).sum();
        self.seats().saturating_sub(own)
    }

    fn common_taken(&self) -> usize {
        let seats = self.seats();
        self.classes.iter().map(|class| class.excess(seats)).sum()
    }

    fn lowest_with_excess(&self, seats: usize) -> Option<usize> {
        let mut with_excess = self
            .ranked
            .iter()
            .copied()
            .filter(|&at| self.classes[at].excess(seats) > 0);
        if self.opts.fault == Some(DeliberateFault::ShedHighest) {
            return with_excess.next();
        }
        with_excess.next_back()
    }
}
