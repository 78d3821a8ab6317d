//! The plain service: what it answers, what it records, and how each fault shows.

mod common;

use std::{
    io::ErrorKind,
    thread,
    time::{Duration, Instant},
};

use celerytide_standin::probe::{self, Response};
use common::{Kept, QUIET, plain};

#[test]
fn records_each_run_and_echoes_the_id() {
    let service = plain();
    let headers = [("x-request-id", "r-1"), ("idempotency-key", "k-1")];
    let reply = probe::send(service.addr(), "POST", "/forms?x=1", &headers, b"hello").expect("answer");
    let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("json");
    assert_eq!((reply.status, reply.header("x-request-id")), (200, Some("r-1")));
    assert_eq!(
        (&body["ran"], &body["request_id"], &body["body_bytes"]),
        (&true.into(), &"r-1".into(), &5.into())
    );
    let runs = probe::runs(service.addr()).expect("runs");
    assert_eq!(runs.len(), 1);
    assert_eq!(
        (runs[0].run.as_str(), runs[0].method.as_str(), runs[0].path.as_str()),
        ("k-1", "POST", "/forms?x=1")
    );
    assert_eq!(
        (runs[0].request_id.as_str(), runs[0].idempotency_key.as_str()),
        ("r-1", "k-1")
    );
}

#[test]
fn names_a_run_by_the_most_telling_field() {
    struct Case {
        name: &'static str,
        headers: &'static [(&'static str, &'static str)],
        body: &'static str,
        want: &'static str,
    }
    let cases = [
        Case {
            name: "header",
            headers: &[("x-run-id", "a"), ("idempotency-key", "k")],
            body: "",
            want: "a",
        },
        Case {
            name: "body",
            headers: &[("idempotency-key", "k")],
            body: r#"{"x-run-id":"b"}"#,
            want: "b",
        },
        Case {
            name: "key",
            headers: &[("x-request-id", "r"), ("idempotency-key", "k")],
            body: "",
            want: "k",
        },
        Case {
            name: "request id",
            headers: &[("x-request-id", "r")],
            body: "not json",
            want: "r",
        },
        Case {
            name: "nothing",
            headers: &[],
            body: "",
            want: "",
        },
    ];
    let service = plain();
    for case in &cases {
        probe::send(service.addr(), "POST", "/", case.headers, case.body.as_bytes()).expect(case.name);
        let runs = probe::runs(service.addr()).expect("runs");
        assert_eq!(
            runs.last().map(|run| run.run.as_str()),
            Some(case.want),
            "{}",
            case.name
        );
    }
}

#[test]
fn answers_with_the_status_that_the_path_names() {
    let service = plain();
    for (path, want) in [("/status/404", 404), ("/a/status/503", 503), ("/status/xyz", 200)] {
        assert_eq!(
            probe::send(service.addr(), "GET", path, &[], b"").expect(path).status,
            want,
            "{path}"
        );
    }
}

#[test]
fn faults_for_the_next_answer_strike_once() {
    struct Case {
        name: &'static str,
        fault: &'static str,
        /// Status, whether the body is whole; `None`: no answer.
        want: Option<(u16, bool)>,
        runs: usize,
        at_least: Duration,
    }
    let none = Duration::ZERO;
    let cases = [
        Case {
            name: "status",
            fault: r#"{"kind":"status","code":503}"#,
            want: Some((503, false)),
            runs: 0,
            at_least: none,
        },
        Case {
            name: "reset",
            fault: r#"{"kind":"reset"}"#,
            want: None,
            runs: 1,
            at_least: none,
        },
        Case {
            name: "cut",
            fault: r#"{"kind":"cut-mid-answer","after":5}"#,
            want: None,
            runs: 1,
            at_least: none,
        },
        Case {
            name: "late",
            fault: r#"{"kind":"late","ms":200}"#,
            want: Some((200, true)),
            runs: 1,
            at_least: Duration::from_millis(200),
        },
    ];
    for case in &cases {
        let service = plain();
        probe::set_fault(service.addr(), case.fault).expect(case.name);
        let start = Instant::now();
        let got = probe::send(service.addr(), "POST", "/", &[("x-request-id", "r")], b"");
        assert_eq!(
            got.ok().map(|reply| (reply.status, is_run(&reply))),
            case.want,
            "{}",
            case.name
        );
        assert!(start.elapsed() >= case.at_least, "{}", case.name);
        assert_eq!(
            probe::runs(service.addr()).expect("runs").len(),
            case.runs,
            "{}",
            case.name
        );
        let after = probe::send(service.addr(), "POST", "/", &[], b"").expect("second answer");
        assert!(is_run(&after), "{}: the second answer is whole", case.name);
    }
}

fn is_run(reply: &Response) -> bool {
    serde_json::from_slice::<serde_json::Value>(&reply.body).is_ok_and(|body| body["ran"] == true)
}

#[test]
fn crossed_answers_change_hands() {
    let service = plain();
    let addr = service.addr();
    probe::set_fault(addr, r#"{"kind":"crossed"}"#).expect("fault");
    let ask = move |id: &'static str| {
        let reply = probe::send(addr, "GET", "/", &[("x-request-id", id)], b"").expect("answer");
        let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("json");
        assert_eq!(reply.header("x-request-id"), body["request_id"].as_str());
        reply.header("x-request-id").map(str::to_owned)
    };
    let first = thread::spawn(move || ask("a"));
    assert_eq!(ask("b").as_deref(), Some("a"));
    assert_eq!(first.join().expect("thread").as_deref(), Some("b"));
    assert_eq!(ask("c").as_deref(), Some("c"));
}

#[test]
fn silent_stops_old_connections_and_no_new_ones() {
    let service = plain();
    let mut old = Kept::open(service.addr());
    old.send("a");
    assert!(!old.read(Duration::from_secs(5)).expect("first answer").is_empty());
    probe::set_fault(service.addr(), r#"{"kind":"silent"}"#).expect("fault");
    old.send("b");
    let silence = old.read(QUIET).expect_err("an old connection is silent").kind();
    assert!(
        matches!(silence, ErrorKind::WouldBlock | ErrorKind::TimedOut),
        "{silence:?}"
    );
    let mut new = Kept::open(service.addr());
    new.send("c");
    assert!(!new.read(Duration::from_secs(5)).expect("new connection").is_empty());
    let ran: Vec<String> = probe::runs(service.addr())
        .expect("runs")
        .into_iter()
        .map(|run| run.run)
        .collect();
    assert_eq!(ran, ["a", "c"]);
}

#[test]
fn a_freeze_holds_answers_but_not_control() {
    let service = plain();
    probe::set_fault(service.addr(), r#"{"kind":"freeze","ms":400}"#).expect("fault");
    let start = Instant::now();
    let mut kept = Kept::open(service.addr());
    kept.send("a");
    assert!(probe::runs(service.addr()).expect("runs").is_empty());
    assert!(
        start.elapsed() < Duration::from_millis(400),
        "control answers while frozen"
    );
    assert!(!kept.read(Duration::from_secs(5)).expect("answer").is_empty());
    assert!(start.elapsed() >= Duration::from_millis(390));
}

#[test]
fn none_clears_and_crash_exits() {
    let mut service = plain();
    probe::set_fault(service.addr(), r#"{"kind":"freeze","ms":60000}"#).expect("freeze");
    probe::set_fault(service.addr(), r#"{"kind":"reset"}"#).expect("reset");
    probe::set_fault(service.addr(), r#"{"kind":"none"}"#).expect("none");
    assert_eq!(
        probe::send(service.addr(), "GET", "/", &[], b"")
            .expect("answer")
            .status,
        200
    );
    probe::set_fault(service.addr(), r#"{"kind":"crash"}"#).expect("crash");
    let status = service.wait(Duration::from_secs(5)).expect("exits");
    assert!(!status.success());
}

#[test]
fn refuses_what_is_no_fault_of_its_own() {
    let service = plain();
    for body in [
        "",
        "{}",
        r#"{"kind":"cold"}"#,
        r#"{"kind":"stale"}"#,
        r#"{"kind":"late"}"#,
    ] {
        let refused = probe::set_fault(service.addr(), body).expect_err(body);
        assert!(
            matches!(refused, probe::Error::Refused { status: 400, .. }),
            "{body}: {refused}"
        );
    }
}
