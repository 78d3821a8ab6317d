//! When responses under a subject last went on.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::BootTime;

use super::{Reached, Subject};

/// Time for which a good response is remembered; longer than a crash takes to be told.
const KEEP_TIME: Duration = Duration::from_secs(10);
/// Most subjects that are remembered.
const MAX_SUBJECTS: usize = 8192;

/// The last good responses of this instance for each subject.
#[derive(Debug, Default)]
pub(super) struct GoodResponses {
    last: HashMap<Subject, Vec<GoodResponse>>,
}

/// A response that went on.
#[derive(Debug, Clone, Copy)]
pub(super) struct GoodResponse {
    pub(super) reached: Reached,
    pub(super) at: BootTime,
}

impl GoodResponses {
    pub(super) fn record(&mut self, subject: Subject, good: GoodResponse) {
        if self.last.len() >= MAX_SUBJECTS && !self.last.contains_key(&subject) {
            self.sweep(good.at);
        }
        if self.last.len() < MAX_SUBJECTS || self.last.contains_key(&subject) {
            let known = self.last.entry(subject).or_default();
            // An older one that came no further tells nothing more.
            known.retain(|known| known.reached > good.reached);
            known.push(good);
        }
    }

    /// Whether there was one in the time for which they are remembered.
    pub(super) fn is_recent(&self, subject: Subject, now: BootTime) -> bool {
        self.of(subject).last().is_some_and(|good| is_recent(good, now))
    }

    /// Those that came furthest, from the oldest on.
    pub(super) fn of(&self, subject: Subject) -> &[GoodResponse] {
        self.last.get(&subject).map_or(&[], Vec::as_slice)
    }

    pub(super) fn sweep(&mut self, now: BootTime) {
        self.last
            .retain(|_, known| known.last().is_some_and(|good| is_recent(good, now)));
    }
}

fn is_recent(good: &GoodResponse, now: BootTime) -> bool {
    now.since(good.at) < KEEP_TIME
}
