//! Runs in which the runners of a service are brittle: they refuse what they have no room for, and fall over when that is too
//! much.

use std::time::Duration;

use celerytide_standin::platform::{Brittle, RunnerMode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{Fault, STREAM_EVENTS, Step, WARM_UP, draw};

/// Time for which a service is brittle; one after the other.
const BRITTLE_TIME: Duration = Duration::from_secs(13);
/// Time between them, in which runners that fell over are back.
const PAUSE: Duration = Duration::from_secs(4);
/// Keeps their seeds apart from those of other faults.
const BRITTLE_SEED: u64 = 0xb7_0000_0000;

/// Room of a brittle runner: about as many places in each service as callers have requests there.
pub const BRITTLE: Brittle = Brittle {
    rejections_per_s: 8,
    slots: 8,
    waiting: 1,
};

/// Mode of a brittle runner, whose requests last longer than others.
pub fn brittle_mode(is_engine: bool) -> RunnerMode {
    if is_engine {
        RunnerMode::Events {
            all: STREAM_EVENTS,
            cut: 0,
            gap_ms: 60,
        }
    } else {
        RunnerMode::Late(200)
    }
}

/// Draws the steps of a run in which the services are brittle one after the other. Its other faults spare routers and the
/// store, so that all routers count.
pub fn draw_with_brittle(seed: u64, length: Duration, routers: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ BRITTLE_SEED);
    let mut steps = draw(seed, length, routers);
    steps.retain(|step| !step.fault.signals_routers() && !step.fault.concerns_store());
    let first: bool = rng.random();
    let brittle = [first, !first].into_iter().zip(0..).map(|(is_engine, n)| Step {
        at: WARM_UP + (BRITTLE_TIME + PAUSE) * n,
        duration: BRITTLE_TIME,
        fault: Fault::Brittle { is_engine },
    });
    steps.extend(brittle);
    // Faults that begin at the same time begin in this order, so that a service is brittle for its whole time.
    steps.sort_by_key(|step| (step.at, !matches!(step.fault, Fault::Brittle { .. })));
    steps
}
