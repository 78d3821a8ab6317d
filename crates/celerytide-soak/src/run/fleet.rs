//! The processes of a run, and the effect of faults on them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use celerytide_standin::launch::Signal;
use celerytide_standin::platform::caller::KEY;
use celerytide_standin::platform::{self, Entry, ROUTES, Runner, RunnerMode, START_UNIX_MS, VERSION, Write};
use celerytide_standin::relay;

use super::Options;
use super::callers::Callers;
use super::late_writes::Due;
use crate::check::{Arrival, Fall, REPEAT_RATIO, REPEAT_SLACK, RunnerNotice};
use crate::plan::{self, Fault, RUNNERS};
use crate::testbed::{Addresses, PeerLinks, Router, RunnerLinks, TestBed, eventually};

/// The availability zone that faults take out of service.
const EVACUATED_ZONE: &str = plan::ZONES[1];
/// Timeout from SIGTERM to the exit of a router: `stop_s` in the settings of the test bed, plus one second.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Downtime of the store before it returns from a snapshot.
const STORE_DOWNTIME: Duration = Duration::from_millis(150);
/// Time from the return of the store until the lost writes are repeated.
const REWRITE_DELAY: Duration = Duration::from_millis(500);
/// Milliseconds between two starts of a runner.
const RESTART_MS: u64 = 1000;
/// Routers that the settings of all name as seeds.
const SEEDS: usize = 3;
/// Maximum number of log lines reported, on average over the requests.
const MAX_LINES_PER_REQUEST: usize = 12;

/// Metrics of a coordinator's requests.
const COUNTED: [&str; 2] = ["placement_in_flight", "placement_waiting"];

/// All processes of a run.
pub struct Fleet {
    bed: TestBed,
    routers: Vec<Option<Router>>,
    /// Addresses of each router, also after a restart.
    addresses: Vec<Addresses>,
    runners: Vec<Runner>,
    links: RunnerLinks,
    has_zones: bool,
    peer_links: PeerLinks,
    version: u64,
    /// Start of each runner, in Unix milliseconds.
    start_unix_ms: Vec<u64>,
    /// Whether each runner is published as leaving.
    leaving: Vec<bool>,
    is_zone_out: bool,
    /// State of the store at the start of a restore fault; restored at the end of the fault.
    snapshot: Option<platform::Snapshot>,
    /// Targets of active faults; two faults on the same target don't overlap.
    active_targets: HashSet<Target>,
    routers_started: usize,
    /// Log lines of routers that were replaced.
    logs: Vec<String>,
    /// Time of SIGTERM of each router that is stopping.
    terminated: Vec<Option<Instant>>,
    /// What happens to entries later.
    pub(super) due: Vec<Due>,
}

/// Id of the runner with this index.
pub fn runner_id(index: usize) -> String {
    format!("i{index}")
}

impl Fleet {
    /// Starts all processes and waits until the routers are ready.
    pub fn start(opts: &Options) -> Fleet {
        let routers = opts.routers;
        let mut bed = TestBed::new(&format!("soak-{}", opts.seed));
        bed.repeat_ratio = REPEAT_RATIO;
        bed.repeat_slack = REPEAT_SLACK;
        let runners: Vec<Runner> = (0..RUNNERS)
            .map(|index| Runner::start(&runner_id(index), plan::normal_mode(index)).expect("runner"))
            .collect();
        let runner_addrs: Vec<SocketAddr> = runners.iter().map(|runner| runner.address).collect();
        let links = RunnerLinks::open(&bed.store, &runner_addrs, routers);
        let mut addresses: Vec<Addresses> = (0..routers).map(|_| bed.addresses()).collect();
        let mut fleet = Fleet {
            peer_links: PeerLinks::open(&mut addresses),
            addresses,
            bed,
            routers: Vec::new(),
            runners,
            links,
            has_zones: opts.cuts_off,
            version: 1,
            start_unix_ms: vec![START_UNIX_MS; RUNNERS],
            leaving: vec![false; RUNNERS],
            is_zone_out: false,
            snapshot: None,
            active_targets: HashSet::new(),
            routers_started: 0,
            logs: Vec::new(),
            terminated: vec![None; routers],
            due: Vec::new(),
        };
        (0..RUNNERS).for_each(|index| fleet.publish(index));
        for index in 0..routers {
            let router = fleet.start_router(index);
            fleet.routers.push(Some(router));
        }
        eventually("the routers are ready", || {
            fleet.routers.iter().flatten().all(Router::is_ready)
        });
        fleet
    }

    /// Starts a router, or starts it again at its addresses. The seeds stay, as on the platform.
    fn start_router(&mut self, index: usize) -> Router {
        let seeds: Vec<SocketAddr> = self.addresses.iter().take(SEEDS).map(Addresses::for_peers).collect();
        self.routers_started += 1;
        let name = format!("r{}", self.routers_started);
        self.bed.store_addr = self.links.store_addr(index);
        self.bed.zone = if self.has_zones {
            plan::zone(index)
        } else {
            plan::ZONES[0]
        };
        self.bed.router_at(&name, self.addresses[index], &seeds)
    }

    /// Addresses of the routers for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|at| at.callers).collect()
    }

    /// The next write of a runner's entry, which the store hasn't performed yet.
    pub(super) fn send(&self, index: usize) -> Write {
        self.bed.store.send(&Entry {
            id: &runner_id(index),
            service: if plan::is_engine(index) { "engines" } else { "plain" },
            address: self.runners[index].address,
            zone: plan::zone(index),
            leaving: self.leaving[index],
            born: self.start_unix_ms[index],
            version: VERSION,
        })
    }

    /// Lets the store perform a write.
    pub(super) fn perform(&self, write: &Write) {
        self.bed.store.perform(write);
    }

    pub(super) fn publish(&self, index: usize) {
        self.perform(&self.send(index));
    }

    pub(super) fn delete_entry(&self, index: usize) {
        self.bed.store.delete(&format!("servers/{}", runner_id(index)));
    }

    /// Sets whether a runner leaves, by its next write and its health checks from now on.
    pub(super) fn set_leaving(&mut self, index: usize, leaving: bool) {
        self.leaving[index] = leaving;
        self.runners[index].set_leaving(leaving);
    }

    /// A runner starts again under its id, by its next write.
    pub(super) fn start_again(&mut self, index: usize) {
        self.start_unix_ms[index] += RESTART_MS;
    }

    fn publish_leaving(&mut self, index: usize, leaving: bool) {
        self.set_leaving(index, leaving);
        self.publish(index);
    }

    /// Sets the normal mode of a runner; a runner that announced that it leaves is published as restarted.
    fn restore_runner(&mut self, index: usize, mode: RunnerMode) {
        self.runners[index].set(plan::normal_mode(index));
        if mode == RunnerMode::Leaving {
            self.start_again(index);
            self.publish(index);
        }
    }

    /// Begins a fault; returns false if another fault is active on one of its targets.
    pub fn begin(&mut self, fault: &Fault) -> bool {
        let targets = targets(fault, self.routers.len());
        if targets.iter().any(|target| self.active_targets.contains(target)) {
            return false;
        }
        self.active_targets.extend(targets);
        match fault {
            Fault::Pause(index) => self.signal(*index, Signal::SIGSTOP),
            Fault::Kill(index) => self.signal(*index, Signal::SIGKILL),
            Fault::Hup(index) => self.signal(*index, Signal::SIGHUP),
            Fault::Term(index) => {
                self.terminated[*index] = Some(Instant::now());
                self.signal(*index, Signal::SIGTERM);
            }
            Fault::Runner(index, mode) => self.runners[*index].set(*mode),
            Fault::NameLimit(index, limit) => self.runners[*index].name_limit(Some(*limit)),
            Fault::Link(index, mode) => self.links.set_runner(*index, *mode),
            Fault::CutOff(routers, form) => self.links.cut_off(routers, *form),
            Fault::Store(mode) => self.bed.store.set_mode(*mode),
            Fault::StoreLink(mode) => self.links.set_store(*mode),
            Fault::Leave(index) => self.publish_leaving(*index, true),
            Fault::LateWrite {
                runner,
                departure,
                late,
            } => self.leave_before_late_write(*runner, *departure, *late),
            Fault::Restore => self.snapshot = Some(self.bed.store.snapshot()),
            Fault::Configure => {
                self.version += 3;
                self.bed.store.publish_config(self.version, &ROUTES, &[KEY]);
            }
            Fault::ZoneOut => self.set_zone_out(true),
            Fault::KillAll => (0..self.routers.len()).for_each(|index| self.signal(index, Signal::SIGKILL)),
            Fault::PeerLinks => self.peer_links.cut(),
            Fault::Service { is_engine, mode } => service(*is_engine).for_each(|index| self.runners[index].set(*mode)),
            Fault::Brittle { is_engine } => service(*is_engine).for_each(|index| {
                self.runners[index].set(plan::brittle_mode(*is_engine));
                self.runners[index].set_brittle(Some(plan::BRITTLE));
            }),
            Fault::Silence(index) => self.runners[*index].set_silent(true),
            Fault::Crash(index) => self.runners[*index].crash_on(Some(plan::CRASHING)),
        }
        true
    }

    /// Whether a fault has ended: at `until`, or once the router has exited after SIGTERM.
    pub fn has_ended(&mut self, fault: &Fault, until: Duration, now: Duration) -> bool {
        let Fault::Term(index) = fault else {
            return until <= now;
        };
        let ended = self.routers[*index].as_mut().is_none_or(Router::has_ended);
        let is_overdue = self.terminated[*index].is_some_and(|at| at.elapsed() > STOP_TIMEOUT);
        assert!(
            ended || !is_overdue,
            "router {index} still runs {STOP_TIMEOUT:?} after SIGTERM"
        );
        ended
    }

    /// Ends a fault and restores its target.
    pub fn end(&mut self, fault: &Fault, callers: &Callers) {
        match fault {
            Fault::Pause(index) => self.signal(*index, Signal::SIGCONT),
            Fault::Kill(index) | Fault::Term(index) => self.restart(*index, callers),
            Fault::Hup(_) | Fault::Configure => {}
            Fault::Runner(index, mode) => self.restore_runner(*index, *mode),
            Fault::NameLimit(index, _) => self.runners[*index].name_limit(None),
            Fault::Link(index, _) => self.links.set_runner(*index, relay::Mode::Pass),
            Fault::CutOff(routers, _) => self.links.heal(routers),
            Fault::Store(_) => self.bed.store.set_mode(platform::StoreMode::Serve),
            Fault::StoreLink(_) => self.links.set_store(relay::Mode::Pass),
            Fault::Leave(index) => self.publish_leaving(*index, false),
            Fault::LateWrite { runner, departure, .. } => self.return_after_late_write(*runner, *departure),
            Fault::ZoneOut => self.set_zone_out(false),
            Fault::Restore => self.restore(),
            Fault::KillAll => (0..self.routers.len()).for_each(|index| self.restart(index, callers)),
            Fault::PeerLinks => self.peer_links.heal(),
            Fault::Service { is_engine, .. } => {
                service(*is_engine).for_each(|index| self.runners[index].set(plan::normal_mode(index)));
            }
            Fault::Brittle { is_engine } => service(*is_engine).for_each(|index| {
                self.runners[index].set(plan::normal_mode(index));
                self.runners[index].set_brittle(None);
            }),
            Fault::Silence(index) => self.runners[*index].set_silent(false),
            Fault::Crash(index) => self.runners[*index].crash_on(None),
        }
        for target in targets(fault, self.routers.len()) {
            self.active_targets.remove(&target);
        }
    }

    fn set_zone_out(&mut self, out: bool) {
        self.is_zone_out = out;
        if out {
            self.bed.store.evacuate_zone(EVACUATED_ZONE);
        } else {
            self.bed.store.readmit_zone(EVACUATED_ZONE);
        }
    }

    /// Restores the store from its snapshot, then repeats what was written since.
    fn restore(&mut self) {
        let Some(snapshot) = self.snapshot.take() else {
            return;
        };
        self.bed.store.set_mode(platform::StoreMode::Reset);
        sleep(STORE_DOWNTIME);
        self.bed.store.restore(&snapshot);
        self.bed.store.set_mode(platform::StoreMode::Serve);
        sleep(REWRITE_DELAY);
        (0..RUNNERS).for_each(|index| self.publish(index));
        self.bed.store.publish_config(self.version, &ROUTES, &[KEY]);
        self.set_zone_out(self.is_zone_out);
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(router) = &self.routers[index] {
            router.signal(signal);
        }
    }

    fn restart(&mut self, index: usize, callers: &Callers) {
        if let Some(old) = self.routers[index].take() {
            self.logs.extend(old.lines());
        }
        let new = self.start_router(index);
        callers.note_restart(index);
        self.routers[index] = Some(new);
        self.terminated[index] = None;
    }

    /// Routers that have ended by themselves; each is started again.
    pub fn restart_ended(&mut self, callers: &Callers) -> Vec<usize> {
        let is_signalled = |index: &usize| self.active_targets.contains(&Target::Router(*index));
        let calm: Vec<usize> = (0..self.routers.len()).filter(|index| !is_signalled(index)).collect();
        let mut ended = calm;
        ended.retain(|index| self.routers[*index].as_mut().is_some_and(Router::has_ended));
        ended.iter().for_each(|index| self.restart(*index, callers));
        ended
    }

    /// Arrivals at all runners, in time since `started`.
    pub fn arrivals(&self, started: Instant) -> Vec<Arrival> {
        let of_runner = |(index, runner): (usize, &Runner)| {
            let arrival = move |a: platform::Arrival| Arrival {
                id: a.id,
                runner: runner_id(index),
                at: a.at.saturating_duration_since(started),
                ran: a.ran,
                notice: runner_notice(a.mode),
                limit: a.limit.and_then(|limit| limit.parse().ok()),
                time_left: a.deadline_ms.parse().ok().map(Duration::from_millis),
                head_after: head_after(a.mode),
                ended: a.ended.map(|at| at.saturating_duration_since(started)),
            };
            runner.arrivals().into_iter().map(arrival)
        };
        self.runners.iter().enumerate().flat_map(of_runner).collect()
    }

    /// Falls of all runners, in time since `started`, by time.
    pub fn falls(&self, started: Instant) -> Vec<Fall> {
        let of_runner = |(index, runner): (usize, &Runner)| {
            let fall = move |fall: platform::Fall| Fall {
                runner: runner_id(index),
                at: fall.at.saturating_duration_since(started),
                rejected: fall.rejected,
            };
            runner.falls().into_iter().map(fall)
        };
        let mut falls: Vec<Fall> = self.runners.iter().enumerate().flat_map(of_runner).collect();
        falls.sort_by_key(|fall| fall.at);
        falls
    }

    /// Routers that count requests in flight or waiting as coordinators, with their counts.
    pub fn placements(&self) -> Vec<(usize, u64)> {
        let count = |router: &Router| {
            let counts = COUNTED.iter().filter_map(|key| router.metric(key));
            counts.sum::<u64>()
        };
        let counts = self.routers.iter().enumerate();
        let counts = counts.filter_map(|(index, router)| Some((index, count(router.as_ref()?))));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Log lines of all routers that mention one of the requests.
    pub fn lines_of(&self, ids: &[&str]) -> Vec<String> {
        let running = self.routers.iter().flatten();
        let running = running.flat_map(Router::lines);
        let all = self.logs.iter().cloned().chain(running);
        let matching = all.filter(|line| ids.iter().any(|id| line.contains(&format!("\"{id}\""))));
        matching.take(MAX_LINES_PER_REQUEST * ids.len()).collect()
    }
}

fn runner_notice(mode: RunnerMode) -> RunnerNotice {
    match mode {
        RunnerMode::Leaving => RunnerNotice::Leaves,
        RunnerMode::Paused(seconds) => {
            RunnerNotice::Pauses(seconds.parse().map_or(Duration::ZERO, Duration::from_secs_f64))
        }
        _ => RunnerNotice::Nothing,
    }
}

/// Time until the head of a response in this mode; `None` if the runner sends none.
fn head_after(mode: RunnerMode) -> Option<Duration> {
    match mode {
        RunnerMode::Late(ms) => Some(Duration::from_millis(ms)),
        RunnerMode::Refusing(refusing) => Some(Duration::from_millis(refusing.work_ms)),
        _ => mode.has_own_head().then_some(Duration::ZERO),
    }
}

/// What a fault acts on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Target {
    /// A router process; faults that signal the same router exclude each other.
    Router(usize),
    Runner(usize),
    Rate(usize),
    Silence(usize),
    Link(usize),
    RunnerLinks(usize),
    Entry(usize),
    Store,
    StoreLink,
    Configuration,
    Zone,
    PeerLinks,
}

/// Indices of the runners of a service.
pub fn service(is_engine: bool) -> impl Iterator<Item = usize> {
    (0..RUNNERS).filter(move |index| plan::is_engine(*index) == is_engine)
}

fn targets(fault: &Fault, routers: usize) -> Vec<Target> {
    let target = match fault {
        Fault::KillAll => return (0..routers).map(Target::Router).collect(),
        Fault::Service { is_engine, .. } | Fault::Brittle { is_engine } => {
            return service(*is_engine).map(Target::Runner).collect();
        }
        Fault::CutOff(routers, _) => return routers.iter().copied().map(Target::RunnerLinks).collect(),
        Fault::Pause(index) | Fault::Kill(index) | Fault::Term(index) | Fault::Hup(index) => Target::Router(*index),
        Fault::Runner(index, _) | Fault::Crash(index) => Target::Runner(*index),
        Fault::NameLimit(index, _) => Target::Rate(*index),
        Fault::Silence(index) => Target::Silence(*index),
        Fault::Link(index, _) => Target::Link(*index),
        Fault::Leave(index) | Fault::LateWrite { runner: index, .. } => Target::Entry(*index),
        Fault::Store(_) | Fault::Restore => Target::Store,
        Fault::StoreLink(_) => Target::StoreLink,
        Fault::Configure => Target::Configuration,
        Fault::ZoneOut => Target::Zone,
        Fault::PeerLinks => Target::PeerLinks,
    };
    vec![target]
}
