//! Crashes under one subject.

use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use celerytide_types::BootTime;

use super::good_responses::GoodResponse;
use super::{
    CrashEntry, Evidence, MIN_CRASH_GAP_MS, MIN_CRASHES, MIN_CRASHES_OF_ANY, Progress, Reached, Subject, SuspectEntry,
};

/// Milliseconds of the boot clock; negative before the machine booted.
type BootMillis = i64;

/// Milliseconds after a crash in which an answer of the same start of the endpoint shows that it did not crash; a later one may
/// come from a start that isn't known yet.
const DISPROOF_MS: RangeInclusive<BootMillis> = 100..=1000;
/// Milliseconds for which a crash counts under a request that only waited or ran there, so that a verdict on a subject that had no
/// part in the crashes ends.
const WEAK_EVIDENCE_MS: BootMillis = 600_000;
/// Most crashes that are kept: as many moments as are needed, with the tries of one caller at each.
const MAX_CRASHES: usize = 16;

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
    evidence: Evidence,
}

impl Crash {
    pub(super) fn new(endpoint: u32, progress: Progress, now: BootTime) -> Crash {
        Crash {
            endpoint,
            at: millis(now),
            evidence: Evidence {
                progress,
                reached: None,
            },
        }
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

    /// Crashes at different endpoints, at about the same time after the head; under a block also at different moments, since
    /// some of its many requests are at each endpoint.
    pub(super) fn crash_count(&self) -> usize {
        self.count_alike(&HashSet::new(), BootMillis::MIN)
    }

    /// Moments with crashes, also under a request, so that it compares with its blocks.
    pub(super) fn moment_count(&self) -> usize {
        count_moments(self.unexplained(&HashSet::new()))
    }

    /// The most crashes from `oldest` on that may have one cause, without those of `explained` endpoints.
    fn count_alike(&self, explained: &HashSet<u32>, oldest: BootMillis) -> usize {
        let recent = || self.unexplained(explained).filter(|crash| crash.at >= oldest);
        let first = recent().map(|crash| crash.evidence.progress);
        let alike = |first: Progress| self.count(recent().filter(|crash| first.is_like(crash.evidence.progress)));
        first.map(alike).max().unwrap_or(0)
    }

    /// Crashes that no response acquits the subject of, without those of these endpoints.
    fn unexplained<'a>(&'a self, explained: &'a HashSet<u32>) -> impl Iterator<Item = &'a Crash> {
        let held = self.crashes.iter().filter(|crash| crash.evidence.holds());
        held.filter(|crash| !explained.contains(&crash.endpoint))
    }

    /// Whether the crashes of other endpoints than these are enough to withhold the subject.
    pub(super) fn is_enough_without(&self, endpoints: &HashSet<u32>, now: BootTime) -> bool {
        self.is_enough_with(endpoints, 0, millis(now) - WEAK_EVIDENCE_MS)
    }

    /// Whether one more crash would be enough.
    pub(super) fn is_close(&self) -> bool {
        self.is_enough_with(&HashSet::new(), 1, BootMillis::MIN)
    }

    /// Crashes of responses that had just begun count always, others from `oldest` on.
    fn is_enough_with(&self, explained: &HashSet<u32>, more: usize, oldest: BootMillis) -> bool {
        let is_begun = |crash: &&Crash| crash.evidence.progress == Progress::Begun;
        let begun = self.unexplained(explained).filter(is_begun);
        self.count(begun) + more >= MIN_CRASHES || self.count_alike(explained, oldest) + more >= MIN_CRASHES_OF_ANY
    }

    fn count<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> usize {
        match self.subject {
            Subject::Block(_) => count_moments(crashes),
            Subject::Request(_) => crashes.count(),
        }
    }

    /// Endpoints that crashed, and that no response acquits the subject of.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = u32> {
        let held = self.crashes.iter().filter(|crash| crash.evidence.holds());
        held.map(|crash| crash.endpoint)
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

    /// Notes a good response after the crashes; returns whether it is news.
    pub(super) fn reset(&mut self, good: GoodResponse, now: BootTime) -> bool {
        let mut is_news = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= millis(good.at)) {
            is_news |= crash.evidence.holds() && good.reached.is_beyond(crash.evidence.progress);
            crash.evidence.reached = crash.evidence.reached.max(Some(good.reached));
        }
        if is_news {
            self.changed_at = now;
            self.clear_unfounded();
        }
        is_news
    }

    /// Notes an answer of an endpoint, perhaps of one that seemed to have crashed; returns whether it is news.
    pub(super) fn disprove(&mut self, endpoint: u32, now: BootTime) -> bool {
        let is_disproved = |crash: &&mut Crash| {
            crash.endpoint == endpoint && crash.evidence.holds() && DISPROOF_MS.contains(&(millis(now) - crash.at))
        };
        let Some(crash) = self.crashes.iter_mut().find(is_disproved) else {
            return false;
        };
        crash.evidence.reached = Some(Reached::End);
        self.changed_at = now;
        self.clear_unfounded();
        true
    }

    /// Drops the crashes if none of them is evidence any more.
    fn clear_unfounded(&mut self) {
        if !self.crashes.is_empty() && !self.crashes.iter().any(|crash| crash.evidence.holds()) {
            self.clear();
        }
    }

    /// Drops the crashes, whatever they prove; peers that know them drop them too, since the record is newer.
    pub(super) fn reset_all(&mut self, now: BootTime) {
        self.changed_at = now;
        self.clear();
    }

    fn clear(&mut self) {
        self.crashes.clear();
        self.resets = self.resets.saturating_add(1);
        self.others_served = false;
    }

    /// Notes a good response of the service without the subject; returns whether it is news.
    pub(super) fn note_other_served(&mut self, good: GoodResponse) -> bool {
        let is_beyond = |crash: &Crash| good.reached.is_beyond(crash.evidence.progress);
        if self.others_served || self.crashes.is_empty() || !self.crashes.iter().all(is_beyond) {
            return false;
        }
        self.others_served = true;
        self.changed_at = good.at;
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
        let mut evidence = told.evidence.iter().copied();
        for crash in &told.crashes {
            is_news |= self.insert(Crash {
                endpoint: crash.endpoint,
                at: millis(now) - BootMillis::from(crash.age_ms),
                evidence: evidence.next().unwrap_or(Evidence::BEGUN),
            });
        }
        let active_at = millis(now) - BootMillis::from(told.idle_ms);
        self.active_at = self.active_at.max(active_at);
        if is_news {
            self.changed_at = now;
            self.clear_unfounded();
        }
        is_news
    }

    pub(super) fn entry(&self, now: BootTime) -> SuspectEntry {
        let age = |at: BootMillis| u32::try_from((millis(now) - at).max(0)).unwrap_or(u32::MAX);
        let crash = |crash: &Crash| CrashEntry {
            endpoint: crash.endpoint,
            age_ms: age(crash.at),
        };
        let evidence = self.crashes.iter().map(|crash| crash.evidence);
        let is_plain = evidence.clone().all(|evidence| evidence == Evidence::BEGUN);
        SuspectEntry {
            subject: self.subject,
            service: self.service,
            depth: self.depth,
            others_served: self.others_served,
            resets: self.resets,
            crashes: self.crashes.iter().map(crash).collect(),
            idle_ms: age(self.active_at),
            evidence: if is_plain { Vec::new() } else { evidence.collect() },
        }
    }

    /// Inserts a crash in the order of time; false if all of it is known.
    fn insert(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.endpoint == crash.endpoint) {
            let evidence = known.evidence.and(crash.evidence);
            return std::mem::replace(&mut known.evidence, evidence) != evidence;
        }
        let order = |crash: &Crash| (crash.at, crash.endpoint);
        let index = self.crashes.partition_point(|known| order(known) <= order(&crash));
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(self.least_telling());
        }
        self.crashes.contains(&crash)
    }

    /// The crash that goes if there are too many: one that begins no moment, of these the weakest, of equal ones the oldest.
    /// Else the oldest. It doesn't matter who learned of it when, so that all instances and all subjects of a crash keep the same.
    fn least_telling(&self) -> usize {
        let mut moments = Moments::default();
        let held = self
            .crashes
            .iter()
            .enumerate()
            .filter(|(_, crash)| crash.evidence.holds());
        let further = held.filter(|(_, crash)| !moments.begins(crash));
        let weakest = further.min_by_key(|(_, crash)| crash.evidence.progress);
        weakest.map_or(0, |(index, _)| index)
    }
}

/// Number of crashes, of which those shortly after a counted one don't count: they have a common cause.
fn count_moments<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut moments = Moments::default();
    crashes.filter(|crash| moments.begins(crash)).count()
}

/// Moments with crashes, from the oldest on.
#[derive(Default)]
struct Moments {
    last: Option<BootMillis>,
}

impl Moments {
    /// Whether a moment begins with this crash.
    fn begins(&mut self, crash: &Crash) -> bool {
        let begins = self.last.is_none_or(|last| crash.at - last >= MIN_CRASH_GAP_MS);
        if begins {
            self.last = Some(crash.at);
        }
        begins
    }
}

fn millis(at: BootTime) -> BootMillis {
    BootMillis::try_from(at.since_start().as_millis()).unwrap_or(BootMillis::MAX)
}
