//! An endpoint that names no request in its answers and writes answers twice, behind a real entry.
//!
//! Nothing in such a copy tells that it belongs to an earlier request on the connection. The caller of the next request must
//! not get it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use celerytide_faults::{Harness, HarnessOptions};
use http::Method;

const REQUESTS: usize = 6;
const COPY_DELAY: Duration = Duration::from_millis(20);
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(20);

/// When an answer is written once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Directly behind the answer.
    AtOnce,
    /// While the connection is idle.
    Idle,
    /// When the next request on the connection has been read.
    BeforeNext,
}

/// Starts an endpoint whose answers hold the path of their request and nothing else that names it.
fn start_endpoint(place: Place) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for peer in listener.incoming().flatten() {
            spawn(move || serve(peer, place));
        }
    });
    addr
}

fn serve(mut peer: TcpStream, place: Place) {
    let mut buf = [0; 4096];
    let mut earlier = None;
    loop {
        let Ok(n @ 1..) = peer.read(&mut buf) else { return };
        let head = String::from_utf8_lossy(&buf[..n]).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let length = path.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}");
        let answers = match (place, earlier.take()) {
            (Place::AtOnce, _) => vec![answer.clone(), answer.clone()],
            (Place::BeforeNext, Some(copy)) => vec![copy, answer.clone()],
            _ => vec![answer.clone()],
        };
        // The entry may have closed the connection.
        let _ = peer.write_all(answers.concat().as_bytes());
        if place == Place::Idle {
            sleep(COPY_DELAY);
            let _ = peer.write_all(answer.as_bytes());
        }
        earlier = Some(answer);
    }
}

/// Sends requests until the endpoint that was published answers.
async fn wait_for_endpoint(harness: &Harness) {
    let end = Instant::now() + PUBLISH_TIMEOUT;
    for i in 0.. {
        assert!(Instant::now() < end, "the manifest is not in force");
        let outcome = harness
            .plain(0, &format!("w-{i}"), Method::GET, "/services/forms/wait")
            .await;
        if outcome.body.starts_with(b"/") {
            return;
        }
    }
}

#[test]
fn a_copy_of_an_answer_that_names_no_request_is_not_taken_for_the_next_one() {
    for place in [Place::AtOnce, Place::Idle, Place::BeforeNext] {
        let opts = HarnessOptions {
            instances: 1,
            ..HarnessOptions::default()
        };
        let mut harness = Harness::start(&opts).expect("deployment");
        let addr = start_endpoint(place);
        let replace = |manifest: &mut celerytide_manifest::Manifest| {
            let endpoints = manifest.services.iter_mut().flat_map(|service| &mut service.endpoints);
            for endpoint in endpoints.filter(|endpoint| endpoint.id == "forms-0") {
                endpoint.address = addr;
            }
        };
        harness.fleet.publish(replace).expect("manifest");
        Harness::block_on(async {
            wait_for_endpoint(&harness).await;
            for i in 0..REQUESTS {
                let path = format!("/services/forms/p{i}");
                let outcome = harness.plain(0, &format!("r-{i}"), Method::GET, &path).await;
                let body = String::from_utf8_lossy(&outcome.body).into_owned();
                assert_eq!(body, format!("/p{i}"), "{place:?}: {outcome:?}");
            }
        });
    }
}
