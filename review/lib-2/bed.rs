//! Stand-ins for one case: the platform's store, runners, consumers and the processes of the router.
//!
//! Only the standard library is used. Every address is a loopback address: routers listen on 127.0.77.N with the same
//! ports, as the pages tell it of machines.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Program of the deploy file's `run` line.
const ROUTER: &str = "target/release/celerytide-platform";
/// Key of the only tenant.
pub const KEY: &str = "key-of-tenant-one";
/// Host of all routes.
pub const HOST: &str = "router.example";
/// Exit codes that the issue sets.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Whether the disruption is wanted: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Lines of what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// As [`Record::line`], also on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Items {
    revision: u64,
    values: BTreeMap<String, (u64, String)>,
    /// Revision and JSON of each event.
    log: Vec<(u64, String)>,
}

/// The platform's store: `kv-range` and `kv-watch`, read only for routers.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; routers see it at once.
    pub fn put(&self, key: &str, value: &str) {
        let (items, changed) = &*self.shared;
        let mut items = items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let item = item_json(key, revision, value);
        items.values.insert(key.to_owned(), (revision, value.to_owned()));
        items.log.push((revision, item));
        changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let (items, changed) = &*self.shared;
        let mut items = items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.values.remove(key);
        let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
        items.log.push((revision, event));
        changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let items = self.shared.0.lock().unwrap();
        items.values.get(key).map(|(_, value)| value.clone())
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut input = Input::new();
        let Ok(Some(head)) = input.head(&mut stream) else {
            return;
        };
        let target = head.target.clone();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let body = match path {
            "/-/kv-range" => self.range(&parameter(query, "after")),
            "/-/kv-watch" => {
                let after = parameter(query, "after").parse().unwrap_or(0);
                let wait = parameter(query, "wait_ms").parse().unwrap_or(0);
                self.watch(after, Duration::from_millis(wait))
            }
            _ => return,
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.read(&mut [0; 16]);
    }

    fn range(&self, after: &str) -> String {
        let items = self.shared.0.lock().unwrap();
        let listed = items.values.iter().filter(|(key, _)| key.as_str() > after);
        let listed: Vec<String> = listed.map(|(key, (revision, value))| item_json(key, *revision, value)).collect();
        format!(r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#, listed.join(","), items.revision)
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let (items, changed) = &*self.shared;
        let end = Instant::now() + wait;
        let mut items = items.lock().unwrap();
        while items.revision <= after && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            items = changed.wait_timeout(items, left).unwrap().0;
        }
        let events: Vec<&str> = items.log.iter().filter(|(at, _)| *at > after).map(|(_, e)| e.as_str()).collect();
        format!(r#"{{"events":[{}],"current_rev":{}}}"#, events.join(","), items.revision)
    }
}

fn item_json(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for digit in 0..4 {
            let is_padding = digit > part.len();
            let index = (word >> (18 - 6 * digit)) as usize & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[index]) });
        }
    }
    text
}

/// A parameter of a query; percent-encoded bytes are decoded.
fn parameter(query: &str, name: &str) -> String {
    let value = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    let mut bytes = value.map_or("", |(_, value)| value).bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits: String = bytes.by_ref().take(2).map(char::from).collect();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP

/// A head of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Bytes of a connection that were read and not yet used.
pub struct Input {
    buf: Vec<u8>,
}

impl Input {
    pub fn new() -> Input {
        Input { buf: Vec::new() }
    }

    fn fill(&mut self, stream: &mut TcpStream) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let read = stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..read]);
        Ok(read > 0)
    }

    /// The next head; `None` if the connection ends before one begins.
    pub fn head(&mut self, stream: &mut TcpStream) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if !self.fill(stream)? {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn exactly(&mut self, stream: &mut TcpStream, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill(stream)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// The body after `head`: by its length, or in chunks.
    pub fn body(&mut self, stream: &mut TcpStream, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_none() {
            let length = head.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            return self.exactly(stream, length);
        }
        let mut body = Vec::new();
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                line.extend(self.exactly(stream, 1)?);
            }
            let text = String::from_utf8_lossy(&line).trim().to_owned();
            let length = usize::from_str_radix(&text, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            body.extend(self.exactly(stream, length)?);
            self.exactly(stream, 2)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first: Vec<&str> = lines.next().unwrap_or_default().splitn(3, ' ').collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let word = |index: usize| first.get(index).copied().unwrap_or_default().to_owned();
    Head {
        method: word(0),
        target: word(1),
        status: word(1).parse().unwrap_or(0),
        headers: headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect(),
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Runners

/// A request that a runner began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub at: Instant,
    /// Whether it was cut off by the end of the runner.
    pub is_cut: bool,
}

/// A runner of a plain service: works for a while, then answers with its seal.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    has_ended: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
}

impl Runner {
    pub fn start(id: &str, service: &str, zone: &str, work: Duration) -> io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born: unix_ms(),
            work,
            runs: Arc::default(),
            has_ended: Arc::default(),
            sequence: Arc::default(),
        };
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let runner = serving.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Its entry in the store as its next beat writes it.
    pub fn next_entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Runner { service, address, zone, born, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Ends the process: its connections are closed, its port refuses new ones.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        let mut input = Input::new();
        loop {
            let head = match input.head(&mut stream) {
                Ok(Some(head)) => head,
                Err(error) if is_timeout(&error) && !self.has_ended.load(Ordering::SeqCst) => continue,
                Ok(None) | Err(_) => return,
            };
            let Ok(_) = input.body(&mut stream, &head) else {
                return;
            };
            let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
            if head.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let at = Instant::now();
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run { id: id.clone(), path: head.target.clone(), at, is_cut: false });
                runs.len() - 1
            };
            while at.elapsed() < self.work {
                if self.has_ended.load(Ordering::SeqCst) {
                    self.runs.lock().unwrap()[index].is_cut = true;
                    return;
                }
                sleep(Duration::from_millis(5));
            }
            let body = format!("answer to {id}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

// ---------------------------------------------------------------------------------------------------------------------
// Routers

/// Processes of the router, ended when this is dropped.
pub struct Routers {
    folder: PathBuf,
    pub callers: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    processes: Vec<Child>,
}

impl Routers {
    /// Starts `count` routers on addresses of their own and waits until all are ready.
    pub fn start(count: u8, store: &Store) -> io::Result<Routers> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let ips: Vec<IpAddr> = (1..=count).map(|n| IpAddr::V4(Ipv4Addr::new(127, 0, 77, n))).collect();
        let ports = free_ports(&ips, 6).ok_or(io::ErrorKind::AddrInUse)?;
        let mut routers = Routers {
            folder,
            callers: ips.iter().map(|ip| SocketAddr::new(*ip, ports[0])).collect(),
            readiness: ips.iter().map(|ip| SocketAddr::new(*ip, ports[1])).collect(),
            processes: Vec::new(),
        };
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports[2])).collect();
        for (index, ip) in ips.iter().enumerate() {
            let file = routers.folder.join(format!("settings-{index}.yaml"));
            fs::write(&file, settings(index, *ip, &ports, &seeds.join(","), store.address))?;
            let process = Command::new(ROUTER).env("CELERYTIDE_BOOT", &file).stdout(Stdio::null()).spawn()?;
            routers.processes.push(process);
        }
        let end = Instant::now() + Duration::from_secs(15);
        while !routers.readiness.iter().all(|address| is_ready(*address)) {
            if Instant::now() > end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            sleep(Duration::from_millis(100));
        }
        Ok(routers)
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// `platform/settings.yaml`, filled in with the figures of the pages' example.
fn settings(index: usize, ip: IpAddr, ports: &[u16], seeds: &str, store: SocketAddr) -> String {
    let port = |n: usize| format!("\"{ip}:{}\"", ports[n]);
    format!(
        "instance: \"edge-{index}\"\nzone: \"zone-{}\"\ncallers: {}\nreadiness: {}\npeers: {}\ndigests: {}\nplacement: {}\nmetrics: {}\nseeds: [{seeds}]\nstore: \"{store}\"\ndescriptors: 1024\nmemory_mb: 110\nbounds:\n  stop_s: 8\n  beat_ms: 1200\n  apply_ms: 2000\n  regain_ms: 3000\n  repeat_ratio: 0.2\n  repeat_slack: 58\n  repeat_window_s: 10\n",
        index % 2,
        port(0),
        port(1),
        port(2),
        port(3),
        port(4),
        port(5)
    )
}

/// Ports that are free on all of these addresses, for TCP and UDP.
fn free_ports(ips: &[IpAddr], count: usize) -> Option<Vec<u16>> {
    let first = 20_000 + (unix_ms() % 9_000) as u16;
    let is_free = |port: &u16| {
        ips.iter().all(|ip| TcpListener::bind((*ip, *port)).is_ok() && UdpSocket::bind((*ip, *port)).is_ok())
    };
    let free: Vec<u16> = (first..first + 2_000).filter(is_free).take(count).collect();
    (free.len() == count).then_some(free)
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")?;
        Ok(Input::new().head(&mut stream)?.is_some_and(|head| head.status == 200))
    };
    ask().unwrap_or(false)
}

// ---------------------------------------------------------------------------------------------------------------------
// Consumers

/// The final answer of one request; status 0 if the connection ended without one.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its regular end.
    pub is_whole: bool,
}

/// A consumer with a kept connection to one router.
pub struct Consumer {
    router: SocketAddr,
    connection: Option<(TcpStream, Input)>,
}

impl Consumer {
    pub fn new(router: SocketAddr) -> Consumer {
        Consumer { router, connection: None }
    }

    /// Sends one request and waits for its answer.
    pub fn send(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Answer {
        self.exchange(method, path, id, deadline_ms, body).unwrap_or_default()
    }

    fn exchange(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64, sent: &[u8]) -> io::Result<Answer> {
        let (mut stream, mut input) = match self.connection.take() {
            Some(connection) => connection,
            None => (TcpStream::connect_timeout(&self.router, Duration::from_secs(1))?, Input::new()),
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1000)))?;
        let length = match method {
            "POST" => format!("Content-Length: {}\r\n", sent.len()),
            _ => String::new(),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n{length}\r\n"
        );
        stream.write_all(text.as_bytes())?;
        stream.write_all(sent)?;
        let head = input.head(&mut stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = input.body(&mut stream, &head);
        let closes = head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if body.is_ok() && !closes {
            self.connection = Some((stream, input));
        }
        Ok(Answer { status: head.status, headers: head.headers, is_whole: body.is_ok(), body: body.unwrap_or_default() })
    }
}
