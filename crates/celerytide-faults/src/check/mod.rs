//! The invariants that must hold under every fault, each checked over a recorded history.

mod responses;
mod runs;
mod system;

pub use responses::{final_word, own_and_whole};
pub use runs::{at_most_once, words_are_true, zone_evacuation};
pub use system::{cold, configuration, nothing_held, served_again};

use crate::history::History;

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What was observed, with the request or process concerned.
    pub details: String,
}

/// A named check over a history.
pub struct Invariant {
    /// Name in reports.
    pub name: &'static str,
    /// Returns a description of each violation.
    pub check: fn(&History) -> Vec<String>,
}

/// All invariants, in report order.
pub const INVARIANTS: [Invariant; 9] = [
    Invariant {
        name: "at-most-once",
        check: at_most_once,
    },
    Invariant {
        name: "words-are-true",
        check: words_are_true,
    },
    Invariant {
        name: "final-word",
        check: final_word,
    },
    Invariant {
        name: "own-and-whole",
        check: own_and_whole,
    },
    Invariant {
        name: "cold",
        check: cold,
    },
    Invariant {
        name: "configuration",
        check: configuration,
    },
    Invariant {
        name: "zone-out",
        check: zone_evacuation,
    },
    Invariant {
        name: "served-again",
        check: served_again,
    },
    Invariant {
        name: "nothing-held",
        check: nothing_held,
    },
];

/// Runs all invariants over `history` and returns their violations.
pub fn violations(history: &History) -> Vec<Violation> {
    let of = |invariant: &Invariant| {
        let name = invariant.name;
        let details = (invariant.check)(history).into_iter();
        details.map(move |details| Violation {
            invariant: name,
            details,
        })
    };
    INVARIANTS.iter().flat_map(of).collect()
}
