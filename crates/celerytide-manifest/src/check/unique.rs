//! Values that may stand only once.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hash;

use crate::report::Report;

/// The values of one kind seen so far, each with the path of its first use.
pub(crate) struct Unique<K> {
    allowed: &'static str,
    seen: HashMap<K, String>,
}

impl<K: Hash + Eq> Unique<K> {
    /// Nothing seen yet; `allowed` is what a repeated value's fault allows.
    pub(crate) fn new(allowed: &'static str) -> Unique<K> {
        Unique {
            allowed,
            seen: HashMap::new(),
        }
    }

    /// Notes that the field at `path` holds `value`, which people read as `shown`.
    pub(crate) fn note(&mut self, value: K, shown: &str, path: String, report: &mut Report<'_>) {
        if !report.trusts(&path) {
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
