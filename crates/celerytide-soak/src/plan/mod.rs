//! The plan of a run: faults with their times, drawn from a seed.

mod brittle;
mod cut_off;
mod late_writes;
mod later;

use std::time::Duration;

use celerytide_standin::platform::{
    Crashing, Endless, FOREIGN_REFUSALS, Refusing, RunnerMode, StoreMode, StreamFraming, TornStream, Trigger,
};
use celerytide_standin::relay::Mode as RelayMode;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::testbed::CutForm;

pub use brittle::{BRITTLE, brittle_mode, draw_with_brittle};
pub use cut_off::draw_with_cut_off;
pub use late_writes::{Departure, NEXT_HEARTBEAT};

/// Number of routers in a run, unless it asks for more.
pub const ROUTERS: usize = 4;
/// Number of runners in a run: the first half serves plain requests, the second half streams.
pub const RUNNERS: usize = 8;
/// Time before the faults in which requests are served: the window of the retry budget, in which a process that has just
/// started has no part of the allowance.
pub const WARM_UP: Duration = Duration::from_millis(10_500);
/// Time for which the links between routers are cut before the faults of a run with a long cut.
pub const LONG_CUT: Duration = Duration::from_secs(44);
/// Time from the end of the warm-up to the first fault.
const START_DELAY: Duration = Duration::from_millis(600);
/// Maximum time between the starts of two faults in milliseconds; faults last longer, so they overlap.
const MAX_GAP_MS: u64 = 500;
/// Range of the duration of a fault in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 150..1800;
/// Time by which a runner is published as leaving for longer: each router has to know it only 2 s later.
const LEAVING_TIME: Duration = Duration::from_millis(2500);

/// Runners that name a rate limit in a run.
const LIMITED_RUNNERS: usize = 3;
/// Range of the time for which they name it, in milliseconds.
const LIMIT_DURATION_MS: std::ops::Range<u64> = 5000..8000;
/// Values that they name.
const LIMITS: [&str; 5] = ["0", "0.4", "1.5", "2", "6"];
/// Keeps the seeds of limits apart from those of other faults.
const LIMIT_SEED: u64 = 0x11_0000_0000;

/// Faults of several processes at once, and of runners whose answers prove nothing, in a run.
const COMPOUND_FAULTS: usize = 5;
/// Range of their duration in milliseconds.
const COMPOUND_DURATION_MS: std::ops::Range<u64> = 300..2500;
/// Keeps their seeds apart from those of other faults.
const COMPOUND_SEED: u64 = 0x57_0000_0000;

/// Availability zones of the runners; those of the routers if some are cut off from all runners.
pub const ZONES: [&str; 2] = ["z1", "z2"];

/// Kinds of runs, which take turns: one spends the retry budget, one has a store without faults, one has all faults.
const RUN_KINDS: u64 = 3;
/// Time for which the plain service fails in a run that spends the retry budget.
const SPENDING_TIME: Duration = Duration::from_secs(9);
/// Times at which all routers are killed, from the beginning of the failures.
const SPENDING_KILLS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(6)];
/// Time for which they are down.
const KILL_TIME: Duration = Duration::from_millis(200);
/// Time for which a crashed runner is down.
const CRASH_TIME: Duration = Duration::from_millis(200);

/// A fault; indices refer to routers or runners.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Pauses a router with SIGSTOP and resumes it at the end.
    Pause(usize),
    /// Kills a router and restarts it at the end.
    Kill(usize),
    /// Sends SIGTERM to a router and restarts it once it has exited.
    Term(usize),
    /// Sends SIGHUP to a router, so that it reads its settings again.
    Hup(usize),
    /// Changes how a runner responds.
    Runner(usize, RunnerMode),
    /// Lets a runner name a rate limit in its responses, as written, until the end.
    NameLimit(usize, &'static str),
    /// Changes how the relay treats connections to a runner.
    Link(usize, RelayMode),
    /// Cuts routers off from all runners.
    CutOff(Vec<usize>, CutForm),
    /// Changes how the store responds.
    Store(StoreMode),
    /// Changes how the relay treats connections to the store.
    StoreLink(RelayMode),
    /// At the end, the store is briefly unavailable and returns in the state that it had when the fault began.
    Restore,
    /// Publishes a runner as leaving, and as available again at the end.
    Leave(usize),
    /// A runner leaves, and the store performs a heartbeat that it sent before only after a time; it is back at the end.
    LateWrite {
        /// The runner.
        runner: usize,
        /// How it leaves.
        departure: Departure,
        /// Time from its departure to the late write.
        late: Duration,
    },
    /// Publishes a new version of the configuration.
    Configure,
    /// Takes an availability zone out of service until the end.
    ZoneOut,
    /// Kills all routers and restarts them at the end.
    KillAll,
    /// Cuts the links between all routers.
    PeerLinks,
    /// Changes how all runners of a service respond: of the engines, or of the plain service.
    Service {
        /// Whether it is the service of the engines.
        is_engine: bool,
        /// How they respond.
        mode: RunnerMode,
    },
    /// The runners of a service are brittle.
    Brittle {
        /// Whether it is the service of the engines.
        is_engine: bool,
    },
    /// A runner falls silent, and goes on at the end.
    Silence(usize),
    /// A runner crashes under each request and listens again soon, until the end.
    Crash(usize),
}

/// A fault with its start and duration.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Start, since the start of the run.
    pub at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// How a runner crashes in [`Fault::Crash`].
pub const CRASHING: Crashing = Crashing {
    trigger: Trigger::Any,
    sends_head: false,
    down: CRASH_TIME,
};

/// Draws the steps of a run in which the links between all routers are cut from the warm-up to the end of the other faults,
/// for longer than [`LONG_CUT`].
pub fn draw_with_cut(seed: u64, length: Duration, routers: usize) -> Vec<Step> {
    let mut steps = draw(seed, length, routers);
    steps.iter_mut().for_each(|step| step.at += LONG_CUT);
    steps.retain(|step| step.fault != Fault::PeerLinks);
    let end = steps.iter().map(|step| step.at + step.duration).max();
    let cut = Step {
        at: WARM_UP,
        duration: end.unwrap_or_default().saturating_sub(WARM_UP),
        fault: Fault::PeerLinks,
    };
    steps.insert(0, cut);
    steps
}

/// Draws the steps of a run with this number of routers; the last one begins before `length` has passed since the warm-up,
/// but for those of a run that spends the retry budget.
pub fn draw(seed: u64, length: Duration, routers: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = START_DELAY;
    let mut steps = Vec::new();
    let mut limits = draw_limits(seed, length);
    while at < length {
        steps.push(Step {
            at,
            duration: Duration::from_millis(rng.random_range(DURATION_MS)),
            fault: draw_fault(&mut rng, routers),
        });
        at += Duration::from_millis(rng.random_range(0..MAX_GAP_MS));
    }
    for step in &mut steps {
        if matches!(step.fault, Fault::Leave(_)) {
            step.duration += LEAVING_TIME;
        }
    }
    steps.append(&mut limits);
    steps.append(&mut draw_compound_faults(seed, length));
    steps.append(&mut late_writes::draw_late_writes(seed, length));
    match seed % RUN_KINDS {
        0 => {
            steps.retain(|step| !step.fault.signals_routers());
            steps.splice(0..0, spending_steps());
        }
        // Faults of the store excuse a router that doesn't know which runners leave.
        1 => steps.retain(|step| !step.fault.concerns_store()),
        _ => {}
    }
    later::add(seed, &mut steps);
    steps.iter_mut().for_each(|step| step.at += WARM_UP);
    steps.sort_by_key(|step| step.at);
    steps
}

/// The plain service fails, and all routers start again twice meanwhile.
fn spending_steps() -> impl Iterator<Item = Step> {
    let failure = Step {
        at: Duration::ZERO,
        duration: SPENDING_TIME,
        fault: Fault::Service {
            is_engine: false,
            mode: RunnerMode::Failed,
        },
    };
    let kill = |at| Step {
        at,
        duration: KILL_TIME,
        fault: Fault::KillAll,
    };
    std::iter::once(failure).chain(SPENDING_KILLS.map(kill))
}

impl Fault {
    /// Whether the store or the way to it is faulty.
    fn concerns_store(&self) -> bool {
        matches!(self, Fault::Store(_) | Fault::StoreLink(_) | Fault::Restore)
    }

    /// Whether routers get a signal.
    fn signals_routers(&self) -> bool {
        matches!(
            self,
            Fault::Pause(_) | Fault::Kill(_) | Fault::Term(_) | Fault::Hup(_) | Fault::KillAll
        )
    }
}

/// Draws the runners that name rate limits. They have a generator of their own, since they last longer than other faults,
/// so that a window with the limit is over before it ends.
fn draw_limits(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ LIMIT_SEED);
    let latest = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut draw = |_| Step {
        at: START_DELAY + Duration::from_millis(rng.random_range(0..latest)),
        duration: Duration::from_millis(rng.random_range(LIMIT_DURATION_MS)),
        fault: Fault::NameLimit(
            rng.random_range(0..RUNNERS),
            LIMITS.choose(&mut rng).copied().unwrap_or("1"),
        ),
    };
    (0..LIMITED_RUNNERS).map(&mut draw).collect()
}

/// Draws faults of several processes at once. They have a generator of their own, so that a seed's other faults stay.
fn draw_compound_faults(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ COMPOUND_SEED);
    let latest = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut draw = |_| Step {
        at: START_DELAY + Duration::from_millis(rng.random_range(0..latest)),
        duration: Duration::from_millis(rng.random_range(COMPOUND_DURATION_MS)),
        fault: draw_compound_fault(&mut rng),
    };
    (0..COMPOUND_FAULTS).map(&mut draw).collect()
}

fn draw_compound_fault(rng: &mut StdRng) -> Fault {
    let failures = [
        RunnerMode::Lost,
        RunnerMode::Failed,
        RunnerMode::NotRun,
        RunnerMode::Garbage,
    ];
    let mode = failures.choose(rng).copied().unwrap_or(RunnerMode::Failed);
    let runner = rng.random_range(0..RUNNERS);
    match rng.random_range(0..9) {
        0 => Fault::KillAll,
        8 => Fault::PeerLinks,
        1..=3 => Fault::Service {
            is_engine: rng.random(),
            mode,
        },
        4 => Fault::Crash(runner),
        _ => Fault::Runner(rng.random_range(0..RUNNERS / 2), draw_unproven_mode(rng)),
    }
}

/// A mode in which responses of a plain runner promise what isn't so, or name numbers out of range.
fn draw_unproven_mode(rng: &mut StdRng) -> RunnerMode {
    let modes = [
        RunnerMode::Unproven("503 Full"),
        RunnerMode::Unproven("429 Full"),
        RunnerMode::Unproven("408 Late"),
        RunnerMode::Trailing(FOREIGN_REFUSALS.choose(rng).copied().unwrap_or_default()),
        RunnerMode::RefusedAgain { names_id: true },
        RunnerMode::RefusedAgain { names_id: false },
        RunnerMode::GoodWith("keep-alive: timeout=9223372036854775807"),
    ];
    modes.choose(rng).copied().unwrap_or(RunnerMode::Failed)
}

fn draw_fault(rng: &mut StdRng, routers: usize) -> Fault {
    let router = rng.random_range(0..routers);
    let runner = rng.random_range(0..RUNNERS);
    match rng.random_range(0..15) {
        0 => Fault::Pause(router),
        1 => Fault::Kill(router),
        2 | 3 => Fault::Term(router),
        4 => Fault::Hup(router),
        5..=7 => Fault::Runner(runner, draw_runner_mode(rng, runner)),
        8 => Fault::Link(runner, draw_link_mode(rng)),
        9 => Fault::Store(draw_store_mode(rng)),
        10 => Fault::StoreLink(draw_link_mode(rng)),
        11 => Fault::Leave(runner),
        12 => Fault::Configure,
        13 => Fault::Restore,
        _ => Fault::ZoneOut,
    }
}

/// Availability zone of the router or runner with this index.
pub fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// Whether a runner serves streams.
pub fn is_engine(runner: usize) -> bool {
    runner >= RUNNERS / 2
}

/// Mode of a runner without a fault.
pub fn normal_mode(runner: usize) -> RunnerMode {
    if is_engine(runner) {
        ENGINE_MODE
    } else {
        RunnerMode::Good
    }
}

/// How the plain runners refuse a share of what they get.
const PLAIN_REFUSING: RunnerMode = RunnerMode::Refusing(Refusing {
    percent: 40,
    work_ms: 60,
    then: &RunnerMode::Good,
});

/// How the engines do.
const ENGINE_REFUSING: RunnerMode = RunnerMode::Refusing(Refusing {
    percent: 40,
    work_ms: 60,
    then: &ENGINE_MODE,
});

/// Mode of an engine without a fault.
const ENGINE_MODE: RunnerMode = RunnerMode::Events {
    all: STREAM_EVENTS,
    cut: 0,
    gap_ms: 15,
};

/// Number of events in each stream.
pub const STREAM_EVENTS: u32 = 8;

/// What delimits a stream that ends inside an event.
const TORN_FRAMINGS: [StreamFraming; 3] = [StreamFraming::Close, StreamFraming::Chunks, StreamFraming::Length];

fn draw_runner_mode(rng: &mut StdRng, runner: usize) -> RunnerMode {
    let cut = RunnerMode::Events {
        all: STREAM_EVENTS,
        cut: rng.random_range(1..STREAM_EVENTS),
        gap_ms: 15,
    };
    let torn = RunnerMode::Torn(TornStream {
        status: 200,
        framing: *TORN_FRAMINGS.choose(rng).unwrap_or(&StreamFraming::Close),
        all: STREAM_EVENTS,
        sent: rng.random_range(0..STREAM_EVENTS),
        rest: "id: 9\ndata: pie",
    });
    let plain = [
        RunnerMode::Late(300),
        RunnerMode::Failed,
        RunnerMode::NotRun,
        RunnerMode::Leaving,
        RunnerMode::Leaving,
        RunnerMode::Paused("1.5"),
        RunnerMode::Paused("1.5"),
        RunnerMode::Misdirected,
        RunnerMode::Unsealed,
        RunnerMode::Truncated,
        RunnerMode::Unframed,
        RunnerMode::Duplicated,
        RunnerMode::Crossed,
        RunnerMode::Garbage,
        RunnerMode::Lost,
        RunnerMode::NoResponse,
        RunnerMode::Endless(Endless::Headers),
        RunnerMode::Endless(Endless::Interim),
        RunnerMode::Endless(Endless::ChunkLine),
        RunnerMode::Endless(Endless::DripHead),
        RunnerMode::Endless(Endless::DripBody),
    ];
    let engine = [
        cut,
        cut,
        cut,
        torn,
        torn,
        RunnerMode::NotRun,
        RunnerMode::Failed,
        RunnerMode::Garbage,
        RunnerMode::Lost,
        RunnerMode::NoResponse,
        RunnerMode::Endless(Endless::Comments),
        RunnerMode::Endless(Endless::Event),
        RunnerMode::Endless(Endless::DripBody),
    ];
    let drawn = if is_engine(runner) {
        engine.choose(rng)
    } else {
        plain.choose(rng)
    };
    drawn.copied().unwrap_or(RunnerMode::Failed)
}

fn draw_link_mode(rng: &mut StdRng) -> RelayMode {
    let modes = [
        RelayMode::Cut { up: true, down: false },
        RelayMode::Cut { up: false, down: true },
        RelayMode::Cut { up: true, down: true },
        RelayMode::Silent,
        RelayMode::Reset,
        RelayMode::Stall,
    ];
    modes.choose(rng).copied().unwrap_or(RelayMode::Reset)
}

fn draw_store_mode(rng: &mut StdRng) -> StoreMode {
    let modes = [
        StoreMode::Busy,
        StoreMode::Silent,
        StoreMode::Reset,
        StoreMode::Slow(300),
        StoreMode::HistoryLost,
        StoreMode::Endless(Endless::Headers),
        StoreMode::Endless(Endless::DripBody),
    ];
    modes.choose(rng).copied().unwrap_or(StoreMode::Busy)
}
