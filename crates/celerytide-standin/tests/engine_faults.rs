//! How each fault shows at an engine.

mod common;

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use celerytide_standin::{
    engine::{Load, ResponseLengths},
    launch::Process,
    probe,
};
use common::{QUIET, call, chat, engine, read_stream, words};

const BOUND: Duration = Duration::from_secs(5);
/// Seed of engines that are given none.
const ENGINE_SEED: u64 = 1;
/// More than any of the tests waits for.
const LONG_TOKENS: usize = 600;

#[test]
fn faults_for_the_next_answer_strike_once() {
    struct Case {
        name: &'static str,
        fault: &'static str,
        stream: bool,
        /// Status and text; `None`: no whole answer.
        want: Option<(u16, &'static str)>,
        at_least: Duration,
    }
    let none = Duration::ZERO;
    let cases = [
        Case {
            name: "reset",
            fault: r#"{"kind":"reset"}"#,
            stream: true,
            want: None,
            at_least: none,
        },
        Case {
            name: "reset whole",
            fault: r#"{"kind":"reset"}"#,
            stream: false,
            want: None,
            at_least: none,
        },
        Case {
            name: "cut",
            fault: r#"{"kind":"cut-mid-answer","after":1}"#,
            stream: true,
            want: None,
            at_least: none,
        },
        Case {
            name: "cut whole",
            fault: r#"{"kind":"cut-mid-answer","after":9}"#,
            stream: false,
            want: None,
            at_least: none,
        },
        Case {
            name: "status",
            fault: r#"{"kind":"status","code":429}"#,
            stream: true,
            want: Some((429, "")),
            at_least: none,
        },
        Case {
            name: "late",
            fault: r#"{"kind":"late","ms":200}"#,
            stream: true,
            want: Some((200, "w0 w1 ")),
            at_least: Duration::from_millis(200),
        },
        Case {
            name: "slow",
            fault: r#"{"kind":"slow","ms":100}"#,
            stream: true,
            want: Some((200, "w0 w1 ")),
            at_least: Duration::from_millis(200),
        },
    ];
    for case in &cases {
        let engine = engine(&[]);
        let body = chat("hi", &format!(r#","max_tokens":2,"stream":{}"#, case.stream));
        probe::set_fault(engine.addr(), case.fault).expect(case.name);
        let start = Instant::now();
        let got = call(&engine, "r", &body)
            .ok()
            .map(|reply| (reply.status, read_stream(&reply).0));
        let want = case.want.map(|(status, text)| (status, text.to_owned()));
        assert_eq!(got, want, "{}", case.name);
        assert!(start.elapsed() >= case.at_least, "{}", case.name);
        assert_eq!(
            call(&engine, "r", &body).expect("second").status,
            200,
            "{}: the second is served",
            case.name
        );
    }
}

#[test]
fn a_stream_falls_silent_while_new_ones_work() {
    let engine = engine(&["--decode-ms", "20"]);
    let mut stream = begin(&engine);
    assert!(!read(&mut stream).expect("first tokens").is_empty());
    probe::set_fault(engine.addr(), r#"{"kind":"silent"}"#).expect("silent");
    drain(&mut stream);
    let silence = read(&mut stream).expect_err("nothing more comes").kind();
    assert!(
        matches!(silence, ErrorKind::WouldBlock | ErrorKind::TimedOut),
        "{silence:?}"
    );
    let reply = call(&engine, "r", &chat("hi", r#","max_tokens":3,"stream":true"#)).expect("a new connection");
    assert_eq!(read_stream(&reply), (words(0, 3), true));
}

#[test]
fn a_freeze_stops_streams_and_reports_and_then_goes_on() {
    let engine = engine(&["--decode-ms", "10"]);
    let mut stream = begin(&engine);
    assert!(!read(&mut stream).expect("first tokens").is_empty());
    probe::set_fault(engine.addr(), r#"{"kind":"freeze","ms":900}"#).expect("freeze");
    let frozen = Instant::now();
    drain(&mut stream);
    read(&mut stream).expect_err("nothing comes while it is frozen");
    let addr = engine.addr();
    let report = thread::spawn(move || probe::get_json::<Load>(addr, "/load").map(|_| frozen.elapsed()));
    let waited = report.join().expect("thread").expect("report");
    assert!(waited >= Duration::from_millis(850), "the report came after {waited:?}");
    stream.set_read_timeout(Some(BOUND)).expect("timeout");
    assert!(stream.read(&mut [0; 64]).expect("tokens come again") > 0);
}

#[test]
fn a_crash_ends_the_process() {
    let mut engine = engine(&[]);
    probe::set_fault(engine.addr(), r#"{"kind":"crash"}"#).expect("crash");
    assert!(engine.wait(BOUND).is_some_and(|status| !status.success()));
}

/// Starts a long stream.
fn begin(engine: &Process) -> TcpStream {
    let body = chat("hi", r#","max_tokens":2000,"stream":true"#);
    let mut stream = TcpStream::connect(engine.addr()).expect("connect");
    stream.set_read_timeout(Some(QUIET)).expect("timeout");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\nx-request-id: {}\r\ncontent-length: {}\r\n\r\n",
        long_id(),
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(&body))
        .expect("write");
    stream
}

/// A request id whose answer has many tokens under the engines' seed.
fn long_id() -> String {
    let lengths = ResponseLengths::new(ENGINE_SEED);
    let mut ids = (0..).map(|i| format!("long-{i}"));
    ids.find(|id| lengths.draw(id, None) >= LONG_TOKENS)
        .expect("some answer is long")
}

fn read(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut buf = vec![0; 4096];
    let n = stream.read(&mut buf)?;
    buf.truncate(n);
    Ok(buf)
}

/// Reads what was on its way already.
fn drain(stream: &mut TcpStream) {
    let until = Instant::now() + QUIET / 2;
    stream.set_read_timeout(Some(QUIET / 10)).expect("timeout");
    while Instant::now() < until {
        let _ = read(stream);
    }
    stream.set_read_timeout(Some(QUIET)).expect("timeout");
}
