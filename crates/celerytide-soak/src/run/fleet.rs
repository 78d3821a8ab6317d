//! The processes of a run, and what faults do to them.

use std::collections::HashSet;
use std::process::{Child, Command, Stdio};

use celerytide_standin::platform::Runner;
use celerytide_standin::relay;
use nix::sys::signal::Signal;

use super::*;
use crate::bed::{Bed, KEY, ROUTES, Router, eventually, free_ports, program};

/// Lines of a router's log that are shown of one request.
const SHOWN: usize = 12;

/// All processes of a run.
pub struct Fleet {
    bed: Bed,
    routers: Vec<Option<Router>>,
    runners: Vec<Runner>,
    /// Where routers reach each runner.
    links: Vec<SocketAddr>,
    relay: Child,
    control: SocketAddr,
    version: u64,
    /// Faults on, by what they strike: two of a kind on one thing don't overlap.
    taken: HashSet<(u8, usize)>,
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
        let mut bed = Bed::new(&format!("soak-{seed}"));
        let runners: Vec<Runner> = (0..RUNNERS)
            .map(|n| Runner::start(&runner_id(n), plan::calm(n)).expect("runner"))
            .collect();
        let control = free_ports(1)[0];
        let targets = runners.iter().map(|r| r.address).chain([bed.store.address]);
        let mut cmd = Command::new(program("celerytide-standin"));
        cmd.arg("relay").arg("--listen").arg(control.to_string());
        cmd.args(targets.flat_map(|to| ["--to".to_owned(), to.to_string()]));
        let relay = cmd.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("relay");
        let mut links = Vec::new();
        eventually("the relay answers", || {
            links = relay::routes(control).map_or(Vec::new(), |all| all.iter().map(|r| r.listen).collect());
            links.len() == RUNNERS + 1
        });
        bed.store_at = links.pop().expect("the store's route");
        let mut fleet = Fleet {
            bed,
            routers: Vec::new(),
            runners,
            links,
            relay,
            control,
            version: 1,
            taken: HashSet::new(),
            started: 0,
            logs: Vec::new(),
            terminated: vec![None; ROUTERS],
        };
        (0..RUNNERS).for_each(|n| fleet.publish(n, "ready"));
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

    fn publish(&self, n: usize, state: &str) {
        let service = if plan::is_engine(n) { "engines" } else { "plain" };
        let zone = if n.is_multiple_of(2) { "z1" } else { "z2" };
        self.bed.publish_at(self.links[n], &runner_id(n), service, state, zone);
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
            Fault::Leave(n) => self.publish(*n, "draining"),
            Fault::Configure => {
                self.version += 3;
                self.bed.configure(self.version, &ROUTES, &[KEY]);
            }
            Fault::ZoneOut => self.bed.store.put("op/evacuate/z2", b"{}"),
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
    pub fn end(&mut self, fault: &Fault, callers: &callers::Callers) {
        match fault {
            Fault::Pause(n) => self.signal(*n, Signal::SIGCONT),
            Fault::Kill(n) | Fault::Term(n) => self.restart(*n, callers),
            Fault::Hup(_) | Fault::Configure => {}
            Fault::Runner(n, _) => self.runners[*n].set(plan::calm(*n)),
            Fault::Link(n, _) => self.relay(*n, RelayMode::Pass),
            Fault::Store(_) => self.bed.store.set_mode(StoreMode::Serve),
            Fault::StoreLink(_) => self.relay(RUNNERS, RelayMode::Pass),
            Fault::Leave(n) => self.publish(*n, "ready"),
            Fault::ZoneOut => self.bed.store.delete("op/evacuate/z2"),
        }
        self.taken.remove(&target(fault));
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(router) = &self.routers[n] {
            router.signal(signal);
        }
    }

    fn restart(&mut self, n: usize, callers: &callers::Callers) {
        if let Some(old) = self.routers[n].take() {
            self.logs.extend(old.lines.lock().expect("lines").iter().cloned());
        }
        let new = self.router();
        callers.move_to(n, new.callers);
        self.routers[n] = Some(new);
        self.terminated[n] = None;
    }

    fn relay(&self, route: usize, mode: RelayMode) {
        relay::set(self.control, route, &mode).expect("the relay takes a mode");
    }

    /// What reached the runners.
    pub fn arrivals(&self, began: Instant) -> Vec<Arrival> {
        let of_runner = |(n, runner): (usize, &Runner)| {
            let arrival = move |a: celerytide_standin::platform::Arrival| Arrival {
                id: a.id,
                runner: runner_id(n),
                at: a.at.saturating_duration_since(began),
                ran: a.ran,
                goes_on: a.goes_on,
            };
            runner.arrivals().into_iter().map(arrival)
        };
        self.runners.iter().enumerate().flat_map(of_runner).collect()
    }

    /// Log lines that name one of the requests.
    pub fn lines_of(&self, ids: &[&str]) -> Vec<String> {
        let living = self.routers.iter().flatten();
        let living = living.flat_map(|r| r.lines.lock().expect("lines").clone());
        let all = self.logs.iter().cloned().chain(living);
        let about = all.filter(|line| ids.iter().any(|id| line.contains(&format!("\"{id}\""))));
        about.take(SHOWN * ids.len()).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.relay.kill();
        let _ = self.relay.wait();
    }
}

/// What a fault strikes; signals to one router exclude each other.
fn target(fault: &Fault) -> (u8, usize) {
    match fault {
        Fault::Pause(n) | Fault::Kill(n) | Fault::Term(n) | Fault::Hup(n) => (0, *n),
        Fault::Runner(n, _) => (1, *n),
        Fault::Link(n, _) => (2, *n),
        Fault::Leave(n) => (3, *n),
        Fault::Store(_) => (4, 0),
        Fault::StoreLink(_) => (5, 0),
        Fault::Configure => (6, 0),
        Fault::ZoneOut => (7, 0),
    }
}
