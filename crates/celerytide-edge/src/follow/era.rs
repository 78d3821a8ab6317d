//! The store's era: what an answer's word of it means beside those before.
//!
//! Answers this fault: the store comes back from a copy that is some seconds old and gives out revisions again. Its era is
//! the only sign of that, in whatever answer comes first. A word that is absent or can't be read tells of no restore: such
//! an answer counts as one of the era that is known, since its changes may not wait. An answer of an era that is over
//! comes late, or from a store that serves an older copy still: it changes nothing.

use celerytide_catalog::Era;
use tracing::{info, warn};

use crate::source::{EraWord, SourceError};

/// The newest era that an answer told.
#[derive(Debug, Default)]
pub struct Eras {
    newest: Option<Era>,
    odd: Option<EraWord>,
}

impl Eras {
    /// The newest era; 0 before one was told.
    pub fn newest(&self) -> Era {
        self.newest.unwrap_or_default()
    }

    /// An instance that was followed told of this era.
    pub fn learn(&mut self, era: Era) {
        self.newest = self.newest.max(Some(era));
    }

    /// The era of an answer; an error if it is over.
    pub fn read(&mut self, word: EraWord) -> Result<Era, SourceError> {
        let newest = self.newest();
        let era = match word {
            EraWord::Count(era) => era,
            EraWord::Absent | EraWord::Unreadable => newest,
        };
        let usual = matches!(word, EraWord::Count(_)) && era >= newest;
        self.note(word, usual, newest);
        if era < newest {
            return Err(SourceError::Outdated { era, newest });
        }
        if let EraWord::Count(era) = word {
            self.newest = Some(era);
        }
        Ok(era)
    }

    /// One line for each turn: the words of a store come with each of its answers.
    fn note(&mut self, word: EraWord, usual: bool, newest: Era) {
        let odd = (!usual).then_some(word);
        if odd == self.odd {
            return;
        }
        self.odd = odd;
        match odd {
            Some(EraWord::Count(era)) => warn!(
                era,
                newest, "store: the era is lower than before; the answer isn't used"
            ),
            Some(word) => warn!(
                ?word,
                newest, "store: the era can't be told; taken for the one that is known"
            ),
            None => info!(newest, "store: the era can be told again"),
        }
    }
}
