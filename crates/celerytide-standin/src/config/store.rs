//! Versions of the published documents, each with its index, as readers see them after a delay.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::channel::oneshot;

/// Index of a document that was never published.
pub const UNPUBLISHED_INDEX: u64 = 1;

/// One published version of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Version {
    /// Index of the change; it increases across all documents.
    pub index: u64,
    /// Content of the document.
    pub body: Bytes,
    published: Instant,
}

/// All documents, and the readers that wait for a change.
#[derive(Default)]
pub struct Store {
    last_index: Cell<u64>,
    documents: RefCell<HashMap<String, Vec<Version>>>,
    stale_since: Cell<Option<Instant>>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Store {
    /// Publishes a new version of `name` and returns its index.
    pub fn publish(&self, name: &str, body: Bytes) -> u64 {
        let index = self.last_index.get().max(UNPUBLISHED_INDEX) + 1;
        self.last_index.set(index);
        let version = Version {
            index,
            body,
            published: Instant::now(),
        };
        self.documents
            .borrow_mut()
            .entry(name.to_owned())
            .or_default()
            .push(version);
        self.wake_waiters();
        index
    }

    /// The version of `name` in a view that is `lag` old.
    pub fn read(&self, name: &str, lag: Duration) -> Option<Version> {
        let now = self.stale_since.get().unwrap_or_else(Instant::now);
        let documents = self.documents.borrow();
        documents
            .get(name)?
            .iter()
            .rev()
            .find(|version| version.published + lag <= now)
            .cloned()
    }

    /// When a view that is `lag` old shows the next version of `name`.
    pub fn next_visible(&self, name: &str, lag: Duration) -> Option<Instant> {
        if self.stale_since.get().is_some() {
            return None;
        }
        let now = Instant::now();
        let documents = self.documents.borrow();
        documents
            .get(name)?
            .iter()
            .map(|version| version.published + lag)
            .find(|visible| *visible > now)
    }

    /// Freezes every view as it is now, or lets the views advance again.
    pub fn set_stale(&self, stale: bool) {
        self.stale_since.set(stale.then(Instant::now));
        self.wake_waiters();
    }

    /// Resolves at the next call of [`Store::wake_waiters`].
    pub fn next_change(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|tx| !tx.is_canceled());
        waiters.push(tx);
        rx
    }

    /// Wakes all waiting readers.
    pub fn wake_waiters(&self) {
        for tx in self.waiters.borrow_mut().drain(..) {
            // Fails only if the caller has disconnected.
            let _ = tx.send(());
        }
    }
}
