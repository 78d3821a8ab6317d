//! Which connections the client reuses, and which it never does.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;
use std::time::{Duration, Instant};

use celerytide_http::client::{Call, Client, Options, Response, Stage};
use http::Method;
use monoio::time::sleep;
use socket2::SockRef;
use support::{ANY_PORT, run};
use tokio_util::sync::CancellationToken;

/// Long enough for bytes that follow a response to reach the client.
const PAUSE: Duration = Duration::from_millis(30);

/// How the endpoint treats each connection.
#[derive(Clone, Copy)]
enum Behavior {
    /// Responds to each request.
    Serve,
    /// Closes after its response.
    Close,
    /// Sends a second response in the same write.
    RespondTwice,
    /// Sends a second response after a delay.
    LateSecondResponse,
    /// Responds without a body.
    Empty,
    /// Responds once, then reads the next request and closes.
    CloseOnSecond,
    /// Sends half of a line after a delay.
    LateHalfLine,
    /// Closes its side for writing after a delay, and reads on.
    LateHalfClose,
    /// Closes after a delay.
    LateClose,
    /// Resets the connection after a delay.
    LateReset,
    /// Responds with `connection: close`.
    AnnounceClose,
    /// Responds with this idle timeout.
    StateTimeout(&'static str),
}

struct Endpoint {
    addr: SocketAddr,
    accepted: Arc<AtomicUsize>,
    /// Connections that haven't ended.
    open: Arc<AtomicUsize>,
}

fn start(behavior: Behavior) -> Endpoint {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let open = Arc::new(AtomicUsize::new(0));
    let (count, open_count) = (Arc::clone(&accepted), Arc::clone(&open));
    spawn(move || {
        for peer in listener.incoming() {
            let n = count.fetch_add(1, Ordering::SeqCst) + 1;
            let peer = peer.expect("peer");
            let open = Arc::clone(&open_count);
            open.fetch_add(1, Ordering::SeqCst);
            spawn(move || {
                serve(peer, n, behavior);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    Endpoint { addr, accepted, open }
}

/// Serves a connection; the response body holds the numbers of connection and request, for example `1/2`.
fn serve(mut peer: TcpStream, connection: usize, behavior: Behavior) {
    let mut buf = [0; 4096];
    let mut request = 0;
    while matches!(peer.read(&mut buf), Ok(n) if n > 0) {
        request += 1;
        let text = format!("{connection}/{request}");
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len());
        let sent = match behavior {
            Behavior::CloseOnSecond if request == 2 => return,
            Behavior::Empty => peer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
            Behavior::RespondTwice => peer.write_all(format!("{response}{response}").as_bytes()),
            Behavior::AnnounceClose => {
                peer.write_all(response.replace("OK\r\n", "OK\r\nConnection: x, Close\r\n").as_bytes())
            }
            Behavior::StateTimeout(value) => peer.write_all(
                response
                    .replace("OK\r\n", &format!("OK\r\nKeep-Alive: {value}\r\n"))
                    .as_bytes(),
            ),
            _ => peer.write_all(response.as_bytes()),
        };
        sent.expect("response");
        match behavior {
            Behavior::Close => return,
            Behavior::LateSecondResponse => {
                std::thread::sleep(PAUSE / 2);
                let _ = peer.write_all(response.as_bytes());
            }
            Behavior::LateHalfLine => {
                std::thread::sleep(PAUSE / 2);
                let _ = peer.write_all(b"H");
            }
            Behavior::LateHalfClose => {
                std::thread::sleep(PAUSE / 2);
                let _ = peer.shutdown(Shutdown::Write);
            }
            Behavior::LateClose => {
                std::thread::sleep(PAUSE / 2);
                return;
            }
            Behavior::LateReset => {
                std::thread::sleep(PAUSE / 2);
                let _ = SockRef::from(&peer).set_linger(Some(Duration::ZERO));
                return;
            }
            _ => {}
        }
    }
}

struct Case {
    name: &'static str,
    behavior: Behavior,
    fresh: bool,
    idle_age: Duration,
    want: &'static [&'static str],
}

const AGE: Duration = Duration::from_secs(20);

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "kept", behavior: Behavior::Serve, fresh: false, idle_age: AGE, want: &["1/1", "1/2", "1/3"] },
    Case { name: "fresh", behavior: Behavior::Serve, fresh: true, idle_age: AGE, want: &["1/1", "2/1", "3/1"] },
    Case {
        name: "too old",
        behavior: Behavior::Serve,
        fresh: false,
        idle_age: Duration::from_millis(10),
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "closed while idle",
        behavior: Behavior::Close,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "a second response in the same write",
        behavior: Behavior::RespondTwice,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "a second response after a delay",
        behavior: Behavior::LateSecondResponse,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "half a line after a delay",
        behavior: Behavior::LateHalfLine,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "half closed after a delay",
        behavior: Behavior::LateHalfClose,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "reset after a delay",
        behavior: Behavior::LateReset,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "connection: close",
        behavior: Behavior::AnnounceClose,
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "keep-alive of no time",
        behavior: Behavior::StateTimeout("timeout=0"),
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "2/1", "3/1"],
    },
    Case {
        name: "keep-alive of some time",
        behavior: Behavior::StateTimeout("timeout=15, max=100"),
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "1/2", "1/3"],
    },
    // A multiple of these timeouts overflows, which ended the process.
    Case {
        name: "keep-alive of the largest signed number",
        behavior: Behavior::StateTimeout("timeout=9223372036854775807"),
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "1/2", "1/3"],
    },
    Case {
        name: "keep-alive of the largest number",
        behavior: Behavior::StateTimeout("timeout=18446744073709551615"),
        fresh: false,
        idle_age: AGE,
        want: &["1/1", "1/2", "1/3"],
    },
];

fn call(addr: SocketAddr, fresh: bool) -> Call {
    let mut call = Call::new(addr, Method::POST, "/");
    call.fresh = fresh;
    call
}

#[test]
fn only_open_connections_without_unread_bytes_are_reused() {
    run(async {
        let cx = CancellationToken::new();
        for case in CASES {
            let endpoint = start(case.behavior);
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
fn a_written_request_is_never_retried() {
    run(async {
        let cx = CancellationToken::new();
        let endpoint = start(Behavior::CloseOnSecond);
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

struct LimitCase {
    name: &'static str,
    per_addr: usize,
    total: usize,
    /// Limit of the address that is set when the connections are idle.
    later: Option<usize>,
    want: usize,
}

#[rustfmt::skip]
const LIMIT_CASES: &[LimitCase] = &[
    LimitCase { name: "none", per_addr: 0, total: 9, later: None, want: 0 },
    LimitCase { name: "for one endpoint", per_addr: 2, total: 9, later: None, want: 2 },
    LimitCase { name: "in all", per_addr: 9, total: 3, later: None, want: 3 },
    LimitCase { name: "for one endpoint, lowered later", per_addr: 9, total: 9, later: Some(2), want: 2 },
    LimitCase { name: "for one endpoint, raised later", per_addr: 2, total: 9, later: Some(5), want: 2 },
];

#[test]
fn idle_connections_are_bounded() {
    run(async {
        let cx = CancellationToken::new();
        let endpoint = start(Behavior::Serve);
        for case in LIMIT_CASES {
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
            let limits = case.later.map(|limit| (endpoint.addr, limit));
            client.set_idle_limits(limits.into_iter().collect());
            assert_eq!(client.idle_count(), case.want, "{}", case.name);
        }
    });
}

/// Guards against: endpoints that aren't used any more hold the whole pool, and each request to another one needs a new
/// connection.
#[test]
fn a_full_pool_keeps_no_new_connection() {
    run(async {
        let cx = CancellationToken::new();
        let client = Client::new(Options {
            idle_total: 2,
            ..Options::default()
        });
        let [unused, used] = [(); 2].map(|()| start(Behavior::Serve));
        let calls = [(); 2].map(|()| client.send_buffered(call(unused.addr, true), 10, &cx));
        futures::future::join_all(calls).await;
        for want in ["1/1", "1/2", "1/3"] {
            let got = client.send_buffered(call(used.addr, false), 10, &cx).await;
            assert_eq!(got.expect("response").body, want.as_bytes());
        }
        assert_eq!(client.idle_count(), 2);
    });
}

/// How idle connections end, without a further use of the client.
struct EndCase {
    name: &'static str,
    behavior: Behavior,
    /// Connections that are left of [`CROWD`].
    left: usize,
}

const END_CASES: [EndCase; 8] = [
    EndCase {
        name: "open",
        behavior: Behavior::Serve,
        left: CROWD,
    },
    EndCase {
        name: "closed with the response",
        behavior: Behavior::Close,
        left: 0,
    },
    EndCase {
        name: "a second response in the same write",
        behavior: Behavior::RespondTwice,
        left: 0,
    },
    EndCase {
        name: "a second response after a delay",
        behavior: Behavior::LateSecondResponse,
        left: 0,
    },
    EndCase {
        name: "half a line after a delay",
        behavior: Behavior::LateHalfLine,
        left: 0,
    },
    EndCase {
        name: "half closed after a delay",
        behavior: Behavior::LateHalfClose,
        left: 0,
    },
    EndCase {
        name: "closed after a delay",
        behavior: Behavior::LateClose,
        left: 0,
    },
    EndCase {
        name: "reset after a delay",
        behavior: Behavior::LateReset,
        left: 0,
    },
];

/// Idle connections of one client.
const CROWD: usize = 300;
/// Time within which all of them must be dropped; shorter than the interval at which the client looks for expired ones.
const DROPPED_WITHIN: Duration = Duration::from_millis(800);

/// Guards against: bytes that belong to no response, a close or a reset stay unnoticed until the connection's next use.
#[test]
fn idle_connections_that_have_ended_are_dropped_without_a_use() {
    for case in &END_CASES {
        run(async {
            let cx = CancellationToken::new();
            let endpoint = start(case.behavior);
            let client = Client::new(Options {
                idle_per_addr: CROWD,
                ..Options::default()
            });
            for _ in 0..CROWD {
                let got = client.send_buffered(call(endpoint.addr, true), 10, &cx).await;
                got.expect(case.name);
            }
            sleep(PAUSE).await;
            let until = Instant::now() + DROPPED_WITHIN;
            while client.idle_count() > case.left && Instant::now() < until {
                sleep(PAUSE / 3).await;
            }
            assert_eq!(client.idle_count(), case.left, "{}", case.name);
        });
    }
}

/// Guards against: a connection that ended while others are idle takes the others with it, or hides their end.
#[test]
fn each_idle_connection_ends_by_itself() {
    run(async {
        let cx = CancellationToken::new();
        let kept = start(Behavior::Serve);
        let client = Client::new(Options::default());
        for round in 0..3 {
            for behavior in [Behavior::LateClose, Behavior::LateReset, Behavior::LateSecondResponse] {
                let ended = start(behavior);
                let first = client.send_buffered(call(ended.addr, false), 10, &cx).await;
                let second = client.send_buffered(call(kept.addr, false), 10, &cx).await;
                assert!(first.is_ok() && second.is_ok(), "{first:?} {second:?}");
                let until = Instant::now() + DROPPED_WITHIN;
                while client.idle_count() > 1 && Instant::now() < until {
                    sleep(PAUSE / 3).await;
                }
                assert_eq!(client.idle_count(), 1, "round {round}");
            }
        }
        assert_eq!(kept.accepted.load(Ordering::SeqCst), 1);
    });
}

/// Guards against: a connection that nobody uses stays open beyond its time.
#[test]
fn idle_connections_are_dropped_at_their_age() {
    run(async {
        let endpoint = start(Behavior::Serve);
        let client = Client::new(Options {
            idle_age: PAUSE,
            ..Options::default()
        });
        let cx = CancellationToken::new();
        for _ in 0..2 {
            let response = client.send_buffered(call(endpoint.addr, false), 10, &cx).await;
            response.expect("response");
            assert_eq!(client.idle_count(), 1);
            sleep(Duration::from_millis(1300)).await;
            assert_eq!(client.idle_count(), 0);
        }
    });
}

/// Guards against: a response without a body gives its connection back before its reader has judged the head.
#[test]
fn a_connection_is_used_again_only_behind_a_response_that_is_not_closed() {
    struct Case {
        name: &'static str,
        behavior: Behavior,
        finish: fn(Response),
        idle: usize,
    }
    let cases = [
        Case {
            name: "no body, dropped",
            behavior: Behavior::Empty,
            finish: drop,
            idle: 1,
        },
        Case {
            name: "no body, closed",
            behavior: Behavior::Empty,
            finish: Response::close,
            idle: 0,
        },
        Case {
            name: "an unread body, dropped",
            behavior: Behavior::Serve,
            finish: drop,
            idle: 0,
        },
    ];
    run(async {
        let cx = CancellationToken::new();
        for case in cases {
            let endpoint = start(case.behavior);
            let client = Client::new(Options::default());
            let response = client.send(call(endpoint.addr, false), &cx).await.expect(case.name);
            assert_eq!(
                client.idle_count(),
                0,
                "{}: used again while its response is read",
                case.name
            );
            (case.finish)(response);
            assert_eq!(client.idle_count(), case.idle, "{}", case.name);
        }
        let endpoint = start(Behavior::Empty);
        let client = Client::new(Options::default());
        let mut response = client.send(call(endpoint.addr, false), &cx).await.expect("response");
        assert!(response.next().await.is_none());
        assert_eq!(client.idle_count(), 1, "read to its end");
    });
}

/// Guards against: a client that outlives its runtime ends the process, or a dropped one keeps its connections open.
#[test]
fn a_client_may_be_dropped_before_or_after_its_runtime() {
    for outlives in [false, true] {
        let (client, endpoint) = run(async {
            let endpoint = start(Behavior::Serve);
            let client = Client::new(Options::default());
            let cx = CancellationToken::new();
            let response = client.send_buffered(call(endpoint.addr, false), 10, &cx).await;
            response.expect("response");
            let client = outlives.then_some(client);
            sleep(PAUSE).await;
            (client, endpoint)
        });
        drop(client);
        std::thread::sleep(PAUSE);
        assert_eq!(endpoint.open.load(Ordering::SeqCst), 0, "outlives: {outlives}");
    }
}
