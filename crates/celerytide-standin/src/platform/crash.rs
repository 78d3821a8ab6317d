//! A runner that crashes when it begins to run certain requests.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::request::Request;
use super::runner::lock;

/// Time from the begin of a run to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(60);
/// Time between two events before a crash.
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Interval at which a runner tries to listen again.
const BIND_INTERVAL: Duration = Duration::from_millis(20);
/// Header that lists the parts of a prompt.
const PARTS: &str = "x-prefix-hash";

/// What a request has under which a runner crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// A part of the prompt with this id, in front of the last part.
    Part(&'static str),
    /// This body.
    Body(&'static str),
    /// Anything.
    Any,
}

/// How a runner crashes.
#[derive(Debug, Clone, Copy)]
pub struct Crashing {
    /// What a request has under which it crashes.
    pub trigger: Trigger,
    /// Whether the head of a response is sent before.
    pub sends_head: bool,
    /// Time until the runner listens again.
    pub down: Duration,
}

impl Trigger {
    fn is_in(self, req: &Request) -> bool {
        match self {
            Trigger::Any => true,
            Trigger::Body(body) => req.body == body.as_bytes(),
            Trigger::Part(id) => {
                let Some((shared, _)) = req.header(PARTS).rsplit_once(',') else {
                    return false;
                };
                let mut parts = shared.split(',').filter_map(|part| part.split_once(':'));
                parts.any(|(other, _)| other.trim() == id)
            }
        }
    }
}

impl Crashing {
    /// Sends what comes before the crash; events for `streams_for`, and nothing if the client has gone.
    fn send_start(self, out: &mut TcpStream, sealed: &str, streams_for: Duration) -> std::io::Result<()> {
        if !self.sends_head {
            return Ok(());
        }
        let head = format!("HTTP/1.1 200 OK\r\n{sealed}content-type: text/event-stream\r\n\r\n");
        out.write_all(head.as_bytes())?;
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < streams_for {
            number += 1;
            out.write_all(format!("id: {number}\ndata: event {number}\n\n").as_bytes())?;
            sleep(EVENT_GAP);
        }
        Ok(())
    }
}

/// Connections and crashes of one runner.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    crashing: Mutex<Option<Crashing>>,
    streams_for: Mutex<Duration>,
    connections: Mutex<Vec<TcpStream>>,
    crashed_at: Mutex<Vec<Instant>>,
    down: Mutex<Option<Duration>>,
}

impl Crashes {
    pub(super) fn set(&self, crashing: Option<Crashing>) {
        *lock(&self.crashing) = crashing;
    }

    pub(super) fn stream_before(&self, time: Duration) {
        *lock(&self.streams_for) = time;
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

    /// How the runner crashes under `req`; `None` if it doesn't.
    pub(super) fn of(&self, req: &Request) -> Option<Crashing> {
        (*lock(&self.crashing)).filter(|crashing| crashing.trigger.is_in(req))
    }

    /// Begins to run a request, and ends all connections.
    pub(super) fn crash(&self, address: SocketAddr, out: &mut TcpStream, sealed: &str, crashing: Crashing) {
        let streams_for = *lock(&self.streams_for);
        drop(crashing.send_start(out, sealed, streams_for));
        sleep(TIME_TO_CRASH);
        if lock(&self.down).replace(crashing.down).is_some() {
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
