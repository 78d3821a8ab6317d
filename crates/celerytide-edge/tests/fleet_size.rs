//! Among how many instances a bound on all is divided, while a fleet that starts is cut in two.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_edge::peers::Members;
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

/// Random input of a simulation, and seeds from each base seed.
const INPUT_BYTES: u32 = 4 * 1024;
const SEED_STEPS: u64 = 1;
/// Interval of gossip.
const STEP: Duration = Duration::from_secs(1);
/// Steps of the cut, and steps after it.
const CUT_STEPS: u32 = 30;
const HEALED_STEPS: u32 = 60;
/// Parts of an allowance that all may take together: a quarter of it is in reserve.
const MAX_PARTS: f64 = 4.0 / 3.0;

fn at(step: u32) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + STEP * step)
}

/// Instances that have just started, in two parts.
struct Fleet {
    members: HashMap<SocketAddr, Members>,
    part: HashMap<SocketAddr, bool>,
    /// By how much each divides in the end: one of the seeds may be gone for good.
    divisor: usize,
}

impl Fleet {
    fn draw(u: &mut Unstructured<'_>) -> Result<Fleet> {
        let count = u.int_in_range(2..=60_u8)?;
        let all: Vec<SocketAddr> = (1..=count).map(|n| SocketAddr::from(([10, 1, 0, n], 8229))).collect();
        let mut seeds = all[..usize::from(u.int_in_range(1..=count.min(4))?)].to_vec();
        let known = seeds.len();
        if u.ratio(1, 3)? {
            seeds.push(SocketAddr::from(([10, 1, 1, 1], 8229)));
        }
        let mut part = HashMap::new();
        for own in &all {
            part.insert(*own, u.ratio(1, 2)?);
        }
        let members = all
            .iter()
            .map(|own| (*own, Members::new(*own, &seeds, at(0))))
            .collect();
        // The one that is gone counts as an instance.
        let size = all.len() + seeds.len() - known;
        let divisor = (size * seeds.len()).div_ceil(known);
        Ok(Fleet { members, part, divisor })
    }

    fn gossip(&mut self, now: BootTime, is_cut: bool) {
        let all: Vec<SocketAddr> = self.members.keys().copied().collect();
        for own in all {
            let peer = self.members[&own].choose_peer(now);
            let reaches = |peer: &SocketAddr| {
                self.part
                    .get(peer)
                    .is_some_and(|part| !is_cut || *part == self.part[&own])
            };
            let Some(peer) = peer.filter(reaches) else {
                continue;
            };
            let request = self.members[&own].entries_for_peer(now);
            let callee = self.members.get_mut(&peer).expect("peer");
            callee.merge(&request, now);
            callee.record_contact(own, now);
            let reply = callee.entries_for_peer(now);
            self.members.get_mut(&own).expect("own").merge(&reply, now);
        }
    }

    /// Parts of an allowance that all take together.
    fn parts(&self, now: BootTime) -> f64 {
        let sizes = self.members.values().filter_map(|m| m.allowance_divisor(now));
        sizes.map(|size| 1.0 / size as f64).sum()
    }

    /// Whether each takes its part.
    fn is_whole(&self, now: BootTime) -> bool {
        self.members
            .values()
            .all(|m| m.allowance_divisor(now) == Some(self.divisor))
    }
}

/// Guards against: each half of a fleet that starts cut in two divides the allowance of all by its half and the seeds.
#[test]
fn halves_that_start_cut_off_take_no_more_than_one_allowance() {
    each_seed(INPUT_BYTES, SEED_STEPS, |u| {
        let mut fleet = Fleet::draw(u)?;
        let count = fleet.members.len();
        // Time to hear of each other: a process has no part of the allowance for ten seconds.
        (0..10).for_each(|step| fleet.gossip(at(step), true));
        for step in 10..CUT_STEPS + HEALED_STEPS {
            let is_cut = step < CUT_STEPS;
            fleet.gossip(at(step), is_cut);
            let parts = fleet.parts(at(step));
            assert!(
                parts <= MAX_PARTS,
                "{count} instances, step {step}: {parts:.2} allowances"
            );
        }
        assert!(
            fleet.is_whole(at(CUT_STEPS + HEALED_STEPS)),
            "all {count} take their part in the end"
        );
        Ok(())
    });
}

/// An instance whose only peer was gone for good took its part of the largest fleet without end, and no allowance.
#[test]
fn a_lone_instance_is_one_of_the_largest_fleet_for_ever() {
    let seeds = [1, 2].map(|n| SocketAddr::from(([10, 0, 0, n], 7000)));
    let members = Members::new(seeds[0], &seeds, BootTime::from_start(Duration::ZERO));
    let at = |s| BootTime::from_start(Duration::from_secs(s));
    assert_eq!(members.allowance_divisor(at(3599)), None);
    assert!(members.rate_share(at(3599)) < 0.01);
    assert_eq!(members.allowance_divisor(at(3600)), Some(2));
    assert!(members.rate_share(at(3600)) >= 0.5);
}
