//! Customers' limits at this entry, and the budget of repeated attempts.

use std::cell::RefCell;
use std::time::Duration;

use celerytide_manifest::Customer;
use celerytide_policy::budget::{Options, Pressure, RetryBudget};
use celerytide_policy::limits::{EvenSplit, Limit, Limits as Buckets, Verdict};
use celerytide_types::BootTime;
use http::StatusCode;

use crate::answer::Final;

/// Time to come back that is told where another entry keeps the customer's limit.
const ELSEWHERE_RETRY: Duration = Duration::from_secs(1);

/// Customers' limits; each entry holds an even share of a customer's rate.
pub struct Limits(RefCell<Buckets<EvenSplit>>);

impl Default for Limits {
    fn default() -> Limits {
        Limits(RefCell::new(Buckets::new(EvenSplit { entries: 1 })))
    }
}

impl Limits {
    /// Counts one request; refused if the customer's share at one of `entries` entries is used up.
    pub fn admit(&self, customer: &Customer, entries: usize, now: BootTime) -> Result<(), Final> {
        let mut buckets = self.0.borrow_mut();
        buckets.split_mut().entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let limit = Limit {
            per_second: customer.requests_per_second,
            burst: f64::from(customer.burst),
        };
        match buckets.check(now, &customer.id, limit) {
            Verdict::Admitted => Ok(()),
            Verdict::Limited(wait) => Err(over_limit(wait)),
            Verdict::OwnedBy(_) => Err(over_limit(ELSEWHERE_RETRY)),
        }
    }

    /// Customers that have a bucket here.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

/// Bounds repeated attempts to a share of first tries.
pub struct Retries(RefCell<RetryBudget>);

impl Default for Retries {
    fn default() -> Retries {
        Retries(RefCell::new(RetryBudget::new(Options::default())))
    }
}

impl Retries {
    /// Notes a first try.
    pub fn first_try(&self) {
        self.0.borrow_mut().record_first_try();
    }

    /// Takes one retry; false if the budget is used up. The pool's owner, whose queue a retry joins, judges the pressure.
    pub fn take(&self) -> bool {
        let unknown = Pressure {
            queued: 0,
            in_flight: 0,
            capacity: u64::MAX,
        };
        self.0.borrow_mut().take_retry(unknown)
    }
}

fn over_limit(wait: Duration) -> Final {
    let message = "the customer's request rate is used up";
    Final::not_run(StatusCode::TOO_MANY_REQUESTS, "customer-limit", message).retry_after(wait)
}
