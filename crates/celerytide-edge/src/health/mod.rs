//! Outlier detection: ejects endpoints by the results of requests.
//!
//! Handles these faults: an endpoint fails some requests although its health check passes; one hangs or is unreachable
//! from some instances only; a whole service fails at once. An endpoint is compared with the others of its service, so
//! that a service whose requests fail everywhere, for reasons of their own, loses no endpoint. An ejected endpoint is
//! tried again with a single request after a time that doubles with each ejection.

use std::time::Duration;

use celerytide_types::BootTime;

/// Half-life of the success and failure counts.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Decayed number of failures below which an endpoint isn't ejected.
const MIN_FAILURES: f64 = 2.5;
/// Share of failures above which it is ejected.
const MIN_SHARE: f64 = 0.3;
/// Multiple of the other endpoints' share of failures above which it is ejected.
const OTHERS_FACTOR: f64 = 2.5;
/// First ejection time of a failing endpoint; doubles up to [`MAX_EJECTION`].
const FIRST_EJECTION: Duration = Duration::from_millis(800);
/// First ejection time of an unreachable endpoint. It is shorter since a request that tries the endpoint again and fails
/// to connect has certainly not run.
const FIRST_UNREACHED_EJECTION: Duration = Duration::from_millis(300);
/// Longest ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Successes in a row that reset the ejection time.
const RESET_SUCCESSES: u32 = 3;

/// What the end of a request says about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response without a server error.
    Good,
    /// A server error, or a broken or missing response.
    Bad,
    /// No connection, or another process at this address: the request did not run.
    Unreached,
}

/// Which requests an endpoint may receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// Any request.
    Healthy,
    /// One idempotent request, to test whether the endpoint has recovered.
    Trial,
    /// No request.
    Ejected,
}

/// Request results and ejection of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    good: f64,
    bad: f64,
    at: BootTime,
    ejections: u32,
    successes: u32,
    ejected_until: Option<BootTime>,
    in_trial: bool,
}

impl Health {
    /// Share of failures among the remembered requests, and their decayed number.
    pub fn failures(&self, now: BootTime) -> (f64, f64) {
        let factor = decay(now.since(self.at));
        let (good, bad) = (self.good * factor, self.bad * factor);
        let all = good + bad;
        (if all > 0.0 { bad / all } else { 0.0 }, all)
    }

    /// State at `now`.
    pub fn state(&self, now: BootTime) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(until) if now < until || self.in_trial => HealthState::Ejected,
            Some(_) => HealthState::Trial,
        }
    }

    /// Marks that a trial request was sent.
    pub fn begin_trial(&mut self) {
        self.in_trial = true;
    }

    /// Ends a trial that gave no result.
    pub fn end_trial(&mut self) {
        self.in_trial = false;
    }

    /// Records the result of a request; `others_share` is the share of failures at the other endpoints. Returns whether
    /// the endpoint was ejected or became healthy again.
    pub fn record(&mut self, outcome: Outcome, others_share: f64, now: BootTime) -> bool {
        let factor = decay(now.since(self.at));
        self.good *= factor;
        self.bad *= factor;
        self.at = now;
        let in_trial = std::mem::take(&mut self.in_trial);
        match outcome {
            Outcome::Good => self.record_good(),
            Outcome::Unreached => self.eject(FIRST_UNREACHED_EJECTION, now),
            Outcome::Bad => self.record_bad(others_share, in_trial, now),
        }
    }

    fn record_good(&mut self) -> bool {
        self.good += 1.0;
        self.successes += 1;
        if self.successes >= RESET_SUCCESSES {
            self.ejections = 0;
        }
        self.ejected_until.take().is_some()
    }

    fn record_bad(&mut self, others_share: f64, in_trial: bool, now: BootTime) -> bool {
        self.bad += 1.0;
        self.successes = 0;
        let share = self.bad / (self.good + self.bad);
        let worse = share > MIN_SHARE && share > others_share * OTHERS_FACTOR;
        // Requests sent before the ejection give no new information.
        let is_conclusive = in_trial || self.ejected_until.is_none() && self.bad >= MIN_FAILURES && worse;
        if is_conclusive {
            return self.eject(FIRST_EJECTION, now);
        }
        false
    }

    fn eject(&mut self, first_ejection: Duration, now: BootTime) -> bool {
        let ejection = first_ejection
            .saturating_mul(1 << self.ejections.min(4))
            .min(MAX_EJECTION);
        let was_healthy = self.ejected_until.is_none();
        self.ejections += 1;
        self.successes = 0;
        self.ejected_until = Some(now.after(ejection));
        was_healthy
    }
}

fn decay(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
