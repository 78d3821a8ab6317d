//! Answers of a connection that come one request late.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

use celerytide_http::client::{Call, Client, Options};
use http::{HeaderValue, Method};
use support::{ANY_PORT, run};
use tokio_util::sync::CancellationToken;

const ID: &str = "x-request-id";
/// Time after which an endpoint refuses a request.
const REFUSAL_TIME: Duration = Duration::from_millis(50);
/// Statuses that an endpoint writes for the first requests on a connection, the copy of the first with the second one.
const WRITTEN: [&[u16]; 3] = [&[200], &[200, 503], &[200]];

/// Starts an endpoint that answers a request, writes this answer once more in front of the refusal of the second one, and
/// answers the third one. Its connections are alike and are served side by side.
fn start() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for peer in listener.incoming().flatten() {
            spawn(move || serve(peer));
        }
    });
    addr
}

fn serve(mut peer: TcpStream) {
    let mut buf = [0; 4096];
    for statuses in WRITTEN {
        let Ok(1..) = peer.read(&mut buf) else { return };
        for (n, status) in statuses.iter().enumerate() {
            if n > 0 {
                sleep(REFUSAL_TIME);
            }
            let response = format!("HTTP/1.1 {status} X\r\n{ID}: q\r\ncontent-length: 0\r\n\r\n");
            let _ = peer.write_all(response.as_bytes());
        }
    }
}

/// The copy of a success was taken for the answer to the request sent once more, and its refusal for that of the third send,
/// which ran.
#[test]
fn a_copy_of_a_success_moves_a_refusal_to_the_next_send() {
    let addr = start();
    let statuses = run(async move {
        let client = Client::new(Options::default());
        let mut statuses = Vec::new();
        for _ in 0..WRITTEN.len() {
            let mut call = Call::new(addr, Method::GET, "/");
            call.headers.insert(ID, HeaderValue::from_static("q"));
            let response = client.send_buffered(call, 0, &CancellationToken::new()).await;
            statuses.push(response.map_or(0, |response| response.status.as_u16()));
        }
        statuses
    });
    assert_ne!(statuses.last(), Some(&503), "the third one ran: {statuses:?}");
}
