//! What happens in a run, drawn from its seed.

use std::time::Duration;

use celerytide_standin::platform::{Endless, RunnerMode, StoreMode};
use celerytide_standin::relay::Mode as RelayMode;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Routers of a run.
pub const ROUTERS: usize = 4;
/// Runners of a run: the first half answers plain calls, the second half streams.
pub const RUNNERS: usize = 8;
/// Time at the start without faults.
const CALM: Duration = Duration::from_millis(600);
/// Time between two faults at most; they last for longer and overlap.
const MOST_GAP_MS: u64 = 500;
/// Least and most time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 150..1800;

/// What a fault does.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A router is stopped by SIGSTOP and goes on after the time.
    Pause(usize),
    /// A router is killed and started again after the time.
    Kill(usize),
    /// A router gets SIGTERM and is started again once it has ended.
    Term(usize),
    /// A router gets SIGHUP.
    Hup(usize),
    /// A runner answers in another way.
    Runner(usize, RunnerMode),
    /// Connections to a runner are treated in another way.
    Link(usize, RelayMode),
    /// The store answers in another way.
    Store(StoreMode),
    /// Connections to the store are treated in another way.
    StoreLink(RelayMode),
    /// After the time the store is away for a moment and comes back as it was at its start.
    Restore,
    /// A runner says that it leaves, and is ready again after the time.
    Leave(usize),
    /// A new version of the configuration.
    Configure,
    /// An availability zone is out for the time.
    ZoneOut,
}

/// A fault in its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// From the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it does.
    pub fault: Fault,
}

/// The steps of a run of `length`.
pub fn draw(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = CALM;
    let mut steps = Vec::new();
    while at < length {
        steps.push(Step {
            at,
            lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
            fault: fault(&mut rng),
        });
        at += Duration::from_millis(rng.random_range(0..MOST_GAP_MS));
    }
    steps
}

fn fault(rng: &mut StdRng) -> Fault {
    let router = rng.random_range(0..ROUTERS);
    let runner = rng.random_range(0..RUNNERS);
    match rng.random_range(0..15) {
        0 => Fault::Pause(router),
        1 => Fault::Kill(router),
        2 | 3 => Fault::Term(router),
        4 => Fault::Hup(router),
        5..=7 => Fault::Runner(runner, answer(rng, runner)),
        8 => Fault::Link(runner, link(rng)),
        9 => Fault::Store(store(rng)),
        10 => Fault::StoreLink(link(rng)),
        11 => Fault::Leave(runner),
        12 => Fault::Configure,
        13 => Fault::Restore,
        _ => Fault::ZoneOut,
    }
}

/// Whether a runner is an engine.
pub fn is_engine(runner: usize) -> bool {
    runner >= RUNNERS / 2
}

/// How a runner answers when all is well.
pub fn calm(runner: usize) -> RunnerMode {
    if is_engine(runner) {
        RunnerMode::Events {
            all: EVENTS,
            cut: 0,
            gap_ms: 15,
        }
    } else {
        RunnerMode::Good
    }
}

/// Events of each stream.
pub const EVENTS: u32 = 8;

fn answer(rng: &mut StdRng, runner: usize) -> RunnerMode {
    let cut = RunnerMode::Events {
        all: EVENTS,
        cut: rng.random_range(1..EVENTS),
        gap_ms: 15,
    };
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
        RunnerMode::NotRun,
        RunnerMode::Failed,
        RunnerMode::Garbage,
        RunnerMode::Lost,
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

fn link(rng: &mut StdRng) -> RelayMode {
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

fn store(rng: &mut StdRng) -> StoreMode {
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
