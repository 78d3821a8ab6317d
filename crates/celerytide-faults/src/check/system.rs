//! What holds of the system as a whole.

use std::collections::BTreeMap;

use crate::history::History;

/// A cold endpoint never gets more than it bears.
pub fn cold(history: &History) -> Vec<String> {
    let fell = history.overloads > 0;
    fell.then(|| format!("cold engines fell over {} times", history.overloads))
        .into_iter()
        .collect()
}

/// The configuration in force never goes back, and the newest is in force everywhere in the end.
pub fn configuration(history: &History) -> Vec<String> {
    let mut seen = Vec::new();
    let mut last: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for at in &history.active_configs {
        let before = last.insert((&at.process, &at.incarnation), at.version);
        if before.is_some_and(|before| before > at.version) {
            seen.push(format!("{} went back from {before:?} to {}", at.process, at.version));
        }
        if at.version > history.newest_version {
            seen.push(format!(
                "{} has {} in force, beyond {}",
                at.process, at.version, history.newest_version
            ));
        }
    }
    if history.convergence_time.is_none() {
        seen.push(format!("{} is not in force everywhere in time", history.newest_version));
    }
    seen
}

/// New requests are served again once the fault has passed.
pub fn served_again(history: &History) -> Vec<String> {
    history.unserved.clone()
}

/// Permits, queues and engines' work go back to nothing.
pub fn nothing_held(history: &History) -> Vec<String> {
    history.still_held.clone()
}
