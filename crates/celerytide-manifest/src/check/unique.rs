//! Finds repeated values that must be unique.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hash;

use crate::report::Report;

/// Values of one kind seen so far, each with the path of its first use.
pub(crate) struct UniqueValues<K> {
    allowed: &'static str,
    seen: HashMap<K, String>,
}

impl<K: Hash + Eq> UniqueValues<K> {
    /// An empty set; faults of repeated values state `allowed`.
    pub(crate) fn new(allowed: &'static str) -> UniqueValues<K> {
        UniqueValues {
            allowed,
            seen: HashMap::new(),
        }
    }

    /// Adds the value of the field at `path`; reports a fault if it is a repeat. `shown` is the value in messages.
    pub(crate) fn insert(&mut self, value: K, shown: &str, path: String, report: &mut Report<'_>) {
        if !report.is_intact(&path) {
            return;
        }
        match self.seen.entry(value) {
            Entry::Vacant(slot) => {
                slot.insert(path);
            }
            Entry::Occupied(slot) => report.add(&path, format!("{shown} repeats {}", slot.get()), self.allowed),
        }
    }
}
