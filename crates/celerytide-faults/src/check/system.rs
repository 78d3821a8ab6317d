//! Invariants over the state of the processes: load of cold engines, configuration versions, recovery and leaks.

use std::collections::BTreeMap;

use crate::history::History;

/// A cold endpoint never gets more work than its cold slots.
pub fn cold(history: &History) -> Vec<String> {
    let fell = history.overloads > 0;
    fell.then(|| format!("cold engines fell over {} times", history.overloads))
        .into_iter()
        .collect()
}

/// The active configuration version never decreases within a process, and the newest version is active everywhere at the end.
pub fn configuration(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for config in &history.active_configs {
        let before = last.insert((&config.process, &config.incarnation), config.version);
        if before.is_some_and(|before| before > config.version) {
            violations.push(format!(
                "{} went back from {before:?} to {}",
                config.process, config.version
            ));
        }
        if config.version > history.newest_version {
            violations.push(format!(
                "{} has {} in force, beyond {}",
                config.process, config.version, history.newest_version
            ));
        }
    }
    if history.convergence_time.is_none() {
        violations.push(format!("{} is not in force everywhere in time", history.newest_version));
    }
    violations
}

/// New requests are served again once the fault is cleared.
pub fn served_again(history: &History) -> Vec<String> {
    history.unserved.clone()
}

/// Permits, queues and running engine work return to zero.
pub fn nothing_held(history: &History) -> Vec<String> {
    history.still_held.clone()
}
