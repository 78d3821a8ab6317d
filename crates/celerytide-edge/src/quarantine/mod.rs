//! Withholds prompt blocks under which engines crash.
//!
//! Designed for this fault: one block of a prompt crashes each engine that begins to answer it. Its requests come at any
//! instance, so that each instance sees few of the crashes and none could tell alone; each one takes a whole engine with
//! all of its streams.
//!
//! When an engine breaks off a response that had just begun, the shared blocks of that prompt are suspects. Suspicion is
//! counted by crash, so by start of an endpoint, whatever number of requests broke off there and whoever saw it, and
//! crashes at one moment count once, since they have a common cause. A response that goes on ends suspicion of its blocks:
//! blocks of many prompts are in most crashes, and in far more good responses. Instances tell each other what they saw,
//! so that all reach the same decision. A block with [`MIN_CRASHES`] crashes and no good response since is withheld, unless
//! another one explains its crashes, or its service answers no other prompts either: then the engines are the cause.

mod good_responses;
mod suspect;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use celerytide_http::client::Cause;
use celerytide_types::{BootTime, data};
use rand::seq::IteratorRandom;

use good_responses::GoodResponses;
use suspect::Suspect;

/// Crashes from which a block is withheld.
pub const MIN_CRASHES: usize = 3;
/// Milliseconds between two crashes from which they count as two.
const MIN_CRASH_GAP_MS: i64 = 250;
/// Time after the head of a response within which a broken response makes its blocks suspects.
const BEGIN_TIME: Duration = Duration::from_millis(300);
/// The same for a response without an event.
const SILENT_BEGIN_TIME: Duration = Duration::from_secs(2);
/// Time after the head from which a response that goes on is a good one.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Time without a crash or a refused request after which a withheld block is forgotten.
const KEEP_TIME: Duration = Duration::from_secs(24 * 3600);
/// The same for a block that isn't withheld.
const KEEP_SUSPECT_TIME: Duration = Duration::from_secs(600);
/// Most blocks that are known.
const MAX_SUSPECTS: usize = 512;
/// Time for which a change is told in every digest.
const NEWS_TIME: Duration = Duration::from_millis(800);
/// Interval at which known blocks are told again, for instances that missed the change.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Most entries in one digest.
const MAX_ENTRIES: usize = 4;

data! {
    /// One crash of an endpoint.
    #[derive(Copy, Eq)]
    pub struct CrashEntry {
        /// Hash of the endpoint's id and start.
        pub endpoint: u32,
        /// Time since the crash in milliseconds.
        pub age_ms: u32,
    }

    /// What one instance tells others of a block.
    #[derive(Eq)]
    pub struct SuspectEntry {
        /// The block's id.
        pub block: u64,
        /// Hash of the id of the service whose engines crashed.
        pub service: u32,
        /// Number of blocks in front of it.
        pub depth: u16,
        /// Whether the service has answered prompts without it since the first of the crashes.
        pub others_served: bool,
        /// Number of good responses that reset the crashes.
        pub resets: u32,
        /// Crashes since then.
        pub crashes: Vec<CrashEntry>,
        /// Time since the last crash or refused request in milliseconds.
        pub idle_ms: u32,
    }
}

/// Whether an error in the body of a response is what a crash of its endpoint looks like: the end of the connection, and
/// neither silence nor invalid bytes.
pub fn is_crash(cause: &Cause) -> bool {
    matches!(cause, Cause::Closed | Cause::Read { .. })
}

/// How an endpoint broke off a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakOff {
    /// Hash of the endpoint's id and start.
    pub endpoint: u32,
    /// Time since the head of the response.
    pub head_age: Duration,
    /// Whether an event had arrived.
    pub has_events: bool,
}

impl BreakOff {
    /// Whether the response had just begun, so that its prompt may be the cause.
    pub fn is_suspicious(&self) -> bool {
        let time = if self.has_events { BEGIN_TIME } else { SILENT_BEGIN_TIME };
        self.head_age < time
    }
}

/// A change of what is known of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The block's id.
    pub block: u64,
    /// What it is now.
    pub status: BlockStatus,
    /// Crashes that count.
    pub crashes: usize,
    /// Good responses that reset the crashes.
    pub resets: u32,
}

/// What follows for requests with a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockStatus {
    /// They are sent, though engines crashed under the block.
    Suspected,
    /// They are refused.
    Withheld,
    /// They are sent, and were refused before.
    Released,
}

/// Blocks under which engines crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    withheld: HashSet<u64>,
    good_responses: GoodResponses,
    told_at: BootTime,
}

impl Quarantine {
    /// The first of `blocks` that is withheld; notes that a request with it came.
    pub fn withheld(&mut self, mut blocks: impl Iterator<Item = u64>, now: BootTime) -> Option<u64> {
        let block = blocks.find(|block| self.withheld.contains(block))?;
        if let Some(suspect) = self.suspects.get_mut(&block) {
            suspect.touch(now);
        }
        Some(block)
    }

    /// Whether a request with `blocks` that broke off suspiciously may be sent again: not if one more crash would make one
    /// of them withheld.
    pub fn allows_repeat(&self, blocks: impl Iterator<Item = u64>) -> bool {
        let crashes = |block| self.suspects.get(&block).map_or(0, Suspect::crash_count);
        blocks.map(crashes).max().unwrap_or(0) + 1 < MIN_CRASHES
    }

    /// Records that an endpoint of `service` crashed while a response to a prompt with `blocks`, from the front, had just
    /// begun.
    pub fn record_crash(&mut self, service: u32, blocks: &[u64], endpoint: u32, now: BootTime) -> Vec<Change> {
        let mut changes = Vec::new();
        for (depth, block) in blocks.iter().enumerate() {
            let depth = u16::try_from(depth).unwrap_or(u16::MAX);
            let suspect = self
                .suspects
                .entry(*block)
                .or_insert_with(|| Suspect::new(service, depth, now));
            if suspect.add_crash(endpoint, now) {
                changes.extend(self.change(*block, BlockStatus::Suspected));
            }
        }
        self.make_room(now);
        changes.extend(self.update_withheld());
        changes
    }

    /// Records that a response of `service` to a prompt with `blocks` went on.
    pub fn record_good(&mut self, service: u32, blocks: &[u64], now: BootTime) -> Vec<Change> {
        let mut is_news = false;
        for block in blocks {
            self.good_responses.record(*block, now);
        }
        for (block, suspect) in &mut self.suspects {
            is_news |= if blocks.contains(block) {
                suspect.reset(now, now)
            } else {
                suspect.service == service && suspect.note_other_served(now)
            };
        }
        if is_news { self.update_withheld() } else { Vec::new() }
    }

    /// Applies what a peer tells.
    pub fn learn(&mut self, told: &[SuspectEntry], now: BootTime) -> Vec<Change> {
        let mut is_news = false;
        for entry in told {
            if entry.crashes.is_empty() && !self.suspects.contains_key(&entry.block) {
                continue;
            }
            let suspect = self
                .suspects
                .entry(entry.block)
                .or_insert_with(|| Suspect::new(entry.service, entry.depth, now));
            is_news |= suspect.merge(entry, now);
            if let Some(good_at) = self.good_responses.last(entry.block) {
                is_news |= suspect.reset(good_at, now);
            }
        }
        if !is_news {
            return Vec::new();
        }
        self.make_room(now);
        self.update_withheld()
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
        let sample = |of_withheld: bool, count: usize| {
            let of_kind = self
                .suspects
                .iter()
                .filter(|(block, _)| self.withheld.contains(block) == of_withheld);
            of_kind
                .filter(|(_, suspect)| is_due(suspect))
                .choose_multiple(&mut rand::rng(), count)
        };
        let mut chosen = sample(true, MAX_ENTRIES);
        chosen.extend(sample(false, MAX_ENTRIES - chosen.len()));
        chosen
            .into_iter()
            .map(|(block, suspect)| suspect.entry(*block, now))
            .collect()
    }

    /// Forgets blocks that nobody has asked for in a long time.
    pub fn sweep(&mut self, now: BootTime) -> Vec<Change> {
        self.good_responses.sweep(now);
        let before = self.suspects.len();
        self.suspects.retain(|block, suspect| {
            let keep = if self.withheld.contains(block) {
                KEEP_TIME
            } else {
                KEEP_SUSPECT_TIME
            };
            suspect.idle(now) < keep
        });
        if self.suspects.len() == before {
            Vec::new()
        } else {
            self.update_withheld()
        }
    }

    /// Number of blocks that are withheld.
    pub fn withheld_count(&self) -> usize {
        self.withheld.len()
    }

    /// Decides anew which blocks are withheld: as few as explain the crashes. The one with the most crashes comes first, of
    /// equal ones the deepest, since fewer prompts have it; each further one needs as many crashes without those before.
    fn update_withheld(&mut self) -> Vec<Change> {
        let is_heavy = |suspect: &Suspect| suspect.others_served && suspect.crash_count() >= MIN_CRASHES;
        let mut heavy: Vec<(&u64, &Suspect)> = self.suspects.iter().filter(|(_, s)| is_heavy(s)).collect();
        heavy.sort_by_key(|(block, suspect)| Reverse((suspect.crash_count(), suspect.depth, **block)));
        let mut explained = HashSet::new();
        let mut withheld = HashSet::new();
        for (block, suspect) in heavy {
            if suspect.crash_count_without(&explained) >= MIN_CRASHES {
                withheld.insert(*block);
                explained.extend(suspect.endpoints());
            }
        }
        let before = std::mem::replace(&mut self.withheld, withheld);
        let new = self
            .withheld
            .difference(&before)
            .map(|block| (*block, BlockStatus::Withheld));
        let gone = before
            .difference(&self.withheld)
            .map(|block| (*block, BlockStatus::Released));
        new.chain(gone)
            .filter_map(|(block, status)| self.change(block, status))
            .collect()
    }

    fn change(&self, block: u64, status: BlockStatus) -> Option<Change> {
        let suspect = self.suspects.get(&block);
        (suspect.is_some() || status == BlockStatus::Released).then(|| Change {
            block,
            status,
            crashes: suspect.map_or(0, Suspect::crash_count),
            resets: suspect.map_or(0, |suspect| suspect.resets),
        })
    }

    /// Drops the blocks with the least evidence, the oldest first, if there are too many.
    fn make_room(&mut self, now: BootTime) {
        let rank = |suspect: &Suspect| (suspect.crash_count(), Reverse(suspect.idle(now)));
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, suspect)| rank(suspect));
            let Some(block) = least.map(|(block, _)| *block) else {
                return;
            };
            self.suspects.remove(&block);
        }
    }
}
