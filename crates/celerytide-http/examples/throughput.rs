//! Benchmark of one thread: `cargo run --release -p celerytide-http --example throughput -- [SECONDS [MODE]]`, where
//! MODE is a part of a mode's name.
//!
//! The thread under test serves callers and, in the relay modes, calls an endpoint for each request. Callers and
//! endpoint run on other threads. It prints the rate, and the CPU time of the thread under test per request or chunk.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::Builder;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celerytide_http::Limits;
use celerytide_http::client::{Call, Client, Options};
use celerytide_http::server::{self, Handler, Request, Responder};
use http::{HeaderMap, Method, StatusCode};
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SECONDS: u64 = 5;
const CHUNK: usize = 100;
const BODY: usize = 500;
const MAX_BODY: usize = 1 << 20;
const MODES: &[Mode] = &[
    Mode {
        name: "serve whole answers",
        relay: false,
        stream: None,
        callers: 64,
    },
    Mode {
        name: "relay whole answers",
        relay: true,
        stream: None,
        callers: 64,
    },
    Mode {
        name: "serve chunks, as fast as they go",
        relay: false,
        stream: Some(Duration::ZERO),
        callers: 64,
    },
    Mode {
        name: "relay chunks, as fast as they go",
        relay: true,
        stream: Some(Duration::ZERO),
        callers: 64,
    },
    Mode {
        name: "serve chunks, 1000 streams, one chunk each 10 ms",
        relay: false,
        stream: Some(Duration::from_millis(10)),
        callers: 1000,
    },
    Mode {
        name: "relay chunks, 1000 streams, one chunk each 10 ms",
        relay: true,
        stream: Some(Duration::from_millis(10)),
        callers: 1000,
    },
    Mode {
        name: "relay chunks, 400 streams, one chunk each 10 ms",
        relay: true,
        stream: Some(Duration::from_millis(10)),
        callers: 400,
    },
];

#[derive(Clone, Copy)]
struct Mode {
    name: &'static str,
    relay: bool,
    /// Pause between the chunks of a stream; `None` for complete responses.
    stream: Option<Duration>,
    callers: usize,
}

/// Generates the responses itself.
struct DirectHandler(Mode);

impl Handler for DirectHandler {
    async fn handle(&self, _req: Request, out: Responder, cx: CancellationToken) {
        let Some(pause) = self.0.stream else {
            let _ = out
                .whole(StatusCode::OK, HeaderMap::new(), Bytes::from_static(&[b'x'; BODY]))
                .await;
            return;
        };
        let Ok(mut out) = out.stream(StatusCode::OK, HeaderMap::new()).await else {
            return;
        };
        while !cx.is_cancelled() && out.send(Bytes::from_static(&[b'x'; CHUNK])).await.is_ok() {
            if !pause.is_zero() {
                monoio::time::sleep(pause).await;
            }
        }
    }
}

/// Forwards each request to an endpoint.
struct RelayHandler {
    client: Client,
    endpoint: SocketAddr,
    stream: bool,
}

impl Handler for RelayHandler {
    async fn handle(&self, req: Request, out: Responder, cx: CancellationToken) {
        let mut call = Call::new(self.endpoint, req.method, "/");
        call.headers = req.headers;
        call.body = req.body;
        if !self.stream {
            if let Ok(got) = self.client.send_buffered(call, MAX_BODY, &cx).await {
                let _ = out.whole(got.status, got.headers, got.body).await;
            }
            return;
        }
        let Ok(mut response) = self.client.send(call, &cx).await else {
            return;
        };
        let Ok(mut out) = out.stream(response.status, HeaderMap::new()).await else {
            return;
        };
        while let Some(Ok(data)) = response.next().await {
            if out.send(data).await.is_err() {
                return;
            }
        }
    }
}

fn run(work: impl Future<Output = ()>) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.expect("runtime").block_on(work);
}

/// Serves `mode` on a separate thread until `cx` is cancelled; returns its address and a channel for its CPU time.
fn serve(mode: Mode, endpoint: Option<SocketAddr>, cx: CancellationToken) -> (SocketAddr, mpsc::Receiver<Duration>) {
    let (addr_tx, addr_rx) = mpsc::channel();
    let (cpu_time_tx, cpu_time_rx) = mpsc::channel();
    let name = if endpoint.is_some() || !mode.relay {
        "under-test"
    } else {
        "endpoint"
    };
    let thread = Builder::new().name(name.to_owned()).spawn(move || {
        run(async {
            let limits = Limits::default();
            let listener = server::bind(ANY_PORT, &limits).expect("listener");
            addr_tx.send(listener.local_addr().expect("address")).expect("address");
            let served = match endpoint {
                None => server::serve(listener, limits, Rc::new(DirectHandler(mode)), cx).await,
                Some(endpoint) => {
                    let relay = RelayHandler {
                        client: Client::new(Options::default()),
                        endpoint,
                        stream: mode.stream.is_some(),
                    };
                    server::serve(listener, limits, Rc::new(relay), cx).await
                }
            };
            served.expect("serve");
        });
        let _ = cpu_time_tx.send(thread_cpu_time());
    });
    thread.expect("thread");
    (addr_rx.recv().expect("address"), cpu_time_rx)
}

/// CPU time of the current thread.
fn thread_cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Sends requests one after another until `end`, counting responses or chunks.
async fn call(client: Client, addr: SocketAddr, end: Instant, count: Rc<Cell<u64>>) {
    let cx = CancellationToken::new();
    while Instant::now() < end {
        let mut call = Call::new(addr, Method::POST, "/v1/chat/completions");
        call.headers
            .insert("x-request-id", http::HeaderValue::from_static("request"));
        call.body = Bytes::from_static(&[b'q'; BODY]).into();
        let Ok(mut response) = client.send(call, &cx).await else {
            continue;
        };
        while let Some(Ok(data)) = response.next().await {
            count.set(count.get() + (data.len() / CHUNK).max(1) as u64);
            if Instant::now() >= end {
                return;
            }
        }
    }
}

fn measure(mode: Mode, seconds: u64) {
    let cx = CancellationToken::new();
    let endpoint = mode.relay.then(|| serve(mode, None, cx.clone()).0);
    let (addr, cpu_time) = serve(mode, endpoint, cx.clone());
    let count = Rc::new(Cell::new(0));
    let start = Instant::now();
    run(async {
        let client = Client::new(Options::default());
        let end = start + Duration::from_secs(seconds);
        let calls = (0..mode.callers).map(|_| monoio::spawn(call(client.clone(), addr, end, Rc::clone(&count))));
        futures::future::join_all(calls.collect::<Vec<_>>()).await;
    });
    let took = start.elapsed().as_secs_f64();
    cx.cancel();
    // Endless responses keep their connections open until the callers disconnect.
    let cpu_time = cpu_time
        .recv_timeout(Duration::from_secs(5))
        .unwrap_or_default()
        .as_secs_f64();
    // A complete response of 500 bytes was counted as five chunks, but is one response.
    let unit = if mode.stream.is_some() {
        1
    } else {
        (BODY / CHUNK) as u64
    };
    let total = (count.get() / unit).max(1) as f64;
    println!(
        "{}: {:.0}/s, {:.2} us of processor time each, thread busy {:.0}%",
        mode.name,
        total / took,
        cpu_time * 1e6 / total,
        cpu_time * 100.0 / took
    );
}

fn main() {
    let seconds = std::env::args()
        .nth(1)
        .and_then(|arg| arg.parse().ok())
        .unwrap_or(SECONDS);
    let part = std::env::args().nth(2).unwrap_or_default();
    for mode in MODES.iter().filter(|mode| mode.name.contains(&part)) {
        measure(*mode, seconds);
    }
}
