//! Readiness: a process takes new work only while every named condition holds.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// The conditions of one process.
#[derive(Default)]
pub struct Readiness {
    conditions: RefCell<BTreeMap<&'static str, bool>>,
}

impl Readiness {
    /// Names a condition and sets it.
    pub fn set(&self, name: &'static str, holds: bool) {
        let before = self.conditions.borrow_mut().insert(name, holds);
        if before != Some(holds) {
            tracing::info!(condition = name, holds, "ready: condition changed");
        }
    }

    /// Whether every condition holds.
    pub fn is_ready(&self) -> bool {
        self.conditions.borrow().values().all(|holds| *holds)
    }

    /// Conditions that do not hold, sorted by name.
    pub fn missing(&self) -> Vec<&'static str> {
        self.conditions
            .borrow()
            .iter()
            .filter(|(_, holds)| !**holds)
            .map(|(name, _)| *name)
            .collect()
    }
}
