//! Child processes: start, signals and exit.

use std::time::Duration;

use celerytide_standin::{
    launch::{self, Error, Options, Process},
    probe,
};

#[test]
fn dropping_the_handle_kills_the_child() {
    let process = Process::standin("plain", &["--id", "p"]).expect("start");
    let addr = process.addr();
    assert_eq!(probe::send(addr, "GET", "/", &[], b"").expect("response").status, 200);
    drop(process);
    assert!(probe::send(addr, "GET", "/", &[], b"").is_err());
}

#[test]
fn a_child_takes_signals() {
    let mut process = Process::standin("plain", &["--id", "p"]).expect("start");
    process.pause().expect("pause");
    process.term().expect("term");
    assert!(
        process.wait(Duration::from_millis(200)).is_none(),
        "a paused child does not end"
    );
    process.resume().expect("resume");
    assert!(process.wait(Duration::from_secs(5)).is_some());
    assert!(!process.is_running());
}

#[test]
fn start_errors_name_the_cause() {
    assert!(matches!(
        launch::sibling_binary("no-such-binary"),
        Err(Error::NoBinary { .. })
    ));
    let bad = Process::standin("plain", &["--no-such-option"]);
    assert!(matches!(bad, Err(Error::NotReady { .. })));
    let mut options = Options::standin("plain", &[]).expect("options");
    options.program = "/no/such/program".into();
    assert!(matches!(Process::start(&options), Err(Error::Spawn { .. })));
}

/// Guards against: two processes that draw their ports early draw the same one.
#[test]
fn a_port_that_was_drawn_is_reserved_for_its_process() {
    let port = launch::free_port().expect("port");
    let reservation = std::net::UdpSocket::bind(("127.254.0.1", port));
    assert!(reservation.is_err(), "another process could draw {port}");
}

#[test]
fn free_addresses_can_be_bound() {
    let addr = launch::free_addr().expect("address");
    assert!(addr.ip().is_loopback());
    std::net::TcpListener::bind(addr).expect("bind");
}
