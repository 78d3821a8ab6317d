//! One class of requests: its queue, its share, and what was learned about it.

mod pace;

use std::collections::BTreeSet;

use celerytide_types::{BootTime, PermitId, Tier};

use crate::ask::{AskId, Refusal};
use crate::fair::FairQueue;
use crate::lengths::Lengths;
use crate::plan::{ClassPlan, reserved_seats};
use crate::status::{ClassStatus, RefusalCount};
use pace::Pace;

/// Prompt tokens that cost as much as one token of the answer.
const PROMPT_TOKENS_PER_TOKEN: u64 = 8;

/// State of one class.
#[derive(Debug)]
pub(crate) struct Class {
    pub plan: ClassPlan,
    /// Share of slot time, scaled so that all shares together are at most one.
    pub share: f64,
    /// Whether the plan in force still names it.
    pub planned: bool,
    /// Asks by customer, then deadline.
    pub queue: FairQueue<(BootTime, AskId)>,
    /// Time for which it lost its whole share while it waited, in seconds; below zero where it paid for a grant.
    pub lag: f64,
    /// Permits that hold a slot.
    pub held: u64,
    pub lengths: Lengths,
    pub pace: Pace,
    /// Mean time from a grant to its first token, in seconds.
    pub first_seconds: f64,
    pub in_flight: u64,
    /// Permits that preemption may take, by the time of their grant.
    pub resumable: BTreeSet<(BootTime, PermitId)>,
    pub granted: u64,
    refused: Vec<RefusalCount>,
}

impl Class {
    pub fn new(plan: ClassPlan) -> Class {
        Class {
            plan,
            share: 0.0,
            planned: true,
            queue: FairQueue::default(),
            lag: 0.0,
            held: 0,
            lengths: Lengths::default(),
            pace: Pace::default(),
            first_seconds: 0.0,
            in_flight: 0,
            resumable: BTreeSet::new(),
            granted: 0,
            refused: Vec::new(),
        }
    }

    /// Sorts by tier, then priority: the first is served first.
    pub fn rank(&self) -> (Tier, u8) {
        (self.plan.tier, u8::MAX - self.plan.priority)
    }

    /// Queued asks beyond the seats that its share keeps for it.
    pub fn excess(&self, seats: usize) -> usize {
        self.queue.len().saturating_sub(reserved_seats(self.share, seats))
    }

    /// Expected work of a request, in tokens of an answer.
    pub fn expected_cost(&self, prompt_tokens: u32, max_tokens: Option<u32>) -> u64 {
        work(prompt_tokens, self.lengths.mean(max_tokens))
    }

    pub fn note_refused(&mut self, why: Refusal) {
        match self.refused.iter_mut().find(|entry| entry.why == why) {
            Some(entry) => entry.count += 1,
            None => self.refused.push(RefusalCount { why, count: 1 }),
        }
    }

    pub fn status(&self) -> ClassStatus {
        ClassStatus {
            name: self.plan.name.clone(),
            tier: self.plan.tier,
            queued: self.queue.len() as u64,
            in_flight: self.in_flight,
            granted: self.granted,
            refused: self.refused.clone(),
        }
    }
}

/// Work of a request in tokens of an answer: its answer, and its prompt at a lower price.
pub(crate) fn work(prompt_tokens: u32, tokens: u64) -> u64 {
    (u64::from(prompt_tokens) / PROMPT_TOKENS_PER_TOKEN + tokens).max(1)
}
