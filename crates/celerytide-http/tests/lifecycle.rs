//! Slow callers, callers that leave, cut answers, and a graceful stop.

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
use support::{Echo, HANG, Server, body, join, raw, read_all, run, short_limits};
use tokio_util::sync::CancellationToken;

const CLOSE: &str = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const KEEP: &str = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// What a handler saw, shared with its test.
#[derive(Default)]
struct Seen {
    started: Cell<bool>,
    cancelled: Cell<bool>,
    sent: Cell<usize>,
    last: RefCell<Option<Result<(), Disconnected>>>,
}

async fn until(what: impl Fn() -> bool) {
    while !what() {
        sleep(Duration::from_millis(2)).await;
    }
}

struct Drip {
    name: &'static str,
    head: &'static str,
    byte: &'static [u8],
}

#[rustfmt::skip]
const DRIPS: &[Drip] = &[
    Drip { name: "head", head: "GET / HTTP/1.1\r\nhost: x\r\na: ", byte: b"a" },
    Drip { name: "body", head: "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n", byte: b"a" },
    Drip {
        name: "chunks",
        head: "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
        byte: b"1\r\na\r\n",
    },
    Drip {
        name: "trailers",
        head: "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        byte: b"a: b\r\n",
    },
];

/// Writes a byte again and again, well within any bound on a single one; gives the answer and how long it took.
fn drip(addr: SocketAddr, case: &'static Drip) -> (support::Got, Duration) {
    let start = Instant::now();
    let mut peer = TcpStream::connect(addr).expect("connect");
    peer.write_all(case.head.as_bytes()).expect("head");
    peer.set_read_timeout(Some(Duration::from_millis(20))).expect("timeout");
    let mut first = [0];
    loop {
        // The server may have answered and closed.
        let _ = peer.write_all(case.byte);
        match peer.read(&mut first) {
            Ok(n) => {
                assert_eq!(n, 1, "{}: closed without an answer", case.name);
                break;
            }
            Err(_) => assert!(start.elapsed() < HANG, "never ended"),
        }
    }
    let took = start.elapsed();
    peer.shutdown(Shutdown::Write).ok();
    peer.set_read_timeout(Some(HANG)).expect("timeout");
    let mut got = read_all(&mut peer);
    got.text.insert(0, char::from(first[0]));
    (got, took)
}

#[test]
fn a_dripping_caller_is_ended_by_the_bound() {
    run(async {
        let limits = short_limits();
        let server = Server::start(limits, Echo);
        for case in DRIPS {
            let addr = server.addr;
            let (got, took) = join(spawn(move || drip(addr, case))).await;
            assert_eq!(got.status(), Some(408), "{}: {got:?}", case.name);
            assert!(took >= limits.head, "{}: {took:?}", case.name);
        }
        server.stop().await;
    });
}

/// Streams without end, as fast as the caller takes it.
struct Flood(Rc<Seen>);

impl Handler for Flood {
    async fn handle(&self, _req: Request, out: Responder, cx: CancellationToken) {
        let mut out = out.stream(StatusCode::OK, HeaderMap::new()).await.expect("head");
        let chunk = Bytes::from(vec![b'x'; 1000]);
        let last = loop {
            match out.send(chunk.clone()).await {
                Ok(()) => self.0.sent.set(self.0.sent.get() + chunk.len()),
                Err(gone) => break Err(gone),
            }
        };
        self.0.cancelled.set(cx.is_cancelled());
        *self.0.last.borrow_mut() = Some(last);
    }
}

#[test]
fn a_caller_that_stops_reading_is_ended_and_bounds_memory() {
    run(async {
        let seen = Rc::new(Seen::default());
        let server = Server::start(short_limits(), Flood(Rc::clone(&seen)));
        let mut peer = TcpStream::connect(server.addr).expect("connect");
        peer.write_all(KEEP.as_bytes()).expect("request");
        until(|| seen.last.borrow().is_some()).await;
        assert_eq!(*seen.last.borrow(), Some(Err(Disconnected)));
        assert!(seen.cancelled.get());
        let sent = seen.sent.get();
        assert!(
            sent > 0 && sent < 16 * 1024 * 1024,
            "{sent} bytes were taken for a caller that reads nothing"
        );
        drop(peer);
        server.stop().await;
    });
}

/// Waits for the caller to go; answers before that if told to.
struct Wait {
    seen: Rc<Seen>,
    chunk: bool,
}

impl Handler for Wait {
    async fn handle(&self, _req: Request, out: Responder, cx: CancellationToken) {
        self.seen.started.set(true);
        if self.chunk {
            let mut out = out.stream(StatusCode::OK, HeaderMap::new()).await.expect("head");
            out.send(body("first")).await.expect("chunk");
            cx.cancelled().await;
            *self.seen.last.borrow_mut() = Some(out.send(body("late")).await);
        } else {
            cx.cancelled().await;
        }
        self.seen.cancelled.set(true);
    }
}

#[test]
fn a_caller_that_leaves_cancels_its_request() {
    for chunk in [false, true] {
        run(async {
            let seen = Rc::new(Seen::default());
            let handler = Wait {
                seen: Rc::clone(&seen),
                chunk,
            };
            let server = Server::start(Limits::default(), handler);
            let mut peer = TcpStream::connect(server.addr).expect("connect");
            peer.write_all(KEEP.as_bytes()).expect("request");
            until(|| seen.started.get()).await;
            sleep(Duration::from_millis(30)).await;
            assert!(!seen.cancelled.get(), "chunk {chunk}: cancelled too early");
            drop(peer);
            until(|| seen.cancelled.get()).await;
            server.stop().await;
        });
    }
}

#[test]
fn dropping_an_answer_cancels_the_work_behind_it() {
    run(async {
        let seen = Rc::new(Seen::default());
        let handler = Wait {
            seen: Rc::clone(&seen),
            chunk: true,
        };
        let server = Server::start(Limits::default(), handler);
        let client = Client::new(Options::default());
        let call = Call::new(server.addr, Method::GET, "/");
        let mut answer = client.send(call, &CancellationToken::new()).await.expect("answer");
        assert_eq!(answer.next().await.expect("data").expect("data"), "first");
        drop(answer);
        until(|| seen.cancelled.get()).await;
        assert_eq!(client.idle(), 0);
        server.stop().await;
    });
}

#[test]
fn cancelling_a_call_cancels_the_work_behind_it() {
    run(async {
        let seen = Rc::new(Seen::default());
        let handler = Wait {
            seen: Rc::clone(&seen),
            chunk: false,
        };
        let server = Server::start(Limits::default(), handler);
        let client = Client::new(Options::default());
        let cx = CancellationToken::new();
        let call = Call::new(server.addr, Method::GET, "/");
        let later = cx.clone();
        let started = Rc::clone(&seen);
        monoio::spawn(async move {
            until(|| started.started.get()).await;
            later.cancel();
        });
        let e = client
            .send_buffered(call.clone(), 10, &cx)
            .await
            .expect_err("cancelled");
        assert!(matches!(e.source, Cause::Cancelled), "{e}");
        assert_eq!(e.stage, Stage::Written);
        until(|| seen.cancelled.get()).await;
        let e = client.send_buffered(call, 10, &cx).await.expect_err("cancelled before");
        assert_eq!(e.stage, Stage::Connect);
        assert!(!e.may_have_run());
        server.stop().await;
    });
}

/// Ends its answer in a way that must not look whole.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Writer,
    Responder,
}

impl Handler for Cut {
    async fn handle(&self, _req: Request, out: Responder, _cx: CancellationToken) {
        match self {
            Cut::Responder => drop(out),
            Cut::Writer => {
                let mut out = out.stream(StatusCode::OK, HeaderMap::new()).await.expect("head");
                out.send(body("half an ans")).await.expect("chunk");
            }
        }
    }
}

#[test]
fn a_cut_answer_never_looks_whole() {
    run(async {
        let server = Server::start(Limits::default(), Cut::Writer);
        let got = raw(server.addr, KEEP.into(), false).await;
        assert!(got.text.ends_with("\r\n\r\nb\r\nhalf an ans\r\n"), "{got:?}");
        let client = Client::new(Options::default());
        let call = Call::new(server.addr, Method::GET, "/");
        let e = client
            .send_buffered(call, 100, &CancellationToken::new())
            .await
            .expect_err("cut");
        assert_eq!(e.stage, Stage::Body);
        server.stop().await;
    });
}

#[test]
fn an_unused_responder_answers_500_with_an_unknown_word() {
    run(async {
        let server = Server::start(Limits::default(), Cut::Responder);
        let got = raw(server.addr, KEEP.into(), false).await;
        assert_eq!(got.status(), Some(500));
        assert!(got.text.contains("celerytide-word: unknown\r\n"), "{got:?}");
        assert!(got.text.contains("connection: close\r\n"), "{got:?}");
        server.stop().await;
    });
}

/// Answers after a delay; notes whether it was cancelled.
struct Late(Rc<Seen>);

impl Handler for Late {
    async fn handle(&self, _req: Request, out: Responder, cx: CancellationToken) {
        self.0.started.set(true);
        let gone = timeout(Duration::from_millis(100), cx.cancelled()).await;
        self.0.cancelled.set(gone.is_ok());
        let _ = out.whole(StatusCode::OK, HeaderMap::new(), body("late")).await;
    }
}

#[test]
fn a_stop_closes_idle_connections_and_finishes_running_requests() {
    run(async {
        let seen = Rc::new(Seen::default());
        let server = Server::start(Limits::default(), Late(Rc::clone(&seen)));
        let addr = server.addr;
        // Connected before the other one, so that it has been accepted when that one is served.
        let mut idle = TcpStream::connect(addr).expect("connect");
        let busy = spawn(move || {
            let mut peer = TcpStream::connect(addr).expect("connect");
            peer.write_all(KEEP.as_bytes()).expect("request");
            read_all(&mut peer)
        });
        until(|| seen.started.get()).await;
        server.stop().await;
        let got = join(busy).await;
        assert!(
            got.text.contains("connection: close\r\n") && got.text.ends_with("\r\n\r\nlate"),
            "{got:?}"
        );
        assert!(!seen.cancelled.get(), "a stop must not cancel a request");
        assert_eq!(join(spawn(move || read_all(&mut idle))).await.text, "");
        let refused = TcpStream::connect(addr);
        assert!(refused.is_err(), "still accepting");
    });
}

#[test]
fn a_caller_that_only_ends_its_sending_side_gets_its_answer() {
    run(async {
        let server = Server::start(Limits::default(), Echo);
        let input = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab";
        let got = raw(server.addr, input.into(), true).await;
        assert!(got.text.ends_with("\r\n\r\nab"), "{got:?}");
        server.stop().await;
    });
}

/// Streams whatever the request; for methods and versions that take no chunks.
struct Stream;

impl Handler for Stream {
    async fn handle(&self, _req: Request, out: Responder, _cx: CancellationToken) {
        let Ok(mut out) = out.stream(StatusCode::OK, HeaderMap::new()).await else {
            return;
        };
        let _ = out.send(body("data")).await;
        let _ = out.finish().await;
    }
}

#[test]
fn a_streamed_answer_respects_head_requests_and_old_callers() {
    run(async {
        let server = Server::start(Limits::default(), Stream);
        let head = raw(server.addr, CLOSE.replace("GET", "HEAD").into(), false).await;
        assert!(head.text.ends_with("connection: close\r\n\r\n"), "{head:?}");
        let old = raw(server.addr, "GET / HTTP/1.0\r\n\r\n".into(), false).await;
        assert_eq!(old.text, "", "an old caller can't tell a cut stream from a whole one");
        let new = raw(server.addr, CLOSE.into(), false).await;
        assert!(new.text.ends_with("\r\n\r\n4\r\ndata\r\n0\r\n\r\n"), "{new:?}");
        server.stop().await;
    });
}
