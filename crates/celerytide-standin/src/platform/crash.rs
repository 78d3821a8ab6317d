//! A runner that crashes when it begins to answer a prompt with a certain part.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::request::Request;
use super::runner::lock;

/// Time from the response's head to the crash.
const HEAD_TO_CRASH: Duration = Duration::from_millis(60);
/// Interval at which a runner tries to listen again.
const BIND_INTERVAL: Duration = Duration::from_millis(20);
/// Header that lists the parts of a prompt.
const PARTS: &str = "x-prefix-hash";

/// A part of prompts, under which a runner crashes.
#[derive(Debug, Clone, Copy)]
pub struct CrashingPart {
    /// Its id as in the header.
    pub part: &'static str,
    /// Time until the runner listens again.
    pub down: Duration,
}

/// Connections and crashes of one runner.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    crashing: Mutex<Option<CrashingPart>>,
    connections: Mutex<Vec<TcpStream>>,
    crashed_at: Mutex<Vec<Instant>>,
    down: Mutex<Option<Duration>>,
}

impl Crashes {
    pub(super) fn set(&self, crashing: Option<CrashingPart>) {
        *lock(&self.crashing) = crashing;
    }

    /// Times of the crashes so far.
    pub(super) fn times(&self) -> Vec<Instant> {
        lock(&self.crashed_at).clone()
    }

    /// Keeps a handle of a connection, to end it with a crash.
    pub(super) fn add(&self, conn: &TcpStream) {
        if let Ok(conn) = conn.try_clone() {
            lock(&self.connections).push(conn);
        }
    }

    /// The crashing part, if the prompt of `req` has it in front of its last part.
    pub(super) fn crashing_part(&self, req: &Request) -> Option<CrashingPart> {
        let crashing = (*lock(&self.crashing))?;
        let (shared, _) = req.header(PARTS).rsplit_once(',')?;
        let mut parts = shared.split(',').filter_map(|part| part.split_once(':'));
        parts.any(|(id, _)| id.trim() == crashing.part).then_some(crashing)
    }

    /// Begins to answer, and ends all connections.
    pub(super) fn crash(&self, address: SocketAddr, out: &mut TcpStream, sealed: &str, down: Duration) {
        let head = format!("HTTP/1.1 200 OK\r\n{sealed}content-type: text/event-stream\r\n\r\n");
        drop(out.write_all(head.as_bytes()));
        sleep(HEAD_TO_CRASH);
        if lock(&self.down).replace(down).is_some() {
            return;
        }
        lock(&self.crashed_at).push(Instant::now());
        for conn in lock(&self.connections).drain(..) {
            drop(conn.shutdown(Shutdown::Both));
        }
        // Wakes the loop that accepts connections.
        drop(TcpStream::connect(address));
    }

    /// Time for which the runner is down, if it has just crashed.
    pub(super) fn down(&self) -> Option<Duration> {
        *lock(&self.down)
    }

    /// Listens again after the time for which the runner is down.
    pub(super) fn listen_again(&self, address: SocketAddr, down: Duration) -> TcpListener {
        sleep(down);
        loop {
            if let Ok(listener) = TcpListener::bind(address) {
                *lock(&self.down) = None;
                return listener;
            }
            sleep(BIND_INTERVAL);
        }
    }
}
