//! Interface to the platform's store, implemented by an adapter.
//!
//! The store holds records under keys. A list is a read of all records in pages; a watch reports the changes after a
//! revision. The era counts restores of the store from a backup.

use std::future::Future;
use std::time::Duration;

use celerytide_catalog::{Change, Era, Revision};
use snafu::Snafu;

/// Why a read of the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The store no longer has the requested changes; the whole list must be read.
    #[snafu(display("the store has dropped the changes after the requested revision"))]
    Compacted,
    /// The store was restored from a backup; the whole list must be read.
    #[snafu(display("the store was restored from a backup: its era rose from {from} to {to}"))]
    Restored {
        /// Era known before.
        from: Era,
        /// Era of the response.
        to: Era,
    },
    /// The response belongs to an era before the newest.
    #[snafu(display("the response is of era {era}, but era {newest} was seen"))]
    StaleEra {
        /// Era of the response.
        era: Era,
        /// Newest known era.
        newest: Era,
    },
    /// The store refused the call; nothing was read.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The store could not be reached, or its response was incomplete.
    #[snafu(display("no response from the store: {reason}"))]
    Unreachable {
        /// What failed.
        reason: String,
    },
    /// The response could not be decoded.
    #[snafu(display("the store's response can't be decoded: {reason}"))]
    Unreadable {
        /// What is wrong with it.
        reason: String,
    },
}

/// Era as stated in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedEra {
    /// The era.
    Count(Era),
    /// The response doesn't state it.
    Absent,
    /// The stated value isn't a number.
    Unreadable,
}

/// One response of the store, including refusals.
#[derive(Debug)]
pub struct StoreResponse<T> {
    /// Stated era; `None` if there was no response.
    pub era: Option<StatedEra>,
    /// What was read, or why nothing was.
    pub result: Result<T, SourceError>,
}

/// One page of the list.
#[derive(Debug)]
pub struct Page {
    /// Its records, as changes.
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
    /// Reads the first page of the list, or the one that starts after `after_key`, within `timeout`.
    fn page(&self, after_key: Option<&str>, timeout: Duration) -> impl Future<Output = StoreResponse<Page>>;

    /// Reads what changed after `revision`. Waits up to `wait` for a first change and up to `timeout` longer for the
    /// response.
    fn watch(
        &self,
        revision: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = StoreResponse<Changes>>;
}
