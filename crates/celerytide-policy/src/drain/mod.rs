//! Rate at which the queue drains, and the retry delays that follow from it.
//!
//! If refused clients returned all at once, they would cause another overload. Each is given a place in a virtual queue
//! that moves at the drain rate, with jitter, so that they return spread out and no faster than they can be served.

use std::collections::VecDeque;
use std::time::Duration;

use celerytide_types::BootTime;
use rand::Rng;

/// Number of finished requests over which the rate is averaged.
const WINDOW: usize = 128;
/// Number of finished requests below which the rate is unknown.
const WINDOW_MIN: usize = 8;
/// Weight of the newest sample in the average time that a request holds a slot.
const HOLD_GAIN: f64 = 0.05;
/// Rate assumed where it is unknown, in requests per second.
const DEFAULT_RATE_PER_SECOND: f64 = 1.0;

/// Bounds of the retry delay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Shortest retry delay.
    pub floor: Duration,
    /// Longest retry delay.
    pub ceiling: Duration,
}

/// Estimates the rate at which slots become free.
#[derive(Debug, Clone)]
pub struct DrainRate {
    opts: Options,
    end_times: VecDeque<BootTime>,
    hold_seconds: Option<f64>,
    saturated_since: Option<BootTime>,
    last_return: BootTime,
}

impl DrainRate {
    /// Creates an estimate without samples.
    pub fn new(opts: Options) -> DrainRate {
        DrainRate {
            opts,
            end_times: VecDeque::with_capacity(WINDOW),
            hold_seconds: None,
            saturated_since: None,
            last_return: BootTime::default(),
        }
    }

    /// Records the end of a request that held a slot for `hold`.
    pub fn record_end(&mut self, now: BootTime, hold: Duration) {
        if self.end_times.len() == WINDOW {
            self.end_times.pop_front();
        }
        self.end_times.push_back(now);
        let hold = hold.as_secs_f64();
        let average = self.hold_seconds.unwrap_or(hold);
        self.hold_seconds = Some(average + (hold - average) * HOLD_GAIN);
    }

    /// Sets whether requests wait because all slots are in use.
    pub fn set_saturated(&mut self, now: BootTime, saturated: bool) {
        if !saturated {
            self.saturated_since = None;
        } else if self.saturated_since.is_none() {
            self.saturated_since = Some(now);
        }
    }

    /// Requests per second that `slots` slots finish, or `None` with too few samples.
    ///
    /// The observed rate counts only if all slots were in use throughout; otherwise the rate follows from the mean time
    /// that a request holds a slot.
    pub fn per_second(&self, now: BootTime, slots: u64) -> Option<f64> {
        let oldest = *self.end_times.front()?;
        if self.end_times.len() < WINDOW_MIN {
            return None;
        }
        let span = now.since(oldest).as_secs_f64().max(1e-3);
        let observed = self.end_times.len() as f64 / span;
        if self.saturated_since.is_some_and(|since| since <= oldest) {
            return Some(observed);
        }
        let possible = slots as f64 / self.hold_seconds?.max(1e-3);
        Some(possible.max(observed))
    }

    /// Whether enough requests have finished to know a rate.
    pub fn is_known(&self) -> bool {
        self.end_times.len() >= WINDOW_MIN
    }

    /// The rate at the time of the latest end, or zero if unknown.
    pub fn last_per_second(&self, slots: u64) -> f64 {
        let last = self.end_times.back().copied().unwrap_or_default();
        self.per_second(last, slots).unwrap_or(0.0)
    }

    /// Retry delay of a client that is refused with `ahead` requests queued before it.
    pub fn retry_after(&mut self, now: BootTime, ahead: usize, slots: u64, rng: &mut impl Rng) -> Duration {
        let rate = self.per_second(now, slots).unwrap_or(DEFAULT_RATE_PER_SECOND).max(1e-3);
        let interval = bounded(1.0 / rate, self.opts.ceiling);
        let wait = bounded(ahead as f64 / rate, self.opts.ceiling).max(self.opts.floor);
        let return_at = self.last_return.after(interval).max(now.after(wait));
        let wait = return_at.since(now);
        if wait >= self.opts.ceiling {
            let ceiling = self.opts.ceiling;
            return ceiling.mul_f64(rng.random_range(0.5..1.0)).max(self.opts.floor);
        }
        self.last_return = return_at;
        wait.mul_f64(rng.random_range(0.75..1.25))
            .clamp(self.opts.floor, self.opts.ceiling)
    }
}

fn bounded(seconds: f64, ceiling: Duration) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, ceiling.as_secs_f64()))
}
