//! Which subjects of the settings' list are to be released at a reload.
//!
//! The list stays in the file when its work is done, and the settings are also reloaded for other reasons. A subject is
//! therefore released once for each time that it is put on the list, by the reload that finds it there first, and not if it
//! isn't withheld then; crashes after that count as ever.

use std::collections::HashSet;

use super::{Quarantine, Subject};

/// Subjects that were on the list at the last reload.
#[derive(Debug, Default)]
pub struct Releases {
    done: HashSet<Subject>,
}

/// What a reload does about one listed subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Releasing {
    /// Its verdict ends.
    Due,
    /// It was on the list before.
    Done,
    /// It isn't withheld here.
    NotWithheld,
}

impl Releases {
    /// Those on the list when the process starts are left alone: it knows of no verdict yet, and they may be old.
    pub fn at_start(listed: impl IntoIterator<Item = Subject>) -> Releases {
        Releases {
            done: listed.into_iter().collect(),
        }
    }

    /// What to do about each subject of a list that was read again.
    pub fn reload(&mut self, listed: &[Subject], quarantine: &Quarantine) -> Vec<(Subject, Releasing)> {
        self.done.retain(|subject| listed.contains(subject));
        let withheld: HashSet<Subject> = quarantine.all_withheld().collect();
        let decide = |subject: &Subject| (*subject, self.decide(*subject, &withheld));
        listed.iter().map(decide).collect()
    }

    fn decide(&mut self, subject: Subject, withheld: &HashSet<Subject>) -> Releasing {
        if !self.done.insert(subject) {
            return Releasing::Done;
        }
        if withheld.contains(&subject) {
            Releasing::Due
        } else {
            Releasing::NotWithheld
        }
    }
}
