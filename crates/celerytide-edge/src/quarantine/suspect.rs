//! Crashes under one subject.

use std::collections::HashSet;
use std::time::Duration;

use celerytide_types::BootTime;

use super::{CrashEntry, MIN_CRASH_GAP_MS, MIN_CRASHES, MIN_CRASHES_OF_ANY, Progress, Subject, SuspectEntry};

/// Milliseconds of the boot clock; negative before the machine booted.
type BootMillis = i64;

/// Most crashes that are kept.
const MAX_CRASHES: usize = 8;

/// Crashes under one subject.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    subject: Subject,
    /// Hash of the id of the service whose engines crashed.
    pub(super) service: u32,
    /// Number of blocks in front of it.
    pub(super) depth: u16,
    /// Whether the service has answered requests without it since the first of the crashes.
    pub(super) others_served: bool,
    /// Good responses that reset the crashes; of two records the one with more of them is newer.
    pub(super) resets: u32,
    crashes: Vec<Crash>,
    /// When this instance last learned something new.
    pub(super) changed_at: BootTime,
    /// When the last crash was, or the last request that was refused.
    active_at: BootMillis,
}

/// One crash of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    endpoint: u32,
    at: BootMillis,
    /// How far the request with the subject that had come furthest was.
    progress: Progress,
}

impl Crash {
    pub(super) fn new(endpoint: u32, progress: Progress, now: BootTime) -> Crash {
        let at = millis(now);
        Crash { endpoint, at, progress }
    }
}

impl Suspect {
    pub(super) fn new(subject: Subject, service: u32, depth: u16, now: BootTime) -> Suspect {
        Suspect {
            subject,
            service,
            depth,
            others_served: false,
            resets: 0,
            crashes: Vec::new(),
            changed_at: now,
            active_at: millis(now),
        }
    }

    /// Notes that a request with the subject came.
    pub(super) fn touch(&mut self, now: BootTime) {
        self.active_at = millis(now);
    }

    /// Time since the last crash or refused request.
    pub(super) fn idle(&self, now: BootTime) -> Duration {
        Duration::from_millis(u64::try_from(millis(now) - self.active_at).unwrap_or(0))
    }

    /// Crashes at different endpoints; under a block also at different moments, since some of its many requests are at
    /// each endpoint.
    pub(super) fn crash_count(&self) -> usize {
        self.count(self.crashes.iter())
    }

    /// Whether the crashes of other endpoints than these are enough to withhold the subject.
    pub(super) fn is_enough_without(&self, endpoints: &HashSet<u32>) -> bool {
        self.is_enough_with(endpoints, 0)
    }

    /// Whether one more crash would be enough.
    pub(super) fn is_close(&self) -> bool {
        self.is_enough_with(&HashSet::new(), 1)
    }

    fn is_enough_with(&self, explained: &HashSet<u32>, more: usize) -> bool {
        let open = || self.crashes.iter().filter(|crash| !explained.contains(&crash.endpoint));
        let begun = open().filter(|crash| crash.progress == Progress::Begun);
        self.count(begun) + more >= MIN_CRASHES || self.count(open()) + more >= MIN_CRASHES_OF_ANY
    }

    fn count<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> usize {
        match self.subject {
            Subject::Block(_) => count_moments(crashes),
            Subject::Request(_) => crashes.count(),
        }
    }

    /// Endpoints that crashed.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = u32> {
        self.crashes.iter().map(|crash| crash.endpoint)
    }

    /// Adds a crash; returns whether it is news.
    pub(super) fn add_crash(&mut self, crash: Crash, now: BootTime) -> bool {
        let is_news = self.insert(crash);
        if is_news {
            self.changed_at = now;
            self.touch(now);
        }
        is_news
    }

    /// Drops the crashes before a good response that ended at `good_at`; returns whether there were any.
    pub(super) fn reset(&mut self, good_at: BootTime, now: BootTime) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > millis(good_at));
        let is_news = self.crashes.len() < before;
        if is_news {
            self.resets = self.resets.saturating_add(1);
            self.others_served = false;
            self.changed_at = now;
        }
        is_news
    }

    /// Notes that the service answered a request without the subject; returns whether it is news.
    pub(super) fn note_other_served(&mut self, now: BootTime) -> bool {
        if self.others_served || self.crashes.is_empty() {
            return false;
        }
        self.others_served = true;
        self.changed_at = now;
        true
    }

    /// Takes over what a peer knows; returns whether it is news.
    pub(super) fn merge(&mut self, told: &SuspectEntry, now: BootTime) -> bool {
        if told.resets < self.resets {
            // The peer missed a good response: it is told again.
            self.changed_at = now;
            return false;
        }
        let mut is_news = told.resets > self.resets;
        if is_news {
            self.resets = told.resets;
            self.crashes.clear();
            self.others_served = false;
        }
        is_news |= told.others_served && !self.others_served;
        self.others_served |= told.others_served;
        self.depth = self.depth.min(told.depth);
        let mut progress = told.progress.iter().copied();
        for crash in &told.crashes {
            is_news |= self.insert(Crash {
                endpoint: crash.endpoint,
                at: millis(now) - BootMillis::from(crash.age_ms),
                progress: progress.next().unwrap_or(Progress::Begun),
            });
        }
        let active_at = millis(now) - BootMillis::from(told.idle_ms);
        self.active_at = self.active_at.max(active_at);
        if is_news {
            self.changed_at = now;
        }
        is_news
    }

    pub(super) fn entry(&self, now: BootTime) -> SuspectEntry {
        let age = |at: BootMillis| u32::try_from((millis(now) - at).max(0)).unwrap_or(u32::MAX);
        let crash = |crash: &Crash| CrashEntry {
            endpoint: crash.endpoint,
            age_ms: age(crash.at),
        };
        let progress = self.crashes.iter().map(|crash| crash.progress);
        let is_plain = progress.clone().all(|progress| progress == Progress::Begun);
        SuspectEntry {
            subject: self.subject,
            service: self.service,
            depth: self.depth,
            others_served: self.others_served,
            resets: self.resets,
            crashes: self.crashes.iter().map(crash).collect(),
            idle_ms: age(self.active_at),
            progress: if is_plain { Vec::new() } else { progress.collect() },
        }
    }

    /// Inserts a crash in the order of time; false if its endpoint is known with a request that had come as far.
    fn insert(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.endpoint == crash.endpoint) {
            let is_news = crash.progress > known.progress;
            known.progress = known.progress.max(crash.progress);
            return is_news;
        }
        let order = |crash: &Crash| (crash.at, crash.endpoint);
        let index = self.crashes.partition_point(|known| order(known) <= order(&crash));
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            // The oldest goes, whoever learned of it when, so that all instances and all subjects of a crash keep the same.
            self.crashes.remove(0);
        }
        self.crashes.contains(&crash)
    }
}

/// Number of crashes, of which those shortly after a counted one don't count: they have a common cause.
fn count_moments<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut last: Option<BootMillis> = None;
    let is_counted = |crash: &&Crash| {
        let counts = last.is_none_or(|last| crash.at - last >= MIN_CRASH_GAP_MS);
        if counts {
            last = Some(crash.at);
        }
        counts
    };
    crashes.filter(is_counted).count()
}

fn millis(at: BootTime) -> BootMillis {
    BootMillis::try_from(at.since_start().as_millis()).unwrap_or(BootMillis::MAX)
}
