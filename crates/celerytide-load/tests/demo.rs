//! The demonstration serves its requests, ends on a signal, and leaves nothing behind.
//!
//! Needs the daemons' binaries beside the test's own: `cargo build --workspace --bins`.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use celerytide_load::fleet::TempDir;
use celerytide_standin::launch::{Options, Process, Signal};

const BOUND: Duration = Duration::from_secs(60);
/// Configuration service, two engines, one plain service, and two daemons on each of two instances.
const CHILDREN: usize = 8;
/// Two engines and one plain service more.
const SMOKE_CHILDREN: usize = 11;

fn demo(dir: &TempDir, args: &[&str]) -> (Process, PathBuf) {
    let log = dir.path().join("demo.log");
    let options = Options {
        program: env!("CARGO_BIN_EXE_celerytide-load").into(),
        args: args.iter().map(|arg| (*arg).to_owned()).collect(),
        ready_prefix: None,
        log: Some(log.clone()),
        own_group: false,
    };
    (Process::start(&options).expect("start"), log)
}

/// Waits until the process has written `line`.
fn await_line(process: &mut Process, text: impl Fn() -> String, line: &str) {
    let until = Instant::now() + BOUND;
    while !text().contains(line) {
        assert!(process.is_running() && Instant::now() < until, "{}", text());
        thread::sleep(Duration::from_millis(20));
    }
}

fn children(parent: u32) -> Vec<u32> {
    let pids = fs::read_dir("/proc").expect("proc").flatten();
    let pids = pids.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| parent_of(*pid) == Some(parent)).collect()
}

fn parent_of(pid: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse().ok()
}

#[test]
fn once_serves_every_request_and_ends() {
    let dir = TempDir::create().expect("folder");
    let (mut process, log) = demo(&dir, &["demo", "--once"]);
    let status = process.wait(BOUND);
    let text = fs::read_to_string(log).expect("log");
    assert!(status.is_some_and(|status| status.success()), "{text}");
    assert_eq!(text.matches("24 tokens, word \"done\"").count(), 2, "{text}");
    assert_eq!(
        text.matches("\"ran\":true,\"request_id\":\"demo-submit-0\"").count(),
        2,
        "one run, seen twice: {text}"
    );
    assert!(!text.contains("demo-submit-1"), "{text}");
}

#[test]
fn a_signal_ends_a_run_and_its_processes() {
    let dir = TempDir::create().expect("folder");
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/smoke.yaml");
    let (mut process, log) = demo(&dir, &["run", scenario]);
    let text = || fs::read_to_string(&log).unwrap_or_default();
    await_line(&mut process, text, "1.0 s  sent");
    let children = children(process.pid());
    assert_eq!(children.len(), SMOKE_CHILDREN, "{}", text());
    process.signal(Signal::SIGTERM).expect("signal");
    assert!(
        process.wait(BOUND).is_some_and(|status| !status.success()),
        "{}",
        text()
    );
    assert!(text().contains("ended by a signal"), "{}", text());
    let left: Vec<u32> = children.into_iter().filter(|pid| parent_of(*pid).is_some()).collect();
    assert!(left.is_empty(), "still there: {left:?}");
}

#[test]
fn a_signal_ends_every_process() {
    let dir = TempDir::create().expect("folder");
    let (mut process, log) = demo(&dir, &["demo"]);
    let text = || fs::read_to_string(&log).unwrap_or_default();
    await_line(&mut process, text, "Ctrl-C ends everything");
    let children = children(process.pid());
    assert_eq!(children.len(), CHILDREN, "{}", text());
    process.signal(Signal::SIGINT).expect("signal");
    let status = process.wait(BOUND);
    assert!(status.is_some_and(|status| status.success()), "{}", text());
    let left: Vec<u32> = children.into_iter().filter(|pid| parent_of(*pid).is_some()).collect();
    assert!(left.is_empty(), "still there: {left:?}");
}

/// A newcomer's first burst.
const BURST: usize = 40;

/// A streamed chat of 24 tokens over a connection of its own.
fn chat(addr: SocketAddr, request: &str) -> String {
    let body = r#"{"model":"demo-model","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"hello"}]}"#;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: demo\r\nauthorization: Bearer key-acme\r\nx-request-id: {request}\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut conn = TcpStream::connect(addr).expect("connection");
    conn.set_read_timeout(Some(BOUND)).expect("timeout");
    conn.write_all(format!("{head}{body}").as_bytes()).expect("sent");
    let mut answer = String::new();
    conn.read_to_string(&mut answer).expect("answer");
    answer
}

#[test]
fn forty_requests_at_once_are_served_each_with_its_own_answer() {
    let dir = TempDir::create().expect("folder");
    let (mut process, log) = demo(&dir, &["demo"]);
    let text = || fs::read_to_string(&log).unwrap_or_default();
    await_line(&mut process, text, "Ctrl-C ends everything");
    let text = text();
    let after = text.split("callers http://").skip(1);
    let callers: Vec<SocketAddr> = after.filter_map(|rest| rest.split(' ').next()?.parse().ok()).collect();
    assert_eq!(callers.len(), 2, "{text}");
    let asked: Vec<_> = (0..BURST)
        .map(|n| {
            let addr = callers[n % callers.len()];
            thread::spawn(move || (n, chat(addr, &format!("burst-{n}-"))))
        })
        .collect();
    for thread in asked {
        let (n, answer) = thread.join().expect("thread");
        assert!(answer.contains("\"word\":\"done\""), "request {n}: {answer}");
        let own = answer.matches(&format!("\"id\":\"burst-{n}-\"")).count();
        assert_eq!(answer.matches("\"id\":\"").count(), own, "request {n}: {answer}");
        assert!(own >= 2, "request {n}: {own} pieces");
    }
    process.signal(Signal::SIGINT).expect("signal");
    assert!(process.wait(BOUND).is_some_and(|status| status.success()));
}
