//! Customers' request rates at this entry, and the budget of retries that keeps failures from multiplying the load.

use std::cell::RefCell;
use std::time::Duration;

use celerytide_manifest::Customer;
use celerytide_policy::budget::{Options, Pressure, RetryBudget};
use celerytide_policy::limits::{EvenSplit, Limit, Limits as Buckets, Verdict};
use celerytide_types::BootTime;
use http::StatusCode;

use crate::response::ErrorResponse;

/// Retry time told to the caller when another entry counts the customer's requests.
const OTHER_ENTRY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Rate limits of customers; each entry grants an even share of a customer's rate.
pub struct CustomerLimits(RefCell<Buckets<EvenSplit>>);

impl Default for CustomerLimits {
    fn default() -> CustomerLimits {
        CustomerLimits(RefCell::new(Buckets::new(EvenSplit { entries: 1 })))
    }
}

impl CustomerLimits {
    /// Counts one request, or refuses it if the customer's share at one of `entries` entries is used up.
    pub fn admit(&self, customer: &Customer, entries: usize, now: BootTime) -> Result<(), ErrorResponse> {
        let mut buckets = self.0.borrow_mut();
        buckets.split_mut().entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let limit = Limit {
            per_second: customer.requests_per_second,
            burst: f64::from(customer.burst),
        };
        match buckets.check(now, &customer.id, limit) {
            Verdict::Admitted => Ok(()),
            Verdict::Limited(wait) => Err(over_limit(wait)),
            Verdict::OwnedBy(_) => Err(over_limit(OTHER_ENTRY_RETRY_AFTER)),
        }
    }

    /// Number of customers with a token bucket at this entry.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

/// Limits retries to a share of first attempts.
pub struct RetryLimiter(RefCell<RetryBudget>);

impl Default for RetryLimiter {
    fn default() -> RetryLimiter {
        RetryLimiter(RefCell::new(RetryBudget::new(Options::default())))
    }
}

impl RetryLimiter {
    /// Counts a first attempt, which adds to the budget.
    pub fn record_first_attempt(&self) {
        self.0.borrow_mut().record_first_try();
    }

    /// Takes one retry from the budget; false if it is used up. Queue pressure isn't considered here: the pool's owner
    /// knows it.
    pub fn try_take(&self) -> bool {
        let no_pressure = Pressure {
            queued: 0,
            in_flight: 0,
            capacity: u64::MAX,
        };
        self.0.borrow_mut().take_retry(no_pressure)
    }
}

fn over_limit(wait: Duration) -> ErrorResponse {
    let message = "the customer's request rate is used up";
    ErrorResponse::not_run(StatusCode::TOO_MANY_REQUESTS, "customer-limit", message).retry_after(wait)
}
