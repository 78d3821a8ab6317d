//! A fake engine: continuous batching, prefill by prompt length, decode that slows with the batch, a prefix cache,
//! and a cold start in which it falls over under load.

use std::collections::VecDeque;

use celerytide_types::PermitId;

/// Requests that it batches.
pub const SLOTS: usize = 8;
/// Requests that it bears when cold.
pub const COLD_SLOTS: usize = 2;
/// Prompt tokens that it may have in prefill.
pub const PREFILL_BOUND: u32 = 6000;
/// Prompt tokens prefilled a second, shared by all in prefill.
const PREFILL_RATE: f64 = 8000.0;
/// Tokens a second of one request alone.
const DECODE_RATE: f64 = 60.0;
/// Part by which each further request of the batch slows a token down.
const BATCH_COST: f64 = 0.08;
/// Seconds of a cold start, counted from the restart.
const COLD_SECONDS: f64 = 8.0;
/// Seconds that a restart takes.
const RESTART_SECONDS: f64 = 1.0;
/// Prefixes that the cache holds.
const CACHED: usize = 24;

/// Work inside an engine.
pub struct Job {
    pub permit: PermitId,
    pub prefix: u64,
    /// Prompt tokens that are still to be prefilled.
    pub prompt_left: f64,
    /// Prompt tokens that a cached prefix saves.
    pub prefix_tokens: f64,
    /// Tokens generated so far, earlier runs included.
    pub done: f64,
    pub length: f64,
}

/// What happened to a job in a step.
pub enum Step {
    Token(PermitId, u32),
    Done(PermitId, u32),
    Failed(PermitId),
}

#[derive(Default)]
pub struct Engine {
    jobs: VecDeque<Job>,
    cache: VecDeque<u64>,
    up_at: f64,
    warm_at: f64,
    pub falls: u32,
}

impl Engine {
    /// Seconds that a request holds a slot of a full engine.
    pub fn hold_seconds(prompt: f64, length: f64) -> f64 {
        let batch = 1.0 + BATCH_COST * (SLOTS as f64 - 1.0);
        prompt / PREFILL_RATE * SLOTS as f64 / 2.0 + length * batch / DECODE_RATE
    }

    /// Takes a job; false if the connection is refused.
    pub fn start(&mut self, now: f64, mut job: Job) -> bool {
        if now < self.up_at {
            return false;
        }
        if self.cache.contains(&job.prefix) {
            job.prompt_left = (job.prompt_left - job.prefix_tokens).max(1.0);
        }
        self.jobs.push_back(job);
        true
    }

    pub fn cancel(&mut self, permit: PermitId) {
        self.jobs.retain(|job| job.permit != permit);
    }

    pub fn restart(&mut self, now: f64) -> Vec<Step> {
        self.up_at = now + RESTART_SECONDS;
        self.warm_at = self.up_at + COLD_SECONDS;
        self.cache.clear();
        self.jobs.drain(..).map(|job| Step::Failed(job.permit)).collect()
    }

    pub fn step(&mut self, now: f64, seconds: f64) -> Vec<Step> {
        if now < self.warm_at && self.jobs.len() > COLD_SLOTS {
            self.falls += 1;
            return self.restart(now);
        }
        let batch = self.jobs.len().min(SLOTS);
        let in_prefill = self.jobs.iter().take(batch).filter(|job| job.prompt_left > 0.0).count();
        let decoding = batch - in_prefill;
        let per_token = (1.0 + BATCH_COST * (decoding.max(1) as f64 - 1.0)) / DECODE_RATE;
        let prefill = PREFILL_RATE * seconds / in_prefill.max(1) as f64;
        let mut steps = Vec::new();
        let mut cached = Vec::new();
        for job in self.jobs.iter_mut().take(batch) {
            if job.prompt_left > 0.0 {
                job.prompt_left -= prefill;
                if job.prompt_left <= 0.0 {
                    job.done += 1.0;
                    cached.push(job.prefix);
                    steps.push(Step::Token(job.permit, job.done as u32));
                }
                continue;
            }
            job.done += seconds / per_token;
            if job.done >= job.length {
                steps.push(Step::Done(job.permit, job.length as u32));
            }
        }
        self.jobs.retain(|job| job.prompt_left > 0.0 || job.done < job.length);
        cached.into_iter().for_each(|prefix| self.keep(prefix));
        steps
    }

    /// Tokens that a job generated so far.
    pub fn done(&self, permit: PermitId) -> f64 {
        let job = self.jobs.iter().find(|job| job.permit == permit);
        job.map_or(0.0, |job| job.done)
    }

    fn keep(&mut self, prefix: u64) {
        self.cache.retain(|cached| *cached != prefix);
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
    }
}
