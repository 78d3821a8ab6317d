//! Ways to split a customer's limit among entries.

use std::time::Duration;

use ahash::AHashMap;
use celerytide_types::{BootTime, CustomerId, InstanceId, rendezvous_weight};

use super::Seen;

/// Part of a customer's rate that no entry is denied, whatever it saw.
const SHARE_FLOOR: f64 = 0.1;
/// Time over which requests are averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of the newest window.
const RATE_GAIN: f64 = 0.5;
/// Rate under which a customer is forgotten, in requests a second.
const RATE_FORGOTTEN: f64 = 0.01;

/// Where a customer's limit is kept.
#[derive(Debug, Clone, PartialEq)]
pub enum Place {
    /// Here, to this fraction.
    Here {
        /// Fraction of the whole limit.
        share: f64,
    },
    /// Wholly at another entry.
    At(InstanceId),
}

/// How a customer's limit is split among entries.
pub trait Split {
    /// A request of the customer arrived here.
    fn note(&mut self, now: BootTime, customer: &str);
    /// Where the customer's limit is kept.
    fn place(&self, now: BootTime, customer: &str) -> Place;
}

/// Every entry has the same part.
#[derive(Debug, Clone)]
pub struct EvenSplit {
    /// Entries that are live.
    pub entries: u32,
}

impl Split for EvenSplit {
    fn note(&mut self, _now: BootTime, _customer: &str) {}

    fn place(&self, _now: BootTime, _customer: &str) -> Place {
        let share = 1.0 / f64::from(self.entries.max(1));
        Place::Here { share }
    }
}

/// The whole limit is kept by one entry, which every entry names alike while their lists agree.
#[derive(Debug, Clone)]
pub struct OwnerSplit {
    /// This entry.
    pub own: InstanceId,
    /// Entries that are live, this one included.
    pub entries: Vec<InstanceId>,
}

impl Split for OwnerSplit {
    fn note(&mut self, _now: BootTime, _customer: &str) {}

    fn place(&self, _now: BootTime, customer: &str) -> Place {
        let owner = self
            .entries
            .iter()
            .max_by_key(|entry| rendezvous_weight(customer, entry));
        match owner {
            Some(owner) if *owner != self.own => Place::At(owner.clone()),
            _ => Place::Here { share: 1.0 },
        }
    }
}

/// Each entry has the part of the customer's requests that it sees, as far as peers told.
#[derive(Debug, Clone)]
pub struct ObservedSplit {
    entries: u32,
    own: AHashMap<CustomerId, Rate>,
    others: AHashMap<CustomerId, f64>,
}

#[derive(Debug, Clone)]
struct Rate {
    per_second: f64,
    pending: u32,
    since: BootTime,
}

impl ObservedSplit {
    /// Nothing was seen yet.
    pub fn new(entries: u32) -> ObservedSplit {
        ObservedSplit {
            entries: entries.max(1),
            own: AHashMap::new(),
            others: AHashMap::new(),
        }
    }

    /// Takes over the sum of what the other entries last said.
    pub fn hear(&mut self, entries: u32, others: impl IntoIterator<Item = Seen>) {
        self.entries = entries.max(1);
        self.others.clear();
        for seen in others {
            *self.others.entry(seen.customer).or_insert(0.0) += seen.per_second;
        }
    }

    /// What this entry has to say: the busiest `most` customers.
    pub fn tell(&mut self, now: BootTime, most: usize) -> Vec<Seen> {
        self.own
            .retain(|_, rate| rate.at(now) > RATE_FORGOTTEN || rate.pending > 0);
        let mut seen: Vec<Seen> = self
            .own
            .iter()
            .map(|(customer, rate)| Seen {
                customer: customer.clone(),
                per_second: rate.at(now),
            })
            .collect();
        seen.sort_by(|a, b| b.per_second.total_cmp(&a.per_second).then(a.customer.cmp(&b.customer)));
        seen.truncate(most);
        seen
    }
}

impl Split for ObservedSplit {
    fn note(&mut self, now: BootTime, customer: &str) {
        if let Some(rate) = self.own.get_mut(customer) {
            rate.add(now);
            return;
        }
        let rate = Rate {
            per_second: 0.0,
            pending: 1,
            since: now,
        };
        self.own.insert(customer.to_owned(), rate);
    }

    fn place(&self, now: BootTime, customer: &str) -> Place {
        let even = 1.0 / f64::from(self.entries);
        let own = self.own.get(customer).map_or(0.0, |rate| rate.at(now));
        let others = self.others.get(customer).copied().unwrap_or(0.0);
        let observed = if own + others > 0.0 { own / (own + others) } else { even };
        // A floor lets an entry that saw nothing yet begin; it is taken from what is split by observation.
        let share = SHARE_FLOOR * even + (1.0 - SHARE_FLOOR) * observed;
        Place::Here { share }
    }
}

impl Rate {
    fn add(&mut self, now: BootTime) {
        if now.since(self.since) >= RATE_WINDOW {
            self.per_second = self.at(now);
            self.pending = 0;
            self.since = now;
        }
        self.pending += 1;
    }

    /// The average as of now, with the window that is still open once that has lasted long enough.
    fn at(&self, now: BootTime) -> f64 {
        let span = now.since(self.since);
        if span < RATE_WINDOW {
            return self.per_second;
        }
        let sample = f64::from(self.pending) / span.as_secs_f64();
        let windows = span.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        let kept = (1.0 - RATE_GAIN).powf(windows);
        self.per_second * kept + sample * (1.0 - kept)
    }
}
