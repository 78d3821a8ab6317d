//! Endpoints that respond before they have read a long request.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

use celerytide_http::client::{Call, Client, Options};
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
const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nall of it";

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

struct LongCase {
    name: &'static str,
    serve: fn(TcpStream),
    body: Option<&'static str>,
}

const CASES: [LongCase; 2] = [
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
];

/// Guards against: a response that only its connection delimits passes as whole although it was reset, since the write of the
/// request had taken the error.
#[test]
fn a_reset_response_to_a_long_request_is_not_whole() {
    for case in &CASES {
        let addr = endpoint(case.serve);
        let got = run(async move {
            let client = Client::new(Options {
                until_close: true,
                ..Options::default()
            });
            let mut got = Vec::new();
            for _ in 0..TIMES {
                let mut call = Call::new(addr, Method::POST, "/");
                call.body = vec![b'x'; REQUEST_BYTES].into();
                let cx = CancellationToken::new();
                let response = client.send_buffered(call, MAX_RESPONSE_BYTES, &cx).await;
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
