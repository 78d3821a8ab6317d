//! The engine: responses, limits, cold starts, resumption, cancellation, reports and orders.

mod common;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use celerytide_standin::{
    engine::{CacheEvent, Load, Order},
    probe,
};
use common::{chat_body, read_stream, send_chat, start_engine, token_text};

#[test]
fn buffered_and_streamed_responses_have_the_same_text() {
    let engine = start_engine(&[]);
    let buffered = send_chat(&engine, "r-1", &chat_body("hi", r#","max_tokens":20"#)).expect("whole");
    let streamed = send_chat(&engine, "r-1", &chat_body("hi", r#","max_tokens":20,"stream":true"#)).expect("streamed");
    assert_eq!(
        (buffered.header("x-request-id"), streamed.header("x-request-id")),
        (Some("r-1"), Some("r-1"))
    );
    let body: serde_json::Value = serde_json::from_slice(&buffered.body).expect("json");
    assert_eq!(body["id"], "r-1");
    assert_eq!(body["choices"][0]["message"]["content"], token_text(0, 20));
    assert_eq!(body["usage"]["completion_tokens"], 20);
    assert_eq!(read_stream(&streamed), (token_text(0, 20), true));
    assert!(
        streamed
            .text()
            .lines()
            .next()
            .expect("first event")
            .contains(r#""id":"r-1""#)
    );
}

#[test]
fn resumes_from_the_tokens_that_were_sent() {
    let first = start_engine(&["--seed", "7"]);
    let second = start_engine(&["--seed", "7"]);
    let buffered = send_chat(&first, "r-2", &chat_body("hi", r#","stream":true"#)).expect("whole");
    let rest = send_chat(&second, "r-2", &chat_body("hi", r#","stream":true,"resume_from":3"#)).expect("rest");
    let (buffered, rest) = (read_stream(&buffered), read_stream(&rest));
    assert!(buffered.1 && rest.1);
    assert_eq!(buffered.0, token_text(0, 3) + &rest.0);
}

#[test]
fn refuses_malformed_requests_and_requests_beyond_its_slots() {
    let engine = start_engine(&["--slots", "1", "--decode-ms", "50"]);
    for body in ["", "{}", r#"{"messages":5}"#] {
        assert_eq!(
            send_chat(&engine, "r", body.as_bytes()).expect("response").status,
            400,
            "{body}"
        );
    }
    let busy: Vec<TcpStream> = (0..2).map(|_| start_stream(&engine, 1000)).collect();
    wait_for(&engine, |load| load.running + load.waiting == 2);
    let full = send_chat(&engine, "r", &chat_body("hi", "")).expect("response");
    assert_eq!((full.status, full.header("retry-after")), (503, Some("1")));
    drop(busy);
    wait_for(&engine, |load| load.running + load.waiting == 0);
    assert_eq!(
        send_chat(&engine, "r", &chat_body("hi", r#","max_tokens":1"#))
            .expect("response")
            .status,
        200
    );
}

#[test]
fn an_overloaded_cold_engine_resets_all_requests() {
    let engine = start_engine(&["--cold-slots", "1", "--cold-seconds", "60", "--decode-ms", "20"]);
    assert_eq!(
        send_chat(&engine, "r", &chat_body("hi", r#","max_tokens":2"#))
            .expect("one request is admitted")
            .status,
        200
    );
    let started = read_load(&engine).started_unix_ms;
    let addr = engine.addr();
    let first = thread::spawn(move || {
        let body = chat_body("hi", r#","max_tokens":4000,"stream":true"#);
        probe::send(addr, "POST", "/v1/chat/completions", &[], &body).is_err()
    });
    wait_for(&engine, |load| load.running == 1);
    assert!(
        send_chat(&engine, "r", &chat_body("hi", "")).is_err(),
        "the second request is reset"
    );
    assert!(first.join().expect("thread"), "the first request is reset too");
    wait_for(&engine, |load| {
        load.cold && load.running == 0 && load.started_unix_ms > started
    });
}

#[test]
fn turns_cold_with_or_without_a_signal() {
    for (fault, is_signalled) in [
        (r#"{"kind":"cold","signal":true}"#, true),
        (r#"{"kind":"cold"}"#, false),
    ] {
        let engine = start_engine(&["--cold-slots", "0", "--cold-seconds", "60"]);
        probe::set_fault(engine.addr(), r#"{"kind":"none"}"#).expect("none");
        probe::set_fault(engine.addr(), fault).expect("cold");
        wait_for(&engine, |load| load.cold == is_signalled);
        assert!(
            send_chat(&engine, "r", &chat_body("hi", "")).is_err(),
            "a request is reset while no cold slot is free"
        );
    }
}

#[test]
fn a_higher_priority_is_served_first() {
    let engine = start_engine(&["--slots", "2", "--decode-ms", "30"]);
    let busy = [start_stream(&engine, 1000), start_stream(&engine, 1000)];
    wait_for(&engine, |load| load.running == 2);
    let addr = engine.addr();
    let send_with_priority = move |priority: &'static str| {
        let body = chat_body("hi", r#","max_tokens":3"#);
        let headers = [("x-priority", priority)];
        assert_eq!(
            probe::send(addr, "POST", "/v1/chat/completions", &headers, &body)
                .expect("response")
                .status,
            200
        );
        Instant::now()
    };
    let low = thread::spawn(move || send_with_priority("5"));
    wait_for(&engine, |load| load.waiting == 1);
    let high = thread::spawn(move || send_with_priority("1"));
    wait_for(&engine, |load| load.waiting == 2);
    let [leaving, _staying] = busy;
    drop(leaving);
    let (low, high) = (low.join().expect("low"), high.join().expect("high"));
    assert!(high < low, "the request of higher priority did not end first");
}

#[test]
fn cut_and_crossed_faults_apply_to_streams() {
    let engine = start_engine(&[]);
    probe::set_fault(engine.addr(), r#"{"kind":"cut-mid-answer","after":4}"#).expect("cut");
    let body = chat_body("hi", r#","max_tokens":20,"stream":true"#);
    assert!(send_chat(&engine, "r", &body).is_err(), "no terminator");
    probe::set_fault(engine.addr(), r#"{"kind":"crossed"}"#).expect("crossed");
    let addr = engine.addr();
    let other = thread::spawn(move || {
        let body = chat_body("hi", r#","max_tokens":6,"stream":true"#);
        let response = probe::send(addr, "POST", "/v1/chat/completions", &[("x-request-id", "b")], &body).expect("b");
        (
            response.header("x-request-id").map(str::to_owned),
            read_stream(&response).0,
        )
    });
    let own = send_chat(&engine, "a", &chat_body("hi", r#","max_tokens":3,"stream":true"#)).expect("a");
    assert_eq!(
        (own.header("x-request-id"), read_stream(&own).0),
        (Some("b"), token_text(0, 6))
    );
    assert_eq!(other.join().expect("thread"), (Some("a".to_owned()), token_text(0, 3)));
}

#[test]
fn load_reports_lag_behind() {
    let lag = Duration::from_millis(500);
    let engine = start_engine(&["--report-lag-ms", "500", "--decode-ms", "20"]);
    let start = Instant::now();
    let _busy = start_stream(&engine, 1000);
    wait_for(&engine, |load| load.running == 1);
    assert!(start.elapsed() >= lag, "the report came after {:?}", start.elapsed());
}

#[test]
fn caches_prefixes_and_publishes_events() {
    let engine = start_engine(&[]);
    let long = "x".repeat(256 * 40);
    send_chat(&engine, "r", &chat_body(&long, r#","max_tokens":1"#)).expect("response");
    let path = "/cache-events?since=0";
    let events: Vec<CacheEvent> = probe::get_json(engine.addr(), path).expect("events");
    assert!(events.iter().all(|event| event.kind == "stored"));
    assert!(events.len() > 20 && events.len() <= 40, "{}", events.len());
    let last = events.last().expect("an event").seq;
    let later: Vec<CacheEvent> =
        probe::get_json(engine.addr(), &format!("/cache-events?since={last}")).expect("events");
    assert!(later.is_empty());
}

#[test]
fn refuses_old_orders_only_when_fenced() {
    struct Case {
        args: &'static [&'static str],
        want: [u16; 3],
        accepted: usize,
    }
    let cases = [
        Case {
            args: &["--fenced"],
            want: [200, 409, 200],
            accepted: 2,
        },
        Case {
            args: &[],
            want: [200, 200, 200],
            accepted: 3,
        },
    ];
    for case in &cases {
        let engine = start_engine(case.args);
        let got = [5, 4, 5].map(|number| {
            let order = format!(r#"{{"kind":"load","name":"m-{number}","number":{number},"sender":"a"}}"#);
            probe::send(engine.addr(), "POST", "/orders", &[], order.as_bytes())
                .expect("response")
                .status
        });
        assert_eq!(got, case.want, "{:?}", case.args);
        let accepted: Vec<Order> = probe::get_json(engine.addr(), "/orders").expect("orders");
        assert_eq!(accepted.len(), case.accepted, "{:?}", case.args);
        let models: serde_json::Value = probe::get_json(engine.addr(), "/v1/models").expect("models");
        assert!(models.to_string().contains("m-5"));
    }
}

/// Sends a request for a stream and leaves the response unread.
fn start_stream(engine: &celerytide_standin::launch::Process, max_tokens: usize) -> TcpStream {
    let body = chat_body("hi", &format!(r#","max_tokens":{max_tokens},"stream":true"#));
    let mut stream = TcpStream::connect(engine.addr()).expect("connect");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(&body))
        .expect("write");
    stream
}

fn read_load(engine: &celerytide_standin::launch::Process) -> Load {
    probe::get_json(engine.addr(), "/load").expect("load")
}

fn wait_for(engine: &celerytide_standin::launch::Process, is_reached: impl Fn(&Load) -> bool) {
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        let load = read_load(engine);
        if is_reached(&load) {
            return;
        }
        assert!(Instant::now() < until, "expected load not reported; last {load:?}");
        thread::sleep(Duration::from_millis(5));
    }
}
