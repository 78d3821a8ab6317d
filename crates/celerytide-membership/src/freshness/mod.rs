//! Whether the views may be trusted, measured by a clock that includes suspended time.
//!
//! Only a response to a read that was sent after the last suspension confirms a view. A response that waited in a
//! socket while the process was suspended may be outdated.

use std::time::Duration;

use celerytide_types::BootTime;

use crate::view::Document;

const DOCUMENT_COUNT: usize = 3;

/// Whether the views may be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The service confirmed every document within the bound, and no peer has had newer lists for long.
    Fresh,
    /// The service has not responded for longer than the bound, or a peer has newer lists.
    Stale {
        /// Age of the oldest confirmation.
        age: Duration,
    },
    /// The process has resumed after a suspension longer than the bound, and has not read every document since.
    Woken,
}

/// Whether peers have fresh views, by their recent digests; tells a cut-off process from an outage of the
/// configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFreshness {
    /// A peer's views are fresh; if the own ones are not, this process is cut off from the configuration service.
    PeerFresh,
    /// The views of all recently heard peers are stale; if the own ones are too, the configuration service is down.
    AllStale,
    /// No peer was heard from recently.
    NoneHeard,
}

/// Times of confirmations, ticks and suspensions.
#[derive(Debug)]
pub(crate) struct FreshnessTracker {
    fresh_for: Duration,
    suspension_threshold: Duration,
    confirmed_at: [Option<BootTime>; DOCUMENT_COUNT],
    started: BootTime,
    last_tick: BootTime,
    woken_at: Option<BootTime>,
}

impl FreshnessTracker {
    pub(crate) fn new(now: BootTime, fresh_for: Duration, suspension_threshold: Duration) -> FreshnessTracker {
        let confirmed_at = [None; DOCUMENT_COUNT];
        FreshnessTracker {
            fresh_for,
            suspension_threshold,
            confirmed_at,
            started: now,
            last_tick: now,
            woken_at: None,
        }
    }

    /// Records that the process is running; a gap above the bound since the last tick counts as a suspension.
    pub(crate) fn tick(&mut self, now: BootTime) {
        if now.since(self.last_tick) > self.suspension_threshold {
            self.woken_at = Some(now);
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Records a response to a read sent at `sent_at`; returns false if the process was suspended in between.
    pub(crate) fn confirm(&mut self, now: BootTime, document: Document, sent_at: BootTime) -> bool {
        self.tick(now);
        if self.woken_at.is_some_and(|woken_at| sent_at < woken_at) {
            return false;
        }
        if let Some(at) = self.confirmed_at.get_mut(index_of(document)) {
            *at = Some(now);
        }
        if self.all_confirmed_since_wake() {
            self.woken_at = None;
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
        let is_suspended = now.since(self.last_tick) > self.suspension_threshold;
        if self.woken_at.is_some() || is_suspended {
            return Freshness::Woken;
        }
        let age = self.age(now);
        match self.oldest() {
            Some(_) if age <= self.fresh_for => Freshness::Fresh,
            _ => Freshness::Stale { age },
        }
    }

    fn oldest(&self) -> Option<BootTime> {
        let all: Option<Vec<BootTime>> = self.confirmed_at.iter().copied().collect();
        all?.into_iter().min()
    }

    fn all_confirmed_since_wake(&self) -> bool {
        let Some(woken_at) = self.woken_at else { return true };
        self.oldest().is_some_and(|oldest| oldest >= woken_at)
    }
}

fn index_of(document: Document) -> usize {
    match document {
        Document::Manifest => 0,
        Document::Instances => 1,
        Document::Endpoints => 2,
    }
}
