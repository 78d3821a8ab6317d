//! Callers: each sends one request after the other, over connections that it keeps.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use celerytide_standin::platform::caller::{Response, headers, read_response, request};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::check::{Answered, Call, Kind};
use crate::plan::ROUTERS;

/// Callers of a run.
pub const COUNT: usize = 16;
/// Time for which an answer is waited for: more than any route has.
const PATIENCE: Duration = Duration::from_secs(6);
/// Time that callers give their requests, in milliseconds.
const DEADLINE_MS: &str = "4000";
/// Time for a new connection.
const CONNECT: Duration = Duration::from_millis(300);
/// Pause after a failed connection, and the longest one between two requests.
const PAUSE_MS: u64 = 40;
/// Seeds of callers are far from those of plans.
const SEED_STEP: u64 = 1 << 32;

/// All callers.
pub struct Callers {
    routers: Mutex<Vec<SocketAddr>>,
    calls: Mutex<Vec<Call>>,
    stopped: AtomicBool,
}

struct Conn {
    to: SocketAddr,
    read: BufReader<TcpStream>,
}

impl Callers {
    /// Callers of these routers.
    pub fn new(routers: Vec<SocketAddr>) -> Callers {
        Callers {
            routers: Mutex::new(routers),
            calls: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    /// A router has another address now.
    pub fn move_to(&self, router: usize, address: SocketAddr) {
        let mut routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner);
        routers[router] = address;
    }

    /// No further requests are sent.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// What they sent and got.
    pub fn into_calls(self) -> Vec<Call> {
        self.calls.into_inner().unwrap_or_else(PoisonError::into_inner)
    }

    fn address(&self, router: usize) -> SocketAddr {
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)[router]
    }

    /// One caller.
    pub fn send_until_stopped(&self, seed: u64, caller: usize, began: Instant) {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(SEED_STEP * (caller as u64 + 1)));
        let mut conns: Vec<Option<Conn>> = (0..ROUTERS).map(|_| None).collect();
        let mut n = 0_u32;
        while !self.stopped.load(Ordering::Relaxed) {
            n += 1;
            let router = rng.random_range(0..ROUTERS);
            let kind = kind(&mut rng);
            let id = format!("c{caller}-{n}");
            let kept = conns[router].take().filter(|conn| conn.to == self.address(router));
            match kept.or_else(|| connect(self.address(router))) {
                Some(conn) => conns[router] = self.call(conn, id, kind, router, began),
                None => sleep(Duration::from_millis(PAUSE_MS)),
            }
            sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS)));
        }
    }

    /// Sends a request; returns the connection if it may be used again.
    fn call(&self, mut conn: Conn, id: String, kind: Kind, router: usize, began: Instant) -> Option<Conn> {
        let method = if kind == Kind::Once { "POST" } else { "GET" };
        let body = if kind == Kind::Once { "form" } else { "" };
        let text = request(method, path(kind), &headers(&id, DEADLINE_MS), body);
        // A connection that ended in the meantime took nothing of it.
        conn.read.get_mut().write_all(text.as_bytes()).ok()?;
        let sent = began.elapsed();
        let got = read_response(&mut conn.read).unwrap_or_default();
        let reusable = got.is_reusable();
        let call = Call {
            id,
            kind,
            router,
            sent,
            ended: began.elapsed(),
            answer: answered(got),
        };
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
        reusable.then_some(conn)
    }
}

fn answered(got: Response) -> Answered {
    Answered {
        status: got.status,
        sealed: got.is_sealed(),
        whole: got.is_complete,
        body: got.body,
    }
}

fn connect(to: SocketAddr) -> Option<Conn> {
    let conn = TcpStream::connect_timeout(&to, CONNECT).ok()?;
    conn.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(Conn {
        to,
        read: BufReader::new(conn),
    })
}

fn kind(rng: &mut StdRng) -> Kind {
    match rng.random_range(0..10) {
        0..=3 => Kind::Safe,
        4..=6 => Kind::Once,
        7 => Kind::Stream,
        _ => Kind::Resume,
    }
}

fn path(kind: Kind) -> &'static str {
    match kind {
        Kind::Safe => "/safe/x",
        Kind::Once => "/once/x",
        Kind::Stream => "/stream/x",
        Kind::Resume => "/resume/x",
    }
}
