//! Upper bound on the goodput that the stand-in engines could reach for the same arrivals with perfect knowledge.
//!
//! The work of a request is the engine time that it takes in a full batch: its prompt without the shared blocks (which
//! are assumed to be always cached) at the prefill rate, and its response, whose length follows from the request id, at
//! the time per token of a full batch. The request may run from its arrival until its first-token target plus the time
//! that its response takes in a full batch. The work done within any interval is at most the engine time available in
//! it. Requests are scheduled in order of preference, each as far as no interval overflows; fractions of a request are
//! allowed, and for fractions this greedy order is optimal. A zone that is taken out of service still counts for a few
//! seconds, because the requests running there continue. Arrivals and deadlines are rounded outwards to whole bins.

use std::{collections::BTreeMap, time::Duration};

use celerytide_manifest::ServiceKind;
use celerytide_standin::engine::ResponseLengths;
use celerytide_types::{ClassName, Tier, ZoneId};

use super::send::request_id;
use crate::scenario::{Action, Arrival, Scenario, Traffic, arrivals};

/// Length of a time bin.
const BIN_LENGTH: Duration = Duration::from_secs(1);
/// Samples of the engines' state in one bin.
const SAMPLES_PER_BIN: u32 = 10;
/// Time for which requests continue to run after their zone was taken out of service.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Seed of the response lengths of the stand-in engines.
const ENGINE_SEED: u64 = 1;
/// Prompt tokens that an engine processes in one step.
const PREFILL_TOKENS_PER_STEP: f64 = 512.0;
/// Tokens in one block of the engines' prefix cache.
const BLOCK_TOKENS: usize = 64;
/// Bytes of prompt text that a stand-in engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;

celerytide_types::data! {
    /// Goodput that is possible with perfect knowledge.
    #[derive(Default)]
    pub struct GoodputBound {
        /// Tokens of responses that meet their targets, regardless of tier.
        pub tokens: f64,
        /// The same if a higher tier always has precedence.
        pub tokens_by_tier: f64,
        /// Fraction of each class's requests that could meet their targets if a higher tier always has precedence.
        pub attainment_by_tier: BTreeMap<ClassName, f64>,
        /// Tokens of all requested responses.
        pub demand: f64,
    }
}

/// Work and time window of one model request.
struct Job {
    class: usize,
    tier: Tier,
    tokens: f64,
    /// Engine time in a full batch, in seconds.
    work: f64,
    first_bin: usize,
    last_bin: usize,
}

impl Job {
    fn tokens_per_work(&self) -> f64 {
        self.tokens / self.work.max(f64::EPSILON)
    }
}

/// Computes the bound for the arrivals of a scenario.
pub fn goodput_bound(scenario: &Scenario) -> GoodputBound {
    let mut jobs = jobs(scenario);
    let bins = jobs.iter().map(|job| job.last_bin + 1).max().unwrap_or(0);
    let capacity = capacity(scenario, bins);
    jobs.sort_by(|a, b| b.tokens_per_work().total_cmp(&a.tokens_per_work()));
    let (tokens, _) = schedule_greedily(&jobs, &capacity);
    jobs.sort_by_key(|job| job.tier);
    let (tokens_by_tier, fractions) = schedule_greedily(&jobs, &capacity);
    GoodputBound {
        tokens,
        tokens_by_tier,
        attainment_by_tier: attainment(scenario, &jobs, &fractions),
        demand: jobs.iter().map(|job| job.tokens).sum(),
    }
}

fn attainment(scenario: &Scenario, jobs: &[Job], fractions: &[f64]) -> BTreeMap<ClassName, f64> {
    let mut sums: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for (job, fraction) in jobs.iter().zip(fractions) {
        let sum = sums.entry(job.class).or_default();
        sum.0 += fraction;
        sum.1 += 1.0;
    }
    let classes = &scenario.deployment.classes;
    let by_name = sums
        .into_iter()
        .filter_map(|(class, (fraction, all))| Some((classes.get(class)?.name.clone(), fraction / all)));
    by_name.collect()
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
    let prefill = uncached_prompt_tokens(traffic, arrival) * scenario.deployment.engines.prefill_us_per_token / 1e6;
    let step = full_batch_step(scenario);
    let slots = f64::from(scenario.deployment.engines.slots.max(1));
    let chunk = PREFILL_TOKENS_PER_STEP * scenario.deployment.engines.prefill_us_per_token / 1e6;
    let slowest = step + chunk + max_added_seconds(scenario);
    let end = arrival.at.as_secs_f64() + class.first_token.as_secs_f64() + tokens * slowest;
    let bin = BIN_LENGTH.as_secs_f64();
    Some(Job {
        class: arrival.class,
        tier: class.tier,
        tokens,
        work: prefill + tokens * step / slots,
        first_bin: (arrival.at.as_secs_f64() / bin) as usize,
        last_bin: (end / bin) as usize,
    })
}

/// Longest time that any event of the scenario adds to a decode step, in seconds.
fn max_added_seconds(scenario: &Scenario) -> f64 {
    let slowdown = scenario.events().into_iter().filter_map(|(_, action)| match action {
        Action::EnginesSlow { ms, .. } => Some(*ms as f64 / 1e3),
        _ => None,
    });
    slowdown.fold(0.0, f64::max)
}

/// Prompt tokens beyond the whole blocks that the group shares.
fn uncached_prompt_tokens(traffic: &Traffic, arrival: &Arrival) -> f64 {
    let all = arrival.prompt.len() / BYTES_PER_TOKEN;
    let shared = traffic.shared_tokens / BLOCK_TOKENS * BLOCK_TOKENS;
    all.saturating_sub(shared) as f64
}

/// Duration of a decode step of a full batch, in seconds.
fn full_batch_step(scenario: &Scenario) -> f64 {
    decode_step(scenario, scenario.deployment.engines.slots)
}

fn decode_step(scenario: &Scenario, running: u32) -> f64 {
    let engines = &scenario.deployment.engines;
    let others = f64::from(running.saturating_sub(1));
    engines.decode_ms * (1.0 + engines.batch_slowdown * others) / 1e3
}

/// Available engine time in each bin, in seconds of a healthy engine with a full batch.
fn capacity(scenario: &Scenario, bins: usize) -> Vec<f64> {
    let sample_interval = BIN_LENGTH / SAMPLES_PER_BIN;
    let bin_indices = 0..u32::try_from(bins).unwrap_or(u32::MAX);
    let engine_seconds = |bin: u32| -> f64 {
        let at = |i: u32| BIN_LENGTH * bin + sample_interval * i + sample_interval / 2;
        let sum: f64 = (0..SAMPLES_PER_BIN).map(|i| effective_engines(scenario, at(i))).sum();
        sum / f64::from(SAMPLES_PER_BIN) * BIN_LENGTH.as_secs_f64()
    };
    bin_indices.map(engine_seconds).collect()
}

/// Number of working engines at this time, each weighted with the fraction of its full rate that it reaches.
fn effective_engines(scenario: &Scenario, now: Duration) -> f64 {
    let deployment = &scenario.deployment;
    let state = FaultState::at(scenario, now);
    let step = full_batch_step(scenario);
    let cold_slots = deployment.engines.cold_slots.max(1);
    let cold_rate = f64::from(cold_slots) / decode_step(scenario, cold_slots);
    let cold_rate_ratio = cold_rate / (f64::from(deployment.engines.slots.max(1)) / step);
    let rates = (0..deployment.engines.count).map(|i| {
        let is_out = state.zones_out.contains_key(&deployment.zone(i));
        let added = if i < state.slowdown.0 { state.slowdown.1 } else { 0.0 };
        let cold_factor = if i < state.cold_engines {
            cold_rate_ratio.min(1.0)
        } else {
            1.0
        };
        if is_out {
            0.0
        } else {
            cold_factor * step / (step + added)
        }
    });
    rates.sum()
}

/// Faults that are active at one time.
#[derive(Default)]
struct FaultState {
    /// Zones out of service, with the time of their removal.
    zones_out: BTreeMap<ZoneId, Duration>,
    /// Number of slow engines, and the seconds added to each of their steps.
    slowdown: (usize, f64),
    /// Number of cold engines.
    cold_engines: usize,
}

impl FaultState {
    fn at(scenario: &Scenario, now: Duration) -> Self {
        let mut state = Self::default();
        let cold_time = Duration::try_from_secs_f64(scenario.deployment.engines.cold_seconds).unwrap_or_default();
        for (at, action) in scenario.events().into_iter().filter(|(at, _)| *at <= now) {
            match action {
                Action::EnginesSlow { count, ms } => state.slowdown = (*count, *ms as f64 / 1e3),
                Action::EnginesCold { count, .. } if now < at + cold_time => state.cold_engines = *count,
                Action::EnginesClear => state.slowdown = (0, 0.0),
                Action::ZoneOut { zone } if at + DRAIN_TIME <= now => {
                    state.zones_out.insert(zone.clone(), at);
                }
                Action::ZoneIn { zone } => {
                    state.zones_out.remove(zone);
                }
                _ => {}
            }
        }
        state
    }
}

/// Schedules the jobs in the given order, each as far as no interval overflows. Returns the total of tokens and the
/// scheduled fraction of each job.
fn schedule_greedily(jobs: &[Job], capacity: &[f64]) -> (f64, Vec<f64>) {
    let mut remaining = Intervals::new(capacity);
    let mut tokens = 0.0;
    let mut fractions = Vec::with_capacity(jobs.len());
    for job in jobs {
        let fraction = remaining.reserve(job.first_bin, job.last_bin, job.work) / job.work.max(f64::EPSILON);
        tokens += fraction * job.tokens;
        fractions.push(fraction);
    }
    (tokens, fractions)
}

/// Remaining engine time of each interval of bins.
struct Intervals {
    bins: usize,
    remaining: Vec<f64>,
}

impl Intervals {
    fn new(capacity: &[f64]) -> Self {
        let bins = capacity.len();
        let mut remaining = vec![0.0; bins * bins];
        for first in 0..bins {
            let mut sum = 0.0;
            for last in first..bins {
                sum += capacity[last];
                remaining[first * bins + last] = sum;
            }
        }
        Self { bins, remaining }
    }

    /// Reserves up to `work` in every interval that contains the bins `first..=last`. Returns the reserved amount.
    fn reserve(&mut self, first: usize, last: usize, work: f64) -> f64 {
        let enclosing = |bins: usize| (0..=first).flat_map(move |a| (last..bins).map(move |b| a * bins + b));
        let reserved = enclosing(self.bins)
            .map(|at| self.remaining[at])
            .fold(work, f64::min)
            .max(0.0);
        for at in enclosing(self.bins) {
            self.remaining[at] -= reserved;
        }
        reserved
    }
}
