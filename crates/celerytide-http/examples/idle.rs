//! Cost of idle connections to endpoints: memory, wake-ups of the process and CPU time.
//!
//! `cargo run --release -p celerytide-http --example idle -- CONNECTIONS SECONDS` opens the connections to the endpoints in
//! a second process, lets them idle and prints what that cost. Then it sends `REQUESTS` one after the other on one of
//! them; `strace -c` shows the system calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use celerytide_http::client::{Call, Client, Options};
use futures::future::join_all;
use http::Method;
use monoio::time::sleep;
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

const REQUESTS: usize = 2000;
/// Addresses of the endpoint.
const ADDRESSES: usize = 20;
/// Longer than a system call takes under `strace`, so that the client waits for each response.
const RESPONSE_TIME: Duration = Duration::from_millis(1);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "endpoint") {
        return serve();
    }
    let number = |n: usize, default| args.get(n).and_then(|arg| arg.parse().ok()).unwrap_or(default);
    let program = std::env::current_exe().expect("program");
    let mut endpoint = Command::new(program);
    let mut endpoint = endpoint
        .arg("endpoint")
        .stdout(Stdio::piped())
        .spawn()
        .expect("endpoint");
    let output = BufReader::new(endpoint.stdout.take().expect("output"));
    let line = |line: std::io::Result<String>| line.expect("line").parse().expect("address");
    let addresses: Vec<SocketAddr> = output.lines().take(ADDRESSES).map(line).collect();
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime");
    runtime.block_on(measure(
        &addresses,
        number(0, 300),
        Duration::from_secs(number(1, 10) as u64),
    ));
    let _ = endpoint.kill();
    let _ = endpoint.wait();
}

/// Serves each connection on its own thread.
fn serve() {
    for _ in 0..ADDRESSES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        println!("{}", listener.local_addr().expect("address"));
        std::thread::spawn(move || {
            for peer in listener.incoming() {
                std::thread::spawn(move || respond(peer.expect("peer")));
            }
        });
    }
    loop {
        std::thread::park();
    }
}

fn respond(mut peer: TcpStream) {
    let mut buf = [0; 4096];
    while matches!(peer.read(&mut buf), Ok(n) if n > 0) {
        std::thread::sleep(RESPONSE_TIME);
        if peer.write_all(RESPONSE).is_err() {
            return;
        }
    }
}

async fn measure(addresses: &[SocketAddr], connections: usize, time: Duration) {
    let client = Client::new(Options {
        idle_per_addr: connections,
        idle_age: time * 2,
        ..Options::default()
    });
    let cx = CancellationToken::new();
    let call = |addr, fresh| {
        let mut call = Call::new(addr, Method::GET, "/");
        call.fresh = fresh;
        client.send_buffered(call, 100, &cx)
    };
    call(addresses[0], true).await.expect("response");
    let empty = Status::now();
    for _ in 0..connections / ADDRESSES {
        for got in join_all(addresses.iter().map(|addr| call(*addr, true))).await {
            got.expect("response");
        }
    }
    sleep(Duration::from_millis(100)).await;
    let begin = Status::now();
    sleep(time).await;
    let end = Status::now();
    println!(
        "{} idle: {} KB more, {} wake-ups and {:?} of CPU time in {time:?}",
        client.idle_count(),
        begin.resident_kb - empty.resident_kb,
        end.wake_ups - begin.wake_ups,
        end.cpu - begin.cpu,
    );
    let began = Instant::now();
    for _ in 0..REQUESTS {
        call(addresses[0], false).await.expect("response");
    }
    let cpu = Status::now().cpu - end.cpu;
    println!("{REQUESTS} requests: {:?}, {cpu:?} of CPU time", began.elapsed());
}

/// What the kernel counts for this process.
struct Status {
    resident_kb: u64,
    wake_ups: u64,
    cpu: Duration,
}

impl Status {
    fn now() -> Status {
        let text = std::fs::read_to_string("/proc/self/status").expect("status");
        let field = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok())
                .expect("field")
        };
        let times = std::fs::read_to_string("/proc/self/schedstat").expect("times");
        let ns = times
            .split_whitespace()
            .next()
            .and_then(|ns| ns.parse().ok())
            .expect("time");
        Status {
            resident_kb: field("VmRSS:"),
            wake_ups: field("voluntary_ctxt_switches:"),
            cpu: Duration::from_nanos(ns),
        }
    }
}
