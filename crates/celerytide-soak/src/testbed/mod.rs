//! Test bed: routers as separate processes between stand-ins for the platform's store and runners.

mod peer_links;
mod placement_link;
mod runner_links;

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use celerytide_standin::launch::{Options, Process, Signal, free_addr, sibling_binary};
use celerytide_standin::platform::caller::{self, KEY, Response};
use celerytide_standin::platform::{Entry, ROUTES, Runner, RunnerMode, START_UNIX_MS, Store, VERSION};

pub use peer_links::PeerLinks;
pub use placement_link::PlacementLink;
pub use runner_links::{CutForm, RunnerLinks};

/// Timeout of [`eventually`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Routers with addresses of their own; later ones take the addresses of the first.
const MAX_ROUTERS: u8 = 200;
/// Ratio with which the first requests of a new router may all be retried; the slack is there only some time later.
const RATIO_FOR_FEW: f64 = 50.0;
/// Start of the names of all metrics.
const METRIC_PREFIX: &str = "celerytide_";
/// Limit on open connections and files of a router: `descriptors` in the settings.
pub const DESCRIPTORS: usize = 1000;
/// Name of the router binary.
const ROUTER_BINARY: &str = "celerytide-platform";

/// A store stand-in, and the directory for settings and logs of its routers.
pub struct TestBed {
    /// The store stand-in.
    pub store: Store,
    /// Address at which routers connect to the store.
    pub store_addr: SocketAddr,
    /// Retries in ten seconds that are allowed in addition to the retry ratio: `repeat_slack` in the settings.
    pub repeat_slack: u32,
    /// Retries that are allowed per request: `repeat_ratio` in the settings.
    pub repeat_ratio: f64,
    /// Limit of the operating system on the descriptors of a router process; `None`: inherited.
    pub descriptor_limit: Option<u32>,
    /// Availability zone of the next routers.
    pub zone: &'static str,
    /// Further lines of the settings, each with its line end.
    pub more_settings: String,
    /// UDP port for digests, the same on all routers.
    digest_port: u16,
    /// UDP port for placement, the same on all routers.
    placement_port: u16,
    /// Routers started so far; each has an IP address of its own for other routers.
    routers_started: Cell<u8>,
    dir: PathBuf,
}

/// Addresses of a router, which it has again after a restart.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// Of the readiness check.
    pub readiness: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// Where others reach `peers`, if not there.
    pub advertised: Option<SocketAddr>,
    /// Of the metrics.
    pub metrics: SocketAddr,
    /// For digests, which others send to the same port of each router.
    pub digests: SocketAddr,
    /// For placement, which others send to the same port of each router; `None` leaves the setting out.
    pub placement: Option<SocketAddr>,
}

impl Addresses {
    /// Where other routers reach this one.
    pub fn for_peers(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.peers)
    }
}

/// A router process; killed on drop.
pub struct Router {
    process: Process,
    settings: PathBuf,
    log: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address for other routers.
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
}

/// Test beds that this process has started.
static BEDS: AtomicUsize = AtomicUsize::new(0);

impl TestBed {
    /// Starts a store with version 1 of a configuration with `ROUTES`.
    pub fn new(name: &str) -> TestBed {
        let bed = TestBed::empty(name);
        bed.store.publish_config(1, &ROUTES, &[KEY]);
        bed
    }

    /// Starts an empty store.
    pub fn empty(name: &str) -> TestBed {
        let store = Store::start().expect("store");
        // Several test beds of one process may have the same name.
        let number = BEDS.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("celerytide-{}-{name}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("directory");
        TestBed {
            store_addr: store.address,
            store,
            repeat_slack: 50,
            repeat_ratio: RATIO_FOR_FEW,
            descriptor_limit: None,
            zone: "z1",
            more_settings: String::new(),
            digest_port: free_addr().expect("port").port(),
            placement_port: free_addr().expect("port").port(),
            routers_started: Cell::new(0),
            dir,
        }
    }

    /// Starts a runner and publishes it in zone `z1`.
    pub fn runner(&self, id: &str, service: &str, mode: RunnerMode) -> Runner {
        let runner = Runner::start(id, mode).expect("runner");
        self.store.publish(&Entry {
            id,
            service,
            address: runner.address,
            zone: "z1",
            leaving: false,
            born: START_UNIX_MS,
            version: VERSION,
        });
        runner
    }

    /// Free addresses for a router.
    pub fn addresses(&self) -> Addresses {
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_addr().expect("port"));
        let ip = self.next_ip();
        Addresses {
            callers,
            readiness,
            peers: SocketAddr::new(ip, peers.port()),
            advertised: None,
            metrics,
            digests: SocketAddr::new(ip, self.digest_port),
            placement: Some(SocketAddr::new(ip, self.placement_port)),
        }
    }

    /// Starts a router that joins through `seeds`; doesn't wait until it is ready.
    pub fn router(&self, name: &str, seeds: &[SocketAddr]) -> Router {
        self.router_at(name, self.addresses(), seeds)
    }

    /// Starts a router at these addresses, perhaps once more; doesn't wait until it is ready.
    pub fn router_at(&self, name: &str, at: Addresses, seeds: &[SocketAddr]) -> Router {
        let Addresses {
            callers,
            readiness,
            peers,
            metrics,
            digests,
            ..
        } = at;
        let advertised = at.for_peers();
        let (store, repeat_slack, repeat_ratio) = (self.store_addr, self.repeat_slack, self.repeat_ratio);
        let placement = at
            .placement
            .map_or(String::new(), |addr| format!("placement: \"{addr}\"\n"));
        let (zone, more) = (self.zone, &self.more_settings);
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let seeds = seeds.join(",");
        let settings = format!(
            "instance: {name}\nzone: {zone}\ncallers: \"{callers}\"\nreadiness: \"{readiness}\"\npeers: \"{peers}\"\nadvertised: \"{advertised}\"\nmetrics: \"{metrics}\"\ndigests: \"{digests}\"\n{placement}seeds: [{seeds}]\nstore: \"{store}\"\ndescriptors: {DESCRIPTORS}\n{more}bounds:\n  stop_s: 4\n  apply_ms: 2000\n  regain_ms: 3000\n  repeat_slack: {repeat_slack}\n  repeat_ratio: {repeat_ratio}\n",
        );
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings");
        let log = self.dir.join(format!("{name}.log"));
        let (program, args) = self.command(path.display().to_string());
        let process = Process::start(&Options {
            program,
            args,
            ready_prefix: None,
            log: Some(log.clone()),
            own_group: false,
        });
        Router {
            process: process.expect("router"),
            settings: path,
            log,
            callers,
            readiness,
            peers,
            metrics,
        }
    }

    /// Program and arguments of a router with these settings.
    fn command(&self, settings: String) -> (PathBuf, Vec<String>) {
        let router = sibling_binary(ROUTER_BINARY).expect("router");
        let Some(limit) = self.descriptor_limit else {
            return (router, vec![settings]);
        };
        // The shell sets the limit and becomes the router, which keeps the process id.
        let script = format!("ulimit -n {limit} && exec \"$0\" \"$@\"");
        let args = vec!["-c".to_owned(), script, router.display().to_string(), settings];
        (PathBuf::from("/bin/sh"), args)
    }

    /// Address on the loopback interface for the next router.
    fn next_ip(&self) -> IpAddr {
        let n = self.routers_started.get();
        self.routers_started.set((n + 1) % MAX_ROUTERS);
        IpAddr::from([127, 0, 0, 2 + n])
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
        // A directory that remains in the folder for temporary files does no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Router {
    /// Whether the router reports that it accepts new connections.
    pub fn is_ready(&self) -> bool {
        caller::is_ready(self.readiness)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).expect("signal");
    }

    /// Adds a line to the settings file and has the router read it again.
    pub fn reload_with(&self, line: &str) {
        let settings = std::fs::read_to_string(&self.settings).expect("settings");
        std::fs::write(&self.settings, format!("{settings}{line}\n")).expect("settings");
        self.signal(Signal::SIGHUP);
    }

    /// Peak resident memory of the process in kilobytes.
    pub fn peak_memory_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.process.pid());
        let text = std::fs::read_to_string(path).expect("status");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
        value.and_then(|kb| kb.trim().parse().ok()).expect("peak")
    }

    /// Number of open files and connections of the process.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.pid());
        std::fs::read_dir(path).expect("descriptors").count()
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !self.process.is_running()
    }

    /// Value of a metric, given as in the metrics' text without the prefix of all names; `None` if it is absent.
    pub fn metric(&self, key: &str) -> Option<u64> {
        let text = caller::get(self.metrics, "/metrics", &[]).ok()?.body;
        let value = |line: &str| line.strip_prefix(METRIC_PREFIX)?.strip_prefix(key)?.trim().parse().ok();
        text.lines().find_map(value)
    }

    /// Sends a GET of `path` with the API key and the attempt id.
    pub fn get(&self, path: &str, id: &str) -> Response {
        caller::get(self.callers, path, &caller::headers(id, "3000")).expect("answer")
    }

    /// Sends a POST of `path` with the API key, the attempt id and a body.
    pub fn post(&self, path: &str, id: &str, body: &str) -> Response {
        caller::exchange(self.callers, "POST", path, &caller::headers(id, "4000"), body).expect("answer")
    }

    /// Log lines written so far.
    pub fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).expect("log");
        text.lines().map(str::to_owned).collect()
    }

    /// Whether any log line contains all of `words`.
    pub fn has_log_line(&self, words: &[&str]) -> bool {
        self.lines()
            .iter()
            .any(|line| words.iter().all(|word| line.contains(word)))
    }
}

/// Waits until `condition` is true; panics with `description` after the timeout.
pub fn eventually(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{description}: not within {WAIT_TIMEOUT:?}");
        sleep(POLL_INTERVAL);
    }
}
