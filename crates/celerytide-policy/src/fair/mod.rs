//! Weighted fair queueing between customers, so that one customer's backlog doesn't delay the others.
//!
//! This is start-time fair queueing: each customer has a start tag that advances by cost over weight whenever it is
//! served, and the customer with the smallest tag is served next. A customer that returns after an idle time starts at
//! the queue's virtual time, so it can't accumulate credit; one that left with a tag ahead of the virtual time keeps it
//! as a debt. Items of one customer are served in their own order, which callers base on the deadline.

use std::collections::BTreeSet;

use ahash::AHashMap;
use celerytide_types::CustomerId;

/// Fixed-point scale of virtual times and relative lengths: a cost of one adds this to a customer of weight one.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;
/// Outdated start tags are removed only when at least this many are stored.
const SWEEP_MIN_START_TAGS: usize = 1024;

/// A queue that serves customers by weight and the items of each customer in their order.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    virtual_time: u64,
    queues: Vec<CustomerQueue<T>>,
    free_queues: Vec<usize>,
    by_customer: AHashMap<CustomerId, usize>,
    by_start_tag: BTreeSet<(u64, usize)>,
    by_length: BTreeSet<(u64, usize)>,
    saved_start_tags: AHashMap<CustomerId, u64>,
    sweep_at: usize,
    len: usize,
}

#[derive(Debug, Clone)]
struct CustomerQueue<T> {
    customer: CustomerId,
    weight: u64,
    start_tag: u64,
    items: BTreeSet<T>,
}

impl<T> CustomerQueue<T> {
    fn length(&self) -> u64 {
        relative_length(self.items.len(), self.weight)
    }
}

impl<T: Ord + Copy> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            virtual_time: 0,
            queues: Vec::new(),
            free_queues: Vec::new(),
            by_customer: AHashMap::new(),
            by_start_tag: BTreeSet::new(),
            by_length: BTreeSet::new(),
            saved_start_tags: AHashMap::new(),
            sweep_at: SWEEP_MIN_START_TAGS,
            len: 0,
        }
    }
}

impl<T: Ord + Copy> FairQueue<T> {
    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of customers with queued items.
    pub fn customer_count(&self) -> usize {
        self.by_start_tag.len()
    }

    /// Number of queued items of one customer.
    pub fn len_of(&self, customer: &str) -> usize {
        let idx = self.by_customer.get(customer);
        idx.map_or(0, |&idx| self.queues[idx].items.len())
    }

    /// Adds an item of a customer. A weight of zero counts as one, the weight given last applies to all items of the
    /// customer, and an item that is queued already is ignored.
    pub fn push(&mut self, customer: &str, weight: u32, item: T) {
        let idx = match self.by_customer.get(customer) {
            Some(&idx) => idx,
            None => self.insert_customer(customer),
        };
        self.unindex(idx);
        self.queues[idx].weight = u64::from(weight.max(1));
        if self.queues[idx].items.insert(item) {
            self.len += 1;
        }
        self.index_or_remove(idx);
    }

    /// Returns the item that is served next.
    pub fn peek(&self) -> Option<T> {
        let &(_, idx) = self.by_start_tag.first()?;
        self.queues[idx].items.first().copied()
    }

    /// Removes the next item and charges its customer `cost`.
    pub fn pop(&mut self, cost: u64) -> Option<T> {
        let &(_, idx) = self.by_start_tag.first()?;
        let item = self.queues[idx].items.first().copied()?;
        self.take_item(idx, &item, cost);
        Some(item)
    }

    /// Removes this item regardless of its turn and charges its customer `cost`. Returns whether it was queued.
    pub fn pop_item(&mut self, customer: &str, item: &T, cost: u64) -> bool {
        match self.by_customer.get(customer) {
            Some(&idx) => self.take_item(idx, item, cost),
            None => false,
        }
    }

    /// Removes an item without a charge. Returns whether it was queued.
    pub fn remove(&mut self, customer: &str, item: &T) -> bool {
        let Some(&idx) = self.by_customer.get(customer) else {
            return false;
        };
        self.unindex(idx);
        let removed = self.queues[idx].items.remove(item);
        self.len -= usize::from(removed);
        self.index_or_remove(idx);
        removed
    }

    /// Replaces an earlier charge of `charged` by the actual `cost`. The start tag of a customer with queued items
    /// never falls below the virtual time.
    pub fn correct(&mut self, customer: &str, weight: u32, charged: u64, cost: u64) {
        let unit = |cost: u64| cost * VIRTUAL_TIME_SCALE / u64::from(weight.max(1));
        let fix = |start_tag: u64| start_tag.saturating_sub(unit(charged)).saturating_add(unit(cost));
        if let Some(&idx) = self.by_customer.get(customer) {
            self.unindex(idx);
            self.queues[idx].start_tag = fix(self.queues[idx].start_tag).max(self.virtual_time);
            self.index_or_remove(idx);
            return;
        }
        let start_tag = self
            .saved_start_tags
            .get(customer)
            .copied()
            .unwrap_or(self.virtual_time);
        self.save_start_tag(customer.to_owned(), fix(start_tag));
    }

    /// Returns the item to refuse first when the queue is full: the last one of the customer with the most items relative
    /// to its weight.
    pub fn last_of_longest(&self) -> Option<T> {
        let &(_, idx) = self.by_length.last()?;
        self.queues[idx].items.last().copied()
    }

    /// Whether one more item would make this customer's queue the longest relative to its weight; a tie
    /// counts too.
    pub fn would_be_longest(&self, customer: &str, weight: u32) -> bool {
        let longest = self.by_length.last().map_or(0, |&(length, _)| length);
        relative_length(self.len_of(customer) + 1, u64::from(weight.max(1))) >= longest
    }

    /// Iterates over all items in no particular order.
    pub fn items(&self) -> impl Iterator<Item = T> + '_ {
        self.queues.iter().flat_map(|queue| queue.items.iter().copied())
    }

    fn take_item(&mut self, idx: usize, item: &T, cost: u64) -> bool {
        if !self.queues[idx].items.contains(item) {
            return false;
        }
        self.unindex(idx);
        let queue = &mut self.queues[idx];
        queue.items.remove(item);
        self.len -= 1;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag = queue
            .start_tag
            .saturating_add(cost.max(1) * VIRTUAL_TIME_SCALE / queue.weight);
        self.index_or_remove(idx);
        true
    }

    fn insert_customer(&mut self, customer: &str) -> usize {
        let saved_start_tag = self.saved_start_tags.remove(customer).unwrap_or(0);
        let queue = CustomerQueue {
            customer: customer.to_owned(),
            weight: 1,
            start_tag: saved_start_tag.max(self.virtual_time),
            items: BTreeSet::new(),
        };
        let idx = match self.free_queues.pop() {
            Some(idx) => {
                self.queues[idx] = queue;
                idx
            }
            None => {
                self.queues.push(queue);
                self.queues.len() - 1
            }
        };
        self.by_customer.insert(customer.to_owned(), idx);
        idx
    }

    fn unindex(&mut self, idx: usize) {
        let queue = &self.queues[idx];
        self.by_start_tag.remove(&(queue.start_tag, idx));
        self.by_length.remove(&(queue.length(), idx));
    }

    /// Adds a customer to the indices, or removes it if it has no items left.
    fn index_or_remove(&mut self, idx: usize) {
        let queue = &mut self.queues[idx];
        if !queue.items.is_empty() {
            self.by_start_tag.insert((queue.start_tag, idx));
            self.by_length.insert((queue.length(), idx));
            return;
        }
        let customer = std::mem::take(&mut queue.customer);
        let start_tag = queue.start_tag;
        self.by_customer.remove(&customer);
        self.free_queues.push(idx);
        self.save_start_tag(customer, start_tag);
    }

    fn save_start_tag(&mut self, customer: CustomerId, start_tag: u64) {
        if start_tag <= self.virtual_time {
            self.saved_start_tags.remove(&customer);
            return;
        }
        self.saved_start_tags.insert(customer, start_tag);
        if self.saved_start_tags.len() >= self.sweep_at {
            let virtual_time = self.virtual_time;
            self.saved_start_tags.retain(|_, start_tag| *start_tag > virtual_time);
            self.sweep_at = (self.saved_start_tags.len() * 2).max(SWEEP_MIN_START_TAGS);
        }
    }
}

/// Number of items per weight, scaled by [`VIRTUAL_TIME_SCALE`].
fn relative_length(items: usize, weight: u64) -> u64 {
    items as u64 * VIRTUAL_TIME_SCALE / weight
}
