//! Retry budget: retries are a bounded fraction of first tries, and none are made at the peak.
//!
//! Each first try earns a fraction of a retry, up to a small reserve, and each retry takes one. While requests wait
//! for want of slots a retry only takes a place from a first try, so none is allowed.

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Retries for each first try.
    pub ratio: f64,
    /// Retries that may be saved up.
    pub reserve: f64,
    /// Fraction of the slots in use from which on no retry is made.
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

/// How full the pool is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pressure {
    /// Asks that wait.
    pub queued: u64,
    /// Permits in flight.
    pub in_flight: u64,
    /// Permits that the open endpoints bear.
    pub capacity: u64,
}

/// A retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    opts: Options,
    saved: f64,
    first_tries: u64,
    retries: u64,
}

impl RetryBudget {
    /// A budget with its whole reserve.
    pub fn new(opts: Options) -> RetryBudget {
        RetryBudget {
            opts,
            saved: opts.reserve,
            first_tries: 0,
            retries: 0,
        }
    }

    /// A first try was made.
    pub fn record_first_try(&mut self) {
        self.first_tries += 1;
        self.saved = (self.saved + self.opts.ratio).min(self.opts.reserve);
    }

    /// Takes a retry from the budget; says whether it may be made.
    pub fn take_retry(&mut self, pressure: Pressure) -> bool {
        if self.is_peak(pressure) || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        self.retries += 1;
        true
    }

    /// Retries made so far.
    pub fn retries(&self) -> u64 {
        self.retries
    }

    /// First tries made so far.
    pub fn first_tries(&self) -> u64 {
        self.first_tries
    }

    fn is_peak(&self, pressure: Pressure) -> bool {
        pressure.queued > 0 || pressure.in_flight as f64 >= pressure.capacity as f64 * self.opts.peak
    }
}
