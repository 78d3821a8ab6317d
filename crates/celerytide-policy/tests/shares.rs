//! Guaranteed shares in slot time: a class that waits gets them whatever the lengths of its own and of others' answers.

mod common;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use celerytide_policy::{ClassPlan, Ended, Options, PermitRequestId, Pool};
use celerytide_types::PermitId;
use common::{at_ms, class, endpoint, grants, pool, queue, request};

const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 10_000;
const END_MS: u64 = 36_000;
/// Until then every slot is taken for the first time and the classes wait.
const START_MS: u64 = 12_000;
const SEEDS: std::ops::Range<u64> = 0..6;
/// Part of its share that a class gets in each window.
const KEPT: f64 = 0.9;

struct Lane {
    name: &'static str,
    tier: u8,
    share: f64,
    /// Longest time for which its answers hold a slot.
    hold_ms: u64,
}

struct Load {
    pool: Pool,
    lanes: Vec<Lane>,
    slots: u32,
    /// Class of each request that waits.
    waiting: BTreeMap<PermitRequestId, usize>,
    /// When each permit ends, and its class.
    running: BTreeMap<PermitId, (u64, usize)>,
    /// Slot time by class, for each step.
    held: Vec<Vec<u64>>,
}

impl Load {
    fn new(slots: u32, lanes: Vec<Lane>) -> Load {
        let classes = lanes.iter().map(|lane| ClassPlan {
            first_token: std::time::Duration::from_millis(10 * END_MS),
            ..class(lane.name, lane.tier, lane.share)
        });
        let opts = Options {
            cold_min: std::time::Duration::ZERO,
            ..Options::default()
        };
        let endpoints = vec![endpoint("e", slots, slots), endpoint("f", slots, slots)];
        Load {
            pool: pool(opts, endpoints, classes.collect()),
            lanes,
            slots: 2 * slots,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            held: Vec::new(),
        }
    }

    /// Keeps every class waiting and lets each answer hold its slot for a time drawn from its class's range.
    fn run(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            let ended = self.running.iter().filter(|(_, (end, _))| *end <= now);
            let ended: Vec<PermitId> = ended.map(|(permit, _)| *permit).collect();
            for permit in ended {
                self.running.remove(&permit);
                self.pool.settle(at_ms(now), permit, Ended::Whole { tokens: 10 });
            }
            self.grant(now, u)?;
            let mut held = vec![0; self.lanes.len()];
            self.running.values().for_each(|(_, lane)| held[*lane] += STEP_MS);
            self.held.push(held);
        }
        Ok(())
    }

    fn grant(&mut self, now: u64, u: &mut Unstructured<'_>) -> Result<()> {
        for (at, lane) in self.lanes.iter().enumerate() {
            let queued = self.waiting.values().filter(|lane| **lane == at).count();
            for _ in queued..self.slots as usize + 2 {
                let id = queue(&mut self.pool, at_ms(now), request(lane.name, lane.name, 10 * END_MS));
                self.waiting.insert(id, at);
            }
        }
        for grant in grants(&mut self.pool, at_ms(now)) {
            let lane = self.waiting.remove(&grant.req).unwrap_or(0);
            let hold = u.int_in_range(self.lanes[lane].hold_ms / 2..=self.lanes[lane].hold_ms)?;
            self.running.insert(grant.permit, (now + hold, lane));
        }
        Ok(())
    }

    /// Least part of its share that a class got in a window.
    fn least(&self) -> f64 {
        let mut least = f64::INFINITY;
        let steps = (WINDOW_MS / STEP_MS) as usize;
        for window in self.held[(START_MS / STEP_MS) as usize..].windows(steps) {
            let total: u64 = window.iter().flatten().sum();
            for (at, lane) in self.lanes.iter().enumerate().filter(|(_, lane)| lane.share > 0.0) {
                let own: u64 = window.iter().map(|held| held[at]).sum();
                least = least.min(own as f64 / (total as f64 * lane.share));
            }
        }
        least
    }
}

struct Case {
    name: &'static str,
    slots: u32,
    high_ms: u64,
    middle_ms: u64,
    low_ms: u64,
}

#[test]
fn each_share_is_kept_in_slot_time() {
    let cases = [
        Case {
            name: "short under long",
            slots: 16,
            high_ms: 4000,
            middle_ms: 400,
            low_ms: 200,
        },
        Case {
            name: "long under short",
            slots: 16,
            high_ms: 200,
            middle_ms: 2000,
            low_ms: 1000,
        },
        Case {
            name: "alike",
            slots: 10,
            high_ms: 1000,
            middle_ms: 1000,
            low_ms: 1000,
        },
    ];
    for case in cases {
        for number in SEEDS {
            arbtest(|u| {
                let lane = |name, tier, share, hold_ms| Lane {
                    name,
                    tier,
                    share,
                    hold_ms,
                };
                let lanes = vec![
                    lane("high", 1, 0.1, case.high_ms),
                    lane("middle", 2, 0.2, case.middle_ms),
                    lane("low", 4, 0.15, case.low_ms),
                ];
                let mut load = Load::new(case.slots, lanes);
                load.run(u)?;
                let least = load.least();
                assert!(least >= KEPT, "{}: {least:.2} of a share", case.name);
                Ok(())
            })
            .seed((number << 32) | 65_536);
        }
    }
}
