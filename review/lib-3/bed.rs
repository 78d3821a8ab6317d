//! Testbed of the cases: the platform's store, runners, consumers and router processes, with the standard library alone.
//!
//! The stand-ins follow the users' pages. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Time for which the store keeps its history (`platform.history_s`).
pub const HISTORY: Duration = Duration::from_secs(20);
/// Interval at which a runner writes its record (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Whether the case plays its disruption (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------------------------
// Record

/// What was sent, answered and run, with seconds from the start; written to `record.txt` beside the case.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    out: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = fs::File::create(folder.join("record.txt")).expect("record.txt can't be written");
        Record { began: Instant::now(), out: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{at:9.3} {}", text.as_ref());
    }

    /// A line that is printed, too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.began.elapsed().as_secs_f64(), text.as_ref());
        self.line(text);
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------------------------------------------------------
// HTTP

/// A request that was read.
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A value of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let of = query.split('&').filter_map(|pair| pair.split_once('='));
        of.into_iter().find(|(known, _)| *known == name).map_or(String::new(), |(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut n = 0;
    while n < bytes.len() {
        let hex = bytes.get(n + 1..n + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[n], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                n += 3;
            }
            (byte, _) => {
                out.push(byte);
                n += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(conn: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    while first.trim().is_empty() {
        first.clear();
        if conn.read_line(&mut first).ok()? == 0 {
            return None;
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn stated(headers: &[(String, String)], name: &str) -> Option<String> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.to_ascii_lowercase())
}

fn read_chunks(conn: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line).unwrap_or(0) == 0 {
            return (body, false);
        }
        let digits = line.trim().split(';').next().unwrap_or_default().to_owned();
        let Ok(size) = usize::from_str_radix(&digits, 16) else {
            return (body, false);
        };
        let mut data = vec![0; size + 2];
        if conn.read_exact(&mut data).is_err() {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&data[..size]);
    }
}

/// Reads one request.
pub fn read_request(conn: &mut impl BufRead) -> Option<Req> {
    let (first, headers) = read_head(conn)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = Vec::new();
    if stated(&headers, "transfer-encoding").is_some() {
        let (data, is_whole) = read_chunks(conn);
        body = is_whole.then_some(data)?;
    } else if let Some(length) = stated(&headers, "content-length") {
        body = vec![0; length.parse().ok()?];
        conn.read_exact(&mut body).ok()?;
    }
    Some(Req { method, target, headers, body })
}

/// What a consumer got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the connection ended without a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its regular end.
    pub is_whole: bool,
    /// Why there is none, or none that is whole.
    pub trouble: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn is_served(&self) -> bool {
        (200..300).contains(&self.status) && self.is_whole && self.header("x-response-seal").is_some()
    }

    pub fn text(&self) -> String {
        let trouble = if self.trouble.is_empty() { String::new() } else { format!(" ({})", self.trouble) };
        let whole = if self.is_whole { "whole" } else { "not whole" };
        format!("{} {whole}{trouble}", self.status)
    }
}

/// A consumer's connection to a router.
pub struct Connection {
    conn: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> std::io::Result<Connection> {
        let conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        conn.set_nodelay(true)?;
        Ok(Connection { conn: BufReader::new(conn) })
    }

    pub fn stream(&self) -> &TcpStream {
        self.conn.get_ref()
    }

    /// Writes a request.
    pub fn send(&mut self, method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> std::io::Result<()> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.conn.get_mut().write_all(&all)
    }

    /// Reads an answer; waits no longer than `wait` for each read.
    pub fn receive(&mut self, wait: Duration) -> Answer {
        let _ = self.conn.get_ref().set_read_timeout(Some(wait));
        let mut answer = Answer::default();
        let Some((first, headers)) = read_head(&mut self.conn) else {
            answer.trouble = "no answer".to_owned();
            return answer;
        };
        answer.status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        answer.headers = headers;
        if stated(&answer.headers, "transfer-encoding").is_some() {
            (answer.body, answer.is_whole) = read_chunks(&mut self.conn);
        } else {
            let length = stated(&answer.headers, "content-length").and_then(|text| text.parse().ok());
            answer.body = vec![0; length.unwrap_or(0)];
            answer.is_whole = self.conn.read_exact(&mut answer.body).is_ok();
        }
        if !answer.is_whole {
            answer.trouble = "cut".to_owned();
        }
        answer
    }
}

/// Sends one request on a new connection.
pub fn call(addr: SocketAddr, method: &str, target: &str, headers: &[(&str, String)], body: &[u8], wait: Duration) -> Answer {
    let refused = |trouble: std::io::Error| Answer { trouble: format!("no connection: {trouble}"), ..Answer::default() };
    let mut conn = match Connection::open(addr) {
        Ok(conn) => conn,
        Err(error) => return refused(error),
    };
    if let Err(error) = conn.send(method, target, headers, body) {
        return refused(error);
    }
    conn.receive(wait)
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A new id of a consumer's attempt.
pub fn attempt_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed))
}

// ---------------------------------------------------------------------------------------------------------------
// Store

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16) | (u32::from(*part.get(1).unwrap_or(&0)) << 8) | u32::from(*part.get(2).unwrap_or(&0));
        for digit in 0..4 {
            let is_padding = digit > part.len();
            let index = (n >> (18 - 6 * digit)) as usize & 63;
            out.push(if is_padding { '=' } else { BASE64[index] as char });
        }
    }
    out
}

struct Event {
    revision: u64,
    at: Instant,
    json: Arc<str>,
}

struct StoreState {
    revision: u64,
    items: BTreeMap<String, Arc<str>>,
    log: VecDeque<Event>,
    /// Revision up to which the history is dropped.
    dropped: u64,
    watches: u64,
    lists: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    /// Bytes of events in the response to a watch, of which there is one at least; `usize::MAX` without a bound.
    watch_bytes: usize,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Starts an empty store; a watch returns all events.
    pub fn start() -> Store {
        Store::start_bounded(usize::MAX)
    }

    /// Starts an empty store whose watches return so many bytes of events, and the revision up to which these go.
    pub fn start_bounded(watch_bytes: usize) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store can't listen");
        let state = StoreState {
            revision: 10,
            items: BTreeMap::new(),
            log: VecDeque::new(),
            dropped: 10,
            watches: 0,
            lists: 0,
        };
        let store = Store { addr: listener.local_addr().unwrap(), watch_bytes, state: Arc::new((Mutex::new(state), Condvar::new())) };
        store.listen(listener, Arc::default());
        store
    }

    /// A further address, at which the store turns readers away (503) while the flag is set.
    pub fn door(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store can't listen");
        let (addr, is_closed) = (listener.local_addr().unwrap(), Arc::<AtomicBool>::default());
        self.listen(listener, is_closed.clone());
        (addr, is_closed)
    }

    fn listen(&self, listener: TcpListener, is_closed: Arc<AtomicBool>) {
        let served = self.clone();
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let (store, is_closed) = (served.clone(), is_closed.clone());
                thread::spawn(move || store.serve(conn, &is_closed));
            }
        });
    }

    /// Writes an item; returns its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let value = base64(value);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let json = format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#);
        let json: Arc<str> = json.into();
        state.items.insert(key.to_owned(), json.clone());
        state.log.push_back(Event { revision, at: Instant::now(), json });
        changed.notify_all();
        revision
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let json = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
        state.log.push_back(Event { revision, at: Instant::now(), json: json.into() });
        changed.notify_all();
        revision
    }

    /// Calls so far: lists and watches.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state.0.lock().unwrap();
        (state.lists, state.watches)
    }

    fn serve(&self, conn: TcpStream, is_closed: &AtomicBool) {
        let _ = conn.set_nodelay(true);
        let Ok(mut out) = conn.try_clone() else { return };
        let mut conn = BufReader::new(conn);
        while let Some(req) = read_request(&mut conn) {
            let path = req.target.split('?').next().unwrap_or_default();
            let (status, body) = match path {
                _ if is_closed.load(Ordering::Relaxed) => (503, "{}".to_owned()),
                "/-/kv-range" => (200, self.page(&req)),
                "/-/kv-watch" => self.watch(&req, is_closed),
                _ => (404, "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(head.as_bytes()).and_then(|()| out.write_all(body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// A page: at most 500 items or a megabyte.
    fn page(&self, req: &Req) -> String {
        let (prefix, after) = (req.query("path_prefix"), req.query("after"));
        let mut state = self.state.0.lock().unwrap();
        state.lists += 1;
        let all = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (_, json) in all {
            if items.len() == 500 || (!items.is_empty() && bytes + json.len() > 1_000_000) {
                has_more = true;
                break;
            }
            bytes += json.len();
            items.push(&**json);
        }
        format!(r#"{{"items":[{}],"has_more":{has_more},"current_rev":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, req: &Req, is_closed: &AtomicBool) -> (u16, String) {
        let prefix = req.query("path_prefix");
        let after: u64 = req.query("after").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(req.query("wait_ms").parse().unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.watches += 1;
        loop {
            while state.log.front().is_some_and(|event| event.at.elapsed() > HISTORY) {
                state.dropped = state.log.pop_front().map_or(state.dropped, |event| event.revision);
            }
            if is_closed.load(Ordering::Relaxed) {
                return (503, "{}".to_owned());
            }
            if after < state.dropped {
                return (410, "{}".to_owned());
            }
            let is_watched = format!(r#""key":"{prefix}"#);
            let (mut events, mut bytes, mut revision) = (Vec::new(), 0, state.revision);
            for event in state.log.iter().filter(|event| event.revision > after && event.json.contains(&is_watched)) {
                bytes += event.json.len();
                if !events.is_empty() && bytes > self.watch_bytes {
                    revision = event.revision - 1;
                    break;
                }
                events.push(&*event.json);
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!(r#"{{"events":[{}],"current_rev":{revision}}}"#, events.join(",")));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Runners

/// What a runner does with a request.
pub enum Act {
    /// Runs it: a sealed response with this body, after this time.
    Run(Duration, Vec<u8>),
    /// Runs it: a sealed stream of so many events, one each gap.
    Stream(u32, Duration),
    /// Resets the connection in place of an answer.
    Reset,
}

/// A request that arrived at a runner.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub target: String,
    pub tenant: String,
    pub runner: String,
    pub service: String,
    /// Whether the runner began to work on it.
    pub has_run: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;
type Decide = Arc<dyn Fn(&Req) -> Act + Send + Sync>;

/// A runner, with its record in the store.
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    store: Store,
    text: String,
    has_exited: Arc<AtomicBool>,
}

static NEXT_RUNNER: AtomicUsize = AtomicUsize::new(1);

impl Runner {
    /// Starts a runner; it writes its record at once, and later only what changes besides the sequence.
    pub fn start(store: &Store, service: &str, zone: &str, slots: u32, arrivals: &Arrivals, decide: Decide) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a runner can't listen");
        let addr = listener.local_addr().unwrap();
        let id = format!("i-{:08x}", NEXT_RUNNER.fetch_add(1, Ordering::Relaxed) * 0x0100_0193);
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
        let text = format!(
            r#""service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"cold_remaining_ms":0,"born":{born}"#
        );
        let has_exited: Arc<AtomicBool> = Arc::default();
        let runner = Runner {
            id: id.clone(),
            addr,
            service: service.to_owned(),
            store: store.clone(),
            text,
            has_exited: has_exited.clone(),
        };
        runner.publish("ready", 1);
        let (arrivals, service) = (arrivals.clone(), service.to_owned());
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                if has_exited.load(Ordering::Relaxed) {
                    reset(&conn);
                    continue;
                }
                let serving = Serving {
                    id: id.clone(),
                    service: service.clone(),
                    arrivals: arrivals.clone(),
                    decide: decide.clone(),
                    has_exited: has_exited.clone(),
                };
                thread::spawn(move || serving.serve(conn));
            }
        });
        runner
    }

    /// The process exits: it breaks off what runs, and resets connections.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::Relaxed);
    }

    pub fn publish(&self, state: &str, sequence: u64) -> u64 {
        let value = format!(r#"{{{},"state":"{state}","sequence":{sequence}}}"#, self.text);
        self.store.put(&format!("servers/{}", self.id), value.as_bytes())
    }
}

struct Serving {
    id: String,
    service: String,
    arrivals: Arrivals,
    decide: Decide,
    has_exited: Arc<AtomicBool>,
}

impl Serving {
    fn serve(self, conn: TcpStream) {
        let _ = conn.set_nodelay(true);
        let Ok(mut out) = conn.try_clone() else { return };
        let mut conn = BufReader::new(conn);
        while let Some(req) = read_request(&mut conn) {
            if self.has_exited.load(Ordering::Relaxed) {
                return reset(&out);
            }
            let attempt = req.header("x-attempt-id").unwrap_or_default().to_owned();
            let is_meant = req.header("x-expect-instance").is_none_or(|id| id == self.id);
            let arrival = Arrival {
                at: Instant::now(),
                attempt: attempt.clone(),
                target: req.target.clone(),
                tenant: req.header("x-tenant").unwrap_or_default().to_owned(),
                runner: self.id.clone(),
                service: self.service.clone(),
                has_run: is_meant,
            };
            self.arrivals.lock().unwrap().push(arrival);
            if !is_meant {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n", self.id);
                if out.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let seal = format!("X-Attempt-Id: {attempt}\r\nX-Response-Seal: seal.{}.{attempt}", self.id);
            let sent = match (self.decide)(&req) {
                Act::Reset => return reset(&out),
                Act::Run(time, body) => {
                    thread::sleep(time);
                    if self.has_exited.load(Ordering::Relaxed) {
                        return reset(&out);
                    }
                    let head = format!("HTTP/1.1 200 OK\r\n{seal}\r\nContent-Length: {}\r\n\r\n", body.len());
                    out.write_all(head.as_bytes()).and_then(|()| out.write_all(&body))
                }
                Act::Stream(count, gap) => send_stream(&mut out, &seal, count, gap, &self.has_exited),
            };
            if sent.is_err() {
                return;
            }
        }
    }
}

fn send_stream(out: &mut TcpStream, seal: &str, count: u32, gap: Duration, has_exited: &AtomicBool) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    out.write_all(head.as_bytes())?;
    for n in 1..=count {
        thread::sleep(gap);
        if has_exited.load(Ordering::Relaxed) {
            reset(out);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    out.write_all(b"0\r\n\r\n")
}

/// Closes a connection with a reset.
fn reset(conn: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // Safety: the descriptor is open, and the value is a C struct of the stated size.
    unsafe { setsockopt(conn.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, std::mem::size_of::<Linger>() as u32) };
}

// ---------------------------------------------------------------------------------------------------------------
// Routers

/// Settings of a small deployment, as the platform fills them in.
pub struct Plan {
    pub memory_mb: u32,
    pub zones: Vec<&'static str>,
    /// Addresses of the store, one for each router; the store's own one for all if there are none.
    pub doors: Vec<SocketAddr>,
}

/// A router process.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// A port that is free for TCP and UDP on all of these addresses.
fn free_port(ips: &[IpAddr]) -> u16 {
    loop {
        let probe = TcpListener::bind((ips[0], 0)).expect("no free port");
        let port = probe.local_addr().unwrap().port();
        let is_free = |ip: &IpAddr| {
            let tcp = *ip == ips[0] || TcpListener::bind((*ip, port)).is_ok();
            tcp && UdpSocket::bind((*ip, port)).is_ok()
        };
        if ips.iter().all(is_free) {
            return port;
        }
    }
}

/// Starts one router for each entry of `plan.zones`, each at a loopback address of its own.
pub fn start_routers(root: &Path, folder: &Path, store: &Store, plan: &Plan) -> Vec<Router> {
    let ip = |n: usize| IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + n as u8));
    let ips: Vec<IpAddr> = (0..plan.zones.len()).map(ip).collect();
    let ports: Vec<u16> = (0..6).map(|_| free_port(&ips)).collect();
    let at = |n: usize, port: usize| SocketAddr::new(ips[n], ports[port]);
    let seeds: Vec<String> = (0..ips.len().min(3)).map(|n| format!("\"{}\"", at(n, 2))).collect();
    let mut routers = Vec::new();
    for (n, zone) in plan.zones.iter().enumerate() {
        let name = format!("edge-{zone}-{}", n + 1);
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "instance: \"{name}\"\nzone: \"{zone}\"\ncallers: \"{}\"\nreadiness: \"{}\"\npeers: \"{}\"\ndigests: \"{}\"\nplacement: \"{}\"\nmetrics: \"{}\"\nseeds: [{}]\nstore: \"{}\"\ndescriptors: 4100\nmemory_mb: {}\nbounds:\n  stop_s: 8\n  beat_ms: 1200\n  apply_ms: 2000\n  regain_ms: 3000\n  repeat_ratio: 0.2\n  repeat_slack: 58\n  repeat_window_s: 10\n",
            at(n, 0), at(n, 1), at(n, 2), at(n, 3), at(n, 4), at(n, 5), seeds.join(","), plan.doors.get(n).unwrap_or(&store.addr), plan.memory_mb
        );
        fs::write(&settings, text).expect("settings can't be written");
        let mut router = Router {
            callers: at(n, 0),
            readiness: at(n, 1),
            log: folder.join(format!("{name}.log")),
            program: root.join("target/release/celerytide-platform"),
            name,
            settings,
            child: None,
        };
        router.start();
        routers.push(router);
    }
    routers
}

impl Router {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("no log");
        let errors = log.try_clone().expect("no log");
        let mut command = Command::new(&self.program);
        command.env_clear().env("CELERYTIDE_BOOT", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        self.child = command.spawn().ok();
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by name, as `kill -NAME`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to end by itself; kills it otherwise.
    pub fn wait(&mut self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if !self.is_running() {
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        false
    }

    pub fn is_ready(&self) -> bool {
        let host = [("Host", self.readiness.to_string())];
        call(self.readiness, "GET", "/-/readyz", &host, b"", Duration::from_secs(1)).status == 200
    }

    /// Resident memory, now and at its peak, in MB.
    pub fn memory_mb(&self) -> (f64, f64) {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let field = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
            let kb: f64 = line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0);
            kb / 1000.0
        };
        (field("VmRSS"), field("VmHWM"))
    }

    /// Lines of its log that contain `part`.
    pub fn log_lines(&self, part: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all routers are ready.
pub fn wait_ready(routers: &[Router], most: Duration) -> bool {
    let until = Instant::now() + most;
    while Instant::now() < until {
        if routers.iter().all(Router::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A temporary folder that is removed at the end.
pub struct Temp(pub PathBuf);

impl Temp {
    pub fn create(name: &str) -> Temp {
        let path = std::env::temp_dir().join(format!("celerytide-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("no temporary folder");
        Temp(path)
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
