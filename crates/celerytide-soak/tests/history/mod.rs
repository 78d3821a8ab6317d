//! A valid history, and parts of others.
#![allow(dead_code)]

use std::time::Duration;

use celerytide_soak::check::{
    Arrival, BrittleTime, Call, CutOff, Fall, History, Leaving, PlacementCounts, RequestKind, ResponseRecord,
    RunnerNotice, Span,
};
use celerytide_soak::plan::STREAM_EVENTS;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn span(from: u64, to: u64) -> Span {
    Span {
        from: ms(from),
        to: ms(to),
    }
}

pub fn leaving(runner: &str, from: u64, to: u64) -> Leaving {
    Leaving {
        runner: runner.to_owned(),
        span: span(from, to),
    }
}

pub fn response(status: u16, body: &str) -> ResponseRecord {
    ResponseRecord {
        status,
        is_sealed: status == 200,
        is_complete: status != 0,
        body: body.to_owned(),
    }
}

pub fn call(id: &str, kind: RequestKind, response: ResponseRecord) -> Call {
    Call {
        id: id.to_owned(),
        kind,
        router: 0,
        refused: Vec::new(),
        sent: ms(4000),
        ended: ms(4500),
        has_left: false,
        response,
    }
}

/// Adds a request that may run once and is refused at 4.2 s; sent again, it is served. It runs at these times.
pub fn add_sent_again(h: &mut History, runs: &[u64]) {
    h.calls.push(Call {
        refused: vec![span(4000, 4200)],
        sent: ms(4210),
        ..call("again", RequestKind::Once, response(200, "answer of i1 to again"))
    });
    h.arrivals.extend(runs.iter().map(|at| arrival("again", "i1", *at)));
}

/// A request whose caller left 200 ms after it.
pub fn left_call(id: &str) -> Call {
    Call {
        ended: ms(4200),
        has_left: true,
        ..call(id, RequestKind::Safe, response(0, ""))
    }
}

/// Adds the request of [`left_call`], and one that reaches a runner behind its caller's end.
pub fn add_left_call(h: &mut History) {
    h.calls.push(left_call("left"));
    h.calls.push(Call {
        sent: ms(4300),
        ..call("meanwhile", RequestKind::Safe, response(502, ""))
    });
    h.arrivals.push(arrival("meanwhile", "i1", 4310));
}

pub fn arrival(id: &str, runner: &str, at: u64) -> Arrival {
    Arrival {
        id: id.to_owned(),
        runner: runner.to_owned(),
        at: ms(at),
        ran: true,
        notice: RunnerNotice::Nothing,
        limit: None,
        head_after: Some(Duration::ZERO),
        time_left: Some(ms(1400)),
        ended: Some(ms(at + 100)),
    }
}

/// An arrival whose response carries a notice of the runner.
pub fn arrival_with_notice(id: &str, runner: &str, at: u64, notice: RunnerNotice) -> Arrival {
    Arrival {
        notice,
        ran: notice == RunnerNotice::Leaves,
        ..arrival(id, runner, at)
    }
}

/// Adds requests every 150 ms to a runner that names a limit of 2 a second.
pub fn add_limited_arrivals(h: &mut History, count: u64) {
    for n in 0..count {
        let id = format!("limited{n}");
        h.calls.push(call(&id, RequestKind::Safe, response(503, "")));
        h.arrivals.push(Arrival {
            limit: Some(2.0),
            ..arrival(&id, "i3", 4000 + n * 150)
        });
    }
}

/// Adds a cut of router 1 from all runners from 10 s to 20 s, with 30 first tries there and at router 0, sent at `at`. All are
/// served but `unserved` at router 1.
pub fn add_cut_off(h: &mut History, at: u64, unserved: usize) {
    h.cut_offs.push(CutOff {
        routers: vec![1],
        span: span(10_000, 20_000),
    });
    for n in 0..60 {
        let id = format!("tried{n}");
        let is_served = n >= unserved * 2 || n % 2 == 0;
        let body = format!("answer of i1 to {id}");
        let answer = if is_served {
            response(200, &body)
        } else {
            response(502, "")
        };
        h.arrivals.extend(is_served.then(|| arrival(&id, "i1", at + 10)));
        h.calls.push(Call {
            router: n % 2,
            sent: ms(at),
            ended: ms(at + 500),
            ..call(&id, RequestKind::Once, answer)
        });
    }
}

/// Adds a time in which four runners are brittle, and these falls; what they refuse came from router 0.
pub fn add_falls(h: &mut History, falls: &[(&str, u64)]) {
    h.brittle_times.push(BrittleTime {
        runners: ["i0", "i1", "i2", "i3"].map(str::to_owned).to_vec(),
        span: span(10_000, 20_000),
    });
    let rejected = ["safe", "once", "refused"].map(str::to_owned);
    h.falls.extend(falls.iter().map(|(runner, at)| Fall {
        runner: (*runner).to_owned(),
        at: ms(*at),
        rejected: rejected.to_vec(),
    }));
}

pub fn events(numbers: impl IntoIterator<Item = u32>) -> String {
    numbers
        .into_iter()
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect()
}

/// One valid request of each kind, and a request that is served after the last fault.
pub fn valid_history() -> History {
    let mut later = call("later", RequestKind::Safe, response(200, "answer of i0 to later"));
    later.sent = ms(9000);
    later.ended = ms(9010);
    History {
        calls: vec![
            call("safe", RequestKind::Safe, response(200, "answer of i0 to safe")),
            call("once", RequestKind::Once, response(200, "answer of i1 to once")),
            call("refused", RequestKind::Once, response(503, "")),
            call("stream", RequestKind::Stream, response(200, &events(1..=STREAM_EVENTS))),
            call("resume", RequestKind::Resume, response(200, &events(1..=STREAM_EVENTS))),
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
        placements: PlacementCounts {
            callers: 16,
            during_load: vec![60, 20, 9],
            after_load: Vec::new(),
        },
        faults_ended_at: ms(5000),
        ..History::default()
    }
}
