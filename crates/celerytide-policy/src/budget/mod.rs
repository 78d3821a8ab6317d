//! Retry budget, which keeps retries from multiplying an overload.
//!
//! Each first try earns a fraction of a retry, up to a small reserve, and each retry costs one. While requests wait for
//! slots, a retry only takes a slot from a first try, so none is allowed.

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Retries earned by each first try.
    pub ratio: f64,
    /// Upper bound on the retries that are saved up.
    pub reserve: f64,
    /// Fraction of slots in use from which on no retry is allowed.
    pub peak: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            ratio: 0.1,
            reserve: 10.0,
            peak: 0.95,
        }
    }
}

/// Load of a pool, by which retries are allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pressure {
    /// Requests that wait in the queue.
    pub queued: u64,
    /// Permits in flight.
    pub in_flight: u64,
    /// Permits that the endpoints that accept requests handle at once.
    pub capacity: u64,
}

/// Bounds retries to a fraction of first tries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    opts: Options,
    saved: f64,
    first_tries: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget with its whole reserve.
    pub fn new(opts: Options) -> RetryBudget {
        RetryBudget {
            opts,
            saved: opts.reserve,
            first_tries: 0,
            retries: 0,
        }
    }

    /// Counts a first try, which earns a fraction of a retry.
    pub fn record_first_try(&mut self) {
        self.first_tries += 1;
        self.saved = (self.saved + self.opts.ratio).min(self.opts.reserve);
    }

    /// Takes a retry from the budget. Returns false if the pool is at its peak or the budget is used up.
    pub fn take_retry(&mut self, pressure: Pressure) -> bool {
        if self.is_peak(pressure) || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        self.retries += 1;
        true
    }

    /// Number of retries allowed so far.
    pub fn retries(&self) -> u64 {
        self.retries
    }

    /// Number of first tries counted so far.
    pub fn first_tries(&self) -> u64 {
        self.first_tries
    }

    fn is_peak(&self, pressure: Pressure) -> bool {
        pressure.queued > 0 || pressure.in_flight as f64 >= pressure.capacity as f64 * self.opts.peak
    }
}
