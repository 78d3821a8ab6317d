//! When the kernel ends a connection whose peer acknowledges nothing, or doesn't read.
//!
//! A socket filter that drops all segments stands for a partition: the peer's kernel neither acknowledges nor answers.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;
use std::time::{Duration, Instant};

use celerytide_http::client::{Bounds, Call, Client, Options};
use http::Method;
use monoio::time::sleep;
use socket2::{SockFilter, SockRef};
use support::{ANY_PORT, run};
use tokio_util::sync::CancellationToken;

const MAX_BODY_BYTES: usize = 1024;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Classic BPF: returns the constant `k`, the number of bytes that pass.
const BPF_RETURN: u16 = 0x06;
/// Time for which a peer stays.
const STAY: Duration = Duration::from_secs(20);
const INTERVAL: Duration = Duration::from_millis(10);

const PROBE_IDLE: Duration = Duration::from_secs(1);
const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// Longest time that these connections stay: three probe intervals, and some time for the kernel's timer.
const LONGEST: Duration = Duration::from_millis(3300);
/// Time after which a connection without probes is still open.
const UNPROBED: Duration = Duration::from_secs(5);

/// What happens on the connection when the partition begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    /// It is kept for another request.
    Idle,
    /// Its request has been read, and the response is awaited.
    Waiting,
    /// Its request is on its way.
    Sending,
    /// No partition: the peer acknowledges and doesn't read the body.
    Unread,
}

struct Case {
    name: &'static str,
    moment: Moment,
    probes: Option<Duration>,
    /// Whether the kernel ends it.
    ends: bool,
}

const CASES: [Case; 6] = [
    case("idle", Moment::Idle, Some(PROBE_IDLE), true),
    case("waiting for a response", Moment::Waiting, Some(PROBE_IDLE), true),
    case("sending a request", Moment::Sending, Some(PROBE_IDLE), true),
    case("sending what isn't read", Moment::Unread, Some(PROBE_IDLE), true),
    case("idle without probes", Moment::Idle, None, false),
    case("sending a request without probes", Moment::Sending, None, true),
];

const fn case(name: &'static str, moment: Moment, probes: Option<Duration>, ends: bool) -> Case {
    Case {
        name,
        moment,
        probes,
        ends,
    }
}

fn partition(peer: &TcpStream) {
    let drop_all = SockFilter::new(BPF_RETURN, 0, 0, 0);
    SockRef::from(peer).attach_filter(&[drop_all]).expect("filter");
}

fn serve(mut peer: TcpStream, moment: Moment) {
    if moment != Moment::Unread {
        let _ = peer.read(&mut [0; 4096]);
    }
    if matches!(moment, Moment::Idle | Moment::Sending) {
        let _ = peer.write_all(RESPONSE);
        // The response has been acknowledged by then.
        std::thread::sleep(INTERVAL);
    }
    if moment != Moment::Unread {
        partition(&peer);
    }
    std::thread::sleep(STAY);
}

fn start(moment: Moment) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("listener");
    let addr = listener.local_addr().expect("address");
    spawn(move || {
        for peer in listener.incoming().flatten() {
            spawn(move || serve(peer, moment));
        }
    });
    addr
}

fn call(addr: SocketAddr, moment: Moment) -> Call {
    let mut call = Call::new(addr, Method::POST, "/");
    call.bounds = Bounds {
        first_byte_timeout: STAY,
        between_bytes_timeout: STAY,
        head_timeout: STAY,
        total_timeout: STAY,
        ..Bounds::default()
    };
    let length = if moment == Moment::Unread { 32 * 1024 * 1024 } else { 2 };
    call.body = vec![b'x'; length].into();
    call
}

/// Time until the connection ends; `None` if it still is open after [`UNPROBED`].
async fn time_to_end(case: &Case) -> Option<Duration> {
    let addr = start(case.moment);
    let client = Client::new(Options {
        tcp_keepalive: case.probes,
        user_timeout: MAX_SILENCE,
        ..Options::default()
    });
    let cx = CancellationToken::new();
    let send = || client.send_buffered(call(addr, case.moment), MAX_BODY_BYTES, &cx);
    if matches!(case.moment, Moment::Idle | Moment::Sending) {
        send().await.expect("response");
        sleep(INTERVAL * 5).await;
    }
    let started = Instant::now();
    if case.moment != Moment::Idle {
        assert!(send().await.is_err(), "{}", case.name);
        return Some(started.elapsed());
    }
    while client.idle_count() > 0 {
        if started.elapsed() > UNPROBED {
            return None;
        }
        sleep(INTERVAL).await;
    }
    Some(started.elapsed())
}

/// A set `TCP_USER_TIMEOUT` also decides when probes give up, whatever their count.
#[test]
fn a_silent_peer_ends_a_connection_within_the_bound() {
    for case in &CASES {
        let time = run(time_to_end(case));
        println!("{}: {time:?}", case.name);
        match time {
            Some(time) if case.ends => {
                assert!(
                    time >= MAX_SILENCE - INTERVAL * 10,
                    "{}: ended after {time:?}",
                    case.name
                );
                assert!(time <= LONGEST, "{}: ended after {time:?}", case.name);
            }
            time => assert_eq!(time.is_some(), case.ends, "{}: {time:?}", case.name),
        }
    }
}

/// A peer that is silent for some time, and responds at [`RESPONSE_AT`].
struct Silence {
    name: &'static str,
    /// From the request to the silence.
    after: Duration,
    lasts: Duration,
    ends: bool,
}

/// Time from the request to the response.
const RESPONSE_AT: Duration = Duration::from_millis(3500);

const SILENCES: [Silence; 3] = [
    Silence {
        name: "between two probes",
        after: Duration::from_millis(1100),
        lasts: Duration::from_millis(800),
        ends: false,
    },
    Silence {
        name: "one probe is lost",
        after: Duration::from_millis(800),
        lasts: Duration::from_millis(800),
        ends: false,
    },
    Silence {
        name: "two probes in a row are lost",
        after: Duration::from_millis(800),
        lasts: Duration::from_millis(1500),
        ends: true,
    },
];

fn serve_after(mut peer: TcpStream, silence: &Silence) {
    let _ = peer.read(&mut [0; 4096]);
    std::thread::sleep(silence.after);
    partition(&peer);
    std::thread::sleep(silence.lasts);
    SockRef::from(&peer).detach_filter().expect("filter");
    std::thread::sleep(RESPONSE_AT - silence.after - silence.lasts);
    let _ = peer.write_all(RESPONSE);
}

/// With a `TCP_USER_TIMEOUT` of two probe intervals one lost probe ended a connection, though its peer was back soon.
#[test]
fn one_lost_probe_ends_no_connection() {
    for silence in &SILENCES {
        let listener = TcpListener::bind(ANY_PORT).expect("listener");
        let addr = listener.local_addr().expect("address");
        spawn(move || {
            let (peer, _) = listener.accept().expect("connection");
            serve_after(peer, silence);
        });
        let client = Client::new(Options {
            tcp_keepalive: Some(PROBE_IDLE),
            user_timeout: MAX_SILENCE,
            ..Options::default()
        });
        let cx = CancellationToken::new();
        let response = run(client.send_buffered(call(addr, Moment::Waiting), MAX_BODY_BYTES, &cx));
        assert_eq!(response.is_err(), silence.ends, "{}", silence.name);
    }
}
