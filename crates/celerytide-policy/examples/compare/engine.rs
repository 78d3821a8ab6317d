//! A fake engine: continuous batching, prompts read in bounded chunks that delay the batch, decode that slows with the
//! batch, a prefix cache, and a cold start in which it falls over under load.

use std::collections::VecDeque;

use celerytide_types::PermitId;

/// Prompt tokens that one step of the batch reads at most.
const CHUNK_TOKENS: f64 = 512.0;
/// Seconds that a restart takes.
pub const RESTART_SECONDS: f64 = 1.0;
/// Prefixes that the cache holds.
const CACHED: usize = 48;

/// How fast an engine is and how much it handles.
#[derive(Clone, Copy)]
pub struct Spec {
    /// Requests that it batches.
    pub slots: usize,
    /// Requests that it handles when cold.
    pub cold_slots: usize,
    /// Prompt tokens that it may have in prefill; 0 means unbounded.
    pub prefill_bound: u32,
    /// Seconds to read one prompt token.
    pub read_seconds: f64,
    /// Seconds of a decode step of a batch of one.
    pub decode_seconds: f64,
    /// Part by which each further request of the batch slows a step down.
    pub batch_cost: f64,
    /// Seconds of a cold start, counted from the restart.
    pub cold_seconds: f64,
}

impl Spec {
    fn decode(&self, batch: usize) -> f64 {
        self.decode_seconds * (1.0 + self.batch_cost * (batch.max(1) as f64 - 1.0))
    }

    /// Engine time of a request in a full batch: `prompt` tokens are read and `length` are written.
    pub fn engine_seconds(&self, prompt: f64, length: f64) -> f64 {
        prompt * self.read_seconds + length * self.decode(self.slots) / self.slots as f64
    }
}

/// Work inside an engine.
pub struct Job {
    pub permit: PermitId,
    pub prefix: u64,
    /// Prompt tokens that are still to be read.
    pub prompt_left: f64,
    /// Prompt tokens that a cached prefix saves.
    pub prefix_tokens: f64,
    /// Tokens generated so far, earlier runs included.
    pub done: f64,
    pub length: f64,
    /// Whether its first token of this run is out.
    pub begun: bool,
}

/// What happened to a job in a step.
pub enum Step {
    Token(PermitId, u32),
    Done(PermitId, u32),
    Failed(PermitId),
}

pub struct Engine {
    spec: Spec,
    jobs: VecDeque<Job>,
    cache: VecDeque<u64>,
    up_at: f64,
    warm_at: f64,
    pub falls: u32,
}

impl Engine {
    pub fn new(spec: Spec) -> Engine {
        Engine {
            spec,
            jobs: VecDeque::new(),
            cache: VecDeque::new(),
            up_at: 0.0,
            warm_at: 0.0,
            falls: 0,
        }
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
        self.warm_at = self.up_at + self.spec.cold_seconds;
        self.cache.clear();
        self.jobs.drain(..).map(|job| Step::Failed(job.permit)).collect()
    }

    pub fn step(&mut self, now: f64, seconds: f64) -> Vec<Step> {
        if now < self.warm_at && self.jobs.len() > self.spec.cold_slots {
            self.falls += 1;
            return self.restart(now);
        }
        let batch = self.jobs.len().min(self.spec.slots);
        let running = || self.jobs.iter().take(batch);
        let decoding = running().filter(|job| job.prompt_left <= 0.0).count();
        let unread: f64 = running().map(|job| job.prompt_left.max(0.0)).sum();
        let chunk = unread.min(CHUNK_TOKENS);
        let decode = if decoding > 0 { self.spec.decode(decoding) } else { 0.0 };
        let step = chunk * self.spec.read_seconds + decode;
        if step <= 0.0 {
            return Vec::new();
        }
        let part = seconds / step;
        let mut left = chunk * part;
        let mut steps = Vec::new();
        let mut cached = Vec::new();
        for job in self.jobs.iter_mut().take(batch) {
            if job.prompt_left > 0.0 {
                let read = job.prompt_left.min(left);
                job.prompt_left -= read;
                left -= read;
                continue;
            }
            job.done = (job.done + part).min(job.length);
            if !job.begun {
                job.begun = true;
                job.done = job.done.max(1.0);
                cached.push(job.prefix);
                steps.push(Step::Token(job.permit, job.done as u32));
            }
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
