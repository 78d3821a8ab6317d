//! Each invariant holds on a valid history and detects the histories that violate it.

use celerytide_faults::{
    check,
    history::{ActiveConfig, History, RecordedRun, RequestKind, RequestRecord, TicketOutcome, ZoneEvacuation},
};
use celerytide_load::caller::CallOutcome;
use celerytide_standin::plain::Run;
use std::time::Duration;

const TICKET: &str = "t1";

fn outcome(word: &str, request_id: &str) -> CallOutcome {
    CallOutcome {
        status: 200,
        word: word.to_owned(),
        is_complete: true,
        body: format!(r#"{{"ran":true,"request_id":"{request_id}"}}"#).into(),
        ..CallOutcome::default()
    }
}

fn record(request_id: &str, word: &str) -> RequestRecord {
    RequestRecord {
        request_id: request_id.to_owned(),
        kind: RequestKind::Protected,
        ticket: Some(TICKET.to_owned()),
        outcome: Some(outcome(word, request_id)),
        connection_lost: false,
    }
}

fn recorded_run(request_id: &str, plain: usize, at_unix_ms: u64) -> RecordedRun {
    let run = Run {
        run: request_id.to_owned(),
        request_id: request_id.to_owned(),
        idempotency_key: String::new(),
        method: "POST".to_owned(),
        path: "/submit".to_owned(),
        at_unix_ms,
    };
    RecordedRun { plain, run }
}

fn active_config(version: u64) -> ActiveConfig {
    ActiveConfig {
        process: "entry".to_owned(),
        incarnation: "1".to_owned(),
        version,
    }
}

fn valid_history() -> History {
    History {
        requests: vec![record("a", "done")],
        ticket_outcomes: vec![TicketOutcome {
            ticket: TICKET.to_owned(),
            word: Some("done".to_owned()),
        }],
        runs: vec![recorded_run("a", 0, 100)],
        active_configs: vec![active_config(1), active_config(2)],
        newest_version: 2,
        convergence_time: Some(Duration::ZERO),
        zone_evacuation: Some(ZoneEvacuation {
            plain: 1,
            reachable_unix_ms: 0,
        }),
        ..History::default()
    }
}

struct Case {
    name: &'static str,
    violate: fn(&mut History),
    invariant: &'static str,
}

#[test]
fn each_invariant_detects_its_violations() {
    assert_eq!(check::violations(&valid_history()), []);
    let cases = [
        Case {
            name: "two runs",
            violate: |h| h.runs.push(recorded_run("a", 0, 101)),
            invariant: "at-most-once",
        },
        Case {
            name: "a retry ran as well",
            violate: |h| {
                h.requests.push(record("b", "done"));
                h.runs.push(recorded_run("b", 1, 101));
            },
            invariant: "at-most-once",
        },
        Case {
            name: "done without a run",
            violate: |h| h.runs.clear(),
            invariant: "words-are-true",
        },
        Case {
            name: "not-run with a run",
            violate: |h| h.requests[0].outcome.as_mut().expect("outcome").word = "not-run".to_owned(),
            invariant: "words-are-true",
        },
        Case {
            name: "not-run of a ticket that ran",
            violate: |h| h.ticket_outcomes[0].word = Some("not-run".to_owned()),
            invariant: "words-are-true",
        },
        Case {
            name: "no outcome",
            violate: |h| h.requests[0].outcome = None,
            invariant: "final-word",
        },
        Case {
            name: "no final word",
            violate: |h| h.requests[0].outcome.as_mut().expect("outcome").word.clear(),
            invariant: "final-word",
        },
        Case {
            name: "a ticket without a final word",
            violate: |h| h.ticket_outcomes[0].word = None,
            invariant: "final-word",
        },
        Case {
            name: "a final word that changes",
            violate: |h| {
                h.ticket_outcomes.push(TicketOutcome {
                    ticket: TICKET.to_owned(),
                    word: Some("unknown".to_owned()),
                });
            },
            invariant: "final-word",
        },
        Case {
            name: "response of another request",
            violate: |h| h.requests[0].outcome = Some(outcome("done", "z")),
            invariant: "own-and-whole",
        },
        Case {
            name: "a truncated stream that looks complete",
            violate: |h| {
                let mut short = record("c", "done");
                short.kind = RequestKind::Chat(40);
                short.ticket = None;
                h.requests.push(short);
            },
            invariant: "own-and-whole",
        },
        Case {
            name: "a token out of order",
            violate: |h| h.requests[0].outcome.as_mut().expect("outcome").cause = "token 3 is \"w5 \"".to_owned(),
            invariant: "own-and-whole",
        },
        Case {
            name: "a cold engine was overloaded",
            violate: |h| h.overloads = 1,
            invariant: "cold",
        },
        Case {
            name: "back to an older version",
            violate: |h| h.active_configs.push(active_config(1)),
            invariant: "configuration",
        },
        Case {
            name: "no convergence",
            violate: |h| h.convergence_time = None,
            invariant: "configuration",
        },
        Case {
            name: "late work in an evacuated zone",
            violate: |h| h.runs.push(recorded_run("x", 1, 3001)),
            invariant: "zone-out",
        },
        Case {
            name: "not served again",
            violate: |h| h.unserved.push("get through entry 0".to_owned()),
            invariant: "served-again",
        },
        Case {
            name: "a permit that is not released",
            violate: |h| h.still_held.push("permits: 1".to_owned()),
            invariant: "nothing-held",
        },
    ];
    for case in cases {
        let mut history = valid_history();
        (case.violate)(&mut history);
        let broken = check::violations(&history);
        assert!(
            broken.iter().any(|v| v.invariant == case.invariant),
            "{}: {broken:?}",
            case.name
        );
    }
    for invariant in check::INVARIANTS {
        assert_eq!(
            (invariant.check)(&valid_history()),
            Vec::<String>::new(),
            "{}",
            invariant.name
        );
    }
}

#[test]
fn a_caller_whose_connection_was_silenced_needs_no_final_word() {
    let mut history = valid_history();
    history.requests[0].outcome = None;
    history.requests[0].connection_lost = true;
    assert_eq!(check::violations(&history), []);
}
