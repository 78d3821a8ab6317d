//! Slow callers, disconnects, truncated responses, and graceful shutdown.

mod support;

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread::spawn;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celerytide_http::Limits;
use celerytide_http::client::{Call, Cause, Client, Options, Stage};
use celerytide_http::server::{Disconnected, Handler, Request, Responder};
use http::{HeaderMap, Method, StatusCode};
use monoio::time::{sleep, timeout};
use support::{Echo, Server, TEST_TIMEOUT, body, join_thread, read_all, run, send_raw, short_limits};
use tokio_util::sync::CancellationToken;

const CLOSE: &str = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const KEEP: &str = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// State of a handler, shared with its test.
#[derive(Default)]
struct HandlerState {
    started: Cell<bool>,
    cancelled: Cell<bool>,
    sent: Cell<usize>,
    last: RefCell<Option<Result<(), Disconnected>>>,
}

async fn wait_until(what: impl Fn() -> bool) {
    while !what() {
        sleep(Duration::from_millis(2)).await;
    }
}

struct SlowSender {
    name: &'static str,
    head: &'static str,
    byte: &'static [u8],
}

#[rustfmt::skip]
const SLOW_SENDERS: &[SlowSender] = &[
    SlowSender { name: "head", head: "GET / HTTP/1.1\r\nhost: x\r\na: ", byte: b"a" },
    SlowSender { name: "body", head: "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n", byte: b"a" },
    SlowSender {
        name: "chunks",
        head: "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
        byte: b"1\r\na\r\n",
    },
    SlowSender {
        name: "trailers",
        head: "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        byte: b"a: b\r\n",
    },
];

/// Writes a byte at a time, each well within the write timeout; returns the response and the time until it came.
fn send_slowly(addr: SocketAddr, case: &'static SlowSender) -> (support::RawResponse, Duration) {
    let start = Instant::now();
    let mut peer = TcpStream::connect(addr).expect("connect");
    peer.write_all(case.head.as_bytes()).expect("head");
    peer.set_read_timeout(Some(Duration::from_millis(20))).expect("timeout");
    let mut first = [0];
    loop {
        // The server may have responded and closed.
        let _ = peer.write_all(case.byte);
        match peer.read(&mut first) {
            Ok(n) => {
                assert_eq!(n, 1, "{}: closed without a response", case.name);
                break;
            }
            Err(_) => assert!(start.elapsed() < TEST_TIMEOUT, "the server never responded"),
        }
    }
    let took = start.elapsed();
    peer.shutdown(Shutdown::Write).ok();
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("timeout");
    let mut got = read_all(&mut peer);
    got.text.insert(0, char::from(first[0]));
    (got, took)
}

#[test]
fn a_caller_that_sends_byte_by_byte_times_out() {
    run(async {
        let limits = short_limits();
        let server = Server::start(limits, Echo);
        for case in SLOW_SENDERS {
            let addr = server.addr;
            let (got, took) = join_thread(spawn(move || send_slowly(addr, case))).await;
            assert_eq!(got.status(), Some(408), "{}: {got:?}", case.name);
            assert!(took >= limits.head_timeout, "{}: {took:?}", case.name);
        }
        server.stop().await;
    });
}

/// Streams endlessly, as fast as the caller reads.
struct EndlessStream(Rc<HandlerState>);

impl Handler for EndlessStream {
    async fn handle(&self, _req: Request, out: Responder, cx: CancellationToken) {
        let mut out = out.stream(StatusCode::OK, HeaderMap::new()).await.expect("head");
        let chunk = Bytes::from(vec![b'x'; 1000]);
        let last = loop {
            match out.send(chunk.clone()).await {
                Ok(()) => self.0.sent.set(self.0.sent.get() + chunk.len()),
                Err(e) => break Err(e),
            }
        };
        self.0.cancelled.set(cx.is_cancelled());
        *self.0.last.borrow_mut() = Some(last);
    }
}

#[test]
fn a_caller_that_stops_reading_is_disconnected_and_bounds_memory() {
    run(async {
        let state = Rc::new(HandlerState::default());
        let server = Server::start(short_limits(), EndlessStream(Rc::clone(&state)));
        let mut peer = TcpStream::connect(server.addr).expect("connect");
        peer.write_all(KEEP.as_bytes()).expect("request");
        wait_until(|| state.last.borrow().is_some()).await;
        assert_eq!(*state.last.borrow(), Some(Err(Disconnected)));
        assert!(state.cancelled.get());
        let sent = state.sent.get();
        assert!(
            sent > 0 && sent < 16 * 1024 * 1024,
            "{sent} bytes were taken for a caller that reads nothing"
        );
        drop(peer);
        server.stop().await;
    });
}

/// Waits for the caller to disconnect; if `chunk` is set, it first starts a response.
struct WaitForDisconnect {
    state: Rc<HandlerState>,
    chunk: bool,
}

impl Handler for WaitForDisconnect {
    async fn handle(&self, _req: Request, out: Responder, cx: CancellationToken) {
        self.state.started.set(true);
        if self.chunk {
            let mut out = out.stream(StatusCode::OK, HeaderMap::new()).await.expect("head");
            out.send(body("first")).await.expect("chunk");
            cx.cancelled().await;
            *self.state.last.borrow_mut() = Some(out.send(body("late")).await);
        } else {
            cx.cancelled().await;
        }
        self.state.cancelled.set(true);
    }
}

#[test]
fn a_caller_that_disconnects_cancels_its_request() {
    for chunk in [false, true] {
        run(async {
            let state = Rc::new(HandlerState::default());
            let handler = WaitForDisconnect {
                state: Rc::clone(&state),
                chunk,
            };
            let server = Server::start(Limits::default(), handler);
            let mut peer = TcpStream::connect(server.addr).expect("connect");
            peer.write_all(KEEP.as_bytes()).expect("request");
            wait_until(|| state.started.get()).await;
            sleep(Duration::from_millis(30)).await;
            assert!(!state.cancelled.get(), "chunk {chunk}: cancelled too early");
            drop(peer);
            wait_until(|| state.cancelled.get()).await;
            server.stop().await;
        });
    }
}

#[test]
fn dropping_a_response_cancels_its_handler() {
    run(async {
        let state = Rc::new(HandlerState::default());
        let handler = WaitForDisconnect {
            state: Rc::clone(&state),
            chunk: true,
        };
        let server = Server::start(Limits::default(), handler);
        let client = Client::new(Options::default());
        let call = Call::new(server.addr, Method::GET, "/");
        let mut response = client.send(call, &CancellationToken::new()).await.expect("response");
        assert_eq!(response.next().await.expect("data").expect("data"), "first");
        drop(response);
        wait_until(|| state.cancelled.get()).await;
        assert_eq!(client.idle_count(), 0);
        server.stop().await;
    });
}

#[test]
fn cancelling_a_call_cancels_its_handler() {
    run(async {
        let state = Rc::new(HandlerState::default());
        let handler = WaitForDisconnect {
            state: Rc::clone(&state),
            chunk: false,
        };
        let server = Server::start(Limits::default(), handler);
        let client = Client::new(Options::default());
        let cx = CancellationToken::new();
        let call = Call::new(server.addr, Method::GET, "/");
        let later = cx.clone();
        let started = Rc::clone(&state);
        monoio::spawn(async move {
            wait_until(|| started.started.get()).await;
            later.cancel();
        });
        let e = client
            .send_buffered(call.clone(), 10, &cx)
            .await
            .expect_err("cancelled");
        assert!(matches!(e.source, Cause::Cancelled), "{e}");
        assert_eq!(e.stage, Stage::Written);
        wait_until(|| state.cancelled.get()).await;
        let e = client.send_buffered(call, 10, &cx).await.expect_err("cancelled before");
        assert_eq!(e.stage, Stage::Connect);
        assert!(!e.may_have_run());
        server.stop().await;
    });
}

/// Drops its response halfway, which must not look complete to the caller.
#[derive(Clone, Copy, Debug)]
enum Truncate {
    Writer,
    Responder,
}

impl Handler for Truncate {
    async fn handle(&self, _req: Request, out: Responder, _cx: CancellationToken) {
        match self {
            Truncate::Responder => drop(out),
            Truncate::Writer => {
                let mut out = out.stream(StatusCode::OK, HeaderMap::new()).await.expect("head");
                out.send(body("half an ans")).await.expect("chunk");
            }
        }
    }
}

#[test]
fn a_truncated_response_never_looks_complete() {
    run(async {
        let server = Server::start(Limits::default(), Truncate::Writer);
        let got = send_raw(server.addr, KEEP.into(), false).await;
        assert!(got.text.ends_with("\r\n\r\nb\r\nhalf an ans\r\n"), "{got:?}");
        let client = Client::new(Options::default());
        let call = Call::new(server.addr, Method::GET, "/");
        let e = client
            .send_buffered(call, 100, &CancellationToken::new())
            .await
            .expect_err("truncated");
        assert_eq!(e.stage, Stage::Body);
        server.stop().await;
    });
}

#[test]
fn an_unused_responder_sends_500_with_status_unknown() {
    run(async {
        let server = Server::start(Limits::default(), Truncate::Responder);
        let got = send_raw(server.addr, KEEP.into(), false).await;
        assert_eq!(got.status(), Some(500));
        assert!(got.text.contains("celerytide-word: unknown\r\n"), "{got:?}");
        assert!(got.text.contains("connection: close\r\n"), "{got:?}");
        server.stop().await;
    });
}

/// Responds after a delay and records whether it was cancelled.
struct DelayedResponse(Rc<HandlerState>);

impl Handler for DelayedResponse {
    async fn handle(&self, _req: Request, out: Responder, cx: CancellationToken) {
        self.0.started.set(true);
        let disconnected = timeout(Duration::from_millis(100), cx.cancelled()).await;
        self.0.cancelled.set(disconnected.is_ok());
        let _ = out.whole(StatusCode::OK, HeaderMap::new(), body("late")).await;
    }
}

#[test]
fn a_shutdown_closes_idle_connections_and_finishes_running_requests() {
    run(async {
        let state = Rc::new(HandlerState::default());
        let server = Server::start(Limits::default(), DelayedResponse(Rc::clone(&state)));
        let addr = server.addr;
        // Connects first, so that this connection has been accepted once the other one is being served.
        let mut idle = TcpStream::connect(addr).expect("connect");
        let busy = spawn(move || {
            let mut peer = TcpStream::connect(addr).expect("connect");
            peer.write_all(KEEP.as_bytes()).expect("request");
            read_all(&mut peer)
        });
        wait_until(|| state.started.get()).await;
        server.stop().await;
        let got = join_thread(busy).await;
        assert!(
            got.text.contains("connection: close\r\n") && got.text.ends_with("\r\n\r\nlate"),
            "{got:?}"
        );
        assert!(!state.cancelled.get(), "a shutdown must not cancel a request");
        assert_eq!(join_thread(spawn(move || read_all(&mut idle))).await.text, "");
        let refused = TcpStream::connect(addr);
        assert!(refused.is_err(), "the server still accepts connections");
    });
}

#[test]
fn a_caller_that_half_closes_gets_its_response() {
    run(async {
        let server = Server::start(Limits::default(), Echo);
        let input = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab";
        let got = send_raw(server.addr, input.into(), true).await;
        assert!(got.text.ends_with("\r\n\r\nab"), "{got:?}");
        server.stop().await;
    });
}

/// Streams a response to any request, including those whose method or version allows no chunks.
struct ShortStream;

impl Handler for ShortStream {
    async fn handle(&self, _req: Request, out: Responder, _cx: CancellationToken) {
        let Ok(mut out) = out.stream(StatusCode::OK, HeaderMap::new()).await else {
            return;
        };
        let _ = out.send(body("data")).await;
        let _ = out.finish().await;
    }
}

#[test]
fn a_streamed_response_has_no_chunks_for_head_and_http_1_0() {
    run(async {
        let server = Server::start(Limits::default(), ShortStream);
        let head = send_raw(server.addr, CLOSE.replace("GET", "HEAD").into(), false).await;
        assert!(head.text.ends_with("connection: close\r\n\r\n"), "{head:?}");
        let old = send_raw(server.addr, "GET / HTTP/1.0\r\n\r\n".into(), false).await;
        assert_eq!(
            old.text, "",
            "HTTP/1.0 can't distinguish a truncated stream from a complete one"
        );
        let new = send_raw(server.addr, CLOSE.into(), false).await;
        assert!(new.text.ends_with("\r\n\r\n4\r\ndata\r\n0\r\n\r\n"), "{new:?}");
        server.stop().await;
    });
}
