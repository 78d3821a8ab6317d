//! Callers, each of which sends one request after the other over connections that it reuses.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use celerytide_standin::platform::caller::{Response, headers, read_response, request};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::check::{self, Call, RefusedTry, RequestKind, ResponseRecord, Span};

/// Number of callers in a run.
pub const CALLER_COUNT: usize = 16;
/// Number of callers in a run with brittle runners.
pub const MANY_CALLERS: usize = 48;
/// Response timeout, longer than that of any route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Deadline of requests in milliseconds, as header value; the check counts with the same.
const DEADLINE_MS: &str = "4000";
/// Tokens of the prompt of a stream's request and of its longest response, as header value.
const TOKEN_USAGE: &str = "2000,100";
/// Timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failed connection, and maximum pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// One request in this many is given up by its caller.
const LEAVING_ONE_IN: u32 = 6;
/// Range of the time after which it is, in milliseconds.
const LEAVING_AFTER_MS: std::ops::Range<u64> = 20..400;
/// Times that a caller sends a refused request again under the same id, on the same connection.
const MAX_AGAIN: usize = 4;
/// Time from a refusal until the request is sent again.
const AGAIN_DELAY: Duration = Duration::from_millis(10);
/// Keeps the seeds of callers that leave apart, so that a seed's requests stay.
const LEAVING_SEED: u64 = 0x6e_0000_0000;
/// Distance between the seeds of callers, which keeps them apart from the seeds of plans.
const SEED_STEP: u64 = 1 << 32;

/// The state that all callers share.
pub struct Callers {
    /// Address and number of restarts of each router.
    routers: Mutex<Vec<Process>>,
    calls: Mutex<Vec<Call>>,
    refused_tries: Mutex<Vec<RefusedTry>>,
    stopped: AtomicBool,
}

/// A process of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process {
    addr: SocketAddr,
    restarts: usize,
}

struct Conn {
    process: Process,
    reader: BufReader<TcpStream>,
}

impl Callers {
    /// Creates callers of these routers.
    pub fn new(routers: Vec<SocketAddr>) -> Callers {
        let first = |addr| Process { addr, restarts: 0 };
        Callers {
            routers: Mutex::new(routers.into_iter().map(first).collect()),
            calls: Mutex::default(),
            refused_tries: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Records that a router was started again: connections to its process of before aren't used any more.
    pub fn note_restart(&self, router: usize) {
        let mut routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner);
        routers[router].restarts += 1;
    }

    /// Stops sending requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Requests with their responses, and those that weren't sent.
    pub fn into_records(self) -> (Vec<Call>, Vec<RefusedTry>) {
        let calls = self.calls.into_inner().unwrap_or_else(PoisonError::into_inner);
        let refused = self.refused_tries.into_inner().unwrap_or_else(PoisonError::into_inner);
        (calls, refused)
    }

    /// Records a request that wasn't sent, since its connection was refused or has ended.
    fn note_refused(&self, router: usize, at: Duration) {
        let mut refused = self.refused_tries.lock().unwrap_or_else(PoisonError::into_inner);
        refused.push(RefusedTry { router, at });
    }

    fn process(&self, router: usize) -> Process {
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)[router]
    }

    /// Runs one caller until [`Callers::stop`].
    pub fn send_until_stopped(&self, seed: u64, caller: usize, started: Instant) {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(SEED_STEP * (caller as u64 + 1)));
        let mut leaving_rng = StdRng::seed_from_u64(seed.wrapping_add(SEED_STEP * (caller as u64 + 1)) ^ LEAVING_SEED);
        let routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner).len();
        let mut conns: Vec<Option<Conn>> = (0..routers).map(|_| None).collect();
        let mut n = 0_u32;
        while !self.stopped.load(Ordering::Relaxed) {
            n += 1;
            let router = rng.random_range(0..routers);
            let kind = draw_kind(&mut rng);
            let id = format!("c{caller}-{n}");
            let leaves = leaving_rng.random_ratio(1, LEAVING_ONE_IN);
            let leaves_after = leaves.then(|| Duration::from_millis(leaving_rng.random_range(LEAVING_AFTER_MS)));
            let kept = conns[router].take().filter(|conn| conn.process == self.process(router));
            match kept.or_else(|| connect(self.process(router))) {
                Some(conn) => conns[router] = self.call(conn, id, kind, router, started, leaves_after),
                None => {
                    self.note_refused(router, started.elapsed());
                    sleep(Duration::from_millis(MAX_PAUSE_MS));
                }
            }
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
        }
    }

    /// Sends a request, and sends it again while it is refused; returns the connection if it can be reused. A caller that
    /// leaves closes it without reading.
    fn call(
        &self,
        mut conn: Conn,
        id: String,
        kind: RequestKind,
        router: usize,
        started: Instant,
        leaves_after: Option<Duration>,
    ) -> Option<Conn> {
        let method = if kind == RequestKind::Once { "POST" } else { "GET" };
        let body = if kind == RequestKind::Once { "form" } else { "" };
        let mut headers = headers(&id, DEADLINE_MS).to_vec();
        if matches!(kind, RequestKind::Stream | RequestKind::Resume) {
            headers.push(("x-token-usage", TOKEN_USAGE));
        }
        let text = request(method, path(kind), &headers, body);
        let Some(first) = exchange(&mut conn, &text, started, leaves_after) else {
            self.note_refused(router, started.elapsed());
            return None;
        };
        let mut exchanges = vec![first];
        while leaves_after.is_none() && exchanges.len() <= MAX_AGAIN && is_refused(exchanges.last()) {
            sleep(AGAIN_DELAY);
            let Some(next) = exchange(&mut conn, &text, started, None) else {
                break;
            };
            exchanges.push(next);
        }
        let last = exchanges.pop()?;
        let kept = last.response.is_reusable().then_some(conn);
        let call = Call {
            id,
            kind,
            router,
            refused: exchanges.iter().map(|refused| refused.span).collect(),
            sent: last.span.from,
            ended: last.span.to,
            has_left: leaves_after.is_some(),
            response: response_record(last.response),
        };
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
        kept
    }
}

/// A request as it was sent once, and its response.
struct Exchange {
    span: Span,
    response: Response,
}

/// Whether a response promises that the request hasn't run and never will, on a connection that can be used again.
fn is_refused(exchange: Option<&Exchange>) -> bool {
    exchange.is_some_and(|e| check::is_refusal(e.response.status) && e.response.is_reusable())
}

/// Sends a request and reads its response, unless its caller leaves; `None` if it couldn't be sent, since the connection has
/// ended in the meantime.
fn exchange(conn: &mut Conn, text: &str, started: Instant, leaves_after: Option<Duration>) -> Option<Exchange> {
    conn.reader.get_mut().write_all(text.as_bytes()).ok()?;
    let from = started.elapsed();
    let response = match leaves_after {
        Some(time) => {
            sleep(time);
            Response::default()
        }
        None => read_response(&mut conn.reader).unwrap_or_default(),
    };
    let to = started.elapsed();
    Some(Exchange {
        span: Span { from, to },
        response,
    })
}

fn response_record(response: Response) -> ResponseRecord {
    ResponseRecord {
        status: response.status,
        is_sealed: response.is_sealed(),
        is_complete: response.is_complete,
        body: response.body,
    }
}

fn connect(process: Process) -> Option<Conn> {
    let conn = TcpStream::connect_timeout(&process.addr, CONNECT_TIMEOUT).ok()?;
    conn.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    Some(Conn {
        process,
        reader: BufReader::new(conn),
    })
}

fn draw_kind(rng: &mut StdRng) -> RequestKind {
    match rng.random_range(0..10) {
        0..=3 => RequestKind::Safe,
        4..=6 => RequestKind::Once,
        7 => RequestKind::Stream,
        _ => RequestKind::Resume,
    }
}

fn path(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Safe => "/safe/x",
        RequestKind::Once => "/once/x",
        RequestKind::Stream => "/stream/x",
        RequestKind::Resume => "/resume/x",
    }
}
