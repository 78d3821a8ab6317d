//! The retry budget over all instances, some of which start again at any moment.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_edge::budget::{RetryBudget, RetryLimits};
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

const SERVICE: &str = "s";
const WINDOW_MS: u64 = 10_000;
const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_millis(WINDOW_MS),
    slack: 58.0,
};
/// Length of a simulation and its steps.
const LENGTH_MS: u64 = 40_000;
const STEP_MS: usize = 50;
/// Random input of a simulation, and seeds from each base seed.
const INPUT_BYTES: u32 = 16 * 1024;
const SEED_STEPS: u64 = 4;
/// Instances that a process knows before others have told it of the rest.
const SEEDS: usize = 4;
/// Time after which it knows all.
const GOSSIP_MS: u64 = 4000;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

/// An instance whose process starts again at some moments; every request fails and would be retried.
struct Instance {
    budget: RetryBudget,
    started: u64,
    /// Times of its starts to come, the last one first.
    starts: Vec<u64>,
}

impl Instance {
    fn draw(u: &mut Unstructured<'_>) -> Result<Instance> {
        let count = u.int_in_range(0..=6)?;
        let mut starts = Vec::new();
        for _ in 0..count {
            starts.push(u.int_in_range(0..=LENGTH_MS)?);
        }
        starts.sort_unstable_by(|a, b| b.cmp(a));
        Ok(Instance {
            budget: RetryBudget::new(LIMITS, at(0)),
            started: 0,
            starts,
        })
    }

    fn start_again(&mut self, now: u64) {
        while self.starts.last().is_some_and(|start| *start <= now) {
            self.starts.pop();
            self.started = now;
            self.budget = RetryBudget::new(LIMITS, at(now));
        }
    }

    fn known(&self, all: usize, now: u64) -> usize {
        if now - self.started < GOSSIP_MS {
            all.min(SEEDS)
        } else {
            all
        }
    }
}

/// Number of times in the window that ends at `end`.
fn count(times: &[u64], end: u64) -> usize {
    times.iter().filter(|at| **at <= end && **at + WINDOW_MS > end).count()
}

/// Guards against: a process that starts again has a fresh budget, counts too few others, or forgets retries before they
/// have left the window.
#[test]
fn retries_of_all_instances_stay_within_the_limit_whoever_starts_again() {
    each_seed(INPUT_BYTES, SEED_STEPS, |u| {
        let all = u.int_in_range(1..=9)?;
        let mut instances = (0..all).map(|_| Instance::draw(u)).collect::<Result<Vec<_>>>()?;
        let most_per_step = u.int_in_range(1..=4)?;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for now in (0..LENGTH_MS).step_by(STEP_MS) {
            for instance in &mut instances {
                instance.start_again(now);
                for _ in 0..u.int_in_range(0..=most_per_step)? {
                    requests.push(now);
                    instance.budget.count_request(SERVICE, at(now));
                    if instance.budget.take(SERVICE, Some(instance.known(all, now)), at(now)) {
                        retries.push(now);
                    }
                }
            }
        }
        for end in retries.iter().copied() {
            let counted = [end, end.saturating_sub(WINDOW_MS / 2), end.saturating_sub(WINDOW_MS)];
            let most = counted.iter().map(|end| count(&requests, *end)).max().unwrap_or(0);
            let allowed = most as f64 * LIMITS.ratio + LIMITS.slack;
            let taken = count(&retries, end);
            assert!(taken as f64 <= allowed, "{taken} retries at {end}, {allowed} allowed");
        }
        Ok(())
    });
}

/// Guards against: a second's retries are forgotten when its first one leaves the window, though its last ones haven't.
#[test]
fn retries_at_the_end_of_a_second_count_for_a_whole_window() {
    let mut budget = RetryBudget::new(LIMITS, at(0));
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now in (0..WINDOW_MS * 4).step_by(STEP_MS) {
        requests.push(now);
        budget.count_request(SERVICE, at(now));
        // Many streams break off at the same moment.
        let fails = now > WINDOW_MS * 2 && (now % 1000 >= 950 || now % WINDOW_MS < 50);
        while fails && budget.take(SERVICE, Some(1), at(now)) {
            retries.push(now);
        }
    }
    for end in retries.iter().copied() {
        let allowed = count(&requests, end) as f64 * LIMITS.ratio + LIMITS.slack;
        let taken = count(&retries, end);
        assert!(taken as f64 <= allowed, "{taken} retries at {end}, {allowed} allowed");
    }
}
