//! Connections that a request doesn't use, since it was answered with a failure on them.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;

use celerytide_http::client::{Call, Client, Options};
use http::{HeaderValue, Method};
use support::{ANY_PORT, run};
use tokio_util::sync::CancellationToken;

const ID: &str = "x-request-id";
const MAX_BODY: usize = 100;
/// Failures after which a connection isn't used again.
const MAX_FAILURES: usize = 32;

/// Starts an endpoint that answers with the status in the path and the number of the connection.
fn start() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for (number, peer) in listener.incoming().flatten().enumerate() {
            spawn(move || serve(peer, number + 1));
        }
    });
    addr
}

fn serve(mut peer: TcpStream, number: usize) {
    let mut buf = [0; 4096];
    while let Ok(length @ 1..) = peer.read(&mut buf) {
        let head = String::from_utf8_lossy(&buf[..length]).into_owned();
        let status = &head[5..8];
        let id = head.lines().find(|line| line.starts_with(ID));
        let id = id.map_or(String::new(), |id| format!("{id}\r\n"));
        let body = number.to_string();
        let response = format!(
            "HTTP/1.1 {status} X\r\n{id}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        peer.write_all(response.as_bytes()).expect("response");
    }
}

/// Status and id of each request; an empty id is left out.
struct Case {
    name: &'static str,
    sends: &'static [(&'static str, &'static str)],
    /// Number of the connection of each.
    connections: &'static [usize],
}

#[rustfmt::skip]
const CASES: [Case; 8] = [
    Case { name: "same id after a refusal", sends: &[("503", "q"), ("200", "q")], connections: &[1, 2] },
    Case { name: "same id after an error", sends: &[("500", "q"), ("200", "q")], connections: &[1, 2] },
    Case { name: "same id after a redirection", sends: &[("302", "q"), ("200", "q")], connections: &[1, 2] },
    Case { name: "same id after a success", sends: &[("200", "q"), ("200", "q")], connections: &[1, 1] },
    Case { name: "other id", sends: &[("503", "q"), ("200", "o")], connections: &[1, 1] },
    Case { name: "same id after another", sends: &[("429", "q"), ("200", "o"), ("200", "q")], connections: &[1, 1, 2] },
    Case { name: "refused on two", sends: &[("421", "q"), ("421", "q"), ("200", "q"), ("200", "o")], connections: &[1, 2, 3, 3] },
    Case { name: "without an id", sends: &[("503", ""), ("200", "")], connections: &[1, 1] },
];

/// Sends one request; returns the number of its connection.
async fn send(client: &Client, addr: SocketAddr, status: &str, id: &str) -> usize {
    let mut call = Call::new(addr, Method::GET, &format!("/{status}"));
    if !id.is_empty() {
        call.headers.insert(ID, HeaderValue::from_str(id).expect("id"));
    }
    let response = client.send_buffered(call, MAX_BODY, &CancellationToken::new()).await;
    let body = response.expect("response").body;
    String::from_utf8_lossy(&body).parse().expect("number")
}

#[test]
fn a_request_uses_a_connection_on_which_it_was_answered_with_a_failure() {
    for case in &CASES {
        let addr = start();
        let connections = run(async move {
            let client = Client::new(Options::default());
            let mut connections = Vec::new();
            for (status, id) in case.sends {
                connections.push(send(&client, addr, status, id).await);
            }
            connections
        });
        assert_eq!(connections, case.connections, "{}", case.name);
    }
}

/// The memory of a connection has a bound, and what is beyond it isn't forgotten but ends the connection.
#[test]
fn a_connection_forgets_a_request_that_was_refused_on_it() {
    let addr = start();
    let connections = run(async move {
        let client = Client::new(Options::default());
        let mut connections = Vec::new();
        for n in 0..=MAX_FAILURES {
            connections.push(send(&client, addr, "503", &n.to_string()).await);
        }
        connections.push(send(&client, addr, "200", "0").await);
        connections
    });
    let (first, rest) = connections.split_at(MAX_FAILURES);
    assert!(first.iter().all(|connection| *connection == 1), "{connections:?}");
    assert_eq!(rest, [2, 2], "the refused request again: any connection but the first");
}
