//! The blocking client of the tests tells whole responses from other bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::spawn;

use celerytide_standin::platform::caller;

struct Case {
    response: &'static str,
    is_complete: bool,
}

const fn case(response: &'static str, is_complete: bool) -> Case {
    Case { response, is_complete }
}

const CASES: [Case; 15] = [
    case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab", true),
    case("HTTP/1.1 599\r\nX-A: \r\ncontent-length: 2\r\n\r\nab", true),
    case(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        true,
    ),
    case("HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nab", false),
    case("HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nab", false),
    case("HTTP/1.1 2000 OK\r\ncontent-length: 2\r\n\r\nab", false),
    case("HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nab", false),
    case("200 OK\r\ncontent-length: 2\r\n\r\nab", false),
    case(
        "HTTP/1.1 200 OK\r\nContent Length: 2\r\ncontent-length: 2\r\n\r\nab",
        false,
    ),
    case("HTTP/1.1 200 OK\r\nx\u{1}y: 2\r\ncontent-length: 2\r\n\r\nab", false),
    case("HTTP/1.1 200 OK\r\nno colon\r\ncontent-length: 2\r\n\r\nab", false),
    case("HTTP/1.1 200 OK\r\n: no name\r\ncontent-length: 2\r\n\r\nab", false),
    case(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabcd0\r\n\r\n",
        false,
    ),
    case(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nx: y\r\n\r\n",
        false,
    ),
    case("HTTP/1.1 200 OK\r\n\r\nab", false),
];

fn endpoint(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for mut peer in listener.incoming().flatten() {
            let _ = peer.read(&mut [0; 1024]);
            let _ = peer.write_all(response.as_bytes());
        }
    });
    addr
}

/// Guards against: a test or the soak takes other bytes for a whole response, and a router that sends them passes.
#[test]
fn bytes_that_are_no_response_look_complete() {
    for case in &CASES {
        let got = caller::get(endpoint(case.response), "/", &[]).expect("answer");
        assert_eq!(got.is_complete, case.is_complete, "{:?}: {got:?}", case.response);
    }
}
