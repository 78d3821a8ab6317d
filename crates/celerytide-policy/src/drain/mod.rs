//! How fast the queue drains, and when a refused caller should come back.
//!
//! Refused callers are given places in a virtual line that moves at the drain rate, and each place is jittered, so
//! that they come back spread out and no faster than they can be served.

use std::collections::VecDeque;
use std::time::Duration;

use celerytide_types::BootTime;
use rand::Rng;

/// Finished requests that the rate is averaged over.
const WINDOW: usize = 128;
/// Finished requests under which no rate is known.
const WINDOW_MIN: usize = 8;
/// Weight of the newest holding time in its average.
const HOLD_GAIN: f64 = 0.05;
/// Rate assumed where none is known, in requests a second.
const RATE_UNKNOWN: f64 = 1.0;

/// Bounds of the time to return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Shortest time to return.
    pub floor: Duration,
    /// Longest time to return.
    pub ceiling: Duration,
}

/// Rate at which slots come free.
#[derive(Debug, Clone)]
pub struct Drain {
    opts: Options,
    ended: VecDeque<BootTime>,
    hold_seconds: Option<f64>,
    busy_since: Option<BootTime>,
    last_return: BootTime,
}

impl Drain {
    /// Nothing is known at first.
    pub fn new(opts: Options) -> Drain {
        Drain {
            opts,
            ended: VecDeque::with_capacity(WINDOW),
            hold_seconds: None,
            busy_since: None,
            last_return: BootTime::default(),
        }
    }

    /// A request that held a slot for `hold` ended.
    pub fn note_end(&mut self, now: BootTime, hold: Duration) {
        if self.ended.len() == WINDOW {
            self.ended.pop_front();
        }
        self.ended.push_back(now);
        let hold = hold.as_secs_f64();
        let average = self.hold_seconds.unwrap_or(hold);
        self.hold_seconds = Some(average + (hold - average) * HOLD_GAIN);
    }

    /// Whether requests wait for want of slots.
    pub fn note_busy(&mut self, now: BootTime, busy: bool) {
        if !busy {
            self.busy_since = None;
        } else if self.busy_since.is_none() {
            self.busy_since = Some(now);
        }
    }

    /// Requests a second that `slots` drain; none where too little was seen.
    ///
    /// Observed ends count only if slots were wanted all along; otherwise the rate follows from the holding time.
    pub fn per_second(&self, now: BootTime, slots: u64) -> Option<f64> {
        let oldest = *self.ended.front()?;
        if self.ended.len() < WINDOW_MIN {
            return None;
        }
        let span = now.since(oldest).as_secs_f64().max(1e-3);
        let observed = self.ended.len() as f64 / span;
        if self.busy_since.is_some_and(|since| since <= oldest) {
            return Some(observed);
        }
        let possible = slots as f64 / self.hold_seconds?.max(1e-3);
        Some(possible.max(observed))
    }

    /// Whether enough requests ended for a rate.
    pub fn is_known(&self) -> bool {
        self.ended.len() >= WINDOW_MIN
    }

    /// The rate at the time of the last end; zero where it isn't known.
    pub fn last_per_second(&self, slots: u64) -> f64 {
        let last = self.ended.back().copied().unwrap_or_default();
        self.per_second(last, slots).unwrap_or(0.0)
    }

    /// When a caller that finds `ahead` requests before it should come back, from now.
    pub fn retry_after(&mut self, now: BootTime, ahead: usize, slots: u64, rng: &mut impl Rng) -> Duration {
        let rate = self.per_second(now, slots).unwrap_or(RATE_UNKNOWN).max(1e-3);
        let step = bounded(1.0 / rate, self.opts.ceiling);
        let wait = bounded(ahead as f64 / rate, self.opts.ceiling).max(self.opts.floor);
        let place = self.last_return.after(step).max(now.after(wait));
        let wait = place.since(now);
        if wait >= self.opts.ceiling {
            let ceiling = self.opts.ceiling;
            return ceiling.mul_f64(rng.random_range(0.5..1.0)).max(self.opts.floor);
        }
        self.last_return = place;
        wait.mul_f64(rng.random_range(0.75..1.25))
            .clamp(self.opts.floor, self.opts.ceiling)
    }
}

fn bounded(seconds: f64, ceiling: Duration) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, ceiling.as_secs_f64()))
}
