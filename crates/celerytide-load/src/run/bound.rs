//! What the stand-in engines could yield for the same arrivals with perfect knowledge: an upper bound on goodput.
//!
//! A request's work is the engine time that it takes in a full batch: its prompt beyond the shared blocks (taken as always
//! cached) at the prefill rate, and its answer, whose length follows from its id, at a full batch's time per token. It may be done
//! from its arrival until its first-token target and the time that its answer takes in a full batch have passed. The work done inside
//! any interval is at most the engines' time in it. Requests are taken in order of preference, each as far as no interval
//! overflows, in fractions too; for fractions this greedy order is the optimum. Zones that are out count for a few seconds
//! more, because what runs there goes on. Requests are held in whole bins, rounded outwards.

use std::{collections::BTreeMap, time::Duration};

use celerytide_manifest::ServiceKind;
use celerytide_standin::engine::ResponseLengths;
use celerytide_types::{ClassName, Tier, ZoneId};

use super::send::request_id;
use crate::scenario::{Action, Arrival, Scenario, Traffic, arrivals};

/// Length of a bin of time.
const BIN: Duration = Duration::from_secs(1);
/// Looks at the engines in one bin.
const LOOKS_PER_BIN: u32 = 10;
/// Time for which an endpoint's running work goes on after its zone is out.
const DRAIN: Duration = Duration::from_secs(5);
/// Seed of answer lengths of the stand-in engines.
const ENGINE_SEED: u64 = 1;
/// Prompt tokens that an engine reads in one step.
const PREFILL_TOKENS_PER_STEP: f64 = 512.0;
/// Tokens in a block of the engines' cache.
const BLOCK_TOKENS: usize = 64;
/// Bytes of text that a stand-in engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;

celerytide_types::data! {
    /// What perfect knowledge could yield.
    #[derive(Default)]
    pub struct Bound {
        /// Tokens in answers that meet their targets, whatever their tier.
        pub tokens: f64,
        /// The same where a higher tier always goes first.
        pub tokens_by_tier: f64,
        /// Part of each class's requests that could attain where a higher tier always goes first.
        pub attainment_by_tier: BTreeMap<ClassName, f64>,
        /// Tokens of all answers that were asked for.
        pub demand: f64,
    }
}

/// One model request.
struct Job {
    class: usize,
    tier: Tier,
    tokens: f64,
    /// Engine time, in seconds.
    work: f64,
    first_bin: usize,
    last_bin: usize,
}

impl Job {
    fn tokens_per_work(&self) -> f64 {
        self.tokens / self.work.max(f64::EPSILON)
    }
}

/// The bound for the arrivals of a scenario.
pub fn bound(scenario: &Scenario) -> Bound {
    let mut jobs = jobs(scenario);
    let bins = jobs.iter().map(|job| job.last_bin + 1).max().unwrap_or(0);
    let capacity = capacity(scenario, bins);
    jobs.sort_by(|a, b| b.tokens_per_work().total_cmp(&a.tokens_per_work()));
    let (tokens, _) = fill(&jobs, &capacity);
    jobs.sort_by_key(|job| job.tier);
    let (tokens_by_tier, parts) = fill(&jobs, &capacity);
    Bound {
        tokens,
        tokens_by_tier,
        attainment_by_tier: attainment(scenario, &jobs, &parts),
        demand: jobs.iter().map(|job| job.tokens).sum(),
    }
}

fn attainment(scenario: &Scenario, jobs: &[Job], parts: &[f64]) -> BTreeMap<ClassName, f64> {
    let mut sums: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for (job, part) in jobs.iter().zip(parts) {
        let sum = sums.entry(job.class).or_default();
        sum.0 += part;
        sum.1 += 1.0;
    }
    let classes = &scenario.deployment.classes;
    let named = sums
        .into_iter()
        .filter_map(|(class, (part, all))| Some((classes.get(class)?.name.clone(), part / all)));
    named.collect()
}

fn jobs(scenario: &Scenario) -> Vec<Job> {
    let all = arrivals(scenario);
    let model = all
        .iter()
        .enumerate()
        .filter(|(_, arrival)| arrival.kind == ServiceKind::Model);
    model
        .filter_map(|(number, arrival)| job(scenario, number, arrival))
        .collect()
}

fn job(scenario: &Scenario, number: usize, arrival: &Arrival) -> Option<Job> {
    let class = scenario.deployment.classes.get(arrival.class)?;
    let traffic = scenario.traffic.iter().find(|traffic| traffic.class == class.name)?;
    let lengths = ResponseLengths::new(ENGINE_SEED);
    let tokens = lengths.draw(&request_id(scenario, number), traffic.max_tokens) as f64;
    let prefill = read_tokens(traffic, arrival) * scenario.deployment.engines.prefill_us_per_token / 1e6;
    let step = full_step(scenario);
    let slots = f64::from(scenario.deployment.engines.slots.max(1));
    let chunk = PREFILL_TOKENS_PER_STEP * scenario.deployment.engines.prefill_us_per_token / 1e6;
    let slowest = step + chunk + slowest_fault(scenario);
    let end = arrival.at.as_secs_f64() + class.first_token.as_secs_f64() + tokens * slowest;
    let bin = BIN.as_secs_f64();
    Some(Job {
        class: arrival.class,
        tier: class.tier,
        tokens,
        work: prefill + tokens * step / slots,
        first_bin: (arrival.at.as_secs_f64() / bin) as usize,
        last_bin: (end / bin) as usize,
    })
}

/// The most that any event adds to a step, in seconds.
fn slowest_fault(scenario: &Scenario) -> f64 {
    let slow = scenario.events().into_iter().filter_map(|(_, action)| match action {
        Action::EnginesSlow { ms, .. } => Some(*ms as f64 / 1e3),
        _ => None,
    });
    slow.fold(0.0, f64::max)
}

/// Prompt tokens beyond the blocks that the group shares.
fn read_tokens(traffic: &Traffic, arrival: &Arrival) -> f64 {
    let all = arrival.prompt.len() / BYTES_PER_TOKEN;
    let shared = traffic.shared_tokens / BLOCK_TOKENS * BLOCK_TOKENS;
    all.saturating_sub(shared) as f64
}

/// Time of a decode step of a full batch, in seconds.
fn full_step(scenario: &Scenario) -> f64 {
    step(scenario, scenario.deployment.engines.slots)
}

fn step(scenario: &Scenario, running: u32) -> f64 {
    let engines = &scenario.deployment.engines;
    let more = f64::from(running.saturating_sub(1));
    engines.decode_ms * (1.0 + engines.batch_slowdown * more) / 1e3
}

/// Engine time of each bin, in seconds of a full, healthy engine.
fn capacity(scenario: &Scenario, bins: usize) -> Vec<f64> {
    let look = BIN / LOOKS_PER_BIN;
    let looks = 0..u32::try_from(bins).unwrap_or(u32::MAX);
    let at_bin = |bin: u32| -> f64 {
        let at = |i: u32| BIN * bin + look * i + look / 2;
        let sum: f64 = (0..LOOKS_PER_BIN).map(|i| engines_at(scenario, at(i))).sum();
        sum / f64::from(LOOKS_PER_BIN) * BIN.as_secs_f64()
    };
    looks.map(at_bin).collect()
}

/// Engines that work at this time, each by the part of its rate that it reaches.
fn engines_at(scenario: &Scenario, now: Duration) -> f64 {
    let plan = &scenario.deployment;
    let state = State::at(scenario, now);
    let step = full_step(scenario);
    let cold_slots = plan.engines.cold_slots.max(1);
    let cold_rate = f64::from(cold_slots) / self::step(scenario, cold_slots);
    let cold_part = cold_rate / (f64::from(plan.engines.slots.max(1)) / step);
    let parts = (0..plan.engines.count).map(|i| {
        let is_out = state.out.contains_key(&plan.zone(i));
        let slow = if i < state.slow.0 { state.slow.1 } else { 0.0 };
        let cold = if i < state.cold { cold_part.min(1.0) } else { 1.0 };
        if is_out { 0.0 } else { cold * step / (step + slow) }
    });
    parts.sum()
}

/// What is wrong at one time.
#[derive(Default)]
struct State {
    /// Zones that are out.
    out: BTreeMap<ZoneId, Duration>,
    /// Count of slow engines, and seconds added to each step.
    slow: (usize, f64),
    /// Count of cold engines.
    cold: usize,
}

impl State {
    fn at(scenario: &Scenario, now: Duration) -> Self {
        let mut state = Self::default();
        let cold_time = Duration::try_from_secs_f64(scenario.deployment.engines.cold_seconds).unwrap_or_default();
        for (at, action) in scenario.events().into_iter().filter(|(at, _)| *at <= now) {
            match action {
                Action::EnginesSlow { count, ms } => state.slow = (*count, *ms as f64 / 1e3),
                Action::EnginesCold { count, .. } if now < at + cold_time => state.cold = *count,
                Action::EnginesClear => state.slow = (0, 0.0),
                Action::ZoneOut { zone } if at + DRAIN <= now => {
                    state.out.insert(zone.clone(), at);
                }
                Action::ZoneIn { zone } => {
                    state.out.remove(zone);
                }
                _ => {}
            }
        }
        state
    }
}

/// Takes the jobs in their order, each as far as no interval overflows; gives the tokens and the part taken of each job.
fn fill(jobs: &[Job], capacity: &[f64]) -> (f64, Vec<f64>) {
    let mut left = Intervals::new(capacity);
    let mut tokens = 0.0;
    let mut parts = Vec::with_capacity(jobs.len());
    for job in jobs {
        let part = left.take(job.first_bin, job.last_bin, job.work) / job.work.max(f64::EPSILON);
        tokens += part * job.tokens;
        parts.push(part);
    }
    (tokens, parts)
}

/// Work that still fits into each interval of bins.
struct Intervals {
    bins: usize,
    left: Vec<f64>,
}

impl Intervals {
    fn new(capacity: &[f64]) -> Self {
        let bins = capacity.len();
        let mut left = vec![0.0; bins * bins];
        for first in 0..bins {
            let mut sum = 0.0;
            for last in first..bins {
                sum += capacity[last];
                left[first * bins + last] = sum;
            }
        }
        Self { bins, left }
    }

    /// Takes up to `work` that has to be done between the two bins, in every interval around them; gives what was taken.
    fn take(&mut self, first: usize, last: usize, work: f64) -> f64 {
        let around = |bins: usize| (0..=first).flat_map(move |a| (last..bins).map(move |b| a * bins + b));
        let room = around(self.bins).map(|at| self.left[at]).fold(work, f64::min).max(0.0);
        for at in around(self.bins) {
            self.left[at] -= room;
        }
        room
    }
}
