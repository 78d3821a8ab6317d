//! A simulated engine with continuous batching, chunked prefill that delays the batch, decode that slows down with the
//! size of the batch, a prefix cache, and a cold start in which it crashes under load.

use std::collections::VecDeque;

use celerytide_types::PermitId;

/// Most prompt tokens that one step of the batch processes.
const CHUNK_TOKENS: f64 = 512.0;
/// Duration of a restart in seconds.
pub const RESTART_SECONDS: f64 = 1.0;
/// Number of prefixes in the cache.
const CACHED_PREFIXES: usize = 48;

/// Speed and capacity of an engine.
#[derive(Clone, Copy)]
pub struct Spec {
    /// Size of a full batch in requests.
    pub slots: usize,
    /// Requests that it survives at once when cold.
    pub cold_slots: usize,
    /// Upper bound on the prompt tokens in prefill; 0 means unbounded.
    pub prefill_bound: u32,
    /// Seconds to prefill one prompt token.
    pub prefill_seconds_per_token: f64,
    /// Seconds of a decode step with a batch of one.
    pub decode_seconds: f64,
    /// Fraction by which each further request of the batch slows a step down.
    pub batch_slowdown: f64,
    /// Seconds of a cold start, counted from the restart.
    pub cold_seconds: f64,
}

impl Spec {
    fn decode(&self, batch: usize) -> f64 {
        self.decode_seconds * (1.0 + self.batch_slowdown * (batch.max(1) as f64 - 1.0))
    }

    /// Engine time of a request in a full batch, for `prompt` tokens of prefill and `length` generated tokens.
    pub fn engine_seconds(&self, prompt: f64, length: f64) -> f64 {
        prompt * self.prefill_seconds_per_token + length * self.decode(self.slots) / self.slots as f64
    }
}

/// A request inside an engine.
pub struct Job {
    pub permit: PermitId,
    pub prefix: u64,
    /// Prompt tokens that are not processed yet.
    pub prompt_left: f64,
    /// Prompt tokens that a cached prefix saves.
    pub prefix_tokens: f64,
    /// Tokens generated so far, including earlier runs.
    pub generated: f64,
    pub length: f64,
    /// Whether the first token of this run has been generated.
    pub has_first_token: bool,
}

/// Event of a job in a step.
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
    pub crashes: u32,
}

impl Engine {
    pub fn new(spec: Spec) -> Engine {
        Engine {
            spec,
            jobs: VecDeque::new(),
            cache: VecDeque::new(),
            up_at: 0.0,
            warm_at: 0.0,
            crashes: 0,
        }
    }

    /// Starts a job. Returns false if the connection is refused.
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
            self.crashes += 1;
            return self.restart(now);
        }
        let batch = self.jobs.len().min(self.spec.slots);
        let running = || self.jobs.iter().take(batch);
        let decoding = running().filter(|job| job.prompt_left <= 0.0).count();
        let unread: f64 = running().map(|job| job.prompt_left.max(0.0)).sum();
        let chunk = unread.min(CHUNK_TOKENS);
        let decode = if decoding > 0 { self.spec.decode(decoding) } else { 0.0 };
        let step = chunk * self.spec.prefill_seconds_per_token + decode;
        if step <= 0.0 {
            return Vec::new();
        }
        let part = seconds / step;
        let mut left = chunk * part;
        let mut steps = Vec::new();
        let mut cached = Vec::new();
        for job in self.jobs.iter_mut().take(batch) {
            if job.prompt_left > 0.0 {
                let processed = job.prompt_left.min(left);
                job.prompt_left -= processed;
                left -= processed;
                continue;
            }
            job.generated = (job.generated + part).min(job.length);
            if !job.has_first_token {
                job.has_first_token = true;
                job.generated = job.generated.max(1.0);
                cached.push(job.prefix);
                steps.push(Step::Token(job.permit, job.generated as u32));
            }
            if job.generated >= job.length {
                steps.push(Step::Done(job.permit, job.length as u32));
            }
        }
        self.jobs
            .retain(|job| job.prompt_left > 0.0 || job.generated < job.length);
        cached.into_iter().for_each(|prefix| self.cache_prefix(prefix));
        steps
    }

    /// Tokens that a job has generated so far.
    pub fn generated(&self, permit: PermitId) -> f64 {
        let job = self.jobs.iter().find(|job| job.permit == permit);
        job.map_or(0.0, |job| job.generated)
    }

    fn cache_prefix(&mut self, prefix: u64) {
        self.cache.retain(|cached| *cached != prefix);
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
    }
}
