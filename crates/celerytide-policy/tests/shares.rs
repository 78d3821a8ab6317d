//! Guaranteed shares of slot time. A class with queued requests must get its share whatever the lengths of its own
//! responses and of those of other classes, which a count of grants instead of slot time would not ensure.

mod common;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use celerytide_policy::{ClassPlan, Ended, Options, PermitRequestId, Pool};
use celerytide_types::PermitId;
use common::{at_ms, class, endpoint, enqueue, grant_all, pool, request};

const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 10_000;
const RUN_MS: u64 = 36_000;
/// Start of the measurement. Before it, the first grants fill all slots and the queues build up.
const MEASURE_FROM_MS: u64 = 12_000;
const SEEDS: std::ops::Range<u64> = 0..6;
/// Least part of its share that a class has to get in each window.
const MIN_SHARE_RATIO: f64 = 0.9;

struct ClassLoad {
    name: &'static str,
    tier: u8,
    share: f64,
    /// Longest time for which a response holds a slot.
    hold_ms: u64,
}

struct Simulation {
    pool: Pool,
    loads: Vec<ClassLoad>,
    slots: u32,
    /// Class of each queued request.
    waiting: BTreeMap<PermitRequestId, usize>,
    /// End and class of each permit.
    running: BTreeMap<PermitId, (u64, usize)>,
    /// Slot time by class for each step.
    held: Vec<Vec<u64>>,
}

impl Simulation {
    fn new(slots: u32, loads: Vec<ClassLoad>) -> Simulation {
        let classes = loads.iter().map(|load| ClassPlan {
            first_token: std::time::Duration::from_millis(10 * RUN_MS),
            ..class(load.name, load.tier, load.share)
        });
        let opts = Options {
            cold_min: std::time::Duration::ZERO,
            ..Options::default()
        };
        let endpoints = vec![endpoint("e", slots, slots), endpoint("f", slots, slots)];
        Simulation {
            pool: pool(opts, endpoints, classes.collect()),
            loads,
            slots: 2 * slots,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            held: Vec::new(),
        }
    }

    /// Keeps every class waiting, and draws the time for which each response holds its slot from the range of its
    /// class.
    fn run(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            let ended = self.running.iter().filter(|(_, (end, _))| *end <= now);
            let ended: Vec<PermitId> = ended.map(|(permit, _)| *permit).collect();
            for permit in ended {
                self.running.remove(&permit);
                self.pool.settle(at_ms(now), permit, Ended::Whole { tokens: 10 });
            }
            self.grant(now, u)?;
            let mut held = vec![0; self.loads.len()];
            self.running.values().for_each(|(_, load)| held[*load] += STEP_MS);
            self.held.push(held);
        }
        Ok(())
    }

    fn grant(&mut self, now: u64, u: &mut Unstructured<'_>) -> Result<()> {
        for (at, load) in self.loads.iter().enumerate() {
            let queued = self.waiting.values().filter(|load| **load == at).count();
            for _ in queued..self.slots as usize + 2 {
                let id = enqueue(&mut self.pool, at_ms(now), request(load.name, load.name, 10 * RUN_MS));
                self.waiting.insert(id, at);
            }
        }
        for grant in grant_all(&mut self.pool, at_ms(now)) {
            let load = self.waiting.remove(&grant.req).unwrap_or(0);
            let hold = u.int_in_range(self.loads[load].hold_ms / 2..=self.loads[load].hold_ms)?;
            self.running.insert(grant.permit, (now + hold, load));
        }
        Ok(())
    }

    /// Smallest part of its share that a class got in a window.
    fn least_share_ratio(&self) -> f64 {
        let mut least_share_ratio = f64::INFINITY;
        let steps = (WINDOW_MS / STEP_MS) as usize;
        for window in self.held[(MEASURE_FROM_MS / STEP_MS) as usize..].windows(steps) {
            let total: u64 = window.iter().flatten().sum();
            for (at, load) in self.loads.iter().enumerate().filter(|(_, load)| load.share > 0.0) {
                let own: u64 = window.iter().map(|held| held[at]).sum();
                least_share_ratio = least_share_ratio.min(own as f64 / (total as f64 * load.share));
            }
        }
        least_share_ratio
    }
}

struct ShareCase {
    name: &'static str,
    slots: u32,
    high_ms: u64,
    middle_ms: u64,
    low_ms: u64,
}

#[test]
fn each_share_is_kept_in_slot_time() {
    let cases = [
        ShareCase {
            name: "short low-tier responses under long ones",
            slots: 16,
            high_ms: 4000,
            middle_ms: 400,
            low_ms: 200,
        },
        ShareCase {
            name: "long low-tier responses under short ones",
            slots: 16,
            high_ms: 200,
            middle_ms: 2000,
            low_ms: 1000,
        },
        ShareCase {
            name: "equal lengths",
            slots: 10,
            high_ms: 1000,
            middle_ms: 1000,
            low_ms: 1000,
        },
    ];
    for case in cases {
        for number in SEEDS {
            arbtest(|u| {
                let load = |name, tier, share, hold_ms| ClassLoad {
                    name,
                    tier,
                    share,
                    hold_ms,
                };
                let loads = vec![
                    load("high", 1, 0.1, case.high_ms),
                    load("middle", 2, 0.2, case.middle_ms),
                    load("low", 4, 0.15, case.low_ms),
                ];
                let mut sim = Simulation::new(case.slots, loads);
                sim.run(u)?;
                let least_share_ratio = sim.least_share_ratio();
                assert!(
                    least_share_ratio >= MIN_SHARE_RATIO,
                    "{}: {least_share_ratio:.2} of a share",
                    case.name
                );
                Ok(())
            })
            .seed((number << 32) | 65_536);
        }
    }
}
