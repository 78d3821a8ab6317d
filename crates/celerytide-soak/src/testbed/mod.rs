//! Routers as processes of their own, between stand-ins of the platform's store and runners.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use celerytide_standin::launch::{Options, Process, Signal, free_addr, sibling_binary};
use celerytide_standin::platform::caller::{self, KEY, Response};
use celerytide_standin::platform::{Entry, ROUTES, Runner, RunnerMode, START_UNIX_MS, Store};

/// Time after which something that was waited for counts as missing.
const PATIENCE: Duration = Duration::from_secs(10);
/// Pause between two looks at it.
const LOOK: Duration = Duration::from_millis(20);
/// The router's program.
const PROGRAM: &str = "celerytide-platform";

/// The store, and routers before it.
pub struct TestBed {
    /// The store.
    pub store: Store,
    /// Where routers reach it.
    pub store_at: SocketAddr,
    /// Repeats in ten seconds beyond the ratio.
    pub repeat_slack: u32,
    dir: PathBuf,
}

/// A router process; ended when it is dropped.
pub struct Router {
    process: Process,
    log: PathBuf,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
    /// Where other routers connect.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
}

impl TestBed {
    /// A store with a configuration of `ROUTES`, version 1.
    pub fn new(name: &str) -> TestBed {
        let bed = TestBed::empty(name);
        bed.store.publish_config(1, &ROUTES, &[KEY]);
        bed
    }

    /// A store without anything.
    pub fn empty(name: &str) -> TestBed {
        let store = Store::start().expect("store");
        let dir = std::env::temp_dir().join(format!("celerytide-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("directory");
        TestBed {
            store_at: store.address,
            store,
            repeat_slack: 50,
            dir,
        }
    }

    /// Starts a runner and publishes it.
    pub fn runner(&self, id: &str, service: &str, answer: RunnerMode) -> Runner {
        let runner = Runner::start(id, answer).expect("runner");
        self.store.publish(&Entry {
            id,
            service,
            address: runner.address,
            zone: "z1",
            leaving: false,
            born: START_UNIX_MS,
        });
        runner
    }

    /// Starts a router.
    pub fn router(&self, name: &str, seeds: &[SocketAddr]) -> Router {
        let [callers, readiness, peers, metrics, digests] = [(); 5].map(|()| free_addr().expect("port"));
        let (store, repeat_slack) = (self.store_at, self.repeat_slack);
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let seeds = seeds.join(",");
        let settings = format!(
            "instance: {name}\nzone: z1\ncallers: \"{callers}\"\nreadiness: \"{readiness}\"\npeers: \"{peers}\"\nmetrics: \"{metrics}\"\ndigests: \"{digests}\"\nseeds: [{seeds}]\nstore: \"{store}\"\ndescriptors: 1000\nbounds:\n  stop_s: 4\n  apply_ms: 2000\n  regain_ms: 3000\n  repeat_slack: {repeat_slack}\n",
        );
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings");
        let log = self.dir.join(format!("{name}.log"));
        let process = Process::start(&Options {
            program: sibling_binary(PROGRAM).expect("router"),
            args: vec![path.display().to_string()],
            ready_prefix: None,
            log: Some(log.clone()),
            own_group: false,
        });
        Router {
            process: process.expect("router"),
            log,
            callers,
            readiness,
            peers,
            metrics,
        }
    }

    /// Starts a router and waits until it is ready.
    pub fn ready_router(&self, name: &str, seeds: &[SocketAddr]) -> Router {
        let router = self.router(name, seeds);
        eventually("the router is ready", || router.is_ready());
        router
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        // What is left in the folder for temporary files harms nobody.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Router {
    /// Whether new connections may come.
    pub fn is_ready(&self) -> bool {
        caller::is_ready(self.readiness)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).expect("signal");
    }

    /// Kilobytes that the process has had in memory at most.
    pub fn peak_memory_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.process.pid());
        let text = std::fs::read_to_string(path).expect("status");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
        value.and_then(|kb| kb.trim().parse().ok()).expect("peak")
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !self.process.is_running()
    }

    /// A GET of `path` with the key and the id.
    pub fn get(&self, path: &str, id: &str) -> Response {
        caller::get(self.callers, path, &caller::headers(id, "3000")).expect("answer")
    }

    /// A POST of `path` with a body.
    pub fn post(&self, path: &str, id: &str, body: &str) -> Response {
        caller::exchange(self.callers, "POST", path, &caller::headers(id, "4000"), body).expect("answer")
    }

    /// What it logged so far.
    pub fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).expect("log");
        text.lines().map(str::to_owned).collect()
    }

    /// Whether a log line holds all of `words`.
    pub fn has_log_line(&self, words: &[&str]) -> bool {
        self.lines()
            .iter()
            .any(|line| words.iter().all(|word| line.contains(word)))
    }
}

/// Waits until `holds` does.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what}: not within {PATIENCE:?}");
        sleep(LOOK);
    }
}
