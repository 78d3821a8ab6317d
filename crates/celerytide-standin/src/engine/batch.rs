//! Continuous batching: which requests run in a step, how long the step takes and which tokens it yields.

use std::{cmp::Reverse, time::Duration};

use futures::channel::mpsc::UnboundedSender;

/// Most prompt tokens prefilled in one step, so that a long prompt does not stall the whole batch.
const PREFILL_TOKENS_PER_STEP: usize = 512;

/// Time that an engine takes for a step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepCost {
    /// Time to prefill one prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Time of a decode step of a batch of one, in milliseconds.
    pub decode_ms: f64,
    /// Fraction of a decode step that each further request adds.
    pub batch_slowdown: f64,
}

impl StepCost {
    /// Duration of a step that prefills `prefill` prompt tokens and decodes one token for each of `decoding` requests.
    pub fn duration(&self, prefill: usize, decoding: usize) -> Duration {
        let prefill_s = prefill as f64 * self.prefill_us_per_token / 1e6;
        let factor = 1.0 + self.batch_slowdown * decoding.saturating_sub(1) as f64;
        let decode_s = if decoding == 0 {
            0.0
        } else {
            self.decode_ms * factor / 1e3
        };
        Duration::try_from_secs_f64(prefill_s + decode_s).unwrap_or_default()
    }
}

/// Message from the batch to the handler of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The token with this index is generated.
    Token(usize),
    /// All tokens are generated.
    End,
}

/// One request in the engine.
#[derive(Debug)]
pub struct Job {
    /// Priority; 1 is the highest.
    pub priority: u8,
    /// Prompt tokens still to be prefilled.
    pub prefill_left: usize,
    /// Index of the next token.
    pub next_token: usize,
    /// Index past the last token.
    pub end_token: usize,
    /// Receives the tokens; closed when the caller has disconnected.
    pub tx: UnboundedSender<Progress>,
}

#[derive(Debug)]
struct QueuedJob {
    arrival: u64,
    job: Job,
}

/// All requests in the engine, running and waiting.
#[derive(Debug)]
pub struct Batch {
    step_cost: StepCost,
    slots: usize,
    arrivals: u64,
    waiting: Vec<QueuedJob>,
    running: Vec<Job>,
}

impl Batch {
    /// An empty batch that runs at most `slots` requests.
    pub fn new(step_cost: StepCost, slots: usize) -> Self {
        Self {
            step_cost,
            slots,
            arrivals: 0,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Adds a waiting request.
    pub fn add(&mut self, job: Job) {
        self.arrivals += 1;
        self.waiting.push(QueuedJob {
            arrival: self.arrivals,
            job,
        });
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Drops every request.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Drops requests whose caller has disconnected.
    pub fn drop_disconnected(&mut self) {
        self.waiting.retain(|waiting| !waiting.job.tx.is_closed());
        self.running.retain(|job| !job.tx.is_closed());
    }

    /// Fills free slots by priority and then by arrival, and prefills prompts. Returns the duration of the step, or
    /// `None` without requests.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.drop_disconnected();
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prefill = self.prefill_prompts();
        let decoding = self.running.iter().filter(|job| job.prefill_left == 0).count();
        Some(self.step_cost.duration(prefill, decoding))
    }

    /// Sends the tokens of the step to their requests and returns their number.
    pub fn end_step(&mut self) -> usize {
        let mut tokens = 0;
        self.running.retain_mut(|job| {
            if job.prefill_left > 0 {
                return true;
            }
            if job.next_token < job.end_token {
                // `drop_disconnected` removes requests with a closed channel.
                let _ = job.tx.unbounded_send(Progress::Token(job.next_token));
                job.next_token += 1;
                tokens += 1;
            }
            let is_done = job.next_token >= job.end_token;
            if is_done {
                let _ = job.tx.unbounded_send(Progress::End);
            }
            !is_done
        });
        tokens
    }

    fn admit(&mut self) {
        if self.running.len() >= self.slots || self.waiting.is_empty() {
            return;
        }
        self.waiting
            .sort_by_key(|waiting| Reverse((waiting.job.priority, waiting.arrival)));
        while self.running.len() < self.slots {
            let Some(first) = self.waiting.pop() else {
                return;
            };
            self.running.push(first.job);
        }
    }

    fn prefill_prompts(&mut self) -> usize {
        let mut left = PREFILL_TOKENS_PER_STEP;
        for job in &mut self.running {
            let tokens = job.prefill_left.min(left);
            job.prefill_left -= tokens;
            left -= tokens;
        }
        PREFILL_TOKENS_PER_STEP - left
    }
}
