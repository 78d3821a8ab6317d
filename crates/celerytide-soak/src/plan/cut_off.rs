//! Runs in which some routers are cut off from all runners, while callers, the store and the other routers reach them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};

use super::{Fault, Step, WARM_UP, draw};
use crate::testbed::CutForm;

/// Time for which routers are cut off; twice in a run, with a pause between them.
const CUT_TIME: Duration = Duration::from_secs(9);
const PAUSE: Duration = Duration::from_secs(5);
const CUTS: u32 = 2;
/// Keeps their seeds apart from those of other faults.
const CUT_OFF_SEED: u64 = 0xc0_0000_0000;
const FORMS: [CutForm; 3] = [CutForm::Hang, CutForm::Reset, CutForm::LiveOn];

/// Draws the steps of a run in which some routers are cut off twice. Its other faults spare routers and the store, so that
/// all routers count.
pub fn draw_with_cut_off(seed: u64, length: Duration, routers: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ CUT_OFF_SEED);
    let mut steps = draw(seed, length, routers);
    steps.retain(|step| !step.fault.signals_routers() && !step.fault.concerns_store());
    let cuts = (0..CUTS).map(|n| Step {
        at: WARM_UP + (CUT_TIME + PAUSE) * n,
        duration: CUT_TIME,
        fault: Fault::CutOff(
            draw_routers(&mut rng, routers),
            FORMS.choose(&mut rng).copied().unwrap_or(CutForm::Hang),
        ),
    });
    steps.extend(cuts);
    steps.sort_by_key(|step| step.at);
    steps
}

/// One router, up to half of them, or all of one zone.
fn draw_routers(rng: &mut StdRng, routers: usize) -> Vec<usize> {
    let count = match rng.random_range(0..3) {
        0 => 1,
        1 => rng.random_range(1..=(routers / 2).max(1)),
        _ => {
            let zone = rng.random_range(0..super::ZONES.len());
            return (0..routers).filter(|n| n % super::ZONES.len() == zone).collect();
        }
    };
    let mut drawn = (0..routers).choose_multiple(rng, count);
    drawn.sort_unstable();
    drawn
}
