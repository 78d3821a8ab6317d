//! Requests that wait for an engine, in order of urgency, then of the time left.
//!
//! Those that can't meet their latency target any more come behind others of the same urgency: their responses are late in
//! any case, and serving them first would make further ones late.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use celerytide_types::BootTime;

use super::ledger::FlightKey;
use super::messages::{IdHash, PlaceRequest};

/// Most requests that wait in one group.
const MAX_WAITING: usize = 1024;
/// Share of the queue that one customer may fill.
const CUSTOMER_SHARE: f64 = 0.5;
/// Time after which a request that wasn't asked for again is dropped: its instance asks several times within it unless it
/// ended or placed the request otherwise.
const MAX_UNASKED: Duration = Duration::from_secs(1);

/// Place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    urgency: u16,
    is_late: bool,
    deadline: BootTime,
    key: FlightKey,
}

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The instance and its number of the request.
    pub key: FlightKey,
    /// The request.
    pub request: PlaceRequest,
    /// Since when it waits.
    pub since: BootTime,
    /// When it goes to the best engine whether or not that has room.
    pub place_anyway_at: BootTime,
    /// When its instance last asked for it.
    pub asked_at: BootTime,
    /// When its caller stops waiting.
    pub deadline: BootTime,
    /// Whether it can't meet its latency target any more.
    pub is_late: bool,
}

/// Requests of a group that wait.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Rank, Waiting>,
    ranks: HashMap<FlightKey, Rank>,
    by_place_anyway: BTreeSet<(BootTime, Rank)>,
    by_customer: HashMap<IdHash, usize>,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Whether this request waits.
    pub fn contains(&self, key: FlightKey) -> bool {
        self.ranks.contains_key(&key)
    }

    /// Records that an instance asked again; returns whether the request waits.
    pub fn note_asked(&mut self, key: FlightKey, now: BootTime) -> bool {
        let waiting = self.ranks.get(&key).and_then(|rank| self.waiting.get_mut(rank));
        waiting.map(|waiting| waiting.asked_at = now).is_some()
    }

    /// Whether a request of higher urgency waits.
    pub fn has_more_urgent(&self, urgency: u16) -> bool {
        self.waiting
            .first_key_value()
            .is_some_and(|(rank, _)| rank.urgency < urgency)
    }

    /// Prompt tokens of those that come before a new request of this urgency.
    pub fn tokens_ahead(&self, urgency: u16) -> u64 {
        let ahead = self.waiting.iter().take_while(|(rank, _)| rank.urgency <= urgency);
        let ahead = ahead.filter(|(rank, _)| rank.urgency < urgency || !rank.is_late);
        ahead.map(|(_, waiting)| u64::from(waiting.request.demand.tokens)).sum()
    }

    /// Whether another request of the customer may wait; 0 stands for requests without a customer.
    pub fn admits(&self, customer: IdHash) -> bool {
        let most = (MAX_WAITING as f64 * CUSTOMER_SHARE) as usize;
        let own = self.by_customer.get(&customer).copied().unwrap_or_default();
        let fits = customer == 0 || own < most;
        self.len() < MAX_WAITING && fits
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        self.remove(waiting.key);
        let rank = Rank {
            urgency: waiting.request.urgency,
            is_late: waiting.is_late,
            deadline: waiting.deadline,
            key: waiting.key,
        };
        *self.by_customer.entry(waiting.request.customer).or_default() += 1;
        self.ranks.insert(waiting.key, rank);
        self.by_place_anyway.insert((waiting.place_anyway_at, rank));
        self.waiting.insert(rank, waiting);
    }

    /// Removes a request.
    pub fn remove(&mut self, key: FlightKey) -> Option<Waiting> {
        let rank = self.ranks.remove(&key)?;
        let waiting = self.waiting.remove(&rank)?;
        self.by_place_anyway.remove(&(waiting.place_anyway_at, rank));
        let customer = waiting.request.customer;
        if let Some(count) = self.by_customer.get_mut(&customer) {
            *count -= 1;
            if *count == 0 {
                self.by_customer.remove(&customer);
            }
        }
        Some(waiting)
    }

    /// Moves a request that can't meet its latency target any more behind the others of its urgency.
    pub fn set_late(&mut self, key: FlightKey, place_anyway_at: BootTime) {
        if let Some(waiting) = self.remove(key) {
            self.push(Waiting {
                is_late: true,
                place_anyway_at,
                ..waiting
            });
        }
    }

    /// The first `most` requests in order, and as many of those that can still meet their target and whose
    /// `place_anyway_at` has come: they may be behind many that wait longer. Late ones wait for their turn, since placing
    /// all of them would overload the engines.
    pub fn to_try(&self, most: usize, now: BootTime) -> Vec<Waiting> {
        let due = self.by_place_anyway.iter().take_while(|(at, _)| *at <= now);
        let due = due.filter(|(_, rank)| !rank.is_late).take(most);
        let ranks: BTreeSet<&Rank> = self
            .waiting
            .keys()
            .take(most)
            .chain(due.map(|(_, rank)| rank))
            .collect();
        ranks
            .iter()
            .filter_map(|rank| self.waiting.get(rank))
            .cloned()
            .collect()
    }

    /// Drops requests that are no longer asked for.
    pub fn sweep(&mut self, now: BootTime) {
        let is_unasked = |waiting: &&Waiting| now.since(waiting.asked_at) > MAX_UNASKED;
        let unasked: Vec<FlightKey> = self
            .waiting
            .values()
            .filter(is_unasked)
            .map(|waiting| waiting.key)
            .collect();
        for key in unasked {
            self.remove(key);
        }
    }
}
