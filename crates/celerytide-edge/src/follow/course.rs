//! What the store is asked for next, and what its answers make of the view.
//!
//! One list comes first, then watches behind it. The list is read again once for each time that the store no longer keeps
//! the changes behind the view, and for each rise of its era, whatever answer tells of that.

use celerytide_catalog::{Change, Era, Position, Revision, Snapshot};

use super::era::Eras;
use super::listing::{Added, Listing};
use crate::source::{Answer, Changes, Page, SourceError};

/// What the store is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// A page of the list: the first one, or the one behind a key.
    Page(Option<String>),
    /// What changed after a revision.
    Watch(Revision),
}

/// How far this instance is with the store.
#[derive(Debug, Default)]
pub struct Course {
    /// A list was read whole, and watches go on from it.
    pub listed: bool,
    /// Failures in a row.
    pub failures: u32,
    /// Watches in a row whose changes were no longer kept.
    pub forgotten: u32,
    /// The store came back from a copy, and no list was read since.
    pub restored: bool,
    listing: Listing,
    eras: Eras,
}

impl Course {
    /// What to ask next, for a view at `known`.
    pub fn next(&self, known: Position) -> Ask {
        if self.listed {
            Ask::Watch(known.revision)
        } else {
            Ask::Page(self.listing.after().map(str::to_owned))
        }
    }

    /// Takes a page of the list for a view at `known`; the list once it is whole.
    pub fn page(&mut self, answer: Answer<Page>, known: Position) -> Result<Option<Snapshot>, SourceError> {
        let (era, page) = self.read(answer, known)?;
        match self.listing.add(era, page) {
            Added::More => Ok(None),
            Added::Anew => Err(SourceError::Restored {
                from: known.era,
                to: era,
            }),
            Added::Whole(snapshot) => {
                self.listing = Listing::default();
                self.listed = true;
                self.forgotten = self.forgotten.min(1);
                self.restored |= known.revision > 0 && known.era < snapshot.position.era;
                Ok(Some(snapshot))
            }
        }
    }

    /// Takes the answer to a watch for a view at `known`: changes with the position after them.
    pub fn changes(
        &mut self,
        answer: Answer<Changes>,
        known: Position,
    ) -> Result<(Vec<Change>, Position), SourceError> {
        let (era, changes) = self.read(answer, known)?;
        if era > known.era {
            return Err(SourceError::Restored {
                from: known.era,
                to: era,
            });
        }
        self.forgotten = 0;
        let position = Position {
            era,
            revision: changes.revision,
        };
        Ok((changes.list, position))
    }

    /// The era of an answer and what was read; an error if nothing was, or the era is over.
    fn read<T>(&mut self, answer: Answer<T>, known: Position) -> Result<(Era, T), SourceError> {
        self.eras.learn(known.era);
        let newest = self.eras.newest();
        let era = answer.era.map_or(Ok(newest), |word| self.eras.read(word))?;
        match answer.result {
            Ok(read) => Ok((era, read)),
            // The word holds whatever else the answer says.
            Err(_) if era > newest && known.revision > 0 => Err(SourceError::Restored { from: newest, to: era }),
            Err(error) => Err(error),
        }
    }

    /// Takes in that a call gave nothing.
    pub fn failed(&mut self, error: &SourceError) {
        match error {
            SourceError::Forgotten => {
                self.listed = false;
                self.forgotten += 1;
            }
            SourceError::Restored { .. } => {
                self.listing = Listing::default();
                self.listed = false;
                self.restored = true;
            }
            // The pages that were read stay: a watch tells what changed since the first one, or that the store no
            // longer knows.
            _ => self.failures += 1,
        }
    }
}
