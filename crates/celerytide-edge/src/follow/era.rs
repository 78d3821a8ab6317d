//! Tracks the store's era, the number of its restores from a backup.
//!
//! Handles this fault: the store is restored from a backup that is some seconds old and assigns revisions a second time.
//! The era, which every response states, is the only sign of that. A missing or unreadable era proves no restore: such a
//! response counts as one of the known era, since its changes can't be delayed. A response of an earlier era is late, or
//! comes from a store that still serves an older backup; it is ignored.

use celerytide_catalog::Era;
use tracing::{info, warn};

use crate::source::{SourceError, StatedEra};

/// The newest era seen.
#[derive(Debug, Default)]
pub struct EraTracker {
    newest: Option<Era>,
    anomaly: Option<StatedEra>,
}

impl EraTracker {
    /// The newest era; 0 before one was seen.
    pub fn newest(&self) -> Era {
        self.newest.unwrap_or_default()
    }

    /// Applies the era that a followed instance reported.
    pub fn raise(&mut self, era: Era) {
        self.newest = self.newest.max(Some(era));
    }

    /// Era of a response; an error if it is earlier than the newest.
    pub fn check(&mut self, stated: StatedEra) -> Result<Era, SourceError> {
        let newest = self.newest();
        let era = match stated {
            StatedEra::Count(era) => era,
            StatedEra::Absent | StatedEra::Unreadable => newest,
        };
        let is_regular = matches!(stated, StatedEra::Count(_)) && era >= newest;
        self.log_transition(stated, is_regular, newest);
        if era < newest {
            return Err(SourceError::StaleEra { era, newest });
        }
        if let StatedEra::Count(era) = stated {
            self.newest = Some(era);
        }
        Ok(era)
    }

    /// Logs only transitions, since every response would repeat the message.
    fn log_transition(&mut self, stated: StatedEra, is_regular: bool, newest: Era) {
        let anomaly = (!is_regular).then_some(stated);
        if anomaly == self.anomaly {
            return;
        }
        self.anomaly = anomaly;
        match anomaly {
            Some(StatedEra::Count(era)) => warn!(
                era,
                newest, "store: the era is lower than before; the response is ignored"
            ),
            Some(stated) => warn!(
                word = ?stated,
                newest, "store: the era can't be told; the known one is assumed"
            ),
            None => info!(newest, "store: the era can be told again"),
        }
    }
}
