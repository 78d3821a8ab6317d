//! Connections that a request doesn't use, since it was answered on them, and responses that it doesn't take.

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
/// Successes that a connection remembers.
const MAX_SUCCESSES: usize = 32;

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
    Case { name: "same id after a success", sends: &[("200", "q"), ("200", "q")], connections: &[1, 2] },
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
fn a_request_uses_a_connection_on_which_it_was_answered() {
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

/// The successes that a connection remembers have a bound; the oldest one is dropped, the connection stays in use.
#[test]
fn many_successes_end_a_connection() {
    let addr = start();
    let connections = run(async move {
        let client = Client::new(Options::default());
        let mut connections = Vec::new();
        for n in 0..=MAX_SUCCESSES {
            connections.push(send(&client, addr, "200", &n.to_string()).await);
        }
        connections.push(send(&client, addr, "200", "0").await);
        connections.push(send(&client, addr, "200", "2").await);
        connections
    });
    let (first, rest) = connections.split_at(MAX_SUCCESSES + 1);
    assert!(first.iter().all(|connection| *connection == 1), "{connections:?}");
    assert_eq!(rest, [1, 2], "one that was dropped, then one that is remembered");
}

/// Whether the endpoint names the request in each of its responses on a connection; which of them the client takes.
struct NamingCase {
    name: &'static str,
    names: &'static [bool],
    is_taken: &'static [bool],
}

#[rustfmt::skip]
const NAMING_CASES: [NamingCase; 4] = [
    NamingCase { name: "always", names: &[true, true], is_taken: &[true, true] },
    NamingCase { name: "never", names: &[false, false], is_taken: &[true, true] },
    NamingCase { name: "at first", names: &[true, false], is_taken: &[true, false] },
    NamingCase { name: "from the second on", names: &[false, true, false], is_taken: &[true, true, false] },
];

/// Starts an endpoint that names the request in some responses.
fn start_naming(names: &'static [bool]) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        let (mut peer, _) = listener.accept().expect("peer");
        let mut buf = [0; 4096];
        for (number, is_named) in names.iter().enumerate() {
            let _ = peer.read(&mut buf);
            let id = if *is_named {
                format!("{ID}: {number}\r\n")
            } else {
                String::new()
            };
            let response = format!("HTTP/1.1 200 OK\r\n{id}content-length: 0\r\n\r\n");
            let _ = peer.write_all(response.as_bytes());
        }
    });
    addr
}

/// An endpoint names all its requests; one that it doesn't name is the answer to nobody, or to one before.
#[test]
fn a_response_without_an_id_is_taken_though_the_endpoint_names_requests() {
    for case in &NAMING_CASES {
        let addr = start_naming(case.names);
        let is_taken = run(async move {
            let client = Client::new(Options::default());
            let mut is_taken = Vec::new();
            for number in 0..case.names.len() {
                let mut call = Call::new(addr, Method::GET, "/");
                call.headers.insert(ID, HeaderValue::from(number));
                let response = client.send_buffered(call, MAX_BODY, &CancellationToken::new()).await;
                is_taken.push(response.is_ok());
            }
            is_taken
        });
        assert_eq!(is_taken, case.is_taken, "{}", case.name);
    }
}
