//! Which connections are used again, and which never.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;
use std::time::Duration;

use celerytide_http::client::{Call, Client, Options, Stage};
use http::Method;
use monoio::time::sleep;
use support::{ANY_PORT, run};
use tokio_util::sync::CancellationToken;

/// Long enough for the client to have got what follows an answer.
const PAUSE: Duration = Duration::from_millis(30);

/// What the endpoint does with each connection, request by request.
#[derive(Clone, Copy)]
enum Then {
    /// Answers each request.
    Serve,
    /// Closes after its answer.
    Close,
    /// Sends a second answer in the same write.
    Twice,
    /// Sends a second answer a little later.
    Late,
    /// Answers once, takes the next request and closes.
    CloseOnSecond,
    /// Says that it closes.
    SayClose,
}

struct Endpoint {
    addr: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

fn start(then: Then) -> Endpoint {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    spawn(move || {
        for peer in listener.incoming() {
            let n = count.fetch_add(1, Ordering::SeqCst) + 1;
            let peer = peer.expect("peer");
            spawn(move || serve(peer, n, then));
        }
    });
    Endpoint { addr, accepted }
}

/// The body names the connection and the request, for example `1/2`.
fn serve(mut peer: TcpStream, connection: usize, then: Then) {
    let mut buf = [0; 4096];
    let mut request = 0;
    while matches!(peer.read(&mut buf), Ok(n) if n > 0) {
        request += 1;
        let text = format!("{connection}/{request}");
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len());
        let sent = match then {
            Then::CloseOnSecond if request == 2 => return,
            Then::Twice => peer.write_all(format!("{answer}{answer}").as_bytes()),
            Then::SayClose => peer.write_all(answer.replace("OK\r\n", "OK\r\nConnection: x, Close\r\n").as_bytes()),
            _ => peer.write_all(answer.as_bytes()),
        };
        sent.expect("answer");
        match then {
            Then::Close => return,
            Then::Late => {
                std::thread::sleep(PAUSE / 2);
                let _ = peer.write_all(answer.as_bytes());
            }
            _ => {}
        }
    }
}

struct Case {
    name: &'static str,
    then: Then,
    fresh: bool,
    idle_age: Duration,
    want: &'static [&'static str],
}

const AGE: Duration = Duration::from_secs(20);

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "kept", then: Then::Serve, fresh: false, idle_age: AGE, want: &["1/1", "1/2", "1/3"] },
    Case { name: "fresh", then: Then::Serve, fresh: true, idle_age: AGE, want: &["1/1", "2/1", "3/1"] },
    Case {
        name: "too old",
        then: Then::Serve,
        fresh: false,
        idle_age: Duration::from_millis(10),
        want: &["1/1", "2/1", "3/1"],
    },
    Case { name: "closed while idle", then: Then::Close, fresh: false, idle_age: AGE, want: &["1/1", "2/1", "3/1"] },
    Case {
        name: "a second answer at once",
        then: Then::Twice,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case { name: "a second answer late", then: Then::Late, fresh: false, idle_age: AGE, want: &["1/1", "2/1", "3/1"] },
    Case {
        name: "says that it closes",
        then: Then::SayClose,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
];

fn call(addr: SocketAddr, fresh: bool) -> Call {
    let mut call = Call::new(addr, Method::POST, "/");
    call.fresh = fresh;
    call
}

#[test]
fn only_open_and_silent_connections_are_used_again() {
    run(async {
        let cx = CancellationToken::new();
        for case in CASES {
            let endpoint = start(case.then);
            let opts = Options {
                idle_age: case.idle_age,
                ..Options::default()
            };
            let client = Client::new(opts);
            for want in case.want {
                let call = call(endpoint.addr, case.fresh);
                let got = client.send_buffered(call, 10, &cx).await.expect(case.name);
                assert_eq!(got.body, want.as_bytes(), "{}", case.name);
                sleep(PAUSE).await;
            }
        }
    });
}

#[test]
fn nothing_is_sent_twice_once_written() {
    run(async {
        let cx = CancellationToken::new();
        let endpoint = start(Then::CloseOnSecond);
        let client = Client::new(Options::default());
        let first = client
            .send_buffered(call(endpoint.addr, false), 10, &cx)
            .await
            .expect("first");
        assert_eq!(first.body, "1/1");
        let e = client
            .send_buffered(call(endpoint.addr, false), 10, &cx)
            .await
            .expect_err("second");
        assert_eq!(e.stage, Stage::Written, "{e}");
        assert!(e.may_have_run());
        assert_eq!(
            endpoint.accepted.load(Ordering::SeqCst),
            1,
            "a retry on a new connection"
        );
    });
}

struct Bound {
    name: &'static str,
    per_addr: usize,
    total: usize,
    want: usize,
}

#[rustfmt::skip]
const BOUNDS: &[Bound] = &[
    Bound { name: "none", per_addr: 0, total: 9, want: 0 },
    Bound { name: "for one endpoint", per_addr: 2, total: 9, want: 2 },
    Bound { name: "in all", per_addr: 9, total: 3, want: 3 },
];

#[test]
fn idle_connections_are_bounded() {
    run(async {
        let cx = CancellationToken::new();
        let endpoint = start(Then::Serve);
        for case in BOUNDS {
            let opts = Options {
                idle_per_addr: case.per_addr,
                idle_total: case.total,
                ..Options::default()
            };
            let client = Client::new(opts);
            let calls = (0..6).map(|_| client.send_buffered(call(endpoint.addr, false), 10, &cx));
            for got in futures::future::join_all(calls).await {
                got.expect(case.name);
            }
            assert_eq!(client.idle(), case.want, "{}", case.name);
        }
    });
}
