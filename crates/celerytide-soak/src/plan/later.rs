//! Faults behind the others, so that those of single runners don't hide them: services refuse a share of their requests, and
//! runners fall silent.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{ENGINE_REFUSING, Fault, PLAIN_REFUSING, RUNNERS, Step};

/// Time from the end of the last fault of a runner.
const PAUSE: Duration = Duration::from_millis(300);
/// Time for which services refuse a share of what they get.
const REFUSING_TIME: Duration = Duration::from_millis(2500);
/// Runners that fall silent in a run.
const SILENCES: usize = 3;
/// Range of the time for which they do, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 700..1400;
/// Keeps their seeds apart from those of other faults.
const LATER_SEED: u64 = 0x1a_0000_0000;

/// Adds faults that begin once no runner is faulty any more.
pub(super) fn add(seed: u64, steps: &mut Vec<Step>) {
    let mut rng = StdRng::seed_from_u64(seed ^ LATER_SEED);
    let of_runners = steps.iter().filter(|step| concerns_runners(&step.fault));
    let last = of_runners.map(|step| step.at + step.duration).max().unwrap_or_default();
    let at = last + PAUSE;
    // One of the services, or both.
    let services = rng.random_range(0..3);
    let refusing = [(false, PLAIN_REFUSING), (true, ENGINE_REFUSING)];
    let drawn = refusing
        .into_iter()
        .zip(0..)
        .filter(|(_, n)| services == *n || services == 2);
    steps.extend(drawn.map(|((is_engine, mode), _)| Step {
        at,
        duration: REFUSING_TIME,
        fault: Fault::Service { is_engine, mode },
    }));
    steps.extend((0..SILENCES).map(|_| Step {
        at: at + REFUSING_TIME.mul_f64(rng.random()),
        duration: Duration::from_millis(rng.random_range(SILENCE_MS)),
        fault: Fault::Silence(rng.random_range(0..RUNNERS)),
    }));
}

fn concerns_runners(fault: &Fault) -> bool {
    matches!(fault, Fault::Runner(..) | Fault::Service { .. } | Fault::Crash(_))
}
