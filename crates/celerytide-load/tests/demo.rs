//! The demonstration serves its requests, exits on a signal, and leaves no processes behind.
//!
//! Requires the binaries of the daemons: `cargo build --workspace --bins`.

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

const TIMEOUT: Duration = Duration::from_secs(60);
/// Child processes of the demonstration: the configuration service, two engines, one plain service, and two daemons
/// on each of two instances.
const DEMO_CHILDREN: usize = 8;
/// Child processes of the smoke scenario: two more engines and one more plain service.
const SMOKE_CHILDREN: usize = 11;

fn start(dir: &TempDir, args: &[&str]) -> (Process, PathBuf) {
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

/// Waits until the output of the process contains `line`.
fn wait_for_line(process: &mut Process, text: impl Fn() -> String, line: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while !text().contains(line) {
        assert!(process.is_running() && Instant::now() < deadline, "{}", text());
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
fn once_serves_every_request_and_exits() {
    let dir = TempDir::create().expect("temporary directory");
    let (mut process, log) = start(&dir, &["demo", "--once"]);
    let status = process.wait(TIMEOUT);
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
fn signal_during_a_run_leaves_no_processes() {
    let dir = TempDir::create().expect("temporary directory");
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/smoke.yaml");
    let (mut process, log) = start(&dir, &["run", scenario]);
    let text = || fs::read_to_string(&log).unwrap_or_default();
    wait_for_line(&mut process, text, "1.0 s  sent");
    let children = children(process.pid());
    assert_eq!(children.len(), SMOKE_CHILDREN, "{}", text());
    process.signal(Signal::SIGTERM).expect("signal");
    assert!(
        process.wait(TIMEOUT).is_some_and(|status| !status.success()),
        "{}",
        text()
    );
    assert!(text().contains("ended by a signal"), "{}", text());
    let remaining: Vec<u32> = children.into_iter().filter(|pid| parent_of(*pid).is_some()).collect();
    assert!(remaining.is_empty(), "still running: {remaining:?}");
}

#[test]
fn signal_during_the_demo_leaves_no_processes() {
    let dir = TempDir::create().expect("temporary directory");
    let (mut process, log) = start(&dir, &["demo"]);
    let text = || fs::read_to_string(&log).unwrap_or_default();
    wait_for_line(&mut process, text, "Ctrl-C ends everything");
    let children = children(process.pid());
    assert_eq!(children.len(), DEMO_CHILDREN, "{}", text());
    process.signal(Signal::SIGINT).expect("signal");
    let status = process.wait(TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{}", text());
    let remaining: Vec<u32> = children.into_iter().filter(|pid| parent_of(*pid).is_some()).collect();
    assert!(remaining.is_empty(), "still running: {remaining:?}");
}

/// Concurrent requests right after the start.
const BURST: usize = 40;

/// Sends a streamed chat of 24 tokens on its own connection.
fn send_chat(addr: SocketAddr, request: &str) -> String {
    let body = r#"{"model":"demo-model","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"hello"}]}"#;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: demo\r\nauthorization: Bearer key-acme\r\nx-request-id: {request}\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut conn = TcpStream::connect(addr).expect("connection");
    conn.set_read_timeout(Some(TIMEOUT)).expect("timeout");
    conn.write_all(format!("{head}{body}").as_bytes()).expect("sent");
    let mut response = String::new();
    conn.read_to_string(&mut response).expect("response");
    response
}

#[test]
fn forty_concurrent_requests_get_their_own_responses() {
    let dir = TempDir::create().expect("temporary directory");
    let (mut process, log) = start(&dir, &["demo"]);
    let text = || fs::read_to_string(&log).unwrap_or_default();
    wait_for_line(&mut process, text, "Ctrl-C ends everything");
    let text = text();
    let after = text.split("callers http://").skip(1);
    let callers: Vec<SocketAddr> = after.filter_map(|rest| rest.split(' ').next()?.parse().ok()).collect();
    assert_eq!(callers.len(), 2, "{text}");
    let threads: Vec<_> = (0..BURST)
        .map(|n| {
            let addr = callers[n % callers.len()];
            thread::spawn(move || (n, send_chat(addr, &format!("burst-{n}-"))))
        })
        .collect();
    for thread in threads {
        let (n, response) = thread.join().expect("thread");
        assert!(response.contains("\"word\":\"done\""), "request {n}: {response}");
        let own_chunks = response.matches(&format!("\"id\":\"burst-{n}-\"")).count();
        assert_eq!(
            response.matches("\"id\":\"").count(),
            own_chunks,
            "request {n}: {response}"
        );
        assert!(own_chunks >= 2, "request {n}: {own_chunks} chunks");
    }
    process.signal(Signal::SIGINT).expect("signal");
    assert!(process.wait(TIMEOUT).is_some_and(|status| status.success()));
}
