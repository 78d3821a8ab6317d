//! Whether the views may be trusted, by a clock that counts suspended time.
//!
//! A confirmation is an answer of the service to a read that was sent after the last pause. An answer that was waiting
//! in a socket while the process slept says nothing about the present.

use std::time::Duration;

use celerytide_types::BootTime;

use crate::view::Watched;

const DOCUMENTS: usize = 3;

/// How far the views may be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The service confirmed every view within the bound, and no peer is known to be ahead.
    Fresh,
    /// The service has not answered for longer than the bound, or a peer is ahead.
    Stale {
        /// Age of the oldest confirmation.
        age: Duration,
    },
    /// The process slept longer than the bound and has not read every view since.
    Woken,
}

/// What peers' digests tell about the own views.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeersSay {
    /// A peer reads the service while this process doesn't: this process is cut off.
    Fresher,
    /// Every peer heard of late is as stale: the service is down.
    AlsoStale,
    /// No peer was heard of late.
    Silent,
}

/// Times of confirmations, ticks and pauses.
#[derive(Debug)]
pub(crate) struct Clockwork {
    fresh_for: Duration,
    pause_bound: Duration,
    confirmed: [Option<BootTime>; DOCUMENTS],
    started: BootTime,
    last_tick: BootTime,
    woken: Option<BootTime>,
}

impl Clockwork {
    pub(crate) fn new(now: BootTime, fresh_for: Duration, pause_bound: Duration) -> Clockwork {
        let confirmed = [None; DOCUMENTS];
        Clockwork {
            fresh_for,
            pause_bound,
            confirmed,
            started: now,
            last_tick: now,
            woken: None,
        }
    }

    /// Notes that the process runs; a gap since the last tick is a pause.
    pub(crate) fn tick(&mut self, now: BootTime) {
        if now.since(self.last_tick) > self.pause_bound {
            self.woken = Some(now);
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Notes an answer to a read that was sent at `asked`; refused if a pause lies between.
    pub(crate) fn confirmed(&mut self, now: BootTime, what: Watched, asked: BootTime) -> bool {
        self.tick(now);
        if self.woken.is_some_and(|woken| asked < woken) {
            return false;
        }
        if let Some(at) = self.confirmed.get_mut(slot(what)) {
            *at = Some(now);
        }
        if self.all_since_wake() {
            self.woken = None;
        }
        true
    }

    pub(crate) fn age(&self, now: BootTime) -> Duration {
        now.since(self.oldest().unwrap_or(self.started))
    }

    pub(crate) fn confirmed_age(&self, now: BootTime) -> Option<Duration> {
        self.oldest().map(|at| now.since(at))
    }

    pub(crate) fn freshness(&self, now: BootTime) -> Freshness {
        let asleep_until_now = now.since(self.last_tick) > self.pause_bound;
        if self.woken.is_some() || asleep_until_now {
            return Freshness::Woken;
        }
        let age = self.age(now);
        match self.oldest() {
            Some(_) if age <= self.fresh_for => Freshness::Fresh,
            _ => Freshness::Stale { age },
        }
    }

    fn oldest(&self) -> Option<BootTime> {
        let all: Option<Vec<BootTime>> = self.confirmed.iter().copied().collect();
        all?.into_iter().min()
    }

    fn all_since_wake(&self) -> bool {
        let Some(woken) = self.woken else { return true };
        self.oldest().is_some_and(|oldest| oldest >= woken)
    }
}

fn slot(what: Watched) -> usize {
    match what {
        Watched::Manifest => 0,
        Watched::Instances => 1,
        Watched::Endpoints => 2,
    }
}
