//! The platform's store as the router reads it.

use std::future::Future;
use std::time::Duration;

use celerytide_catalog::{Change, Era, Revision};
use snafu::Snafu;

/// Why a read gave nothing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The changes asked for are no longer kept; the whole list must be read.
    #[snafu(display("the changes after that revision are no longer kept"))]
    Forgotten,
    /// The store came back from a copy; the whole list must be read.
    #[snafu(display("the store came back older: its era rose from {from} to {to}"))]
    Restored {
        /// The era that was known.
        from: Era,
        /// The era of the answer.
        to: Era,
    },
    /// The answer is of an era that is over.
    #[snafu(display("the answer is of era {era}, and era {newest} was seen"))]
    Outdated {
        /// The era of the answer.
        era: Era,
        /// The newest one.
        newest: Era,
    },
    /// The store refused the call; nothing was read.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// Its status.
        status: u16,
    },
    /// The store could not be reached, or its answer did not come whole.
    #[snafu(display("no answer from the store: {reason}"))]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The answer could not be read.
    #[snafu(display("the store's answer can't be read: {reason}"))]
    Unreadable {
        /// What is wrong with it.
        reason: String,
    },
}

/// What an answer says of the store's era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraWord {
    /// The era.
    Count(Era),
    /// Nothing.
    Absent,
    /// Something that is no count.
    Unreadable,
}

/// One answer of the store, a refusal among them.
#[derive(Debug)]
pub struct Answer<T> {
    /// What it says of the era; `None` if there was no answer.
    pub era: Option<EraWord>,
    /// What was read.
    pub result: Result<T, SourceError>,
}

/// One page of the list.
#[derive(Debug)]
pub struct Page {
    /// Its items.
    pub changes: Vec<Change>,
    /// The store's revision.
    pub revision: Revision,
    /// The last key, if more pages follow.
    pub next: Option<String>,
}

/// Changes with the revision after them.
#[derive(Debug)]
pub struct Changes {
    /// In their order.
    pub list: Vec<Change>,
    /// The store's revision after them.
    pub revision: Revision,
}

/// Reads what the platform publishes.
pub trait Source: 'static {
    /// The first page of the list, or the one behind the key `after`, within `bound`.
    fn page(&self, after: Option<&str>, bound: Duration) -> impl Future<Output = Answer<Page>>;

    /// What changed after `revision`; waits up to `wait` for a first change, and up to `bound` beyond that for the
    /// answer.
    fn watch(&self, revision: Revision, wait: Duration, bound: Duration) -> impl Future<Output = Answer<Changes>>;
}
