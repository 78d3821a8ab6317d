//! What holds of the system as a whole.

use std::collections::BTreeMap;

use crate::history::History;

/// A cold endpoint never gets more than it bears.
pub fn cold(history: &History) -> Vec<String> {
    let fell = history.falls > 0;
    fell.then(|| format!("cold engines fell over {} times", history.falls))
        .into_iter()
        .collect()
}

/// The configuration in force never goes back, and the newest is in force everywhere in the end.
pub fn configuration(history: &History) -> Vec<String> {
    let mut seen = Vec::new();
    let mut last: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for at in &history.in_force {
        let before = last.insert((&at.process, &at.incarnation), at.version);
        if before.is_some_and(|before| before > at.version) {
            seen.push(format!("{} went back from {before:?} to {}", at.process, at.version));
        }
        if at.version > history.newest {
            seen.push(format!(
                "{} has {} in force, beyond {}",
                at.process, at.version, history.newest
            ));
        }
    }
    if history.converged.is_none() {
        seen.push(format!("{} is not in force everywhere in time", history.newest));
    }
    seen
}

/// New requests are served again once the fault has passed.
pub fn served_again(history: &History) -> Vec<String> {
    history.unserved.clone()
}

/// Permits, queues and engines' work go back to nothing.
pub fn nothing_held(history: &History) -> Vec<String> {
    history.left.clone()
}
