//! Words of endpoints replayed: what holds, for which start, and until when.

use std::time::Duration;

use celerytide_catalog::Endpoint;
use celerytide_edge::notice::{Asked, MAX_PAUSE, Notice, Notices, Standing, bounded};
use celerytide_types::BootTime;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

fn endpoint(start: Option<u64>) -> Endpoint {
    Endpoint {
        id: "e1".to_owned(),
        service: "llm".to_owned(),
        address: ([10, 1, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
        start,
    }
}

const LEAVES: Notice = Notice {
    leaves: true,
    pause: None,
};

fn pauses(seconds: f64) -> Notice {
    Notice {
        leaves: false,
        pause: Some(Asked::Seconds(seconds)),
    }
}

/// A pause as it is asked for and as it is kept.
struct Pause {
    asked: Asked,
    kept: Option<Duration>,
    senseless: bool,
}

const PAUSES: [Pause; 9] = [
    Pause {
        asked: Asked::Seconds(1.5),
        kept: Some(Duration::from_millis(1500)),
        senseless: false,
    },
    Pause {
        asked: Asked::Seconds(0.0),
        kept: Some(Duration::ZERO),
        senseless: false,
    },
    Pause {
        asked: Asked::Seconds(60.0),
        kept: Some(MAX_PAUSE),
        senseless: false,
    },
    Pause {
        asked: Asked::Seconds(86_400.0),
        kept: Some(MAX_PAUSE),
        senseless: true,
    },
    Pause {
        asked: Asked::Seconds(f64::INFINITY),
        kept: Some(MAX_PAUSE),
        senseless: true,
    },
    Pause {
        asked: Asked::Seconds(f64::NEG_INFINITY),
        kept: None,
        senseless: true,
    },
    Pause {
        asked: Asked::Seconds(f64::NAN),
        kept: None,
        senseless: true,
    },
    Pause {
        asked: Asked::Seconds(-0.5),
        kept: None,
        senseless: true,
    },
    Pause {
        asked: Asked::Unreadable,
        kept: None,
        senseless: true,
    },
];

#[test]
fn a_pause_is_bounded() {
    for case in &PAUSES {
        assert_eq!(bounded(case.asked), (case.kept, case.senseless), "{:?}", case.asked);
    }
}

/// A word, and what is asked behind it.
struct Case {
    name: &'static str,
    /// Words with the start of the endpoint that said them and their time.
    words: &'static [(Option<u64>, Notice, u64)],
    start: Option<u64>,
    at_ms: u64,
    standing: fn() -> Standing,
}

const PAUSES_2S: Notice = Notice {
    leaves: false,
    pause: Some(Asked::Seconds(2.0)),
};
const PAUSES_1S: Notice = Notice {
    leaves: false,
    pause: Some(Asked::Seconds(1.0)),
};

const CASES: [Case; 9] = [
    Case {
        name: "leaves for good",
        words: &[(Some(1), LEAVES, 0)],
        start: Some(1),
        at_ms: 600_000,
        standing: || Standing::Leaves,
    },
    Case {
        name: "another start",
        words: &[(Some(1), LEAVES, 0)],
        start: Some(2),
        at_ms: 10,
        standing: || Standing::Open,
    },
    Case {
        name: "a late word of the start before",
        words: &[(Some(2), LEAVES, 0), (Some(1), PAUSES_2S, 10)],
        start: Some(2),
        at_ms: 20,
        standing: || Standing::Leaves,
    },
    Case {
        name: "a start that isn't told",
        words: &[(None, LEAVES, 0)],
        start: None,
        at_ms: 10,
        standing: || Standing::Leaves,
    },
    Case {
        name: "pauses",
        words: &[(Some(1), PAUSES_2S, 0)],
        start: Some(1),
        at_ms: 1999,
        standing: || Standing::Pauses(at(2000)),
    },
    Case {
        name: "the pause is over",
        words: &[(Some(1), PAUSES_2S, 0)],
        start: Some(1),
        at_ms: 2000,
        standing: || Standing::Open,
    },
    Case {
        name: "a shorter pause behind a longer one",
        words: &[(Some(1), PAUSES_2S, 0), (Some(1), PAUSES_1S, 500)],
        start: Some(1),
        at_ms: 1700,
        standing: || Standing::Pauses(at(2000)),
    },
    Case {
        name: "a second pause",
        words: &[(Some(1), PAUSES_1S, 0), (Some(1), PAUSES_2S, 900)],
        start: Some(1),
        at_ms: 1700,
        standing: || Standing::Pauses(at(2900)),
    },
    Case {
        name: "pauses and leaves",
        words: &[(Some(1), PAUSES_1S, 0), (Some(1), LEAVES, 100)],
        start: Some(1),
        at_ms: 200,
        standing: || Standing::Leaves,
    },
];

#[test]
fn a_word_holds_for_its_start_and_its_time() {
    for case in &CASES {
        let mut notices = Notices::default();
        for (start, notice, ms) in case.words {
            notices.note(&endpoint(*start), *notice, at(*ms));
        }
        notices.sweep(at(case.at_ms));
        let standing = notices.standing(&endpoint(case.start), at(case.at_ms));
        assert_eq!(standing, (case.standing)(), "{}", case.name);
    }
}

#[test]
fn each_change_is_told_once() {
    let mut notices = Notices::default();
    let first = notices.note(&endpoint(Some(1)), LEAVES, at(0));
    let again = notices.note(&endpoint(Some(1)), LEAVES, at(10));
    assert!(first.leaves && !again.leaves);
    let pause = notices.note(&endpoint(Some(1)), pauses(2.0), at(20));
    let shorter = notices.note(&endpoint(Some(1)), pauses(0.5), at(30));
    assert_eq!(pause.pauses, Some(Duration::from_secs(2)));
    assert_eq!(shorter.pauses, None);
}
