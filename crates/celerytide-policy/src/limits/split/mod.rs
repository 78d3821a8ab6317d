//! Strategies that split a customer's limit among entry processes.

use std::time::Duration;

use ahash::AHashMap;
use celerytide_types::{BootTime, CustomerId, InstanceId, rendezvous_weight};

use super::CustomerRate;

/// Part of the even share that every entry keeps, whatever it observed.
const SHARE_FLOOR: f64 = 0.1;
/// Length of the window over which requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of the newest window.
const RATE_GAIN: f64 = 0.5;
/// Rate below which a customer is forgotten, in requests per second.
const MIN_RATE_PER_SECOND: f64 = 0.01;

/// Where a customer's limit is enforced.
#[derive(Debug, Clone, PartialEq)]
pub enum Location {
    /// At this entry, as a fraction of the whole limit.
    Local {
        /// Fraction of the whole limit.
        share: f64,
    },
    /// At another entry, which enforces the whole limit.
    Owner(InstanceId),
}

/// Strategy that splits a customer's limit among entries.
pub trait Split {
    /// Records that a request of the customer arrived at this entry.
    fn record_request(&mut self, now: BootTime, customer: &str);
    /// Returns where the customer's limit is enforced.
    fn locate(&self, now: BootTime, customer: &str) -> Location;
}

/// Gives every entry the same part.
#[derive(Debug, Clone)]
pub struct EvenSplit {
    /// Number of live entries.
    pub entries: u32,
}

impl Split for EvenSplit {
    fn record_request(&mut self, _now: BootTime, _customer: &str) {}

    fn locate(&self, _now: BootTime, _customer: &str) -> Location {
        let share = 1.0 / f64::from(self.entries.max(1));
        Location::Local { share }
    }
}

/// Has one entry enforce the whole limit. All entries compute the same owner while their lists agree.
#[derive(Debug, Clone)]
pub struct OwnerSplit {
    /// This entry.
    pub own: InstanceId,
    /// All live entries, this one included.
    pub entries: Vec<InstanceId>,
}

impl Split for OwnerSplit {
    fn record_request(&mut self, _now: BootTime, _customer: &str) {}

    fn locate(&self, _now: BootTime, customer: &str) -> Location {
        let owner = self
            .entries
            .iter()
            .max_by_key(|entry| rendezvous_weight(customer, entry));
        match owner {
            Some(owner) if *owner != self.own => Location::Owner(owner.clone()),
            _ => Location::Local { share: 1.0 },
        }
    }
}

/// Gives each entry the fraction of the customer's requests that it observes, compared with the rates of its peers.
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
    /// Creates a split without observations.
    pub fn new(entries: u32) -> ObservedSplit {
        ObservedSplit {
            entries: entries.max(1),
            own: AHashMap::new(),
            others: AHashMap::new(),
        }
    }

    /// Replaces the rates of all other entries by the latest ones received.
    pub fn update_peers(&mut self, entries: u32, others: impl IntoIterator<Item = CustomerRate>) {
        self.entries = entries.max(1);
        self.others.clear();
        for rate in others {
            *self.others.entry(rate.customer).or_insert(0.0) += rate.per_second;
        }
    }

    /// Returns the rates of the busiest customers at this entry, at most `max`, to send to peers.
    pub fn busiest(&mut self, now: BootTime, max: usize) -> Vec<CustomerRate> {
        self.own
            .retain(|_, rate| rate.value_at(now) > MIN_RATE_PER_SECOND || rate.pending > 0);
        let mut rates: Vec<CustomerRate> = self
            .own
            .iter()
            .map(|(customer, rate)| CustomerRate {
                customer: customer.clone(),
                per_second: rate.value_at(now),
            })
            .collect();
        rates.sort_by(|a, b| b.per_second.total_cmp(&a.per_second).then(a.customer.cmp(&b.customer)));
        rates.truncate(max);
        rates
    }
}

impl Split for ObservedSplit {
    fn record_request(&mut self, now: BootTime, customer: &str) {
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

    fn locate(&self, now: BootTime, customer: &str) -> Location {
        let even = 1.0 / f64::from(self.entries);
        let own = self.own.get(customer).map_or(0.0, |rate| rate.value_at(now));
        let others = self.others.get(customer).copied().unwrap_or(0.0);
        let observed = if own + others > 0.0 { own / (own + others) } else { even };
        // The floor lets an entry without observations admit requests; the rest of the limit is split by observation.
        let share = SHARE_FLOOR * even + (1.0 - SHARE_FLOOR) * observed;
        Location::Local { share }
    }
}

impl Rate {
    fn add(&mut self, now: BootTime) {
        if now.since(self.since) >= RATE_WINDOW {
            self.per_second = self.value_at(now);
            self.pending = 0;
            self.since = now;
        }
        self.pending += 1;
    }

    /// Average rate as of `now`. It includes the current window once that is complete.
    fn value_at(&self, now: BootTime) -> f64 {
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
