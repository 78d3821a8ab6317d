//! Stand-ins for the platform's store, runners and consumers, and the start of the project's program as the deploy file
//! and the template of its settings say. Standard library only; each case includes this file as a module.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const RLIMIT_NOFILE: i32 = 7;
const PR_SET_PDEATHSIG: i32 = 1;

/// What the configuration of every case has: these keys and limits, as on the users' pages (`fleetbench wire`).
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
/// A second tenant and its key.
pub const OTHER_TENANT: &str = "tami221";
pub const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";
pub const HOST: &str = "ficu95.example";
pub const MAX_BODY_BYTES: usize = 4_194_304;
pub const IDLE_TIMEOUT_MS: u64 = 15_000;
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- record

/// `record.txt`: what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(dir: &Path) -> Record {
        let file = File::create(dir.join("record.txt")).unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.now_ms());
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ends the case with status 2: it couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    std::process::exit(2);
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or("")
    }
}

fn bad(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head; an error if the connection ends before it is whole.
pub fn read_head(conn: &mut impl BufRead) -> std::io::Result<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line)? == 0 {
            return Err(bad("closed"));
        }
        let line = line.trim_end_matches(['\r', '\n']).to_owned();
        if line.is_empty() && !lines.is_empty() {
            break;
        }
        if !line.is_empty() {
            lines.push(line);
        }
    }
    let mut lines = lines.into_iter();
    let start = lines.next().unwrap_or_default();
    let headers = lines.filter_map(|l| l.split_once(':').map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())));
    Ok(Message { start, headers: headers.collect(), body: Vec::new() })
}

/// Reads a message with its body; a response without a length ends with its connection.
pub fn read_message(conn: &mut impl BufRead, is_response: bool) -> std::io::Result<Message> {
    let mut message = read_head(conn)?;
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        while let Some(chunk) = read_chunk(conn)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| bad("length"))?;
        message.body.resize(length, 0);
        conn.read_exact(&mut message.body)?;
    } else if is_response {
        conn.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

/// The next chunk of a chunked body; `None` at its regular end.
pub fn read_chunk(conn: &mut impl BufRead) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if conn.read_line(&mut line)? == 0 {
        return Err(bad("closed inside a chunked body"));
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("chunk size"))?;
    let mut data = vec![0; size + 2];
    conn.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

pub fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    conn.set_nodelay(true)?;
    conn.set_read_timeout(Some(Duration::from_secs(30)))?;
    conn.set_write_timeout(Some(Duration::from_secs(30)))?;
    Ok(conn)
}

/// A consumer's request as bytes.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, extra: &str, body: &[u8]) -> Vec<u8> {
    request_as(KEY, method, path, id, deadline_ms, extra, body)
}

/// The same with this key.
pub fn request_as(
    key: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &[u8],
) -> Vec<u8> {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nApi-Key: {key}\r\n{extra}{length}\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the whole response.
pub fn exchange(addr: SocketAddr, bytes: &[u8]) -> std::io::Result<Message> {
    let mut conn = connect(addr)?;
    conn.write_all(bytes)?;
    read_message(&mut BufReader::new(conn), true)
}

pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + NEXT.fetch_add(1, Ordering::Relaxed))
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Key, value (none: deleted) and revision of each change.
    log: Vec<(String, Option<Vec<u8>>, u64)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Store {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&format!("store: {e}")));
        let address = listener.local_addr().unwrap();
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 100;
        let served = state.clone();
        spawn(move || {
            for conn in listener.incoming().flatten() {
                let state = served.clone();
                spawn(move || serve_store(&state, conn));
            }
        });
        Store { address, state }
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value.as_bytes().to_vec(), revision));
        state.log.push((key.to_owned(), Some(value.as_bytes().to_vec()), revision));
        self.state.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.log.push((key.to_owned(), None, revision));
        self.state.1.notify_all();
    }
}

fn serve_store(state: &(Mutex<StoreState>, Condvar), conn: TcpStream) {
    let _ = conn.set_nodelay(true);
    let Ok(mut out) = conn.try_clone() else { return };
    let mut conn = BufReader::new(conn);
    while let Ok(req) = read_message(&mut conn, false) {
        let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
        let param = |name: &str| {
            let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
            decode_percent(pair.map_or("", |(_, v)| v))
        };
        let (status, body) = match path {
            "/-/kv-range" => ("200 OK", range(&state.0.lock().unwrap(), &param("path_prefix"), &param("after"))),
            "/-/kv-watch" => {
                let wait = ms(param("wait_ms").parse().unwrap_or(0).min(30_000));
                let after = param("after").parse().unwrap_or(0);
                ("200 OK", watch(state, &param("path_prefix"), after, wait))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
        if out.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn range(state: &StoreState, prefix: &str, after: &str) -> String {
    let items = state.items.iter().filter(|(k, _)| k.starts_with(prefix) && (after.is_empty() || k.as_str() > after));
    let items: Vec<String> = items.map(|(k, (v, rev))| item_json(k, v, *rev)).collect();
    format!(r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#, items.join(","), state.revision)
}

fn item_json(key: &str, value: &[u8], revision: u64) -> String {
    format!(r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#, base64(value))
}

fn watch(state: &(Mutex<StoreState>, Condvar), prefix: &str, after: u64, wait: Duration) -> String {
    let until = Instant::now() + wait;
    let mut guard = state.0.lock().unwrap();
    loop {
        let events = guard.log.iter().filter(|(k, _, rev)| *rev > after && k.starts_with(prefix));
        let events: Vec<String> = events
            .map(|(k, v, rev)| match v {
                Some(v) => item_json(k, v, *rev),
                None => format!(r#"{{"key":"{k}","revision":{rev},"deleted":true}}"#),
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return format!(r#"{{"events":[{}],"current_rev":{}}}"#, events.join(","), guard.revision);
        }
        guard = state.1.wait_timeout(guard, left).unwrap().0;
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let code = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok())).flatten();
        out.push(code.unwrap_or(bytes[i]));
        i += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- configuration and runners

/// A route of the configuration; its path prefix is its name between two slashes.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
    pub resumable: bool,
}

/// Writes `op/config`; services whose name begins with `llm` have engines.
pub fn put_config(store: &Store, version: u64, routes: &[Route]) {
    let route = |r: &Route| {
        format!(
            r#"{{"name":"r-{n}","host":"{HOST}","path_prefix":"/{n}/","kind":"{}","timeout_ms":{},"target_latency_ms":300,"priority":1,"service":"{}","max_attempts":{},"anonymous":false,"sticky":{},"resumable":{}{}}}"#,
            r.kind,
            r.timeout_ms,
            r.service,
            r.max_attempts,
            r.kind == "streaming",
            r.resumable,
            if r.kind == "streaming" { r#","itl_target_ms":200"# } else { "" },
            n = r.name,
        )
    };
    let mut services: Vec<&str> = routes.iter().map(|r| r.service).collect();
    services.sort_unstable();
    services.dedup();
    let service = |name: &&str| {
        let engine = if name.starts_with("llm") {
            r#","engine":{"slots":128,"kv_capacity":352253,"kv_bytes":35136,"link_mbps":180000.0,"stride":4,"models":[{"name":"m"}]}"#
        } else {
            ""
        };
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_connections":4000,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0{engine}}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    let text = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{MAX_BODY_BYTES},"header_timeout_ms":3000,"idle_timeout_ms":{IDLE_TIMEOUT_MS}}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1}},{{"name":"{OTHER_TENANT}","api_keys":["{OTHER_KEY}"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    );
    store.put("op/config", &text);
}

/// Writes the record of a runner now and every heartbeat, until the returned flag is cleared; then it is removed.
pub fn publish_runner(store: &Store, id: &str, service: &str, address: SocketAddr, slots: u32) -> Arc<AtomicBool> {
    let alive = Arc::new(AtomicBool::new(true));
    let (store, id, service, flag) = (store.clone(), id.to_owned(), service.to_owned(), alive.clone());
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let put = move |sequence: u64| {
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"lima-a","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"stage":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#
        );
        store.put(&format!("servers/{id}"), &text);
    };
    put(1);
    spawn(move || {
        let mut sequence = 1;
        while flag.load(Ordering::Relaxed) {
            sleep(HEARTBEAT);
            sequence += 1;
            if flag.load(Ordering::Relaxed) {
                put(sequence);
            }
        }
    });
    alive
}

/// Head of a sealed response to `id`.
pub fn sealed(status: &str, id: &str, more: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n{more}")
}

/// Starts a runner: `serve` gets each request with its number on its connection, and tells whether the connection stays
/// open. Requests meant for another instance get 421.
pub fn start_runner(
    ip: IpAddr,
    id: &str,
    serve: impl Fn(&Message, usize, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&format!("runner: {e}")));
    let address = listener.local_addr().unwrap();
    let (id, serve) = (id.to_owned(), Arc::new(serve));
    spawn(move || {
        for conn in listener.incoming().flatten() {
            let (id, serve) = (id.clone(), serve.clone());
            spawn(move || {
                let _ = conn.set_nodelay(true);
                let Ok(mut out) = conn.try_clone() else { return };
                let mut conn = BufReader::new(conn);
                let mut number = 0;
                while let Ok(req) = read_message(&mut conn, false) {
                    let is_other = req.header("x-expect-instance").is_some_and(|expected| expected != id);
                    let stays = if is_other {
                        let text = format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                        out.write_all(text.as_bytes()).is_ok()
                    } else {
                        serve(&req, number, &mut out)
                    };
                    number += 1;
                    if !stays {
                        break;
                    }
                }
                let _ = out.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

// ---------------------------------------------------------------- nodes

/// Addresses of a small deployment: each node has an IP address of its own, the ports are the same on all.
pub struct Bed {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub store: Store,
    net: [u8; 3],
    ports: [u16; 5],
    nodes: u8,
}

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    descriptors: u64,
    root: PathBuf,
    child: Mutex<Child>,
    pub starts: AtomicU64,
}

const DESCRIPTORS: u64 = 4100;
/// In the template of the settings.
const METRICS_PORT: u16 = 9464;
pub const MEMORY_MB: u64 = 110;

impl Bed {
    /// `nodes` is how many are going to be started.
    pub fn new(nodes: u8) -> Bed {
        let root = std::env::current_dir().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("celerytide-review-{pid}"));
        std::fs::create_dir_all(&dir).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let net = [127, 1 + (pid % 200) as u8, (pid / 200 % 250) as u8];
        let ip = IpAddr::from([net[0], net[1], net[2], 1]);
        let node_ips: Vec<IpAddr> = (0..nodes).map(|n| IpAddr::from([net[0], net[1], net[2], 10 + n])).collect();
        let ports = free_ports(&node_ips);
        Bed { root, dir, store: Store::start(ip), net, ports, nodes }
    }

    pub fn ip(&self) -> IpAddr {
        IpAddr::from([self.net[0], self.net[1], self.net[2], 1])
    }

    /// Starts node `n` with the command of the deploy file and the settings of the template.
    pub fn node(&self, n: u8) -> Node {
        let ip = Ipv4Addr::new(self.net[0], self.net[1], self.net[2], 10 + n);
        let at = |port: u16| SocketAddr::from((ip, port));
        let name = format!("edge-lima-a-{}", n + 1);
        let seeds: Vec<String> = (0..self.nodes.min(3))
            .map(|n| format!("{}.{}.{}.{}:{}", self.net[0], self.net[1], self.net[2], 10 + n, self.ports[2]))
            .collect();
        let fields = [
            ("node_name", name.clone()),
            ("zone", "lima-a".to_owned()),
            ("ip", ip.to_string()),
            ("listen.frontend", at(self.ports[0]).to_string()),
            ("listen.ready_address", at(self.ports[1]).to_string()),
            ("listen.control|json", format!("\"{}\"", at(self.ports[2]))),
            ("internal_port_range.0", self.ports[3].to_string()),
            ("internal_port_range.1", self.ports[4].to_string()),
            ("platform.address", self.store.address.to_string()),
            ("limits.file_descriptors", DESCRIPTORS.to_string()),
            ("limits.memory_mb", MEMORY_MB.to_string()),
            ("bounds.grace_s", "8".to_owned()),
            ("heartbeat_ms", HEARTBEAT.as_millis().to_string()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.contact_ms", "3000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "58".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
        ];
        let template = std::fs::read_to_string(self.root.join("platform/settings.yaml"));
        let mut text = template.unwrap_or_else(|e| cannot_run(&format!("platform/settings.yaml: {e}")));
        let quoted: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        text = text.replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", &quoted.join(","));
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        if text.contains("{{") {
            cannot_run("the template of the settings has a field that this case doesn't know");
        }
        let settings = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = self.dir.join(format!("{name}.log"));
        let child = launch(&self.root, &settings, &log, DESCRIPTORS);
        Node {
            name,
            callers: at(self.ports[0]),
            readiness: at(self.ports[1]),
            settings,
            log,
            descriptors: DESCRIPTORS,
            root: self.root.clone(),
            child: Mutex::new(child),
            starts: AtomicU64::new(1),
        }
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Five ports that are free on all of `ips`, below the range from which the kernel takes ports of its own accord.
fn free_ports(ips: &[IpAddr]) -> [u16; 5] {
    let is_free = |port: u16| {
        ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok())
    };
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.subsec_nanos());
    let drawn = (0..1000).map(|n| 12_000 + ((u64::from(seed) + n * 7919) % 20_000) as u16);
    let ports: Vec<u16> = drawn.filter(|port| *port != METRICS_PORT && is_free(*port)).take(5).collect();
    ports.try_into().unwrap_or_else(|_| cannot_run("no free ports"))
}

fn launch(root: &Path, settings: &Path, log: &Path, descriptors: u64) -> Child {
    let file = File::options().create(true).append(true).open(log).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut command = Command::new(root.join("target/release/celerytide-platform"));
    command.current_dir(root).env_clear().env("CELERYTIDE_BOOT", settings);
    command.stdin(Stdio::null()).stderr(file.try_clone().unwrap()).stdout(file);
    // The platform's limit on the descriptors of a process; it ends with the thread that started it.
    unsafe {
        command.pre_exec(move || {
            setrlimit(RLIMIT_NOFILE, &[descriptors, descriptors]);
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command.spawn().unwrap_or_else(|e| cannot_run(&format!("target/release/celerytide-platform: {e}")))
}

impl Node {
    pub fn pid(&self) -> i32 {
        self.child.lock().unwrap().id() as i32
    }

    pub fn signal(&self, signal: i32) {
        let mut child = self.child.lock().unwrap();
        if matches!(child.try_wait(), Ok(None)) {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// How the process ended, if it did.
    pub fn ended(&self) -> Option<std::process::ExitStatus> {
        self.child.lock().unwrap().try_wait().ok().flatten()
    }

    /// Starts the process again, as the platform does after its end.
    pub fn restart(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        *child = launch(&self.root, &self.settings, &self.log, self.descriptors);
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    /// One readiness question on a new connection, as the platform asks it.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut conn = TcpStream::connect_timeout(&self.readiness, ms(500))?;
            conn.set_read_timeout(Some(ms(900)))?;
            conn.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            read_message(&mut BufReader::new(conn), true)
        };
        ask().is_ok_and(|answer: Message| answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                let last = log.lines().last().unwrap_or_default();
                cannot_run(&format!("{} doesn't get ready; it wrote last: {last}", self.name));
            }
            sleep(ms(50));
        }
    }

    /// Resident memory in MB.
    pub fn memory_mb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    /// Lines of the process's output that contain `word`.
    pub fn lines_with(&self, word: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|l| l.contains(word)).map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The folder of the case, from the first argument.
pub fn case_dir() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| cannot_run("the folder of the case is missing")))
}
