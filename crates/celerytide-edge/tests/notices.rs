//! Notices of endpoints: how long they hold, and for which start of the endpoint.

use std::time::Duration;

use celerytide_catalog::Endpoint;
use celerytide_edge::notice::{Availability, MAX_PAUSE, Notice, Notices, RequestedPause, clamp_pause};
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
        cold_remaining: Duration::ZERO,
        start,
        version: String::new(),
        sequence: None,
    }
}

const LEAVES: Notice = Notice {
    is_leaving: true,
    pause: None,
};

fn pauses(seconds: f64) -> Notice {
    Notice {
        is_leaving: false,
        pause: Some(RequestedPause::Seconds(seconds)),
    }
}

/// A requested pause and the pause that is applied.
struct PauseCase {
    requested: RequestedPause,
    applied: Option<Duration>,
    is_invalid: bool,
}

const PAUSE_CASES: [PauseCase; 9] = [
    PauseCase {
        requested: RequestedPause::Seconds(1.5),
        applied: Some(Duration::from_millis(1500)),
        is_invalid: false,
    },
    PauseCase {
        requested: RequestedPause::Seconds(0.0),
        applied: Some(Duration::ZERO),
        is_invalid: false,
    },
    PauseCase {
        requested: RequestedPause::Seconds(60.0),
        applied: Some(MAX_PAUSE),
        is_invalid: false,
    },
    PauseCase {
        requested: RequestedPause::Seconds(86_400.0),
        applied: Some(MAX_PAUSE),
        is_invalid: true,
    },
    PauseCase {
        requested: RequestedPause::Seconds(f64::INFINITY),
        applied: Some(MAX_PAUSE),
        is_invalid: true,
    },
    PauseCase {
        requested: RequestedPause::Seconds(f64::NEG_INFINITY),
        applied: None,
        is_invalid: true,
    },
    PauseCase {
        requested: RequestedPause::Seconds(f64::NAN),
        applied: None,
        is_invalid: true,
    },
    PauseCase {
        requested: RequestedPause::Seconds(-0.5),
        applied: None,
        is_invalid: true,
    },
    PauseCase {
        requested: RequestedPause::Unreadable,
        applied: None,
        is_invalid: true,
    },
];

#[test]
fn a_requested_pause_is_clamped() {
    for case in &PAUSE_CASES {
        assert_eq!(
            clamp_pause(case.requested),
            (case.applied, case.is_invalid),
            "{:?}",
            case.requested
        );
    }
}

/// Notices of an endpoint, and its availability after them.
struct Case {
    name: &'static str,
    /// Start of the endpoint, its notice, and the time of the notice in milliseconds.
    notices: &'static [(Option<u64>, Notice, u64)],
    start: Option<u64>,
    at_ms: u64,
    availability: fn() -> Availability,
}

const PAUSES_2S: Notice = Notice {
    is_leaving: false,
    pause: Some(RequestedPause::Seconds(2.0)),
};
const PAUSES_1S: Notice = Notice {
    is_leaving: false,
    pause: Some(RequestedPause::Seconds(1.0)),
};

const CASES: [Case; 9] = [
    Case {
        name: "a departure doesn't expire within its start",
        notices: &[(Some(1), LEAVES, 0)],
        start: Some(1),
        at_ms: 600_000,
        availability: || Availability::Leaving,
    },
    Case {
        name: "another start",
        notices: &[(Some(1), LEAVES, 0)],
        start: Some(2),
        at_ms: 10,
        availability: || Availability::Available,
    },
    Case {
        name: "a late notice of an earlier start",
        notices: &[(Some(2), LEAVES, 0), (Some(1), PAUSES_2S, 10)],
        start: Some(2),
        at_ms: 20,
        availability: || Availability::Leaving,
    },
    Case {
        name: "an unknown start",
        notices: &[(None, LEAVES, 0)],
        start: None,
        at_ms: 10,
        availability: || Availability::Leaving,
    },
    Case {
        name: "during a pause",
        notices: &[(Some(1), PAUSES_2S, 0)],
        start: Some(1),
        at_ms: 1999,
        availability: || Availability::Paused(at(2000)),
    },
    Case {
        name: "after a pause",
        notices: &[(Some(1), PAUSES_2S, 0)],
        start: Some(1),
        at_ms: 2000,
        availability: || Availability::Available,
    },
    Case {
        name: "a shorter pause after a longer one",
        notices: &[(Some(1), PAUSES_2S, 0), (Some(1), PAUSES_1S, 500)],
        start: Some(1),
        at_ms: 1700,
        availability: || Availability::Paused(at(2000)),
    },
    Case {
        name: "a second pause extends the first",
        notices: &[(Some(1), PAUSES_1S, 0), (Some(1), PAUSES_2S, 900)],
        start: Some(1),
        at_ms: 1700,
        availability: || Availability::Paused(at(2900)),
    },
    Case {
        name: "a departure during a pause",
        notices: &[(Some(1), PAUSES_1S, 0), (Some(1), LEAVES, 100)],
        start: Some(1),
        at_ms: 200,
        availability: || Availability::Leaving,
    },
];

#[test]
fn a_notice_holds_only_for_its_start_and_time() {
    for case in &CASES {
        let mut notices = Notices::default();
        for (start, notice, ms) in case.notices {
            notices.record(&endpoint(*start), *notice, at(*ms));
        }
        notices.sweep(at(case.at_ms));
        let availability = notices.availability(&endpoint(case.start), at(case.at_ms));
        assert_eq!(availability, (case.availability)(), "{}", case.name);
    }
}

#[test]
fn a_repeated_notice_reports_no_change() {
    let mut notices = Notices::default();
    let first = notices.record(&endpoint(Some(1)), LEAVES, at(0));
    let again = notices.record(&endpoint(Some(1)), LEAVES, at(10));
    assert!(first.is_leaving && !again.is_leaving);
    let pause = notices.record(&endpoint(Some(1)), pauses(2.0), at(20));
    let shorter = notices.record(&endpoint(Some(1)), pauses(0.5), at(30));
    assert_eq!(pause.pauses, Some(Duration::from_secs(2)));
    assert_eq!(shorter.pauses, None);
}
