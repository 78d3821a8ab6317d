//! The platform's store as the router reads it.

use std::future::Future;
use std::time::Duration;

use celerytide_catalog::{Change, Revision, Snapshot};
use snafu::Snafu;

/// Why a read gave nothing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The changes asked for are no longer kept; the whole list must be read.
    #[snafu(display("the changes after that revision are no longer kept"))]
    Forgotten,
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
    /// Everything, as of the revision of the first page. Each call is bounded by `bound`.
    fn list(&self, bound: Duration) -> impl Future<Output = Result<Snapshot, SourceError>>;

    /// What changed after `revision`; waits up to `wait` for a first change, and up to `bound` beyond that for the
    /// answer.
    fn watch(
        &self,
        revision: Revision,
        wait: Duration,
        bound: Duration,
    ) -> impl Future<Output = Result<Changes, SourceError>>;
}
