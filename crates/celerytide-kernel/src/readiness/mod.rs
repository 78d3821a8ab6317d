//! Readiness of a process: it accepts new work only while all named conditions hold.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// The readiness conditions of a process.
#[derive(Default)]
pub struct Readiness {
    conditions: RefCell<BTreeMap<&'static str, bool>>,
}

impl Readiness {
    /// Sets a condition, adding it if it is new.
    pub fn set(&self, name: &'static str, holds: bool) {
        let before = self.conditions.borrow_mut().insert(name, holds);
        if before != Some(holds) {
            tracing::info!(condition = name, holds, "ready: condition changed");
        }
    }

    /// Whether all conditions hold; true if there are none.
    pub fn is_ready(&self) -> bool {
        self.conditions.borrow().values().all(|holds| *holds)
    }

    /// Returns the conditions that don't hold, sorted by name.
    pub fn missing(&self) -> Vec<&'static str> {
        self.conditions
            .borrow()
            .iter()
            .filter(|(_, holds)| !**holds)
            .map(|(name, _)| *name)
            .collect()
    }
}
