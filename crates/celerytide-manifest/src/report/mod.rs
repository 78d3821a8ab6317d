//! The faults found so far, and the fields that cannot be relied on.

use std::collections::BTreeSet;

use crate::Fault;
use crate::node::{Node, Place};

/// Most faults kept of one document; all further ones are counted.
const FAULTS_MAX: usize = 10_000;

/// Collects the faults of one document.
pub(crate) struct Report<'n> {
    file: &'n str,
    root: &'n Node,
    faults: Vec<Fault>,
    /// Faults beyond the most that are kept.
    unshown: usize,
    /// Paths whose value was replaced.
    distrusted: BTreeSet<String>,
}

impl<'n> Report<'n> {
    /// An empty report on the document `root`.
    pub(crate) fn new(file: &'n str, root: &'n Node) -> Report<'n> {
        Report {
            file,
            root,
            faults: Vec::new(),
            unshown: 0,
            distrusted: BTreeSet::new(),
        }
    }

    /// Adds a fault at a known place.
    pub(crate) fn add_at(&mut self, place: Place, path: &str, message: String, allowed: String) {
        if self.faults.len() == FAULTS_MAX {
            self.unshown += 1;
            return;
        }
        self.faults.push(Fault {
            file: self.file.to_owned(),
            line: place.line,
            column: place.column,
            field: path.to_owned(),
            message,
            allowed,
        });
    }

    /// Adds a fault of the field at `path`, unless its value was replaced.
    pub(crate) fn add(&mut self, path: &str, message: String, allowed: impl Into<String>) {
        if self.trusts(path) {
            self.add_at(self.root.locate(path), path, message, allowed.into());
        }
    }

    /// Marks the field at `path` as replaced.
    pub(crate) fn distrust(&mut self, path: &str) {
        self.distrusted.insert(path.to_owned());
    }

    /// Whether the field at `path` and all its parents stand as written.
    pub(crate) fn trusts(&self, path: &str) -> bool {
        if self.distrusted.is_empty() {
            return true;
        }
        let parents = path.match_indices(['.', '[']).map(|(end, _)| &path[..end]);
        !parents.chain([path, ""]).any(|part| self.distrusted.contains(part))
    }

    /// Whether the field at `path` stands as written in every list; `path` has no indexes (`services.id`).
    pub(crate) fn trusts_all(&self, path: &str) -> bool {
        !self.distrusted.iter().any(|distrusted| {
            let distrusted = without_indexes(distrusted);
            distrusted.is_empty() || path == distrusted || path.starts_with(&format!("{distrusted}."))
        })
    }

    /// The faults in the document's order.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        let (file, unshown) = (self.file.to_owned(), self.unshown);
        let end = self.root.place;
        let mut faults = self.faults;
        faults.sort_by(|a, b| (a.line, a.column, &a.field).cmp(&(b.line, b.column, &b.field)));
        if unshown > 0 {
            faults.push(Fault {
                file,
                line: end.line,
                column: end.column,
                field: String::new(),
                message: format!("{unshown} further faults are not shown"),
                allowed: format!("a report of {FAULTS_MAX} faults"),
            });
        }
        faults
    }
}

fn without_indexes(path: &str) -> String {
    let parts = path.split('.').map(|part| part.split('[').next().unwrap_or_default());
    parts.collect::<Vec<_>>().join(".")
}
