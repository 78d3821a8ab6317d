//! Rate limits per customer across many entry processes without shared state.
//!
//! Each entry has its own token buckets. A [`Split`] decides which part of a customer's rate an entry enforces: an even
//! part, the fraction of the customer's requests that the entry observes, or the whole limit at one owner that all
//! entries compute alike. A split only reads what peers send from time to time; a late or lost message makes the limit
//! less exact but never unsafe.

mod bucket;
mod split;

use ahash::AHashMap;
use celerytide_types::{BootTime, CustomerId, InstanceId, data};

pub use bucket::Bucket;
pub use split::{EvenSplit, Location, ObservedSplit, OwnerSplit, Split};

data! {
    /// A customer's limit across all entries.
    #[derive(Copy)]
    pub struct Limit {
        /// Sustained rate in requests per second.
        pub per_second: f64,
        /// Requests that may arrive at once.
        pub burst: f64,
    }

    /// Rate of one customer at one entry, exchanged among entries.
    pub struct CustomerRate {
        /// The customer.
        pub customer: CustomerId,
        /// Requests per second at that entry.
        pub per_second: f64,
    }
}

/// Result of checking a request against its customer's limit.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The request is within the limit.
    Admitted,
    /// The limit is used up; the next token is available after this time.
    Limited(std::time::Duration),
    /// Another entry owns the customer's limit and has to decide.
    OwnedBy(InstanceId),
}

/// Enforces the limits of many customers at one entry.
#[derive(Debug, Clone)]
pub struct Limits<S> {
    split: S,
    buckets: AHashMap<CustomerId, Bucket>,
    sweep_at: usize,
}

/// Full buckets are removed only when at least this many buckets are stored.
const SWEEP_MIN_BUCKETS: usize = 1024;

impl<S: Split> Limits<S> {
    /// Creates limits without any bucket.
    pub fn new(split: S) -> Limits<S> {
        Limits {
            split,
            buckets: AHashMap::new(),
            sweep_at: SWEEP_MIN_BUCKETS,
        }
    }

    /// Returns the split, which is updated with the rates that peers send.
    pub fn split_mut(&mut self) -> &mut S {
        &mut self.split
    }

    /// Checks one request of a customer against `limit`, the customer's limit across all entries.
    pub fn check(&mut self, now: BootTime, customer: &str, limit: Limit) -> Verdict {
        self.split.record_request(now, customer);
        let share = match self.split.locate(now, customer) {
            Location::Local { share } => share,
            Location::Owner(instance) => return Verdict::OwnedBy(instance),
        };
        let limit = Limit {
            per_second: limit.per_second * share,
            burst: (limit.burst * share).max(1.0),
        };
        let bucket = match self.buckets.get_mut(customer) {
            Some(bucket) => bucket,
            None => self.insert_bucket(now, customer, limit),
        };
        match bucket.take(now, limit) {
            None => Verdict::Admitted,
            Some(wait) => Verdict::Limited(wait),
        }
    }

    /// Number of customers that have a bucket here.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no customer has a bucket here.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn insert_bucket(&mut self, now: BootTime, customer: &str, limit: Limit) -> &mut Bucket {
        if self.buckets.len() >= self.sweep_at {
            self.buckets.retain(|_, bucket| !bucket.is_full(now));
            self.sweep_at = (self.buckets.len() * 2).max(SWEEP_MIN_BUCKETS);
        }
        let bucket = Bucket::full(now, limit);
        self.buckets.entry(customer.to_owned()).or_insert(bucket)
    }
}
