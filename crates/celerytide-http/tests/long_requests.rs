//! Endpoints that respond before they have read a long request.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use celerytide_http::client::{Call, Cause, Client, Options};
use http::Method;
use support::{ANY_PORT, run};
use tokio_util::sync::CancellationToken;

/// More than the buffers of both sockets hold.
const REQUEST_BYTES: usize = 8 * 1024 * 1024;
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Time from the beginning of a request to the response.
const WORK: Duration = Duration::from_millis(20);
/// Requests of each case: which of two system calls meets a reset first is left to chance.
const TIMES: usize = 20;
const LAST_BYTE: u8 = b'.';
const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nall of it";

/// Time after which a write without progress ends.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a caller leaves.
const LEFT_AFTER: Duration = Duration::from_millis(100);
/// Bytes that an endpoint has received of a request whose caller had left.
static RECEIVED: AtomicUsize = AtomicUsize::new(0);

/// Starts an endpoint that serves each connection on its own thread.
fn endpoint(serve: fn(TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for peer in listener.incoming().flatten() {
            spawn(move || serve(peer));
        }
    });
    addr
}

/// Reads the head of a request and some of its body.
fn begin(peer: &mut TcpStream) {
    let mut buf = [0; 4096];
    let _ = peer.read(&mut buf);
    sleep(WORK);
}

/// Reads until the client closes; returns the number of bytes.
fn read_on(peer: &mut TcpStream) -> usize {
    let mut buf = vec![0; 64 * 1024];
    let mut bytes = 0;
    while let Ok(n @ 1..) = peer.read(&mut buf) {
        bytes += n;
    }
    bytes
}

/// Reads the rest of a request; returns whether all of it came, and nothing but it.
fn read_request(peer: &mut TcpStream) -> bool {
    let mut buf = vec![0; 64 * 1024];
    let mut tail: Vec<u8> = Vec::new();
    while !tail.ends_with(&[LAST_BYTE]) {
        match peer.read(&mut buf) {
            Ok(n @ 1..) => tail = buf[..n].to_vec(),
            _ => return false,
        }
    }
    tail.iter().filter(|byte| **byte != b'x').count() == 1
}

/// A request of which only the last byte differs.
fn request(addr: SocketAddr) -> Call {
    let mut body = vec![b'x'; REQUEST_BYTES];
    body[REQUEST_BYTES - 1] = LAST_BYTE;
    let mut call = Call::new(addr, Method::POST, "/");
    call.body = body.into();
    call
}

struct LongCase {
    name: &'static str,
    serve: fn(TcpStream),
    body: Option<&'static str>,
}

const CASES: [LongCase; 6] = [
    LongCase {
        name: "no length, ended in order, the request is read on",
        serve: |mut peer| {
            begin(&mut peer);
            let _ = peer.write_all(UNFRAMED);
            let _ = peer.shutdown(Shutdown::Write);
            read_on(&mut peer);
        },
        body: Some("all of it"),
    },
    // Closed with bytes of the request unread, the system resets the connection.
    LongCase {
        name: "no length, reset",
        serve: |mut peer| {
            begin(&mut peer);
            let _ = peer.write_all(UNFRAMED);
        },
        body: None,
    },
    // An endpoint that dies with nothing unread ends its connection in order, and resets it when further bytes arrive.
    LongCase {
        name: "no length, ended in order, reset at once",
        serve: |mut peer| {
            begin(&mut peer);
            let _ = peer.write_all(UNFRAMED);
            let _ = peer.shutdown(Shutdown::Write);
        },
        body: None,
    },
    LongCase {
        name: "no length, ended in order, reset later",
        serve: |mut peer| {
            begin(&mut peer);
            let _ = peer.write_all(UNFRAMED);
            let _ = peer.shutdown(Shutdown::Write);
            sleep(WORK);
        },
        body: None,
    },
    LongCase {
        name: "the head first, the body once the request has been read",
        serve: |mut peer| {
            begin(&mut peer);
            let _ = peer.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\n");
            if read_request(&mut peer) {
                let _ = peer.write_all(b"all of it");
            }
        },
        body: Some("all of it"),
    },
    LongCase {
        name: "the same without a length",
        serve: |mut peer| {
            begin(&mut peer);
            let _ = peer.write_all(b"HTTP/1.1 200 OK\r\n\r\nall ");
            if read_request(&mut peer) {
                let _ = peer.write_all(b"of it");
            }
        },
        body: Some("all of it"),
    },
];

/// Guards against: a response that only its connection delimits passes as whole although it was reset, since the write of the
/// request had taken the error; and a request that isn't sent to its end since the response began before.
#[test]
fn a_long_request_gets_a_whole_response_or_none() {
    for case in &CASES {
        let addr = endpoint(case.serve);
        let got = run(async move {
            let client = Client::new(Options {
                until_close: true,
                ..Options::default()
            });
            let mut got = Vec::new();
            for _ in 0..TIMES {
                let cx = CancellationToken::new();
                let response = client.send_buffered(request(addr), MAX_RESPONSE_BYTES, &cx).await;
                got.push(response.ok().map(|response| response.body));
            }
            got
        });
        let whole = got
            .iter()
            .filter(|body| body.as_deref() == case.body.map(str::as_bytes));
        assert_eq!(whole.count(), TIMES, "{}", case.name);
    }
}

/// Ends its side of the connection behind a response and reads nothing more.
fn serve_without_reading(mut peer: TcpStream) {
    begin(&mut peer);
    let _ = peer.write_all(UNFRAMED);
    let _ = peer.shutdown(Shutdown::Write);
    sleep(STALL_TIMEOUT * 4);
}

/// Guards against: a response without a length passes as whole though its endpoint never takes the request.
#[test]
fn a_response_to_a_request_that_is_never_read_is_whole() {
    let addr = endpoint(serve_without_reading);
    let got = run(async move {
        let client = Client::new(Options {
            until_close: true,
            write_timeout: STALL_TIMEOUT,
            ..Options::default()
        });
        let cx = CancellationToken::new();
        client.send_buffered(request(addr), MAX_RESPONSE_BYTES, &cx).await
    });
    let error = got.expect_err("no whole response");
    assert!(matches!(error.source, Cause::RequestUnread), "{error}");
}

/// Serves one request after the other on a connection, each with an early head.
fn serve_early_heads(mut peer: TcpStream) {
    loop {
        begin(&mut peer);
        let _ = peer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n");
        if !read_request(&mut peer) {
            return;
        }
        let _ = peer.write_all(b"all of it");
    }
}

#[test]
fn a_connection_is_reused_once_the_request_behind_an_early_head_was_written() {
    let addr = endpoint(serve_early_heads);
    run(async move {
        let client = Client::new(Options::default());
        for n in 0..3 {
            let cx = CancellationToken::new();
            let response = client.send_buffered(request(addr), MAX_RESPONSE_BYTES, &cx).await;
            assert_eq!(response.expect("whole").body, "all of it", "{n}");
            assert_eq!(client.idle_count(), 1, "{n}");
        }
    });
}

/// Sends the head of an endless response and counts what it gets of the request, until the connection ends.
fn serve_without_end(mut peer: TcpStream) {
    begin(&mut peer);
    let _ = peer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nall");
    sleep(LEFT_AFTER * 2);
    let bytes = read_on(&mut peer);
    RECEIVED.store(bytes, Ordering::SeqCst);
}

/// Guards against: the rest of a request is written on after its response was dropped.
#[test]
fn a_dropped_response_ends_the_write_of_its_request() {
    let addr = endpoint(serve_without_end);
    RECEIVED.store(usize::MAX, Ordering::SeqCst);
    run(async move {
        let client = Client::new(Options::default());
        let cx = CancellationToken::new();
        let response = client.send(request(addr), &cx).await.expect("a head");
        monoio::time::sleep(LEFT_AFTER).await;
        drop(response);
        while RECEIVED.load(Ordering::SeqCst) == usize::MAX {
            monoio::time::sleep(WORK).await;
        }
    });
    let received = RECEIVED.load(Ordering::SeqCst);
    assert!(received < REQUEST_BYTES - 4096, "{received} bytes, all of the request");
}
