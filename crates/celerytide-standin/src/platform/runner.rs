//! A runner that serves requests and fails or violates the protocol on demand.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::arrival::Arrival;
use super::brittle::{Brittle, Fall, Place, Room};
use super::copies::{Copying, PendingCopy};
use super::crash::{Crashes, Crashing};
use super::endless::{Endless, wait_for_close};
use super::events::{self, TornStream};
use super::refusing::{Refusing, Writing};
use super::request::{self, Request};
use super::response::{refusal, sealed_head, send_response};
use super::silence::Silence;
use super::statement::Statement;
use crate::sockets::reset_on_close;

/// How a runner responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerMode {
    /// A response with a length and a seal, the header that proves that the runner ran the request.
    Good,
    /// As `Good`, with this header line in front of the others, as written.
    GoodWith(&'static str),
    /// As `Good`, after this many milliseconds.
    Late(u64),
    /// A sealed error 500: the request ran.
    Failed,
    /// A 503 that states that the request did not run.
    NotRun,
    /// As `NotRun` to the first request on a connection; to each further one, which runs, the refusal of the one before is
    /// written once more in front of the response, with its id or without one.
    RefusedAgain {
        /// Whether the refusals name a request.
        names_id: bool,
    },
    /// This status, which states that the request did not run, to the first request on a connection. The refusal is written
    /// once more in front of the response to the next one, which runs.
    CopiedRefusal(&'static str),
    /// The first answer to certain requests is written twice.
    Copied(Copying),
    /// A share of the requests is refused, half of these refusals twice.
    Refusing(Refusing),
    /// The request runs, and this status without a seal or any other proof answers it.
    Unproven(&'static str),
    /// As `Good`, and some milliseconds later these bytes, which belong to no request.
    Trailing(&'static str),
    /// A response with these statements.
    Stated(Statement),
    /// A 421, as from another runner at this address.
    Misdirected,
    /// A successful response without a seal.
    Unsealed,
    /// The first bytes of the head of a sealed response, then the end of the connection; the body has a length or, in a
    /// stream, ends with the connection.
    HeadCut {
        /// Bytes that are sent.
        bytes: usize,
        /// Whether it is the head of a stream.
        is_stream: bool,
    },
    /// One mode for requests without `Last-Event-Id`, another for streams that go on.
    Resumed {
        /// Mode for a stream from its start.
        first: &'static RunnerMode,
        /// Mode for one that goes on.
        then: &'static RunnerMode,
    },
    /// Half of the body, then the end of the connection.
    Truncated,
    /// A body without a length that ends with the connection.
    Unframed,
    /// Two complete responses to one request, the second with another body.
    Duplicated,
    /// A complete response, and the same again after this many milliseconds, before the next request is read.
    Repeated(u64),
    /// The head of a stream, then an event that never ends, one byte each time after this many milliseconds.
    Drip(u64),
    /// An endless response.
    Endless(Endless),
    /// A response with the id of another request.
    Crossed,
    /// Bytes that are not HTTP.
    Garbage,
    /// The request runs, and the connection ends without a response.
    Lost,
    /// No response; the runner works until its client closes the connection, 20 seconds at the longest.
    NoResponse,
    /// A sealed response with the notice that the runner leaves.
    Leaving,
    /// A 503 that states that the request did not run, with this `Retry-After` value in seconds, sent as written.
    Paused(&'static str),
    /// Events after `Last-Event-Id` up to `all`; the connection of a stream from the start ends in the middle of event
    /// `cut`.
    Events {
        /// Number of events in the whole stream.
        all: u32,
        /// Number of the event that is cut off; zero for none.
        cut: u32,
        /// Milliseconds between two events.
        gap_ms: u64,
    },
    /// A stream whose body ends in good order, whole or not.
    Torn(TornStream),
    /// A whole stream of this many events from the first one on, whatever event the request names as the last one.
    FromStart(u32),
}

struct Shared {
    id: String,
    mode: Mutex<RunnerMode>,
    /// Rate limit in requests per second that each response with the request's id names, sent as written.
    limit: Mutex<Option<&'static str>>,
    requests: Mutex<Vec<Request>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Requests whose client, the router, closed the connection before the response ended.
    disconnect_count: Mutex<usize>,
    crashes: Crashes,
    room: Room,
    silence: Silence,
    /// Whether each connection is open, by its number.
    connections: Mutex<Vec<bool>>,
    /// Open connections beyond which further ones are reset; `None` without a limit.
    max_connections: Mutex<Option<usize>>,
    /// Connections that were reset so far.
    refused_connections: Mutex<usize>,
    address: SocketAddr,
    /// Whether it says in its health checks that it leaves.
    is_leaving: AtomicBool,
    /// Health checks that were answered so far.
    health_checks: AtomicUsize,
}

impl Shared {
    /// Answers a health check as the platform's runners do; false if the connection has ended.
    fn answer_health_check(&self, out: &mut TcpStream) -> bool {
        self.health_checks.fetch_add(1, Ordering::Relaxed);
        let status = if self.is_leaving.load(Ordering::Relaxed) {
            "503 Leaving"
        } else {
            "200 OK"
        };
        send_response(out, status, &format!("x-instance-id: {}\r\n", self.id), "")
    }

    /// Records an arrival; returns its index.
    fn record(&self, arrival: Arrival) -> usize {
        let mut arrivals = lock(&self.arrivals);
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    /// Records an open connection; returns its number.
    fn record_connection(&self) -> usize {
        let mut connections = lock(&self.connections);
        connections.push(true);
        connections.len() - 1
    }

    fn open_connections(&self) -> usize {
        lock(&self.connections).iter().filter(|is_open| **is_open).count()
    }

    /// Whether a further connection must be reset; counts it.
    fn refuses_connection(&self) -> bool {
        let is_full = lock(&self.max_connections).is_some_and(|max| self.open_connections() >= max);
        *lock(&self.refused_connections) += usize::from(is_full);
        is_full
    }

    /// Records that a request did not run; it has ended.
    fn record_unrun(&self, index: usize) {
        lock(&self.arrivals)[index].ran = false;
        self.record_end(index);
    }

    fn record_end(&self, index: usize) {
        lock(&self.arrivals)[index].ended = Some(Instant::now());
    }
}

/// A runner on a thread of its own.
#[derive(Clone)]
pub struct Runner {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Time from a complete response to the bytes behind it.
const TRAILING_DELAY: Duration = Duration::from_millis(30);
/// Seal of each sealed response.
pub(super) const SEAL: &str = "3e1b.07";

impl Runner {
    /// Starts a runner with this id on a free port.
    pub fn start(id: &str, mode: RunnerMode) -> std::io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            mode: Mutex::new(mode),
            limit: Mutex::default(),
            requests: Mutex::default(),
            arrivals: Mutex::default(),
            disconnect_count: Mutex::default(),
            crashes: Crashes::default(),
            room: Room::default(),
            silence: Silence::default(),
            connections: Mutex::default(),
            max_connections: Mutex::default(),
            refused_connections: Mutex::default(),
            address,
            is_leaving: AtomicBool::new(false),
            health_checks: AtomicUsize::new(0),
        });
        let served = shared.clone();
        spawn(move || {
            let mut listener = listener;
            loop {
                let accepted = listener.accept();
                if let Some(down) = served.crashes.down() {
                    drop((accepted, listener));
                    listener = served.crashes.listen_again(address, down);
                } else if let Ok((conn, _)) = accepted {
                    if served.refuses_connection() {
                        // Fails only if the connection has ended already.
                        let _ = reset_on_close(&conn);
                        continue;
                    }
                    let shared = served.clone();
                    served.crashes.add(&conn);
                    let number = shared.record_connection();
                    spawn(move || {
                        serve(&shared, conn, number);
                        lock(&shared.connections)[number] = false;
                    });
                }
            }
        });
        Ok(Runner { address, shared })
    }

    /// Sets the mode for the next requests.
    pub fn set(&self, mode: RunnerMode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Sets the rate limit that the next responses name, sent as written; `None` for no limit.
    pub fn name_limit(&self, limit: Option<&'static str>) {
        *lock(&self.shared.limit) = limit;
    }

    /// Sets under which requests the runner crashes.
    pub fn crash_on(&self, crashing: Option<Crashing>) {
        self.shared.crashes.set(crashing);
    }

    /// Sets for how long events follow the head before a crash.
    pub fn stream_before_crash(&self, time: Duration) {
        self.shared.crashes.stream_before(time);
    }

    /// Times of the crashes so far.
    pub fn crashes(&self) -> Vec<Instant> {
        self.shared.crashes.times()
    }

    /// Sets the room of the runner, and how much it can refuse; `None` for a runner that isn't brittle.
    pub fn set_brittle(&self, brittle: Option<Brittle>) {
        self.shared.room.set(brittle);
    }

    /// Lets the runner fall silent, or go on.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.silence.set(is_silent);
    }

    /// Sets whether the runner says in its health checks that it leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Number of health checks answered so far.
    pub fn health_checks(&self) -> usize {
        self.shared.health_checks.load(Ordering::Relaxed)
    }

    /// Falls for want of room so far; each is also in [`Runner::crashes`].
    pub fn falls(&self) -> Vec<Fall> {
        self.shared.room.falls()
    }

    /// All requests received so far.
    pub fn requests(&self) -> Vec<Request> {
        lock(&self.shared.requests).clone()
    }

    /// What became of these requests, by arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// Sets the number of open connections beyond which further ones are reset.
    pub fn set_max_connections(&self, max: usize) {
        *lock(&self.shared.max_connections) = Some(max);
    }

    /// Connections that were reset so far since there were too many.
    pub fn refused_connections(&self) -> usize {
        *lock(&self.shared.refused_connections)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections()
    }

    /// Whether the connection with this number is open.
    pub fn is_open(&self, connection: usize) -> bool {
        lock(&self.shared.connections)[connection]
    }

    /// Number of requests whose client, the router, closed the connection before the response ended.
    pub fn disconnects(&self) -> usize {
        *lock(&self.shared.disconnect_count)
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(shared: &Shared, conn: TcpStream, number: usize) {
    let Ok(mut out) = conn.try_clone() else {
        return;
    };
    let mut conn = BufReader::new(conn);
    let mut refused: Option<String> = None;
    let mut copy: Option<String> = None;
    let mut pending_copy = PendingCopy::default();
    let writing = Writing::default();
    while let Some(req) = request::read(&mut conn) {
        shared.silence.wait();
        if req.is_health_check() {
            if shared.answer_health_check(&mut out) {
                continue;
            }
            return;
        }
        lock(&shared.requests).push(req.clone());
        let is_copied = Copying::copies(&req, &lock(&shared.arrivals));
        let mode = *lock(&shared.mode);
        let limit = *lock(&shared.limit);
        let index = shared.record(Arrival {
            id: req.header("x-attempt-id").to_owned(),
            at: Instant::now(),
            ran: !matches!(
                mode,
                RunnerMode::NotRun | RunnerMode::Misdirected | RunnerMode::Paused(_)
            ) && (refused.is_some() || !matches!(mode, RunnerMode::RefusedAgain { .. }))
                && !matches!(mode, RunnerMode::Copied(copying) if is_copied && !copying.runs()),
            mode,
            limit,
            deadline_ms: req.header("x-deadline-ms").to_owned(),
            ended: None,
            connection: number,
        });
        let _slot = match shared.room.enter(&out, req.header("x-attempt-id")) {
            Place::Slot(slot) => slot,
            away => {
                shared.record_unrun(index);
                let stays_open = shared
                    .room
                    .turn_away(&away, &shared.crashes, &mut out, &req, shared.address);
                if stays_open {
                    continue;
                }
                return;
            }
        };
        if let RunnerMode::Copied(copying) = mode {
            let sent = match is_copied {
                true => pending_copy.answer(&mut out, &req, copying),
                false => pending_copy.serve(&mut out, &req, copying.place),
            };
            shared.record_end(index);
            // An error means that the connection has ended, which the next read finds too.
            drop(sent);
            continue;
        }
        let mode = match mode {
            RunnerMode::Refusing(refusing) if refusing.refuse(&req, index, &out, &writing) => {
                shared.record_unrun(index);
                continue;
            }
            RunnerMode::Refusing(refusing) => *refusing.then,
            other => other,
        };
        if let RunnerMode::CopiedRefusal(status) = mode {
            let refusal = refusal(status, &req);
            let Some(earlier) = copy.replace(refusal.clone()) else {
                shared.record_unrun(index);
                // Fails only if the connection has ended already.
                let _ = out.write_all(refusal.as_bytes());
                continue;
            };
            let _ = out.write_all(earlier.as_bytes());
        }
        if let RunnerMode::RefusedAgain { names_id } = mode {
            let id = req.header("x-attempt-id").to_owned();
            let refusal = refused.replace(id.clone()).unwrap_or(id);
            let named = if names_id {
                format!("x-attempt-id: {refusal}\r\n")
            } else {
                String::new()
            };
            // Fails only if the connection has ended already.
            send_response(&mut out, "503 Full", &format!("{named}x-not-executed: 1\r\n"), "");
            if refusal == req.header("x-attempt-id") {
                shared.record_end(index);
                continue;
            }
        }
        let _writing = writing.begin();
        let stays_open = respond(shared, &mut out, &req, mode, limit);
        shared.record_end(index);
        if !stays_open {
            // Fails only if the connection has ended already.
            let _ = out.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Responds to a request; true if the connection stays open.
fn respond(
    shared: &Shared,
    out: &mut TcpStream,
    req: &Request,
    mode: RunnerMode,
    named_limit: Option<&'static str>,
) -> bool {
    let id = req.header("x-attempt-id");
    let body = format!("answer of {} to {id}", shared.id);
    let limit = named_limit.map_or(String::new(), |value| format!("server-limit: {value}\r\n"));
    let limit = limit + &shared.room.header();
    let sealed = format!("x-attempt-id: {id}\r\nx-response-seal: {SEAL}\r\n{limit}");
    let not_run = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n{limit}");
    if let Some(crashing) = shared.crashes.of(req) {
        shared.crashes.crash(shared.address, out, req, &sealed, crashing);
        return false;
    }
    match mode {
        RunnerMode::Good
        | RunnerMode::RefusedAgain { .. }
        | RunnerMode::CopiedRefusal(_)
        | RunnerMode::Copied(_)
        | RunnerMode::Refusing(_) => send_response(out, "200 OK", &sealed, &body),
        RunnerMode::GoodWith(line) => send_response(out, "200 OK", &format!("{line}\r\n{sealed}"), &body),
        RunnerMode::Late(ms) => {
            sleep(Duration::from_millis(ms));
            shared.silence.wait();
            send_response(out, "200 OK", &sealed, &body)
        }
        RunnerMode::Failed => send_response(out, "500 Failed", &sealed, &body),
        RunnerMode::NotRun => send_response(out, "503 Full", &not_run, ""),
        RunnerMode::Paused(seconds) => {
            let headers = format!("{not_run}retry-after: {seconds}\r\n");
            send_response(out, "503 Full", &headers, "")
        }
        RunnerMode::Leaving => send_response(out, "200 OK", &format!("{sealed}server-leaving: 1\r\n"), &body),
        RunnerMode::Unproven(status) => send_response(out, status, "", ""),
        RunnerMode::Stated(statement) => {
            send_response(out, statement.status, &statement.headers(id), &statement.body(&body))
        }
        RunnerMode::Trailing(bytes) => {
            let is_sent = send_response(out, "200 OK", &sealed, &body);
            sleep(TRAILING_DELAY);
            is_sent && out.write_all(bytes.as_bytes()).is_ok()
        }
        RunnerMode::Misdirected => send_response(out, "421 Misdirected", "x-instance-id: other\r\n", ""),
        RunnerMode::Unsealed => send_response(out, "200 OK", &format!("x-attempt-id: {id}\r\n"), &body),
        RunnerMode::Truncated => {
            let stated = body.len();
            let half = &body[..stated / 2];
            let head = format!("HTTP/1.1 200 OK\r\n{sealed}content-length: {stated}\r\n\r\n{half}");
            drop(out.write_all(head.as_bytes()));
            false
        }
        RunnerMode::HeadCut { bytes, is_stream } => {
            let head = sealed_head(&sealed, body.len(), is_stream);
            drop(out.write_all(&head.as_bytes()[..bytes.min(head.len())]));
            false
        }
        RunnerMode::Resumed { first, then } => {
            let is_first = req.header("last-event-id").is_empty();
            respond(shared, out, req, if is_first { *first } else { *then }, named_limit)
        }
        RunnerMode::Unframed => {
            drop(out.write_all(format!("HTTP/1.1 200 OK\r\n{sealed}\r\n{body}").as_bytes()));
            false
        }
        RunnerMode::Duplicated => {
            send_response(out, "200 OK", &sealed, &body) && send_response(out, "200 OK", &sealed, "a second body")
        }
        RunnerMode::Repeated(ms) => {
            let good = send_response(out, "200 OK", &sealed, &body);
            sleep(Duration::from_millis(ms));
            good && send_response(out, "200 OK", &sealed, &body)
        }
        RunnerMode::Endless(endless) => {
            endless.send(out, &sealed);
            *lock(&shared.disconnect_count) += 1;
            false
        }
        RunnerMode::Drip(ms) => stream(shared, events::send_drip(out, &sealed, Duration::from_millis(ms))),
        RunnerMode::Crossed => send_response(
            out,
            "200 OK",
            "x-attempt-id: another\r\nx-response-seal: 1\r\n",
            "not yours",
        ),
        RunnerMode::Garbage => {
            drop(out.write_all(b"HTTP/1.1 2x0 nonsense\r\ncontent-length: 3\r\n\r\nabc"));
            false
        }
        RunnerMode::Lost => false,
        RunnerMode::NoResponse => {
            wait_for_close(out);
            false
        }
        RunnerMode::Events { all, cut, gap_ms } => {
            let pause = || {
                sleep(Duration::from_millis(gap_ms));
                shared.silence.wait();
            };
            stream(shared, events::send_events(out, req, &sealed, all, cut, pause))
        }
        RunnerMode::FromStart(count) => stream(shared, events::send_from_start(out, &sealed, count)),
        RunnerMode::Torn(torn) => stream(shared, torn.send(out, req, &sealed)),
    }
}

/// Counts a client that closed the connection before the stream ended; true if the connection stays open.
fn stream(shared: &Shared, sent: std::io::Result<bool>) -> bool {
    if sent.is_err() {
        *lock(&shared.disconnect_count) += 1;
    }
    sent.unwrap_or(false)
}
