//! Weighted fairness between customers.
//!
//! Start-time fair queueing: each customer carries a virtual time that advances by cost over weight whenever it is
//! served, and the customer that is least advanced is served next. A customer that returns after an idle time starts
//! at the queue's virtual time, so it can't save up; one that left with a debt keeps it. Items of one customer go out
//! in their own order, which callers make the deadline.

use std::collections::BTreeSet;

use ahash::AHashMap;
use celerytide_types::CustomerId;

/// Virtual time that a cost of one adds to a customer of weight one.
const UNIT: u64 = 1 << 10;
/// Number of kept debts under which none is swept.
const DEBTS_MIN: usize = 1024;

/// A queue that serves customers by weight and each customer's items in their order.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    clock: u64,
    lanes: Vec<Lane<T>>,
    free: Vec<usize>,
    by_customer: AHashMap<CustomerId, usize>,
    by_time: BTreeSet<(u64, usize)>,
    by_length: BTreeSet<(u64, usize)>,
    debts: AHashMap<CustomerId, u64>,
    sweep_at: usize,
    len: usize,
}

#[derive(Debug, Clone)]
struct Lane<T> {
    customer: CustomerId,
    weight: u64,
    time: u64,
    items: BTreeSet<T>,
}

impl<T> Lane<T> {
    fn length(&self) -> u64 {
        relative_length(self.items.len(), self.weight)
    }
}

impl<T: Ord + Copy> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            clock: 0,
            lanes: Vec::new(),
            free: Vec::new(),
            by_customer: AHashMap::new(),
            by_time: BTreeSet::new(),
            by_length: BTreeSet::new(),
            debts: AHashMap::new(),
            sweep_at: DEBTS_MIN,
            len: 0,
        }
    }
}

impl<T: Ord + Copy> FairQueue<T> {
    /// Number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of customers that have items.
    pub fn customers(&self) -> usize {
        self.by_time.len()
    }

    /// Items of one customer.
    pub fn len_of(&self, customer: &str) -> usize {
        let at = self.by_customer.get(customer);
        at.map_or(0, |&at| self.lanes[at].items.len())
    }

    /// Adds an item of a customer. A weight of zero counts as one.
    pub fn push(&mut self, customer: &str, weight: u32, item: T) {
        let at = match self.by_customer.get(customer) {
            Some(&at) => at,
            None => self.open_lane(customer),
        };
        self.unlink(at);
        self.lanes[at].weight = u64::from(weight.max(1));
        if self.lanes[at].items.insert(item) {
            self.len += 1;
        }
        self.link(at);
    }

    /// The item that is served next.
    pub fn peek(&self) -> Option<T> {
        let &(_, at) = self.by_time.first()?;
        self.lanes[at].items.first().copied()
    }

    /// Takes the next item and charges its customer `cost`.
    pub fn pop(&mut self, cost: u64) -> Option<T> {
        let &(_, at) = self.by_time.first()?;
        let item = self.lanes[at].items.first().copied()?;
        self.serve(at, &item, cost);
        Some(item)
    }

    /// Takes this item whatever its turn and charges its customer `cost`; says whether it was there.
    pub fn pop_item(&mut self, customer: &str, item: &T, cost: u64) -> bool {
        match self.by_customer.get(customer) {
            Some(&at) => self.serve(at, item, cost),
            None => false,
        }
    }

    /// Takes an item out without charging for it; says whether it was there.
    pub fn remove(&mut self, customer: &str, item: &T) -> bool {
        let Some(&at) = self.by_customer.get(customer) else {
            return false;
        };
        self.unlink(at);
        let removed = self.lanes[at].items.remove(item);
        self.len -= usize::from(removed);
        self.link(at);
        removed
    }

    /// Corrects an earlier charge: `charged` was paid and `cost` was due.
    pub fn correct(&mut self, customer: &str, weight: u32, charged: u64, cost: u64) {
        let unit = |cost: u64| cost * UNIT / u64::from(weight.max(1));
        let fix = |time: u64| time.saturating_sub(unit(charged)).saturating_add(unit(cost));
        if let Some(&at) = self.by_customer.get(customer) {
            self.unlink(at);
            self.lanes[at].time = fix(self.lanes[at].time).max(self.clock);
            self.link(at);
            return;
        }
        let time = self.debts.get(customer).copied().unwrap_or(self.clock);
        self.keep_debt(customer.to_owned(), fix(time));
    }

    /// The last item of the customer that has the most items for its weight.
    pub fn last_of_longest(&self) -> Option<T> {
        let &(_, at) = self.by_length.last()?;
        self.lanes[at].items.last().copied()
    }

    /// Whether one more item would make this customer the longest.
    pub fn would_be_longest(&self, customer: &str, weight: u32) -> bool {
        let longest = self.by_length.last().map_or(0, |&(length, _)| length);
        relative_length(self.len_of(customer) + 1, u64::from(weight.max(1))) >= longest
    }

    /// Every item, in no order.
    pub fn items(&self) -> impl Iterator<Item = T> + '_ {
        self.lanes.iter().flat_map(|lane| lane.items.iter().copied())
    }

    fn serve(&mut self, at: usize, item: &T, cost: u64) -> bool {
        if !self.lanes[at].items.contains(item) {
            return false;
        }
        self.unlink(at);
        let lane = &mut self.lanes[at];
        lane.items.remove(item);
        self.len -= 1;
        self.clock = self.clock.max(lane.time);
        lane.time = lane.time.saturating_add(cost.max(1) * UNIT / lane.weight);
        self.link(at);
        true
    }

    fn open_lane(&mut self, customer: &str) -> usize {
        let debt = self.debts.remove(customer).unwrap_or(0);
        let lane = Lane {
            customer: customer.to_owned(),
            weight: 1,
            time: debt.max(self.clock),
            items: BTreeSet::new(),
        };
        let at = match self.free.pop() {
            Some(at) => {
                self.lanes[at] = lane;
                at
            }
            None => {
                self.lanes.push(lane);
                self.lanes.len() - 1
            }
        };
        self.by_customer.insert(customer.to_owned(), at);
        at
    }

    fn unlink(&mut self, at: usize) {
        let lane = &self.lanes[at];
        self.by_time.remove(&(lane.time, at));
        self.by_length.remove(&(lane.length(), at));
    }

    fn link(&mut self, at: usize) {
        let lane = &mut self.lanes[at];
        if !lane.items.is_empty() {
            self.by_time.insert((lane.time, at));
            self.by_length.insert((lane.length(), at));
            return;
        }
        let customer = std::mem::take(&mut lane.customer);
        let time = lane.time;
        self.by_customer.remove(&customer);
        self.free.push(at);
        self.keep_debt(customer, time);
    }

    fn keep_debt(&mut self, customer: CustomerId, time: u64) {
        if time <= self.clock {
            self.debts.remove(&customer);
            return;
        }
        self.debts.insert(customer, time);
        if self.debts.len() >= self.sweep_at {
            let clock = self.clock;
            self.debts.retain(|_, time| *time > clock);
            self.sweep_at = (self.debts.len() * 2).max(DEBTS_MIN);
        }
    }
}

fn relative_length(items: usize, weight: u64) -> u64 {
    items as u64 * UNIT / weight
}
