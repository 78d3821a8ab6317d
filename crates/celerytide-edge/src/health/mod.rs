//! Which endpoints are in trouble, judged by what requests show.
//!
//! Answers these loads: an endpoint fails part of its requests while its health check is good; one hangs or is cut off
//! from some instances only; a whole service fails at once. An endpoint is judged against the others of its service, so
//! that a service whose requests fail by themselves loses none. One that was taken out is tried again with a single
//! request after a pause that doubles.

use std::time::Duration;

use celerytide_types::BootTime;

/// Half-life of what is remembered of an endpoint.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Failures, decayed, before an endpoint can be taken out.
const MIN_FAILURES: f64 = 2.5;
/// Share of failures above which it is taken out.
const MIN_SHARE: f64 = 0.3;
/// Multiple of the other endpoints' share above which it is taken out.
const TIMES_OTHERS: f64 = 2.5;
/// First pause of an endpoint that fails; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(800);
/// First pause of an endpoint that can't be reached: nothing is risked by another try.
const FIRST_UNREACHED: Duration = Duration::from_millis(300);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Successes in a row after which the pauses start anew.
const CURED: u32 = 3;

/// How a request at an endpoint ended, as far as it tells of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// A proper answer.
    Good,
    /// A failure of the endpoint's own, a broken or missing answer.
    Bad,
    /// No connection, or another endpoint at its address: the request did not run.
    Unreached,
}

/// Whether an endpoint may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Any.
    In,
    /// One request that may be repeated, to see whether it works again.
    Trial,
    /// None.
    Out,
}

/// What is remembered of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    good: f64,
    bad: f64,
    at: BootTime,
    pauses: u32,
    streak: u32,
    out_until: Option<BootTime>,
    on_trial: bool,
}

impl Health {
    /// Share of failures among remembered requests, and their number.
    pub fn failures(&self, now: BootTime) -> (f64, f64) {
        let keep = decay(now.since(self.at));
        let (good, bad) = (self.good * keep, self.bad * keep);
        let all = good + bad;
        (if all > 0.0 { bad / all } else { 0.0 }, all)
    }

    /// Whether the endpoint may get a request now.
    pub fn standing(&self, now: BootTime) -> Standing {
        match self.out_until {
            None => Standing::In,
            Some(until) if now < until || self.on_trial => Standing::Out,
            Some(_) => Standing::Trial,
        }
    }

    /// A trial request was sent.
    pub fn begin_trial(&mut self) {
        self.on_trial = true;
    }

    /// A trial ended without telling anything.
    pub fn end_trial(&mut self) {
        self.on_trial = false;
    }

    /// Takes in how a request ended; `others` is the share of failures at the service's other endpoints. Returns
    /// whether the endpoint was taken out or taken back.
    pub fn record(&mut self, sign: Sign, others: f64, now: BootTime) -> bool {
        let keep = decay(now.since(self.at));
        self.good *= keep;
        self.bad *= keep;
        self.at = now;
        let on_trial = std::mem::take(&mut self.on_trial);
        match sign {
            Sign::Good => self.record_good(),
            Sign::Unreached => self.take_out(FIRST_UNREACHED, now),
            Sign::Bad => self.record_bad(others, on_trial, now),
        }
    }

    fn record_good(&mut self) -> bool {
        self.good += 1.0;
        self.streak += 1;
        if self.streak >= CURED {
            self.pauses = 0;
        }
        self.out_until.take().is_some()
    }

    fn record_bad(&mut self, others: f64, on_trial: bool, now: BootTime) -> bool {
        self.bad += 1.0;
        self.streak = 0;
        let share = self.bad / (self.good + self.bad);
        let worse = share > MIN_SHARE && share > others * TIMES_OTHERS;
        // Requests that were sent before it was taken out tell nothing new.
        let decides = on_trial || self.out_until.is_none() && self.bad >= MIN_FAILURES && worse;
        if decides {
            return self.take_out(FIRST_PAUSE, now);
        }
        false
    }

    fn take_out(&mut self, first: Duration, now: BootTime) -> bool {
        let pause = first.saturating_mul(1 << self.pauses.min(4)).min(MAX_PAUSE);
        let was_in = self.out_until.is_none();
        self.pauses += 1;
        self.streak = 0;
        self.out_until = Some(now.after(pause));
        was_in
    }
}

fn decay(passed: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
