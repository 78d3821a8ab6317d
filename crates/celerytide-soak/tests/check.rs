//! Each promise of the soak is shown able to fail: a history that breaks it, beside one that keeps it.

use std::time::Duration;

use celerytide_soak::check::{Answered, Arrival, Call, History, Kind, Leaving, Promise, Said, Span, Struck, check};
use celerytide_soak::plan::{self, EVENTS, Fault};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn span(from: u64, to: u64) -> Span {
    Span {
        from: ms(from),
        to: ms(to),
    }
}

fn leaving(runner: &str, from: u64, to: u64) -> Leaving {
    Leaving {
        runner: runner.to_owned(),
        span: span(from, to),
    }
}

fn answer(status: u16, body: &str) -> Answered {
    Answered {
        status,
        sealed: status == 200,
        whole: status != 0,
        body: body.to_owned(),
    }
}

fn call(id: &str, kind: Kind, answer: Answered) -> Call {
    Call {
        id: id.to_owned(),
        kind,
        router: 0,
        sent: ms(4000),
        ended: ms(4500),
        answer,
    }
}

fn arrival(id: &str, runner: &str, at: u64) -> Arrival {
    Arrival {
        id: id.to_owned(),
        runner: runner.to_owned(),
        at: ms(at),
        ran: true,
        said: Said::Nothing,
    }
}

/// An arrival whose answer says something of the runner.
fn saying(id: &str, runner: &str, at: u64, said: Said) -> Arrival {
    Arrival {
        said,
        ran: said == Said::Leaves,
        ..arrival(id, runner, at)
    }
}

fn events(numbers: impl IntoIterator<Item = u32>) -> String {
    numbers
        .into_iter()
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect()
}

/// One good request of each kind, and a calm end.
fn good() -> History {
    let mut later = call("later", Kind::Safe, answer(200, "answer of i0 to later"));
    later.sent = ms(9000);
    later.ended = ms(9010);
    History {
        calls: vec![
            call("safe", Kind::Safe, answer(200, "answer of i0 to safe")),
            call("once", Kind::Once, answer(200, "answer of i1 to once")),
            call("refused", Kind::Once, answer(503, "")),
            call("stream", Kind::Stream, answer(200, &events(1..=EVENTS))),
            call("resume", Kind::Resume, answer(200, &events(1..=EVENTS))),
            later,
        ],
        arrivals: vec![
            arrival("safe", "i0", 4100),
            arrival("once", "i1", 4100),
            arrival("stream", "i4", 4100),
            arrival("resume", "i4", 4100),
            arrival("resume", "i5", 4300),
            arrival("later", "i0", 9005),
        ],
        calm_at: ms(5000),
        ..History::default()
    }
}

/// A deliberate break.
struct Break {
    name: &'static str,
    promise: Promise,
    spoil: fn(&mut History),
}

const BREAKS: [Break; 17] = [
    Break {
        name: "a request to a runner that said that it leaves",
        promise: Promise::Notice,
        spoil: |h| {
            h.arrivals[0].said = Said::Leaves;
            h.renewed.push(("i0".to_owned(), ms(8000)));
            h.arrivals.push(saying("once", "i0", 4700, Said::Nothing));
        },
    },
    Break {
        name: "three requests in a pause",
        promise: Promise::Notice,
        spoil: |h| {
            h.arrivals.push(saying("refused", "i2", 4100, Said::Pauses(ms(1500))));
            for (n, id) in ["safe", "safe", "resume"].into_iter().enumerate() {
                h.arrivals.push(saying(id, "i2", 4700 + n as u64, Said::Nothing));
            }
        },
    },
    Break {
        name: "a request that may run once runs at two runners",
        promise: Promise::Twice,
        spoil: |h| h.arrivals.push(arrival("once", "i2", 4200)),
    },
    Break {
        name: "a stream that may not go on starts again",
        promise: Promise::Twice,
        spoil: |h| h.arrivals.push(arrival("stream", "i5", 4200)),
    },
    Break {
        name: "a refused request runs later",
        promise: Promise::NotRun,
        spoil: |h| h.arrivals.push(arrival("refused", "i2", 8000)),
    },
    Break {
        name: "a success without a proof",
        promise: Promise::Mixed,
        spoil: |h| h.calls[0].answer.sealed = false,
    },
    Break {
        name: "the answer to another request",
        promise: Promise::Mixed,
        spoil: |h| h.calls[0].answer.body = "answer of i0 to once".to_owned(),
    },
    Break {
        name: "half of a body that looks whole",
        promise: Promise::Mixed,
        spoil: |h| h.calls[1].answer.body = "answer of".to_owned(),
    },
    Break {
        name: "an event is missing",
        promise: Promise::Order,
        spoil: |h| h.calls[3].answer.body = events([1, 2, 4]),
    },
    Break {
        name: "an event comes twice where a stream goes on",
        promise: Promise::Order,
        spoil: |h| h.calls[4].answer.body = events([1, 2, 2, 3]),
    },
    Break {
        name: "a stream that ends early looks complete",
        promise: Promise::Order,
        spoil: |h| h.calls[3].answer.body = events(1..=3),
    },
    Break {
        name: "a valid key is denied",
        promise: Promise::Denied,
        spoil: |h| h.calls[0].answer = answer(401, ""),
    },
    Break {
        name: "a leaving runner gets a request late",
        promise: Promise::Leaving,
        spoil: |h| h.leaving.push(leaving("i0", 1000, 9000)),
    },
    Break {
        name: "a request that ran has no answer",
        promise: Promise::Lost,
        spoil: |h| h.calls[1].answer = answer(0, ""),
    },
    Break {
        name: "answers come late",
        promise: Promise::Late,
        spoil: |h| {
            for n in 0..9 {
                let mut late = call(&format!("late{n}"), Kind::Safe, answer(504, ""));
                late.ended = ms(6200);
                h.calls.push(late);
            }
        },
    },
    Break {
        name: "requests fail after the last fault",
        promise: Promise::Recover,
        spoil: |h| h.calls[5].answer = answer(503, ""),
    },
    Break {
        name: "a runner gets what nobody sent",
        promise: Promise::Unasked,
        spoil: |h| h.arrivals.push(arrival("stray", "i0", 4000)),
    },
];

#[test]
fn each_promise_is_shown_able_to_fail() {
    assert_eq!(check(&good()), Vec::new());
    for case in &BREAKS {
        let mut history = good();
        (case.spoil)(&mut history);
        let found: Vec<Promise> = check(&history).iter().map(|v| v.promise).collect();
        assert_eq!(found, [case.promise], "{}", case.name);
    }
}

/// Something that excuses what would be a break.
struct Excuse {
    name: &'static str,
    spoil: fn(&mut History),
}

const EXCUSES: [Excuse; 4] = [
    Excuse {
        name: "the router was killed",
        spoil: |h| {
            h.calls[1].answer = answer(0, "");
            h.struck.push(Struck {
                router: 0,
                span: span(4200, 4300),
            });
        },
    },
    Excuse {
        name: "a request crosses the end of its connection",
        spoil: |h| {
            h.calls[2].answer = answer(0, "");
            h.calls[2].ended = ms(4100);
        },
    },
    Excuse {
        name: "the store was away when a runner left",
        spoil: |h| {
            h.leaving.push(leaving("i0", 1000, 5000));
            h.store_harmed.push(span(1100, 3000));
        },
    },
    Excuse {
        name: "a runner broke a stream off",
        spoil: |h| {
            h.calls[3].answer.body = events(1..=3);
            h.calls[3].answer.whole = false;
        },
    },
];

#[test]
fn what_the_platform_excuses_is_no_break() {
    for case in &EXCUSES {
        let mut history = good();
        (case.spoil)(&mut history);
        assert_eq!(check(&history), Vec::new(), "{}", case.name);
    }
}

#[test]
fn a_seed_draws_the_same_plan_and_all_faults_come() {
    let length = Duration::from_secs(6);
    assert_eq!(plan::draw(7, length), plan::draw(7, length));
    let all: Vec<Fault> = (0..60)
        .flat_map(|seed| plan::draw(seed, length))
        .map(|s| s.fault)
        .collect();
    let kinds: std::collections::HashSet<_> = all.iter().map(std::mem::discriminant).collect();
    assert_eq!(kinds.len(), 12, "kinds of faults");
}
