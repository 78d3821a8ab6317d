//! Limits per customer over many entries without shared state.
//!
//! Each entry keeps token buckets of its own. How a customer's rate is split among the entries is a [`Split`]: evenly,
//! by the share of its requests that this entry was lately told to see, or whole at one owner that every entry names
//! alike. A split only reads what peers say now and then; a late or lost word makes the limit less exact, never
//! unsafe.

mod bucket;
mod split;

use ahash::AHashMap;
use celerytide_types::{Boot, CustomerId, InstanceId, data};

pub use bucket::Bucket;
pub use split::{EvenSplit, ObservedSplit, OwnerSplit, Place, Split};

data! {
    /// What one customer may send, over all entries.
    #[derive(Copy)]
    pub struct Limit {
        /// Requests a second.
        pub per_second: f64,
        /// Requests it may send at once.
        pub burst: f64,
    }

    /// What one entry saw of one customer; exchanged among entries.
    pub struct Seen {
        /// The customer.
        pub customer: CustomerId,
        /// Requests a second at that entry.
        pub per_second: f64,
    }
}

/// Whether a request is within its customer's limit.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// It is.
    Admitted,
    /// It isn't; a token comes free after this time.
    Limited(std::time::Duration),
    /// This entry can't say: ask the one that owns the customer's limit.
    OwnedBy(InstanceId),
}

/// Limits of many customers at one entry.
#[derive(Debug, Clone)]
pub struct Limits<S> {
    split: S,
    buckets: AHashMap<CustomerId, Bucket>,
    sweep_at: usize,
}

/// Number of buckets under which none is swept.
const BUCKETS_MIN: usize = 1024;

impl<S: Split> Limits<S> {
    /// No customer was seen yet.
    pub fn new(split: S) -> Limits<S> {
        Limits {
            split,
            buckets: AHashMap::new(),
            sweep_at: BUCKETS_MIN,
        }
    }

    /// The split, to feed it what peers said.
    pub fn split_mut(&mut self) -> &mut S {
        &mut self.split
    }

    /// Judges one request of a customer that has this limit over all entries.
    pub fn check(&mut self, now: Boot, customer: &str, limit: Limit) -> Verdict {
        self.split.note(now, customer);
        let here = match self.split.place(now, customer) {
            Place::Here { share } => share,
            Place::At(instance) => return Verdict::OwnedBy(instance),
        };
        let limit = Limit {
            per_second: limit.per_second * here,
            burst: (limit.burst * here).max(1.0),
        };
        let bucket = match self.buckets.get_mut(customer) {
            Some(bucket) => bucket,
            None => self.open(now, customer, limit),
        };
        match bucket.take(now, limit) {
            None => Verdict::Admitted,
            Some(wait) => Verdict::Limited(wait),
        }
    }

    /// Customers that have a bucket here.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no customer has a bucket here.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn open(&mut self, now: Boot, customer: &str, limit: Limit) -> &mut Bucket {
        if self.buckets.len() >= self.sweep_at {
            self.buckets.retain(|_, bucket| !bucket.is_full(now));
            self.sweep_at = (self.buckets.len() * 2).max(BUCKETS_MIN);
        }
        let bucket = Bucket::full(now, limit);
        self.buckets.entry(customer.to_owned()).or_insert(bucket)
    }
}
