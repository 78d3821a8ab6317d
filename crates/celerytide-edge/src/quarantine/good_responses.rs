//! When responses under a subject last went on.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::BootTime;

use super::Subject;

/// Time for which a good response is remembered; longer than a crash takes to be told.
const KEEP_TIME: Duration = Duration::from_secs(10);
/// Most subjects that are remembered.
const MAX_SUBJECTS: usize = 8192;

/// The last good response of this instance for each subject.
#[derive(Debug, Default)]
pub(super) struct GoodResponses {
    last: HashMap<Subject, BootTime>,
}

impl GoodResponses {
    pub(super) fn record(&mut self, subject: Subject, now: BootTime) {
        if self.last.len() >= MAX_SUBJECTS && !self.last.contains_key(&subject) {
            self.sweep(now);
        }
        if self.last.len() < MAX_SUBJECTS || self.last.contains_key(&subject) {
            self.last.insert(subject, now);
        }
    }

    /// Whether there was one in the time for which they are remembered.
    pub(super) fn is_recent(&self, subject: Subject, now: BootTime) -> bool {
        self.last(subject).is_some_and(|at| now.since(at) < KEEP_TIME)
    }

    pub(super) fn last(&self, subject: Subject) -> Option<BootTime> {
        self.last.get(&subject).copied()
    }

    pub(super) fn sweep(&mut self, now: BootTime) {
        self.last.retain(|_, at| now.since(*at) < KEEP_TIME);
    }
}
