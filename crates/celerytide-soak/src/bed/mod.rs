//! Routers as processes of their own, between stand-ins of the platform's store and runners.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use celerytide_standin::platform::{Answer, Runner, Store};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Time after which something that was waited for counts as missing.
const PATIENCE: Duration = Duration::from_secs(10);
/// Host of all routes.
pub const HOST: &str = "app.example";
/// A key of the customer `acme`.
pub const KEY: &str = "key-acme";

/// A route of a bed's configuration.
#[derive(Clone, Copy)]
pub struct Route {
    /// Its name, and its path between two slashes.
    pub name: &'static str,
    /// The platform's word for what may be repeated.
    pub kind: &'static str,
    /// Its service.
    pub service: &'static str,
    /// Most runs.
    pub attempts: u32,
    /// Time for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// A stream may go on at another runner.
    pub resumable: bool,
}

/// Routes `/safe/`, `/once/`, `/stream/` and `/resume/` of every bed.
pub const ROUTES: [Route; 4] = [
    Route {
        name: "safe",
        kind: "safe",
        service: "plain",
        attempts: 2,
        timeout_ms: 1500,
        resumable: false,
    },
    Route {
        name: "once",
        kind: "unsafe",
        service: "plain",
        attempts: 2,
        timeout_ms: 1500,
        resumable: false,
    },
    Route {
        name: "stream",
        kind: "streaming",
        service: "engines",
        attempts: 2,
        timeout_ms: 4000,
        resumable: false,
    },
    Route {
        name: "resume",
        kind: "streaming",
        service: "engines",
        attempts: 2,
        timeout_ms: 4000,
        resumable: true,
    },
];

/// The store, and routers before it.
pub struct Bed {
    /// The store.
    pub store: Store,
    /// Where routers reach it.
    pub store_at: SocketAddr,
    /// Repeats in ten seconds beyond the ratio.
    pub repeats: u32,
    dir: PathBuf,
}

/// A router process; ended when it is dropped.
pub struct Router {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
    /// Where other routers connect.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// What it logged.
    pub lines: Arc<Mutex<Vec<String>>>,
}

/// What a caller got.
#[derive(Debug, Default, Clone)]
pub struct Got {
    /// Status; zero without an answer.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// The body, as far as it came.
    pub body: String,
    /// The body ended properly.
    pub whole: bool,
}

impl Bed {
    /// A store with a configuration of `ROUTES`, version 1.
    pub fn new(name: &str) -> Bed {
        let bed = Bed::empty(name);
        bed.configure(1, &ROUTES, &[KEY]);
        bed
    }

    /// A store without anything.
    pub fn empty(name: &str) -> Bed {
        let store = Store::start().expect("store");
        let dir = std::env::temp_dir().join(format!("celerytide-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("directory");
        Bed {
            store_at: store.address,
            store,
            repeats: 50,
            dir,
        }
    }

    /// Publishes a configuration.
    pub fn configure(&self, version: u64, routes: &[Route], keys: &[&str]) {
        let routes: Vec<String> = routes.iter().map(route).collect();
        let keys: Vec<String> = keys.iter().map(|key| format!("{key:?}")).collect();
        let text = format!(
            r#"{{"version":{version},"routes":[{}],"services":[
            {{"name":"plain","health_path":"/h","cold_start_s":0,"cold_per_s":0}},
            {{"name":"engines","health_path":"/h","cold_start_s":1.5,"cold_per_s":20,"engine":{{"slots":8,"kv_capacity":100000}}}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":5000}},
            "tenants":[{{"name":"acme","api_keys":[{}],"priority":1}}]}}"#,
            routes.join(","),
            keys.join(",")
        );
        self.store.put("op/config", text.as_bytes());
    }

    /// Starts a runner and publishes it.
    pub fn runner(&self, id: &str, service: &str, answer: Answer) -> Runner {
        let runner = Runner::start(id, answer).expect("runner");
        self.publish(&runner, id, service, "ready", "z1");
        runner
    }

    /// Publishes a runner's entry.
    pub fn publish(&self, runner: &Runner, id: &str, service: &str, state: &str, zone: &str) {
        self.publish_at(runner.address, id, service, state, zone);
    }

    /// Publishes an entry with another address than the runner's own.
    pub fn publish_at(&self, address: SocketAddr, id: &str, service: &str, state: &str, zone: &str) {
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":8,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":1700000000000}}"#,
            address
        );
        self.store.put(&format!("servers/{id}"), entry.as_bytes());
    }

    /// Starts a router with further lines in its settings.
    pub fn router(&self, name: &str, seeds: &[SocketAddr]) -> Router {
        let ports: Vec<SocketAddr> = free_ports(5);
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let settings = format!(
            "instance: {name}\nzone: z1\ncallers: \"{}\"\nreadiness: \"{}\"\npeers: \"{}\"\nmetrics: \"{}\"\ndigests: \"{}\"\nseeds: [{}]\nstore: \"{}\"\ndescriptors: 1000\nbounds:\n  stop_s: 4\n  apply_ms: 2000\n  regain_ms: 3000\n  repeat_slack: {}\n",
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[4],
            seeds.join(","),
            self.store_at,
            self.repeats
        );
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings");
        let mut child = Command::new(program("celerytide-platform"))
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("router");
        let out = BufReader::new(child.stdout.take().expect("stdout"));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let kept = lines.clone();
        spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                kept.lock().expect("lines").push(line);
            }
        });
        Router {
            child,
            callers: ports[0],
            readiness: ports[1],
            peers: ports[2],
            metrics: ports[3],
            lines,
        }
    }

    /// Starts a router and waits until it is ready.
    pub fn ready_router(&self, name: &str, seeds: &[SocketAddr]) -> Router {
        let router = self.router(name, seeds);
        eventually("the router is ready", || router.is_ready());
        router
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Router {
    /// Whether new connections may come.
    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/-/readyz", &[]).is_ok_and(|got| got.status == 200)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("signal");
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_some()
    }

    /// A GET of `path` with the key and the id.
    pub fn get(&self, path: &str, id: &str) -> Got {
        get(
            self.callers,
            path,
            &[("api-key", KEY), ("x-attempt-id", id), ("x-deadline-ms", "3000")],
        )
        .expect("answer")
    }

    /// A POST of `path` with a body.
    pub fn post(&self, path: &str, id: &str, body: &str) -> Got {
        let headers = [("api-key", KEY), ("x-attempt-id", id), ("x-deadline-ms", "4000")];
        exchange(self.callers, "POST", path, &headers, body).expect("answer")
    }

    /// Whether a log line holds all of `words`.
    pub fn has_line(&self, words: &[&str]) -> bool {
        let lines = self.lines.lock().expect("lines");
        lines.iter().any(|line| words.iter().all(|word| line.contains(word)))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A program of this workspace, beside the running one or in the folder above it.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("own path");
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{name} isn't built: cargo build --workspace --bins"))
}

/// Waits until `holds` does.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what}: not within {PATIENCE:?}");
        sleep(Duration::from_millis(20));
    }
}

/// A GET on a connection of its own.
pub fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> std::io::Result<Got> {
    exchange(addr, "GET", path, headers, "")
}

/// One request on a connection of its own.
pub fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Got> {
    let mut conn = TcpStream::connect(addr)?;
    conn.set_read_timeout(Some(PATIENCE))?;
    conn.write_all(request(method, path, headers, body).as_bytes())?;
    read_answer(&mut BufReader::new(conn))
}

/// A request's bytes.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text + "\r\n" + body
}

/// Reads one answer, as far as it comes.
pub fn read_answer(conn: &mut BufReader<TcpStream>) -> std::io::Result<Got> {
    let mut got = Got::default();
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line)? == 0 {
            return Ok(got);
        }
        if line == "\r\n" {
            break;
        }
        got.head.push_str(&line.to_lowercase());
    }
    got.status = got.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length = got
        .head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))
        .map(|l| l.trim().to_owned());
    match length.and_then(|l| l.parse::<usize>().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            got.whole = conn.read_exact(&mut body).is_ok();
            got.body = String::from_utf8_lossy(&body).into_owned();
        }
        None => read_chunks(conn, &mut got),
    }
    Ok(got)
}

fn read_chunks(conn: &mut BufReader<TcpStream>, got: &mut Got) {
    loop {
        let mut line = String::new();
        if !matches!(conn.read_line(&mut line), Ok(n) if n > 0) {
            return;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return;
        };
        let mut data = vec![0; size + 2];
        if conn.read_exact(&mut data).is_err() {
            return;
        }
        if size == 0 {
            got.whole = true;
            return;
        }
        got.body.push_str(&String::from_utf8_lossy(&data[..size]));
    }
}

fn route(r: &Route) -> String {
    format!(
        r#"{{"name":"{}","host":"{HOST}","path_prefix":"/{}/","kind":"{}","timeout_ms":{},"target_latency_ms":400,"priority":1,"service":"{}","max_attempts":{},"anonymous":false,"sticky":true,"resumable":{}}}"#,
        r.name, r.name, r.kind, r.timeout_ms, r.service, r.attempts, r.resumable
    )
}

/// Ports below those that the system hands out for calls, so that no caller's port is among them.
const PORTS: std::ops::Range<u32> = 10_000..32_000;
/// Ports between the first ones of two test processes.
const STRIDE: u32 = 211;

/// The next ports that are free for TCP and UDP, never the same twice in one test process.
pub(crate) fn free_ports(count: usize) -> Vec<SocketAddr> {
    static DRAWN: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(STRIDE);
    let draw = || {
        let n = first.wrapping_add(DRAWN.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + n % (PORTS.end - PORTS.start);
        SocketAddr::from(([127, 0, 0, 1], port as u16))
    };
    let free = |addr: &SocketAddr| TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok();
    std::iter::repeat_with(draw).filter(free).take(count).collect()
}
