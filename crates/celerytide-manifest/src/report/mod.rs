//! Collects the faults of a document, and the fields whose faulty values were replaced by placeholders.
//!
//! A field is intact if its value passed the first pass of the check. Checks that depend on a field that isn't intact
//! are skipped, since they would judge the placeholder.

use std::collections::BTreeSet;

use crate::Fault;
use crate::yaml::{Node, Position};

/// Most faults kept of one document; further ones are only counted.
const MAX_FAULTS: usize = 10_000;

/// Faults of one document found so far.
pub(crate) struct Report<'n> {
    file: &'n str,
    root: &'n Node,
    faults: Vec<Fault>,
    /// Number of faults beyond [`MAX_FAULTS`].
    omitted: usize,
    /// Paths of fields whose value was replaced by a placeholder.
    replaced: BTreeSet<String>,
}

impl<'n> Report<'n> {
    /// An empty report on the document with the root node `root`.
    pub(crate) fn new(file: &'n str, root: &'n Node) -> Report<'n> {
        Report {
            file,
            root,
            faults: Vec::new(),
            omitted: 0,
            replaced: BTreeSet::new(),
        }
    }

    /// Adds a fault at a known position.
    pub(crate) fn add_at(&mut self, position: Position, path: &str, message: String, allowed: String) {
        if self.faults.len() == MAX_FAULTS {
            self.omitted += 1;
            return;
        }
        self.faults.push(Fault {
            file: self.file.to_owned(),
            line: position.line,
            column: position.column,
            field: path.to_owned(),
            message,
            allowed,
        });
    }

    /// Adds a fault of the field at `path` if the field is intact.
    pub(crate) fn add(&mut self, path: &str, message: String, allowed: impl Into<String>) {
        if self.is_intact(path) {
            self.add_at(self.root.locate(path), path, message, allowed.into());
        }
    }

    /// Records that the value of the field at `path` was replaced by a placeholder.
    pub(crate) fn mark_replaced(&mut self, path: &str) {
        self.replaced.insert(path.to_owned());
    }

    /// Whether the field at `path` has its own value: neither it nor any of its parents was replaced.
    pub(crate) fn is_intact(&self, path: &str) -> bool {
        if self.replaced.is_empty() {
            return true;
        }
        let parents = path.match_indices(['.', '[']).map(|(end, _)| &path[..end]);
        !parents.chain([path, ""]).any(|part| self.replaced.contains(part))
    }

    /// Whether the field is intact in every element of its lists; `path` has no indexes, as in `services.id`.
    pub(crate) fn all_intact(&self, path: &str) -> bool {
        !self.replaced.iter().any(|replaced| {
            let replaced = without_indexes(replaced);
            replaced.is_empty() || path == replaced || path.starts_with(&format!("{replaced}."))
        })
    }

    /// The faults, sorted by position.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        let (file, omitted) = (self.file.to_owned(), self.omitted);
        let end = self.root.position;
        let mut faults = self.faults;
        faults.sort_by(|a, b| (a.line, a.column, &a.field).cmp(&(b.line, b.column, &b.field)));
        if omitted > 0 {
            faults.push(Fault {
                file,
                line: end.line,
                column: end.column,
                field: String::new(),
                message: format!("{omitted} further faults are not shown"),
                allowed: format!("a report of {MAX_FAULTS} faults"),
            });
        }
        faults
    }
}

fn without_indexes(path: &str) -> String {
    let parts = path.split('.').map(|part| part.split('[').next().unwrap_or_default());
    parts.collect::<Vec<_>>().join(".")
}
