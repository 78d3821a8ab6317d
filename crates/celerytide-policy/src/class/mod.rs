//! State of one class of requests: its queue, its share of slot time, and its learned averages.

mod grant_rate;

use std::collections::BTreeSet;

use celerytide_types::{BootTime, PermitId, Tier};

use crate::fair::FairQueue;
use crate::lengths::Lengths;
use crate::plan::{ClassPlan, reserved_places};
use crate::request::{PermitRequestId, Refusal};
use crate::status::{ClassStatus, RefusalCount};
use grant_rate::GrantRate;

/// Prompt tokens that cost as much as one token of the response.
const PROMPT_TOKENS_PER_TOKEN: u64 = 8;

/// State of one class.
#[derive(Debug)]
pub(crate) struct Class {
    pub plan: ClassPlan,
    /// Share of slot time, scaled so that the sum of all shares is at most one.
    pub share: f64,
    /// Whether the current plan names it.
    pub is_planned: bool,
    /// Queued requests by customer, then deadline.
    pub queue: FairQueue<(BootTime, PermitRequestId)>,
    /// Seconds for which it lacked its whole share while it had queued requests; negative after it was charged for a
    /// grant.
    pub lag: f64,
    /// Permits that occupy a slot.
    pub held: u64,
    pub lengths: Lengths,
    pub grant_rate: GrantRate,
    /// Mean time from a grant to the first token, in seconds.
    pub first_token_seconds: f64,
    pub in_flight: u64,
    /// Permits that preemption may take, ordered by the time of the grant.
    pub resumable: BTreeSet<(BootTime, PermitId)>,
    pub granted: u64,
    refused: Vec<RefusalCount>,
}

impl Class {
    pub fn new(plan: ClassPlan) -> Class {
        Class {
            plan,
            share: 0.0,
            is_planned: true,
            queue: FairQueue::default(),
            lag: 0.0,
            held: 0,
            lengths: Lengths::default(),
            grant_rate: GrantRate::default(),
            first_token_seconds: 0.0,
            in_flight: 0,
            resumable: BTreeSet::new(),
            granted: 0,
            refused: Vec::new(),
        }
    }

    /// Sort key by tier, then priority; the smallest is served first.
    pub fn rank(&self) -> (Tier, u8) {
        (self.plan.tier, u8::MAX - self.plan.priority)
    }

    /// Queued requests beyond the places that are reserved for its share.
    pub fn excess(&self, queue_capacity: usize) -> usize {
        self.queue
            .len()
            .saturating_sub(reserved_places(self.share, queue_capacity))
    }

    /// Expected cost of a request, in tokens of a response.
    pub fn expected_cost(&self, prompt_tokens: u32, max_tokens: Option<u32>) -> u64 {
        request_cost(prompt_tokens, self.lengths.mean(max_tokens))
    }

    pub fn count_refusal(&mut self, cause: Refusal) {
        match self.refused.iter_mut().find(|entry| entry.cause == cause) {
            Some(entry) => entry.count += 1,
            None => self.refused.push(RefusalCount { cause, count: 1 }),
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

/// Cost of a request in tokens of a response: the response's length plus the prompt at a lower price.
pub(crate) fn request_cost(prompt_tokens: u32, tokens: u64) -> u64 {
    (u64::from(prompt_tokens) / PROMPT_TOKENS_PER_TOKEN + tokens).max(1)
}
