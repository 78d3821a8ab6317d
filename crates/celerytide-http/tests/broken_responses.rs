//! Bytes that aren't a whole HTTP response, as the client of all processes reads them.
//!
//! Every process reads responses by this client: entry, dispatch, the routers on the users' platform, the command line, the
//! load tool, and the readers of the configuration and of the platform's store.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;

use celerytide_http::client::{BufferedResponse, Call, Cause, Client, Options, SendError};
use celerytide_http::validate::ProtocolError;
use http::Method;
use support::{ANY_PORT, run};
use tokio_util::sync::CancellationToken;

const MAX_BODY_BYTES: usize = 1024;
const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";

/// A response that is broken, whatever its framing.
struct Case {
    /// What stands in front of the fields that frame the body.
    head: &'static str,
    cause: ProtocolError,
}

const fn broken(head: &'static str, cause: ProtocolError) -> Case {
    Case { head, cause }
}

use ProtocolError::{Chunk, Status, Syntax, Trailer};

#[rustfmt::skip]
const HEADS: &[Case] = &[
    broken("HTTP/1.1 600 OK\r\n", Status),
    broken("HTTP/1.1 700\r\n", Status),
    broken("HTTP/1.1 999 OK\r\n", Status),
    broken("HTTP/1.0 600 OK\r\n", Status),
    broken("HTTP/1.1 000 OK\r\n", Syntax),
    broken("HTTP/1.1 001 OK\r\n", Syntax),
    broken("HTTP/1.1 099 OK\r\n", Syntax),
    broken("HTTP/1.1 0 OK\r\n", Syntax),
    broken("HTTP/1.1 20 OK\r\n", Syntax),
    broken("HTTP/1.1 2000 OK\r\n", Syntax),
    broken("HTTP/1.1 2x0 OK\r\n", Syntax),
    broken("HTTP/1.1 -20 OK\r\n", Syntax),
    broken("HTTP/1.1 +20 OK\r\n", Syntax),
    broken("HTTP/1.1 2 0 OK\r\n", Syntax),
    broken("HTTP/1.1  200 OK\r\n", Syntax),
    broken("HTTP/1.1 OK\r\n", Syntax),
    broken("HTTP/1.1\r\n", Syntax),
    broken("HTTP/1.1 200\0OK\r\n", Syntax),
    broken("HTTP/1.1 200 O\x01K\r\n", Syntax),
    broken("HTTP/2.0 200 OK\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent Length: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent\tLength: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent\0Length: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent\x01Length: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent\x1fLength: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent\x7fLength: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nContent\u{e4}Length: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\n: 2\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nno colon\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nx-a: b\r\n folded: c\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nx-a: b\0c\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nx-a: b\x7fc\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nx-a: b\rc\r\n", Syntax),
    broken("HTTP/1.1 200 OK\r\nx-a: b\nx-c: d\r\n", Syntax),
    // Interim heads.
    broken("HTTP/1.1 000 C\r\n\r\nHTTP/1.1 200 OK\r\n", Syntax),
    broken("HTTP/1.1 099 C\r\n\r\nHTTP/1.1 200 OK\r\n", Syntax),
    broken("HTTP/1.1 100 C\r\nx y: 1\r\n\r\nHTTP/1.1 200 OK\r\n", Syntax),
    broken("HTTP/1.1 100 C\r\nno colon\r\n\r\nHTTP/1.1 200 OK\r\n", Syntax),
    broken("HTTP/1.1 103 C\r\n: v\r\n\r\nHTTP/1.1 200 OK\r\n", Syntax),
    broken("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 600 OK\r\n", Status),
    broken("HTTP/1.1 100 C\r\n\r\nnone HTTP/1.1 200 OK\r\n", Syntax),
];

/// Fields that frame a body, and the body.
const FRAMINGS: [(&str, &str); 3] = [
    ("content-length: 2\r\n", "ab"),
    ("transfer-encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n"),
    ("", "ab"),
];

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n";

/// What follows a chunk with data.
#[rustfmt::skip]
const CHUNKS: &[Case] = &[
    broken("\r\n\r\n", Chunk),
    broken(" \r\n\r\n", Chunk),
    broken("0 \r\n\r\n", Chunk),
    broken(" 0\r\n\r\n", Chunk),
    broken("0x\r\n\r\n", Chunk),
    broken("0\0\r\n\r\n", Chunk),
    broken("0;a\x01=b\r\n\r\n", Chunk),
    broken("0;a\x7f=b\r\n\r\n", Chunk),
    broken("0;a b=c\r\n\r\n", Chunk),
    broken("0;\r\n\r\n", Chunk),
    broken("0;=b\r\n\r\n", Chunk),
    broken("0;a=b;\r\n\r\n", Chunk),
    broken("0;a=\"b;c\\\";\r\n\r\n\";\r\n\r\n", Chunk),
    broken("0\n\r\n", Chunk),
    broken("0\r\nno colon\r\n\r\n", Trailer),
    broken("0\r\n: no name\r\n\r\n", Trailer),
    broken("0\r\nx y: 1\r\n\r\n", Trailer),
    broken("0\r\nx : 1\r\n\r\n", Trailer),
    broken("0\r\n x: 1\r\n\r\n", Trailer),
    broken("0\r\nx\ty: 1\r\n\r\n", Trailer),
    broken("0\r\nx\0y: 1\r\n\r\n", Trailer),
    broken("0\r\nx\x7fy: 1\r\n\r\n", Trailer),
    broken("0\r\nx: a\0b\r\n\r\n", Trailer),
    broken("0\r\nx: a\x1bb\r\n\r\n", Trailer),
    broken("0\r\nx: 1\r\nHTTP/1.1 200 OK\r\n\r\n", Trailer),
    broken("0\r\nx: a\rb\r\n\r\n", Chunk),
    broken("0\r\nx: a\n\r\n", Chunk),
];

/// Sound ends of a chunked body.
const SOUND: [&str; 9] = [
    "0\r\n\r\n",
    "000\r\n\r\n",
    "0;a=b\r\n\r\n",
    "0 ; a = b ;c\r\n\r\n",
    "0;a=\"b;c\"\r\n\r\n",
    "0;a=\"b\\\";=c\";d\r\n\r\n",
    "0;a=b \r\n\r\n",
    "0\r\nx-checksum: 1\r\nExpires: \r\n\r\n",
    "0\r\nx: a\tb \u{e4}\r\n\r\n",
];

/// Starts an endpoint that sends a good response first on each connection if it keeps connections, and `response` then.
fn endpoint(response: Vec<u8>, keeps: bool) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for peer in listener.incoming().flatten() {
            serve(peer, &response, keeps);
        }
    });
    addr
}

fn serve(mut peer: TcpStream, response: &[u8], keeps: bool) {
    let mut buf = [0; 4096];
    if keeps {
        let _ = peer.read(&mut buf);
        let _ = peer.write_all(GOOD);
    }
    let _ = peer.read(&mut buf);
    let _ = peer.write_all(response);
    let _ = peer.shutdown(std::net::Shutdown::Write);
    while matches!(peer.read(&mut buf), Ok(n) if n > 0) {}
}

/// Requests a response on a new or on a kept connection.
async fn request(response: Vec<u8>, is_kept: bool, until_close: bool) -> Result<BufferedResponse, SendError> {
    let addr = endpoint(response, is_kept);
    let client = Client::new(Options {
        until_close,
        ..Options::default()
    });
    let cx = CancellationToken::new();
    let send = || client.send_buffered(Call::new(addr, Method::GET, "/"), MAX_BODY_BYTES, &cx);
    if is_kept {
        assert_eq!(send().await.expect("good").body, "good");
        assert_eq!(client.idle_count(), 1);
    }
    let got = send().await;
    assert_eq!(client.idle_count(), 0, "the connection was kept");
    got
}

async fn check(response: &str, cause: ProtocolError) {
    for is_kept in [false, true] {
        for until_close in [false, true] {
            let got = request(response.as_bytes().to_vec(), is_kept, until_close).await;
            match got {
                Ok(got) => panic!("{response:?}, kept {is_kept}: looked whole: {got:?}"),
                Err(e) => {
                    assert!(e.may_have_run(), "{response:?}: {e}");
                    let is_right = matches!(e.source, Cause::Protocol { source } if source == cause);
                    assert!(is_right, "{response:?}, kept {is_kept}: {e}");
                }
            }
        }
    }
}

#[test]
fn a_response_with_a_broken_head_looks_whole() {
    run(async {
        for case in HEADS {
            for (fields, body) in FRAMINGS {
                check(&format!("{}{fields}\r\n{body}", case.head), case.cause).await;
            }
        }
    });
}

#[test]
fn a_chunked_response_with_a_broken_end_looks_whole() {
    run(async {
        for case in CHUNKS {
            check(&format!("{CHUNKED}{}", case.head), case.cause).await;
        }
    });
}

#[test]
fn a_chunked_response_with_a_sound_end_is_whole() {
    run(async {
        for end in SOUND {
            let got = request(format!("{CHUNKED}{end}").into_bytes(), false, false).await;
            assert_eq!(got.expect(end).body, "ab", "{end:?}");
        }
    });
}
