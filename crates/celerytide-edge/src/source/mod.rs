//! Interface to the platform's store, implemented by an adapter.

use std::future::Future;
use std::time::Duration;

use celerytide_catalog::{Change, Era, Revision};
use snafu::Snafu;

/// Why a read of the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The store no longer has the requested changes; the whole list must be read.
    #[snafu(display("the changes after that revision are no longer kept"))]
    Compacted,
    /// The store was restored from a copy; the whole list must be read.
    #[snafu(display("the store was restored from a copy: its era rose from {from} to {to}"))]
    Restored {
        /// Era known before.
        from: Era,
        /// Era of the answer.
        to: Era,
    },
    /// The answer belongs to an era that is over.
    #[snafu(display("the answer is of era {era}, and era {newest} was seen"))]
    StaleEra {
        /// Era of the answer.
        era: Era,
        /// Newest known era.
        newest: Era,
    },
    /// The store refused the call; nothing was read.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// The store could not be reached, or its answer was incomplete.
    #[snafu(display("no answer from the store: {reason}"))]
    Unreachable {
        /// What failed.
        reason: String,
    },
    /// The answer could not be decoded.
    #[snafu(display("the store's answer can't be read: {reason}"))]
    Unreadable {
        /// What is wrong with it.
        reason: String,
    },
}

/// Era as stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedEra {
    /// The era.
    Count(Era),
    /// The answer doesn't state it.
    Absent,
    /// The stated value isn't a number.
    Unreadable,
}

/// One answer of the store, including refusals.
#[derive(Debug)]
pub struct Answer<T> {
    /// Stated era; `None` if there was no answer.
    pub era: Option<StatedEra>,
    /// What was read, or why nothing was.
    pub result: Result<T, SourceError>,
}

/// One page of the list.
#[derive(Debug)]
pub struct Page {
    /// Its entries, as changes.
    pub changes: Vec<Change>,
    /// Revision at the time of the read.
    pub revision: Revision,
    /// Last key of the page, if more pages follow.
    pub next: Option<String>,
}

/// Changes and the revision after them.
#[derive(Debug)]
pub struct Changes {
    /// Changes, oldest first.
    pub list: Vec<Change>,
    /// Revision of the store after the changes.
    pub revision: Revision,
}

/// Reads what the platform publishes.
pub trait Source: 'static {
    /// Reads the first page of the list, or the one after the key `after`, within `bound`.
    fn page(&self, after: Option<&str>, bound: Duration) -> impl Future<Output = Answer<Page>>;

    /// Reads what changed after `revision`. Waits up to `wait` for a first change and up to `bound` longer for the
    /// answer.
    fn watch(&self, revision: Revision, wait: Duration, bound: Duration) -> impl Future<Output = Answer<Changes>>;
}
