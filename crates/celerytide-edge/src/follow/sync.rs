//! State of reading the store: what to request next, and what each response means for the view.
//!
//! One list is read first, then watches continue from it. The list is read again only when the store has dropped the
//! changes after the view, and once for each rise of the era, whichever response shows it.

use std::time::Duration;

use celerytide_catalog::{Change, Era, Position, Revision, Snapshot};

use super::era::EraTracker;
use super::list::{ListBuilder, PageResult};
use crate::source::{Changes, Page, SourceError, StoreResponse};

/// Silence of the store, in heartbeats, from which the record of a live endpoint may have expired: an endpoint
/// renews its record once per heartbeat, and a record lives for three.
const MIN_EXPIRY_BEATS: u32 = 2;

/// The next request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextRead {
    /// A page of the list: the first one, or the one after a key.
    Page(Option<String>),
    /// Changes after a revision.
    Watch(Revision),
}

/// Progress of reading the store.
#[derive(Debug, Default)]
pub struct SyncState {
    /// A complete list was read, and watches continue from it.
    pub listed: bool,
    /// Failed calls in a row.
    pub failures: u32,
    /// Watches in a row for which the store no longer had the changes.
    pub compactions: u32,
    /// The store was restored from a backup, and no list was read since.
    pub restored: bool,
    list: ListBuilder,
    eras: EraTracker,
}

impl SyncState {
    /// The next request for a view at `known`.
    pub fn next(&self, known: Position) -> NextRead {
        if self.listed {
            NextRead::Watch(known.revision)
        } else {
            NextRead::Page(self.list.after_key().map(str::to_owned))
        }
    }

    /// Takes a page for a view at `known`; returns the list once it is complete.
    pub fn apply_page(
        &mut self,
        response: StoreResponse<Page>,
        known: Position,
    ) -> Result<Option<Snapshot>, SourceError> {
        let (era, page) = self.unwrap_response(response, known)?;
        match self.list.add(era, page) {
            PageResult::More => Ok(None),
            PageResult::Restarted => Err(SourceError::Restored {
                from: known.era,
                to: era,
            }),
            PageResult::Complete(snapshot) => {
                self.list = ListBuilder::default();
                self.listed = true;
                self.compactions = self.compactions.min(1);
                self.restored |= known.revision > 0 && known.era < snapshot.position.era;
                Ok(Some(snapshot))
            }
        }
    }

    /// Takes the response to a watch for a view at `known`; returns the changes and the position after them.
    pub fn apply_changes(
        &mut self,
        response: StoreResponse<Changes>,
        known: Position,
    ) -> Result<(Vec<Change>, Position), SourceError> {
        let (era, changes) = self.unwrap_response(response, known)?;
        if era > known.era {
            return Err(SourceError::Restored {
                from: known.era,
                to: era,
            });
        }
        self.compactions = 0;
        let position = Position {
            era,
            revision: changes.revision,
        };
        Ok((changes.list, position))
    }

    /// Era and content of a response; an error if the call failed or the era is earlier than the newest.
    fn unwrap_response<T>(&mut self, response: StoreResponse<T>, known: Position) -> Result<(Era, T), SourceError> {
        self.eras.raise(known.era);
        let newest = self.eras.newest();
        let era = response.era.map_or(Ok(newest), |stated| self.eras.check(stated))?;
        match response.result {
            Ok(content) => Ok((era, content)),
            // The era counts even if the call itself failed.
            Err(_) if era > newest && known.revision > 0 => Err(SourceError::Restored { from: newest, to: era }),
            Err(error) => Err(error),
        }
    }

    /// Records that the instance that is followed can read the store: earlier failures belong to an outage that is over.
    pub fn record_followed(&mut self) {
        self.failures = 0;
    }

    /// Whether records of live endpoints may have expired while the store was silent for this long.
    pub fn may_have_expired(&self, silence: Duration, heartbeat: Duration) -> bool {
        self.failures > 0 && silence > heartbeat * MIN_EXPIRY_BEATS
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, error: &SourceError) {
        match error {
            SourceError::Compacted => {
                self.listed = false;
                self.compactions += 1;
            }
            SourceError::Restored { .. } => {
                self.list = ListBuilder::default();
                self.listed = false;
                self.restored = true;
            }
            // The pages read so far stay valid: a watch from the first one reports what changed since, or that the store
            // has dropped those changes.
            _ => self.failures += 1,
        }
    }
}
