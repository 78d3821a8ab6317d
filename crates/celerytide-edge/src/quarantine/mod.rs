//! Withholds requests under which endpoints crash.
//!
//! Designed for this fault: a request, or one block of many prompts, crashes each endpoint that begins to run it. Such
//! requests come at any instance, so that each instance sees few of the crashes and none could tell alone; each one takes
//! a whole endpoint with all that it runs.
//!
//! What a request has that may be the cause is a [`Subject`]: the request itself, known again by its content, and the shared
//! blocks of its prompt. When an endpoint breaks off a response, all of these are suspects. Before a head, and long after it,
//! all that wait or run there look alike, so that more crashes are needed, at about the same time after the head. Suspicion is counted by crash, so by
//! start of an endpoint, whatever number of requests broke off there and whoever saw it. Under a block, crashes at one
//! moment count once, since they have a common cause. A response that comes further than those at the crashes ends suspicion of its
//! subjects: blocks of many prompts are in most crashes, and in far more good responses. Instances tell each other what they saw, so that all
//! reach the same decision. A subject with [`MIN_CRASHES`] crashes and no good response since is withheld, unless another
//! one explains its crashes, or its service answers nothing else either: then the endpoints are the cause.

mod good_responses;
mod name;
mod progress;
mod release;
mod suspect;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use celerytide_http::client::Cause;
use celerytide_types::{BootTime, data};
use rand::seq::IteratorRandom;

use good_responses::{GoodResponse, GoodResponses};
use suspect::{Crash, Suspect};

pub use name::NameError;
pub use progress::{BreakOff, Checkpoints, Evidence, Progress, Reached};
pub use release::{Releases, Releasing};

use crate::request::ContentHash;

/// Crashes of responses that had just begun from which a subject is withheld.
pub const MIN_CRASHES: usize = 3;
/// Crashes from which a block is withheld whatever requests with it were there; one less than the users' rule counts from.
pub const MIN_CRASHES_OF_ANY: usize = 4;
/// Milliseconds between two crashes from which they count as two for a block.
const MIN_CRASH_GAP_MS: i64 = 250;
/// Crashes beyond those of a request by which a block explains more than that request.
const BLOCK_LEAD: usize = 2;
/// Time without a crash or a refused request after which a withheld subject is forgotten.
const KEEP_TIME: Duration = Duration::from_secs(24 * 3600);
/// The same for a subject that isn't withheld.
const KEEP_SUSPECT_TIME: Duration = Duration::from_secs(600);
/// Most subjects that are known.
const MAX_SUSPECTS: usize = 512;
/// Time for which a change is told in every digest.
const NEWS_TIME: Duration = Duration::from_millis(800);
/// Interval at which known subjects are told again, for instances that missed the change.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Most entries in one digest.
const MAX_ENTRIES: usize = 4;
/// Most of them for subjects that are withheld or close to it.
const MAX_LIKELY_ENTRIES: usize = 3;

data! {
    /// What a request has that may be the cause of a crash; the narrower one is the greater.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Subject {
        /// A shared block of its prompt, by id.
        Block(u64),
        /// The request itself, each time that it comes.
        Request(ContentHash),
    }

    /// One crash of an endpoint.
    #[derive(Copy, Eq)]
    pub struct CrashEntry {
        /// Hash of the endpoint's id and start.
        pub endpoint: u32,
        /// Time since the crash in milliseconds.
        pub age_ms: u32,
    }

    /// What one instance tells others of a subject.
    #[derive(Eq)]
    pub struct SuspectEntry {
        /// The subject.
        pub subject: Subject,
        /// Hash of the id of the service whose endpoints crashed.
        pub service: u32,
        /// Number of subjects in front of it.
        pub depth: u16,
        /// Whether the service has answered requests without it since the first of the crashes.
        pub others_served: bool,
        /// Number of good responses that reset the crashes.
        pub resets: u32,
        /// Crashes since then.
        pub crashes: Vec<CrashEntry>,
        /// Time since the last crash or refused request in milliseconds.
        pub idle_ms: u32,
        /// What each of the crashes proves; empty if a response had just begun at all and none has come further.
        #[serde(skip)]
        pub evidence: Vec<Evidence>,
    }
}

/// Whether an error of a request is what a crash of its endpoint looks like: the end of the connection, and
/// neither silence nor invalid bytes.
pub fn is_crash(cause: &Cause) -> bool {
    matches!(cause, Cause::Closed | Cause::Read { .. })
}

/// A change of what is known of a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The subject.
    pub subject: Subject,
    /// What it is now.
    pub status: SubjectStatus,
    /// Crashes that count.
    pub crashes: usize,
    /// Good responses that reset the crashes.
    pub resets: u32,
}

/// What follows for requests with a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubjectStatus {
    /// They are sent, though endpoints crashed under it.
    Suspected,
    /// They are refused.
    Withheld,
    /// They are sent, and were refused before.
    Released,
}

/// Subjects under which endpoints crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Subject, Suspect>,
    withheld: HashSet<Subject>,
    good_responses: GoodResponses,
    told_at: BootTime,
}

impl Quarantine {
    /// The first of `subjects` that is withheld; notes that a request with it came.
    pub fn withheld(&mut self, mut subjects: impl Iterator<Item = Subject>, now: BootTime) -> Option<Subject> {
        let subject = subjects.find(|subject| self.withheld.contains(subject))?;
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.touch(now);
        }
        Some(subject)
    }

    /// Whether a request with `subjects` that broke off suspiciously may be sent again: not if one more crash would make one
    /// of them withheld.
    pub fn allows_repeat(&self, mut subjects: impl Iterator<Item = Subject>) -> bool {
        let is_close = |subject| self.suspects.get(&subject).is_some_and(Suspect::is_close);
        !subjects.any(is_close)
    }

    /// Records that an endpoint of `service` crashed when a request with `subjects`, from the widest on, had come so far.
    pub fn record_crash(
        &mut self,
        service: u32,
        subjects: &[Subject],
        (endpoint, progress): (u32, Progress),
        now: BootTime,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for (depth, subject) in subjects.iter().enumerate() {
            let depth = u16::try_from(depth).unwrap_or(u16::MAX);
            let suspect = self
                .suspects
                .entry(*subject)
                .or_insert_with(|| Suspect::new(*subject, service, depth, now));
            if suspect.add_crash(Crash::new(endpoint, progress.against(*subject), now), now) {
                changes.extend(self.change(*subject, SubjectStatus::Suspected));
            }
        }
        self.make_room(now);
        changes.extend(self.update_withheld(now));
        changes
    }

    /// Records that a response of `service` to a request with `subjects` came so far.
    pub fn record_good(&mut self, service: u32, subjects: &[Subject], reached: Reached, now: BootTime) -> Vec<Change> {
        let good = GoodResponse { reached, at: now };
        let mut is_news = false;
        for subject in subjects {
            self.good_responses.record(*subject, good);
        }
        for (subject, suspect) in &mut self.suspects {
            is_news |= if subjects.contains(subject) {
                suspect.reset(good, now)
            } else {
                suspect.service == service && suspect.note_other_served(good)
            };
        }
        if is_news { self.update_withheld(now) } else { Vec::new() }
    }

    /// Records an answer of an endpoint, given by the hash of its id and start: it has not crashed a moment ago.
    pub fn record_answer(&mut self, endpoint: u32, now: BootTime) -> Vec<Change> {
        let mut is_news = false;
        for suspect in self.suspects.values_mut() {
            is_news |= suspect.disprove(endpoint, now);
        }
        if is_news { self.update_withheld(now) } else { Vec::new() }
    }

    /// Whether there are subjects under which endpoints crashed.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Applies what a peer tells.
    pub fn learn(&mut self, told: &[SuspectEntry], now: BootTime) -> Vec<Change> {
        let mut is_news = false;
        for entry in told {
            if entry.crashes.is_empty() && !self.suspects.contains_key(&entry.subject) {
                continue;
            }
            let suspect = self
                .suspects
                .entry(entry.subject)
                .or_insert_with(|| Suspect::new(entry.subject, entry.service, entry.depth, now));
            is_news |= suspect.merge(entry, now);
            for good in self.good_responses.of(entry.subject) {
                is_news |= suspect.reset(*good, now);
            }
        }
        if !is_news {
            return Vec::new();
        }
        self.make_room(now);
        self.update_withheld(now)
    }

    /// Entries to tell others now: recent changes each time, and a sample of all now and then.
    pub fn entries(&mut self, now: BootTime) -> Vec<SuspectEntry> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let tells_all = now.since(self.told_at) >= REPEAT_INTERVAL;
        if tells_all {
            self.told_at = now;
        }
        let is_due = |suspect: &Suspect| tells_all || now.since(suspect.changed_at) < NEWS_TIME;
        let is_likely = |subject: &Subject, suspect: &Suspect| self.withheld.contains(subject) || suspect.is_close();
        let sample = |of_likely: bool, count: usize| {
            let of_kind = self
                .suspects
                .iter()
                .filter(|(subject, s)| is_likely(subject, s) == of_likely);
            of_kind
                .filter(|(_, suspect)| is_due(suspect))
                .choose_multiple(&mut rand::rng(), count)
        };
        let mut chosen = sample(true, MAX_LIKELY_ENTRIES);
        chosen.extend(sample(false, MAX_ENTRIES - chosen.len()));
        chosen.into_iter().map(|(_, suspect)| suspect.entry(now)).collect()
    }

    /// Ends a verdict by an operator's decision. Its crashes no longer count, neither for this subject nor for those that it
    /// explained: a wider block would be withheld in its place. Other withheld subjects stay.
    pub fn release(&mut self, subject: Subject, now: BootTime) -> Vec<Change> {
        let Some(released) = self.suspects.get(&subject).filter(|_| self.withheld.contains(&subject)) else {
            return Vec::new();
        };
        let endpoints: HashSet<u32> = released.endpoints().collect();
        for (other, suspect) in &mut self.suspects {
            let is_explained = !self.withheld.contains(other) && suspect.endpoints().any(|e| endpoints.contains(&e));
            if *other == subject || is_explained {
                suspect.reset_all(now);
            }
        }
        self.update_withheld(now)
    }

    /// Forgets subjects that nobody has asked for in a long time.
    pub fn sweep(&mut self, now: BootTime) -> Vec<Change> {
        self.good_responses.sweep(now);
        let before = self.suspects.len();
        self.suspects.retain(|subject, suspect| {
            let keep = if self.withheld.contains(subject) {
                KEEP_TIME
            } else {
                KEEP_SUSPECT_TIME
            };
            suspect.idle(now) < keep
        });
        if self.suspects.len() == before && self.withheld.is_empty() {
            Vec::new()
        } else {
            self.update_withheld(now)
        }
    }

    /// Subjects that are withheld.
    pub fn all_withheld(&self) -> impl Iterator<Item = Subject> {
        self.withheld.iter().copied()
    }

    /// Decides anew which subjects are withheld: as few as explain the crashes. The one with the most crashes comes first, of
    /// equal ones the narrowest, since fewer requests have it; each further one needs as many crashes without those before.
    fn update_withheld(&mut self, now: BootTime) -> Vec<Change> {
        let is_heavy = |(subject, suspect): &(&Subject, &Suspect)| {
            suspect.others_served
                && suspect.is_enough_without(&HashSet::new(), now)
                && !self.is_just_answered(**subject, now)
        };
        let mut heavy: Vec<(&Subject, &Suspect)> = self.suspects.iter().filter(is_heavy).collect();
        heavy.sort_by_key(|(subject, suspect)| {
            Reverse((rank(**subject, suspect), is_request(subject), suspect.depth, **subject))
        });
        let mut explained = HashSet::new();
        let mut withheld = HashSet::new();
        for (subject, suspect) in heavy {
            if suspect.is_enough_without(&explained, now) {
                withheld.insert(*subject);
                explained.extend(suspect.endpoints());
            }
        }
        let before = std::mem::replace(&mut self.withheld, withheld);
        let new = self
            .withheld
            .difference(&before)
            .map(|subject| (*subject, SubjectStatus::Withheld));
        let gone = before
            .difference(&self.withheld)
            .map(|subject| (*subject, SubjectStatus::Released));
        new.chain(gone)
            .filter_map(|(subject, status)| self.change(subject, status))
            .collect()
    }

    /// Whether it is a request that was answered a moment ago. Requests that are polled are equal to the letter, and some
    /// of them break off at several endpoints by chance. Blocks aren't spared: engines may begin to crash under one that is
    /// in use.
    fn is_just_answered(&self, subject: Subject, now: BootTime) -> bool {
        is_request(&subject) && self.good_responses.is_recent(subject, now)
    }

    fn change(&self, subject: Subject, status: SubjectStatus) -> Option<Change> {
        let suspect = self.suspects.get(&subject);
        (suspect.is_some() || status == SubjectStatus::Released).then(|| Change {
            subject,
            status,
            crashes: suspect.map_or(0, Suspect::crash_count),
            resets: suspect.map_or(0, |suspect| suspect.resets),
        })
    }

    /// Drops the subjects with the least evidence, the oldest first, if there are too many.
    fn make_room(&mut self, now: BootTime) {
        let rank = |suspect: &Suspect| (suspect.crash_count(), Reverse(suspect.idle(now)));
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, suspect)| rank(suspect));
            let Some(subject) = least.map(|(subject, _)| *subject) else {
                return;
            };
            self.suspects.remove(&subject);
        }
    }
}

fn is_request(subject: &Subject) -> bool {
    matches!(subject, Subject::Request(_))
}

/// Moments with crashes by which subjects are compared: a block needs some more than a request to explain more.
fn rank(subject: Subject, suspect: &Suspect) -> usize {
    let lead = match subject {
        Subject::Block(_) => 0,
        Subject::Request(_) => BLOCK_LEAD - 1,
    };
    suspect.moment_count() + lead
}
