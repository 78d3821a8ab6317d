//! A runner that answers, fails and misbehaves as it is told.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::Endless;
use super::request::{self, Seen};

/// How a runner answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerMode {
    /// A sealed answer with a length.
    Good,
    /// The same after this many milliseconds.
    Late(u64),
    /// A failure of its own, sealed: it ran.
    Failed,
    /// It did not run the request and says so.
    NotRun,
    /// Another runner has the address.
    Misdirected,
    /// A success without a seal.
    Unsealed,
    /// Half of the stated body, then the end of the connection.
    Truncated,
    /// A body without a stated length that ends with the connection.
    Unframed,
    /// Two whole answers to one request.
    Duplicated,
    /// A whole answer, and the same once more after this many milliseconds, whatever was asked meanwhile.
    Repeated(u64),
    /// The head of a stream, and then one byte of an event that never ends, again and again with this many milliseconds
    /// between two.
    Drip(u64),
    /// Bytes without end that are no answer.
    Endless(Endless),
    /// An answer that carries the id of another request.
    Crossed,
    /// Bytes that are no answer.
    Garbage,
    /// The connection ends without an answer, though it ran.
    Lost,
    /// No answer at all.
    NoResponse,
    /// A sealed answer that says that the runner leaves.
    Leaving,
    /// It did not run the request, and asks for a pause of that many seconds.
    Paused(&'static str),
    /// Events from the one behind `Last-Event-Id` up to `all`; the connection of a stream from the start
    /// ends in the middle of event `cut`.
    Events {
        /// Events of the whole stream.
        all: u32,
        /// The first event that isn't whole; zero if all are.
        cut: u32,
        /// Milliseconds between two events.
        gap_ms: u64,
    },
}

/// A request that a runner began to work on, or refused as not run.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the request.
    pub id: String,
    /// When it was read whole.
    pub at: Instant,
    /// Whether the runner ran it.
    pub ran: bool,
    /// How it was answered.
    pub mode: RunnerMode,
}

struct Shared {
    id: String,
    answer: Mutex<RunnerMode>,
    seen: Mutex<Vec<Seen>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Requests whose connection ended before the answer did.
    left: Mutex<usize>,
}

/// A runner on a thread of its own.
#[derive(Clone)]
pub struct Runner {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// The seal of each answer.
const SEAL: &str = "3e1b.07";

impl Runner {
    /// Starts a runner with that id on a free port.
    pub fn start(id: &str, answer: RunnerMode) -> std::io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            answer: Mutex::new(answer),
            seen: Mutex::default(),
            arrivals: Mutex::default(),
            left: Mutex::default(),
        });
        let served = shared.clone();
        spawn(move || {
            for conn in listener.incoming().flatten() {
                let shared = served.clone();
                spawn(move || serve(&shared, conn));
            }
        });
        Ok(Runner { address, shared })
    }

    /// Changes how it answers from now on.
    pub fn set(&self, answer: RunnerMode) {
        *lock(&self.shared.answer) = answer;
    }

    /// Requests that reached it.
    pub fn requests(&self) -> Vec<Seen> {
        lock(&self.shared.seen).clone()
    }

    /// What became of them, in the order of their arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// Requests whose caller left before the answer's end.
    pub fn disconnects(&self) -> usize {
        *lock(&self.shared.left)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(shared: &Shared, conn: TcpStream) {
    let Ok(mut out) = conn.try_clone() else {
        return;
    };
    let mut conn = BufReader::new(conn);
    while let Some(seen) = request::read(&mut conn) {
        lock(&shared.seen).push(seen.clone());
        let answer = *lock(&shared.answer);
        lock(&shared.arrivals).push(Arrival {
            id: seen.header("x-attempt-id").to_owned(),
            at: Instant::now(),
            ran: !matches!(
                answer,
                RunnerMode::NotRun | RunnerMode::Misdirected | RunnerMode::Paused(_)
            ),
            mode: answer,
        });
        if !respond(shared, &mut out, &seen, answer) {
            // The connection ends here in any case.
            let _ = out.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Answers; true if the connection goes on.
fn respond(shared: &Shared, out: &mut TcpStream, seen: &Seen, answer: RunnerMode) -> bool {
    let id = seen.header("x-attempt-id");
    let body = format!("answer of {} to {id}", shared.id);
    let sealed = format!("x-attempt-id: {id}\r\nx-response-seal: {SEAL}\r\n");
    match answer {
        RunnerMode::Good => whole(out, "200 OK", &sealed, &body),
        RunnerMode::Late(ms) => {
            sleep(Duration::from_millis(ms));
            whole(out, "200 OK", &sealed, &body)
        }
        RunnerMode::Failed => whole(out, "500 Failed", &sealed, &body),
        RunnerMode::NotRun => whole(out, "503 Full", &not_run(id), ""),
        RunnerMode::Paused(seconds) => {
            let headers = format!("{}retry-after: {seconds}\r\n", not_run(id));
            whole(out, "503 Full", &headers, "")
        }
        RunnerMode::Leaving => whole(out, "200 OK", &format!("{sealed}server-leaving: 1\r\n"), &body),
        RunnerMode::Misdirected => whole(out, "421 Misdirected", "x-instance-id: other\r\n", ""),
        RunnerMode::Unsealed => whole(out, "200 OK", &format!("x-attempt-id: {id}\r\n"), &body),
        RunnerMode::Truncated => {
            let stated = body.len();
            let half = &body[..stated / 2];
            let head = format!("HTTP/1.1 200 OK\r\n{sealed}content-length: {stated}\r\n\r\n{half}");
            drop(out.write_all(head.as_bytes()));
            false
        }
        RunnerMode::Unframed => {
            drop(out.write_all(format!("HTTP/1.1 200 OK\r\n{sealed}\r\n{body}").as_bytes()));
            false
        }
        RunnerMode::Duplicated => {
            whole(out, "200 OK", &sealed, &body) && whole(out, "200 OK", &sealed, "a second body")
        }
        RunnerMode::Repeated(ms) => {
            let good = whole(out, "200 OK", &sealed, &body);
            sleep(Duration::from_millis(ms));
            good && whole(out, "200 OK", &sealed, &body)
        }
        RunnerMode::Endless(endless) => {
            endless.send(out, &sealed);
            *lock(&shared.left) += 1;
            false
        }
        RunnerMode::Drip(ms) => drip(shared, out, &sealed, Duration::from_millis(ms)),
        RunnerMode::Crossed => whole(
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
            sleep(Duration::from_secs(20));
            false
        }
        RunnerMode::Events { all, cut, gap_ms } => events(shared, out, seen, &sealed, all, cut, gap_ms),
    }
}

fn not_run(id: &str) -> String {
    format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n")
}

fn whole(out: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let answer = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    out.write_all(answer.as_bytes()).is_ok()
}

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Sends bytes until the caller leaves.
fn drip(shared: &Shared, out: &mut TcpStream, sealed: &str, gap: Duration) -> bool {
    let mut sent = out.write_all(format!("HTTP/1.1 200 OK\r\n{sealed}{STREAM}").as_bytes());
    while sent.is_ok() {
        sent = out.write_all(b"1\r\nd\r\n");
        sleep(gap);
    }
    *lock(&shared.left) += 1;
    false
}

fn events(shared: &Shared, out: &mut TcpStream, seen: &Seen, sealed: &str, all: u32, cut: u32, gap_ms: u64) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\n{sealed}{STREAM}");
    drop(out.write_all(head.as_bytes()));
    let from: u32 = seen.header("last-event-id").parse().unwrap_or(0);
    let cut = if from == 0 { cut } else { 0 };
    for number in from + 1..=all {
        if number > from + 1 {
            sleep(Duration::from_millis(gap_ms));
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let sent = if number == cut {
            &event[..event.len() / 2]
        } else {
            &event
        };
        let chunk = format!("{:x}\r\n{sent}\r\n", sent.len());
        if out.write_all(chunk.as_bytes()).is_err() {
            *lock(&shared.left) += 1;
            return false;
        }
        if number == cut {
            return false;
        }
    }
    out.write_all(b"0\r\n\r\n").is_ok()
}
