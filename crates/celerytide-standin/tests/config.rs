//! The configuration service: reads, watches, lag, the count of calls, and its faults.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use celerytide_standin::{
    config::Calls,
    launch::Process,
    probe::{self, Response},
};

const MANIFEST: &str = "/v1/kv/celerytide/manifest?raw";
const LIST: &str = "/v1/health/service/celerytide-endpoints";
const ENTRY: &str = r#"[{"Service":{"ID":"e1","Address":"127.0.0.1","Port":1,"Meta":{"zone":"a"}}}]"#;

fn config(args: &[&str]) -> Process {
    Process::standin("config", args).expect("config")
}

fn get(process: &Process, path: &str) -> Response {
    probe::send(process.addr(), "GET", path, &[], b"").expect("answer")
}

fn index(reply: &Response) -> u64 {
    reply
        .header("x-consul-index")
        .and_then(|index| index.parse().ok())
        .expect("index")
}

fn publish(process: &Process, text: &str) {
    probe::put(process.addr(), "/__test/manifest", text.as_bytes()).expect("publish");
}

#[test]
fn serves_the_newest_manifest_with_a_growing_index() {
    let service = config(&[]);
    assert_eq!(get(&service, MANIFEST).status, 404);
    let mut last = index(&get(&service, MANIFEST));
    for text in ["version: 1", "version: 2", "version: 2"] {
        publish(&service, text);
        let reply = get(&service, MANIFEST);
        assert_eq!((reply.status, reply.text().as_str()), (200, text));
        assert!(index(&reply) > last);
        last = index(&reply);
    }
}

#[test]
fn a_watch_wakes_at_a_change_or_at_its_end() {
    let service = config(&[]);
    publish(&service, "one");
    let first = index(&get(&service, MANIFEST));
    let start = Instant::now();
    let same = get(&service, &format!("{MANIFEST}&index={first}&wait=200ms"));
    assert!(start.elapsed() >= Duration::from_millis(200));
    assert_eq!((index(&same), same.text().as_str()), (first, "one"));

    let addr = service.addr();
    let watch = thread::spawn(move || {
        probe::send(addr, "GET", &format!("{MANIFEST}&index={first}&wait=4s"), &[], b"").expect("watch")
    });
    thread::sleep(common::QUIET);
    assert!(!watch.is_finished(), "nothing has changed yet");
    publish(&service, "two");
    assert_eq!(watch.join().expect("thread").text(), "two");
}

#[test]
fn a_watch_from_before_the_first_manifest_sees_it() {
    let service = config(&[]);
    let before = index(&get(&service, MANIFEST));
    publish(&service, "one");
    assert_eq!(
        get(&service, &format!("{MANIFEST}&index={before}&wait=4s")).text(),
        "one"
    );
}

#[test]
fn lists_lag_and_the_manifest_does_not() {
    let lag = Duration::from_millis(600);
    let service = config(&["--lag-ms", "600"]);
    assert_eq!(get(&service, LIST).text(), "[]");
    let start = Instant::now();
    probe::put(service.addr(), "/__test/list/celerytide-endpoints", ENTRY.as_bytes()).expect("publish");
    publish(&service, "one");
    assert_eq!(get(&service, MANIFEST).text(), "one");
    if start.elapsed() < lag {
        assert_eq!(get(&service, LIST).text(), "[]");
    }
    let seen = get(&service, &format!("{LIST}?index=1&wait=4s"));
    assert_eq!(seen.text(), ENTRY);
    assert!(start.elapsed() >= lag);
}

#[test]
fn counts_each_call_of_the_system_only() {
    let service = config(&[]);
    publish(&service, "one");
    for _ in 0..3 {
        get(&service, MANIFEST);
    }
    get(&service, &format!("{LIST}?index=1&wait=100ms"));
    let calls: Calls = probe::get_json(service.addr(), "/__calls").expect("calls");
    assert_eq!(calls.total, 4);
    assert!((1..=4).contains(&calls.peak_second));
}

#[test]
fn is_only_read_by_the_system() {
    let service = config(&[]);
    for method in ["PUT", "POST", "DELETE"] {
        let reply = probe::send(service.addr(), method, MANIFEST, &[], b"x").expect(method);
        assert_eq!(reply.status, 405, "{method}");
    }
    assert_eq!(get(&service, MANIFEST).status, 404);
}

#[test]
fn refuses_a_list_that_is_no_array() {
    let service = config(&[]);
    assert!(probe::put(service.addr(), "/__test/list/celerytide", b"{}").is_err());
    assert!(probe::put(service.addr(), "/__test/list/celerytide", b"[]").is_ok());
}

#[test]
fn faults_change_reads_until_it_is_up() {
    struct Case {
        name: &'static str,
        /// Status and body; `None`: no answer.
        want: Option<(u16, &'static str)>,
    }
    let cases = [
        Case {
            name: "down",
            want: None,
        },
        Case {
            name: "not-found",
            want: Some((404, "")),
        },
        Case {
            name: "stale",
            want: Some((200, "one")),
        },
    ];
    for case in &cases {
        let service = config(&[]);
        publish(&service, "one");
        probe::set_fault(service.addr(), &format!(r#"{{"kind":"{}"}}"#, case.name)).expect(case.name);
        publish(&service, "two");
        let got = probe::send(service.addr(), "GET", MANIFEST, &[], b"")
            .ok()
            .map(|reply| (reply.status, reply.text()));
        assert_eq!(
            got.as_ref().map(|(status, text)| (*status, text.as_str())),
            case.want,
            "{}",
            case.name
        );
        probe::set_fault(service.addr(), r#"{"kind":"up"}"#).expect("up");
        assert_eq!(get(&service, MANIFEST).text(), "two", "{}", case.name);
    }
}

#[test]
fn a_waiting_watch_ends_when_the_service_goes_down() {
    let service = config(&[]);
    publish(&service, "one");
    let addr = service.addr();
    let first = index(&get(&service, MANIFEST));
    let path = format!("{MANIFEST}&index={first}&wait=4s");
    let watch = thread::spawn(move || probe::send(addr, "GET", &path, &[], b"").is_err());
    thread::sleep(common::QUIET);
    probe::set_fault(addr, r#"{"kind":"down"}"#).expect("down");
    assert!(watch.join().expect("thread"), "the watch got no answer");
}
