//! The processes of a run, and what faults do to them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use celerytide_standin::launch::{Process, Signal};
use celerytide_standin::platform::caller::KEY;
use celerytide_standin::platform::{self, Entry, ROUTES, Runner, RunnerMode, START_UNIX_MS};
use celerytide_standin::relay;

use super::callers::Callers;
use crate::check::{Arrival, Said};
use crate::plan::{self, Fault, ROUTERS, RUNNERS};
use crate::testbed::{Router, TestBed, eventually};

/// The availability zone that is taken out at times.
const ZONE_OUT: &str = "z2";
/// Longest time that a router has from SIGTERM to its end: `stop_s` of the bed's settings and a second.
const GRACE: Duration = Duration::from_secs(5);
/// Time for which the store is away before it comes back from a copy, and time until what was lost is written again.
const AWAY: Duration = Duration::from_millis(150);
const AGAIN: Duration = Duration::from_millis(500);
/// Lines of a router's log that are shown of one request.
const SHOWN: usize = 12;

/// All processes of a run.
pub struct Fleet {
    bed: TestBed,
    routers: Vec<Option<Router>>,
    runners: Vec<Runner>,
    /// Where routers reach each runner.
    links: Vec<SocketAddr>,
    relay: Process,
    version: u64,
    /// Start of each runner, in Unix milliseconds.
    born: Vec<u64>,
    /// Runners whose entry says that they leave.
    leaving: Vec<bool>,
    zone_out: bool,
    /// The store as it was when a restore began.
    copy: Option<platform::Snapshot>,
    /// Faults on, by what they strike: two of a kind on one thing don't overlap.
    taken: HashSet<Target>,
    started: usize,
    /// Logs of routers that ended.
    logs: Vec<String>,
    terminated: Vec<Option<Instant>>,
}

/// The id of a runner.
pub fn runner_id(n: usize) -> String {
    format!("i{n}")
}

impl Fleet {
    /// Starts all, and waits until the routers are ready.
    pub fn start(seed: u64) -> Fleet {
        let mut bed = TestBed::new(&format!("soak-{seed}"));
        let runners: Vec<Runner> = (0..RUNNERS)
            .map(|n| Runner::start(&runner_id(n), plan::calm(n)).expect("runner"))
            .collect();
        let targets = runners.iter().map(|r| r.address).chain([bed.store.address]);
        let targets: Vec<String> = targets.map(|to| to.to_string()).collect();
        let args: Vec<&str> = targets.iter().flat_map(|to| ["--to", to.as_str()]).collect();
        let relay = Process::standin("relay", &args).expect("relay");
        let routes = relay::routes(relay.addr()).expect("routes");
        let mut links: Vec<SocketAddr> = routes.iter().map(|route| route.listen).collect();
        bed.store_at = links.pop().expect("the store's route");
        let mut fleet = Fleet {
            bed,
            routers: Vec::new(),
            runners,
            links,
            relay,
            version: 1,
            born: vec![START_UNIX_MS; RUNNERS],
            leaving: vec![false; RUNNERS],
            zone_out: false,
            copy: None,
            taken: HashSet::new(),
            started: 0,
            logs: Vec::new(),
            terminated: vec![None; ROUTERS],
        };
        (0..RUNNERS).for_each(|n| fleet.publish(n));
        for _ in 0..ROUTERS {
            let router = fleet.router();
            fleet.routers.push(Some(router));
        }
        eventually("the routers are ready", || {
            fleet.routers.iter().flatten().all(Router::is_ready)
        });
        fleet
    }

    fn router(&mut self) -> Router {
        let seeds: Vec<SocketAddr> = self.routers.iter().flatten().map(|r| r.peers).collect();
        self.started += 1;
        self.bed.router(&format!("r{}", self.started), &seeds)
    }

    /// Where each router's callers connect.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().flatten().map(|r| r.callers).collect()
    }

    fn publish(&self, n: usize) {
        self.bed.store.publish(&Entry {
            id: &runner_id(n),
            service: if plan::is_engine(n) { "engines" } else { "plain" },
            address: self.links[n],
            zone: if n.is_multiple_of(2) { "z1" } else { ZONE_OUT },
            leaving: self.leaving[n],
            born: self.born[n],
        });
    }

    fn publish_leaving(&mut self, n: usize, leaving: bool) {
        self.leaving[n] = leaving;
        self.publish(n);
    }

    /// A runner answers well again; one that said that it leaves started anew.
    fn cure(&mut self, n: usize, answer: RunnerMode) {
        self.runners[n].set(plan::calm(n));
        if answer == RunnerMode::Leaving {
            self.born[n] += 1000;
            self.publish(n);
        }
    }

    /// Begins a fault; false if its target is struck already.
    pub fn begin(&mut self, fault: &Fault) -> bool {
        if !self.taken.insert(target(fault)) {
            return false;
        }
        match fault {
            Fault::Pause(n) => self.signal(*n, Signal::SIGSTOP),
            Fault::Kill(n) => self.signal(*n, Signal::SIGKILL),
            Fault::Hup(n) => self.signal(*n, Signal::SIGHUP),
            Fault::Term(n) => {
                self.terminated[*n] = Some(Instant::now());
                self.signal(*n, Signal::SIGTERM);
            }
            Fault::Runner(n, answer) => self.runners[*n].set(*answer),
            Fault::Link(n, mode) => self.relay(*n, *mode),
            Fault::Store(mode) => self.bed.store.set_mode(*mode),
            Fault::StoreLink(mode) => self.relay(RUNNERS, *mode),
            Fault::Leave(n) => self.publish_leaving(*n, true),
            Fault::Restore => self.copy = Some(self.bed.store.snapshot()),
            Fault::Configure => {
                self.version += 3;
                self.bed.store.publish_config(self.version, &ROUTES, &[KEY]);
            }
            Fault::ZoneOut => self.set_zone_out(true),
        }
        true
    }

    /// Whether a fault that lasts `until` is over.
    pub fn is_over(&mut self, fault: &Fault, until: Duration, now: Duration) -> bool {
        let Fault::Term(n) = fault else {
            return until <= now;
        };
        let ended = self.routers[*n].as_mut().is_none_or(Router::has_ended);
        let asked = self.terminated[*n].is_some_and(|at| at.elapsed() > GRACE);
        assert!(ended || !asked, "router {n} is there {GRACE:?} after SIGTERM");
        ended
    }

    /// Ends a fault.
    pub fn end(&mut self, fault: &Fault, callers: &Callers) {
        match fault {
            Fault::Pause(n) => self.signal(*n, Signal::SIGCONT),
            Fault::Kill(n) | Fault::Term(n) => self.restart(*n, callers),
            Fault::Hup(_) | Fault::Configure => {}
            Fault::Runner(n, answer) => self.cure(*n, *answer),
            Fault::Link(n, _) => self.relay(*n, relay::Mode::Pass),
            Fault::Store(_) => self.bed.store.set_mode(platform::StoreMode::Serve),
            Fault::StoreLink(_) => self.relay(RUNNERS, relay::Mode::Pass),
            Fault::Leave(n) => self.publish_leaving(*n, false),
            Fault::ZoneOut => self.set_zone_out(false),
            Fault::Restore => self.restore(),
        }
        self.taken.remove(&target(fault));
    }

    fn set_zone_out(&mut self, out: bool) {
        self.zone_out = out;
        if out {
            self.bed.store.evacuate_zone(ZONE_OUT);
        } else {
            self.bed.store.readmit_zone(ZONE_OUT);
        }
    }

    /// The store comes back from its copy; what was written since is written again.
    fn restore(&mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        self.bed.store.set_mode(platform::StoreMode::Reset);
        sleep(AWAY);
        self.bed.store.restore(&copy);
        self.bed.store.set_mode(platform::StoreMode::Serve);
        sleep(AGAIN);
        (0..RUNNERS).for_each(|n| self.publish(n));
        self.bed.store.publish_config(self.version, &ROUTES, &[KEY]);
        self.set_zone_out(self.zone_out);
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(router) = &self.routers[n] {
            router.signal(signal);
        }
    }

    fn restart(&mut self, n: usize, callers: &Callers) {
        if let Some(old) = self.routers[n].take() {
            self.logs.extend(old.lines());
        }
        let new = self.router();
        callers.move_to(n, new.callers);
        self.routers[n] = Some(new);
        self.terminated[n] = None;
    }

    fn relay(&self, route: usize, mode: relay::Mode) {
        relay::set_mode(self.relay.addr(), route, &mode).expect("the relay takes a mode");
    }

    /// What reached the runners.
    pub fn arrivals(&self, began: Instant) -> Vec<Arrival> {
        let of_runner = |(n, runner): (usize, &Runner)| {
            let arrival = move |a: platform::Arrival| Arrival {
                id: a.id,
                runner: runner_id(n),
                at: a.at.saturating_duration_since(began),
                ran: a.ran,
                said: said(a.mode),
            };
            runner.arrivals().into_iter().map(arrival)
        };
        self.runners.iter().enumerate().flat_map(of_runner).collect()
    }

    /// Log lines that name one of the requests.
    pub fn lines_of(&self, ids: &[&str]) -> Vec<String> {
        let living = self.routers.iter().flatten();
        let living = living.flat_map(Router::lines);
        let all = self.logs.iter().cloned().chain(living);
        let about = all.filter(|line| ids.iter().any(|id| line.contains(&format!("\"{id}\""))));
        about.take(SHOWN * ids.len()).collect()
    }
}

fn said(answer: RunnerMode) -> Said {
    match answer {
        RunnerMode::Leaving => Said::Leaves,
        RunnerMode::Paused(seconds) => Said::Pauses(seconds.parse().map_or(Duration::ZERO, Duration::from_secs_f64)),
        _ => Said::Nothing,
    }
}

/// What a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Target {
    /// A router's process: signals to one exclude each other.
    Router(usize),
    Runner(usize),
    Link(usize),
    Entry(usize),
    Store,
    StoreLink,
    Configuration,
    Zone,
}

fn target(fault: &Fault) -> Target {
    match fault {
        Fault::Pause(n) | Fault::Kill(n) | Fault::Term(n) | Fault::Hup(n) => Target::Router(*n),
        Fault::Runner(n, _) => Target::Runner(*n),
        Fault::Link(n, _) => Target::Link(*n),
        Fault::Leave(n) => Target::Entry(*n),
        Fault::Store(_) | Fault::Restore => Target::Store,
        Fault::StoreLink(_) => Target::StoreLink,
        Fault::Configure => Target::Configuration,
        Fault::ZoneOut => Target::Zone,
    }
}
