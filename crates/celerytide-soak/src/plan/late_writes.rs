//! Runners that leave while the store still has to perform a heartbeat of theirs from before.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::{Fault, RUNNERS, START_DELAY, Step};

/// Runners with a late write in a run.
const LATE_WRITES: usize = 3;
/// Range of the time from the departure to the late write in milliseconds: each router has to know of the departure by then.
const LATE_MS: std::ops::Range<u64> = 2200..4000;
/// Time from the late write to the runner's next heartbeat, or to the lapse of a record that nobody renews.
pub const NEXT_HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time from there to the end of the fault.
const REST: Duration = Duration::from_millis(500);
/// Keeps their seeds apart from those of other faults.
const LATE_WRITE_SEED: u64 = 0x1e_0000_0000;

/// How a runner leaves before the late write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It reports that it leaves.
    Reported,
    /// Its entry is deleted.
    Removed,
    /// It starts again under its id, and that start reports that it leaves.
    Restarted,
}

const DEPARTURES: [Departure; 3] = [Departure::Reported, Departure::Removed, Departure::Restarted];

/// Draws the late writes of a run. They have a generator of their own, so that a seed's other faults stay.
pub(super) fn draw_late_writes(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ LATE_WRITE_SEED);
    let latest = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut draw = |_| {
        let late = Duration::from_millis(rng.random_range(LATE_MS));
        Step {
            at: START_DELAY + Duration::from_millis(rng.random_range(0..latest)),
            duration: late + NEXT_HEARTBEAT + REST,
            fault: Fault::LateWrite {
                runner: rng.random_range(0..RUNNERS),
                departure: DEPARTURES.choose(&mut rng).copied().unwrap_or(Departure::Reported),
                late,
            },
        }
    };
    (0..LATE_WRITES).map(&mut draw).collect()
}
