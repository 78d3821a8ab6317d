//! Customers' limits at this entry, and the budget of repeated attempts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use celerytide_manifest::Customer;
use celerytide_types::{Boot, CustomerId};
use http::StatusCode;

use crate::answer::Final;

/// Customers held at once; those not seen of late are dropped beyond it.
const MAX_CUSTOMERS: usize = 65_536;
/// A customer not seen for this long may be dropped.
const IDLE: Duration = Duration::from_secs(60);
/// Tokens that each first try adds to the retry budget.
const RETRY_RATIO: f64 = 0.2;
/// Most tokens that the retry budget holds.
const RETRY_BURST: f64 = 20.0;

/// Token buckets by customer; each entry holds an even share of a customer's rate.
#[derive(Default)]
pub struct Limits {
    buckets: RefCell<HashMap<CustomerId, Bucket>>,
}

struct Bucket {
    tokens: f64,
    at: Boot,
}

impl Limits {
    /// Counts one request; refused if the customer's share at one of `entries` entries is used up.
    pub fn admit(&self, customer: &Customer, entries: usize, now: Boot) -> Result<(), Final> {
        let entries = entries.max(1) as f64;
        let rate = customer.requests_per_second / entries;
        let burst = (f64::from(customer.burst) / entries).max(1.0);
        let mut buckets = self.buckets.borrow_mut();
        if buckets.len() >= MAX_CUSTOMERS && !buckets.contains_key(&customer.id) {
            buckets.retain(|_, b| now.since(b.at) < IDLE);
        }
        let new = || Bucket { tokens: burst, at: now };
        let bucket = buckets.entry(customer.id.clone()).or_insert_with(new);
        bucket.tokens = (bucket.tokens + rate * now.since(bucket.at).as_secs_f64()).min(burst);
        bucket.at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        Err(over_limit(Duration::from_secs_f64((1.0 - bucket.tokens) / rate)))
    }
}

/// Bounds repeated attempts to a share of first tries.
pub struct Retries {
    tokens: f64,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { tokens: RETRY_BURST }
    }
}

impl Retries {
    /// Notes a first try.
    pub fn first_try(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Takes one retry; false if the budget is used up.
    pub fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

fn over_limit(wait: Duration) -> Final {
    let message = "the customer's request rate is used up";
    Final::not_run(StatusCode::TOO_MANY_REQUESTS, "customer-limit", message).retry_after(wait)
}
