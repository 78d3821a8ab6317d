//! The relay's modes over an echo of bytes.

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

const QUIET: Duration = Duration::from_millis(150);
const WAIT: Duration = Duration::from_secs(5);

struct Net {
    relay: Process,
    route: SocketAddr,
}

impl Net {
    fn start() -> Net {
        let echo = TcpListener::bind("127.0.0.1:0").expect("listener");
        let to = echo.local_addr().expect("address").to_string();
        thread::spawn(move || {
            for stream in echo.incoming().flatten() {
                thread::spawn(move || serve(stream));
            }
        });
        let relay = Process::standin("relay", &["--to", &to]).expect("relay");
        let route = relay::routes(relay.addr()).expect("routes")[0].listen;
        Net { relay, route }
    }

    fn set(&self, mode: Mode) {
        relay::set_mode(self.relay.addr(), 0, &mode).expect("mode");
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.route).expect("connection");
        stream.set_read_timeout(Some(WAIT)).expect("timeout");
        stream
    }
}

fn serve(mut stream: TcpStream) {
    let mut buf = [0; 1024];
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        if stream.write_all(&buf[..n]).is_err() {
            return;
        }
    }
}

fn say(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("write");
}

fn hear(stream: &mut TcpStream, text: &str) {
    let mut buf = vec![0; text.len()];
    stream.read_exact(&mut buf).expect("read");
    assert_eq!(String::from_utf8_lossy(&buf), text);
}

fn is_quiet(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(QUIET)).expect("timeout");
    let read = stream.read(&mut [0; 1]).map_err(|e| e.kind());
    stream.set_read_timeout(Some(WAIT)).expect("timeout");
    read == Err(ErrorKind::WouldBlock)
}

#[test]
fn held_bytes_pass_after_the_hold() {
    let net = Net::start();
    let mut stream = net.connect();
    say(&mut stream, "one");
    hear(&mut stream, "one");
    net.set(Mode::Hold {
        up: Some(2),
        down: None,
        keep: 0,
    });
    say(&mut stream, "four");
    hear(&mut stream, "fo");
    assert!(is_quiet(&mut stream));
    let state = &relay::routes(net.relay.addr()).expect("routes")[0];
    assert_eq!((state.held_up, state.held_down), (1, 0));
    net.set(Mode::Hold {
        up: None,
        down: None,
        keep: 1,
    });
    hear(&mut stream, "u");
    assert!(is_quiet(&mut stream));
    net.set(Mode::Pass);
    hear(&mut stream, "r");
}

#[test]
fn a_cut_is_one_way_or_both_and_heals() {
    let net = Net::start();
    let mut stream = net.connect();
    for (up, down) in [(true, false), (false, true), (true, true)] {
        net.set(Mode::Cut { up, down });
        say(&mut stream, "x");
        assert!(is_quiet(&mut stream));
        net.set(Mode::Pass);
        hear(&mut stream, "x");
    }
}

#[test]
fn a_silent_connection_stays_silent_and_new_ones_work() {
    let net = Net::start();
    let mut old = net.connect();
    say(&mut old, "a");
    hear(&mut old, "a");
    net.set(Mode::Silent);
    say(&mut old, "b");
    let mut new = net.connect();
    say(&mut new, "c");
    hear(&mut new, "c");
    net.set(Mode::Pass);
    assert!(is_quiet(&mut old));
}

#[test]
fn a_reset_is_seen_as_one() {
    let net = Net::start();
    let mut stream = net.connect();
    say(&mut stream, "a");
    hear(&mut stream, "a");
    net.set(Mode::Reset);
    let read = stream.read(&mut [0; 1]).map_err(|e| e.kind());
    assert_eq!(read, Err(ErrorKind::ConnectionReset));
    let mut new = net.connect();
    say(&mut new, "c");
    hear(&mut new, "c");
}

#[test]
fn a_stalled_route_takes_no_connection_until_released() {
    let net = Net::start();
    net.set(Mode::Stall);
    let refused = TcpStream::connect_timeout(&net.route, QUIET)
        .map(|_| ())
        .map_err(|e| e.kind());
    assert_eq!(refused, Err(ErrorKind::TimedOut));
    net.set(Mode::Pass);
    let mut stream = net.connect();
    say(&mut stream, "a");
    hear(&mut stream, "a");
}

#[test]
fn an_orderly_end_passes_through() {
    let net = Net::start();
    let mut stream = net.connect();
    say(&mut stream, "a");
    stream.shutdown(std::net::Shutdown::Write).expect("shutdown");
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("end");
    assert_eq!(all, "a");
}
