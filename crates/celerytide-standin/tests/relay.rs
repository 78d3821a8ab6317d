//! Effect of the relay's modes on connections to an echo server.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use celerytide_standin::{
    launch::Process,
    relay::{self, Mode},
};

const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct RelayedEcho {
    relay: Process,
    route: SocketAddr,
}

impl RelayedEcho {
    fn start() -> RelayedEcho {
        let echo = TcpListener::bind("127.0.0.1:0").expect("listener");
        let to = echo.local_addr().expect("address").to_string();
        thread::spawn(move || {
            for stream in echo.incoming().flatten() {
                thread::spawn(move || run_echo(stream));
            }
        });
        let relay = Process::standin("relay", &["--to", &to]).expect("relay");
        let route = relay::routes(relay.addr()).expect("routes")[0].listen;
        RelayedEcho { relay, route }
    }

    fn set(&self, mode: Mode) {
        relay::set_mode(self.relay.addr(), 0, &mode).expect("mode");
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.route).expect("connection");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
        stream
    }
}

fn run_echo(mut stream: TcpStream) {
    let mut buf = [0; 1024];
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        if stream.write_all(&buf[..n]).is_err() {
            return;
        }
    }
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("write");
}

fn receive(stream: &mut TcpStream, text: &str) {
    let mut buf = vec![0; text.len()];
    stream.read_exact(&mut buf).expect("read");
    assert_eq!(String::from_utf8_lossy(&buf), text);
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE_TIMEOUT)).expect("timeout");
    let read = stream.read(&mut [0; 1]).map_err(|e| e.kind());
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout");
    read == Err(ErrorKind::WouldBlock)
}

#[test]
fn held_bytes_pass_once_released() {
    let relayed = RelayedEcho::start();
    let mut stream = relayed.connect();
    send(&mut stream, "one");
    receive(&mut stream, "one");
    relayed.set(Mode::Hold {
        up: Some(2),
        down: None,
        keep: 0,
    });
    send(&mut stream, "four");
    receive(&mut stream, "fo");
    assert!(is_silent(&mut stream));
    let state = &relay::routes(relayed.relay.addr()).expect("routes")[0];
    assert_eq!((state.held_up, state.held_down), (1, 0));
    relayed.set(Mode::Hold {
        up: None,
        down: None,
        keep: 1,
    });
    receive(&mut stream, "u");
    assert!(is_silent(&mut stream));
    relayed.set(Mode::Pass);
    receive(&mut stream, "r");
}

#[test]
fn a_cut_blocks_one_or_both_directions_until_cleared() {
    let relayed = RelayedEcho::start();
    let mut stream = relayed.connect();
    for (up, down) in [(true, false), (false, true), (true, true)] {
        relayed.set(Mode::Cut { up, down });
        send(&mut stream, "x");
        assert!(is_silent(&mut stream));
        relayed.set(Mode::Pass);
        receive(&mut stream, "x");
    }
}

#[test]
fn a_silent_connection_stays_silent_and_new_ones_work() {
    let relayed = RelayedEcho::start();
    let mut existing = relayed.connect();
    send(&mut existing, "a");
    receive(&mut existing, "a");
    relayed.set(Mode::Silent);
    send(&mut existing, "b");
    let mut new = relayed.connect();
    send(&mut new, "c");
    receive(&mut new, "c");
    relayed.set(Mode::Pass);
    assert!(is_silent(&mut existing));
}

#[test]
fn a_reset_closes_open_connections_only() {
    let relayed = RelayedEcho::start();
    let mut stream = relayed.connect();
    send(&mut stream, "a");
    receive(&mut stream, "a");
    relayed.set(Mode::Reset);
    let read = stream.read(&mut [0; 1]).map_err(|e| e.kind());
    assert_eq!(read, Err(ErrorKind::ConnectionReset));
    let mut new = relayed.connect();
    send(&mut new, "c");
    receive(&mut new, "c");
}

#[test]
fn a_stalled_route_takes_no_connection_until_released() {
    let relayed = RelayedEcho::start();
    relayed.set(Mode::Stall);
    let refused = TcpStream::connect_timeout(&relayed.route, SILENCE_TIMEOUT)
        .map(|_| ())
        .map_err(|e| e.kind());
    assert_eq!(refused, Err(ErrorKind::TimedOut));
    relayed.set(Mode::Pass);
    let mut stream = relayed.connect();
    send(&mut stream, "a");
    receive(&mut stream, "a");
}

/// The kernel gave the port of a route that refuses connections to other processes, and the route another one later.
#[test]
fn a_route_that_refuses_connections_keeps_its_port() {
    let relayed = RelayedEcho::start();
    let mut open = relayed.connect();
    send(&mut open, "a");
    receive(&mut open, "a");
    relayed.set(Mode::Refuse);
    let refused = TcpStream::connect(relayed.route).map(|_| ()).map_err(|e| e.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    send(&mut open, "b");
    receive(&mut open, "b");
    relayed.set(Mode::Pass);
    let mut new = relayed.connect();
    send(&mut new, "c");
    receive(&mut new, "c");
}

#[test]
fn an_orderly_end_passes_through() {
    let relayed = RelayedEcho::start();
    let mut stream = relayed.connect();
    send(&mut stream, "a");
    stream.shutdown(std::net::Shutdown::Write).expect("shutdown");
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("end");
    assert_eq!(all, "a");
}
