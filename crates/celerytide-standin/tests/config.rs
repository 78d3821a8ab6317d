//! The configuration service: reads, blocking queries, lag, request counts and faults.

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

const MANIFEST_PATH: &str = "/v1/kv/celerytide/manifest?raw";
const LIST_PATH: &str = "/v1/health/service/celerytide-endpoints";
const LIST_BODY: &str = r#"[{"Service":{"ID":"e1","Address":"127.0.0.1","Port":1,"Meta":{"zone":"a"}}}]"#;

fn start_config(args: &[&str]) -> Process {
    Process::standin("config", args).expect("config")
}

fn get(process: &Process, path: &str) -> Response {
    probe::send(process.addr(), "GET", path, &[], b"").expect("response")
}

fn read_index(response: &Response) -> u64 {
    response
        .header("x-consul-index")
        .and_then(|index| index.parse().ok())
        .expect("index")
}

fn publish(process: &Process, text: &str) {
    probe::put(process.addr(), "/__test/manifest", text.as_bytes()).expect("publish");
}

#[test]
fn serves_the_newest_manifest_with_a_growing_index() {
    let service = start_config(&[]);
    assert_eq!(get(&service, MANIFEST_PATH).status, 404);
    let mut last = read_index(&get(&service, MANIFEST_PATH));
    for text in ["version: 1", "version: 2", "version: 2"] {
        publish(&service, text);
        let response = get(&service, MANIFEST_PATH);
        assert_eq!((response.status, response.text().as_str()), (200, text));
        assert!(read_index(&response) > last);
        last = read_index(&response);
    }
}

#[test]
fn a_blocking_query_returns_at_a_change_or_its_timeout() {
    let service = start_config(&[]);
    publish(&service, "one");
    let first = read_index(&get(&service, MANIFEST_PATH));
    let start = Instant::now();
    let same = get(&service, &format!("{MANIFEST_PATH}&index={first}&wait=200ms"));
    assert!(start.elapsed() >= Duration::from_millis(200));
    assert_eq!((read_index(&same), same.text().as_str()), (first, "one"));

    let addr = service.addr();
    let query = thread::spawn(move || {
        probe::send(addr, "GET", &format!("{MANIFEST_PATH}&index={first}&wait=4s"), &[], b"").expect("query")
    });
    thread::sleep(common::QUIET_TIME);
    assert!(!query.is_finished(), "the query waits for a change");
    publish(&service, "two");
    assert_eq!(query.join().expect("thread").text(), "two");
}

#[test]
fn a_blocking_query_sees_the_first_manifest() {
    let service = start_config(&[]);
    let before = read_index(&get(&service, MANIFEST_PATH));
    publish(&service, "one");
    assert_eq!(
        get(&service, &format!("{MANIFEST_PATH}&index={before}&wait=4s")).text(),
        "one"
    );
}

#[test]
fn lists_lag_and_the_manifest_does_not() {
    let lag = Duration::from_millis(600);
    let service = start_config(&["--lag-ms", "600"]);
    assert_eq!(get(&service, LIST_PATH).text(), "[]");
    let start = Instant::now();
    probe::put(
        service.addr(),
        "/__test/list/celerytide-endpoints",
        LIST_BODY.as_bytes(),
    )
    .expect("publish");
    publish(&service, "one");
    assert_eq!(get(&service, MANIFEST_PATH).text(), "one");
    if start.elapsed() < lag {
        assert_eq!(get(&service, LIST_PATH).text(), "[]");
    }
    let seen = get(&service, &format!("{LIST_PATH}?index=1&wait=4s"));
    assert_eq!(seen.text(), LIST_BODY);
    assert!(start.elapsed() >= lag);
}

#[test]
fn counts_only_requests_of_the_system() {
    let service = start_config(&[]);
    publish(&service, "one");
    for _ in 0..3 {
        get(&service, MANIFEST_PATH);
    }
    get(&service, &format!("{LIST_PATH}?index=1&wait=100ms"));
    let calls: Calls = probe::get_json(service.addr(), "/__calls").expect("calls");
    assert_eq!(calls.total, 4);
    assert!((1..=4).contains(&calls.peak_second));
}

#[test]
fn write_methods_get_405() {
    let service = start_config(&[]);
    for method in ["PUT", "POST", "DELETE"] {
        let response = probe::send(service.addr(), method, MANIFEST_PATH, &[], b"x").expect(method);
        assert_eq!(response.status, 405, "{method}");
    }
    assert_eq!(get(&service, MANIFEST_PATH).status, 404);
}

#[test]
fn rejects_a_list_that_is_not_an_array() {
    let service = start_config(&[]);
    assert!(probe::put(service.addr(), "/__test/list/celerytide", b"{}").is_err());
    assert!(probe::put(service.addr(), "/__test/list/celerytide", b"[]").is_ok());
}

#[test]
fn faults_change_reads_until_it_is_up() {
    struct Case {
        name: &'static str,
        /// Status and body; `None`: no response.
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
        let service = start_config(&[]);
        publish(&service, "one");
        probe::set_fault(service.addr(), &format!(r#"{{"kind":"{}"}}"#, case.name)).expect(case.name);
        publish(&service, "two");
        let got = probe::send(service.addr(), "GET", MANIFEST_PATH, &[], b"")
            .ok()
            .map(|response| (response.status, response.text()));
        assert_eq!(
            got.as_ref().map(|(status, text)| (*status, text.as_str())),
            case.want,
            "{}",
            case.name
        );
        probe::set_fault(service.addr(), r#"{"kind":"up"}"#).expect("up");
        assert_eq!(get(&service, MANIFEST_PATH).text(), "two", "{}", case.name);
    }
}

#[test]
fn a_blocking_query_ends_when_the_service_goes_down() {
    let service = start_config(&[]);
    publish(&service, "one");
    let addr = service.addr();
    let first = read_index(&get(&service, MANIFEST_PATH));
    let path = format!("{MANIFEST_PATH}&index={first}&wait=4s");
    let query = thread::spawn(move || probe::send(addr, "GET", &path, &[], b"").is_err());
    thread::sleep(common::QUIET_TIME);
    probe::set_fault(addr, r#"{"kind":"down"}"#).expect("down");
    assert!(query.join().expect("thread"), "the query gets no response");
}
