//! Request rate and prompt length by shared block, which decide how many engines should cache it.
//!
//! Designed for this workload: much of the traffic is about one document. A single preferred engine can't prefill all
//! these prompts, and in a large fleet no instance sees that: each has one such request now and then and sends it to that
//! engine. An instance therefore assumes that the others see the same traffic. The first request of a block gives no
//! rate; each further one shortly after it stands for one at each other instance.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::BootTime;

/// Time constant of the decaying request count.
const WINDOW: Duration = Duration::from_secs(4);
/// Most blocks that are tracked.
const MAX_BLOCKS: usize = 4096;
/// Weight of a new prompt in the moving average of lengths.
const LENGTH_WEIGHT: f64 = 0.1;
/// Share of an engine's time that prompts about one block may take.
const ENGINE_SHARE: f64 = 0.5;

/// Recent requests of this instance for each shared prompt block.
#[derive(Debug, Default)]
pub struct Popularity {
    by_block: HashMap<u64, Traffic>,
}

#[derive(Debug, Clone, Copy)]
struct Traffic {
    requests: f64,
    /// Moving average of the prompt lengths, in tokens.
    mean_tokens: f64,
    at: BootTime,
}

impl Traffic {
    fn decayed_requests(self, now: BootTime) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        self.requests * (-elapsed).exp()
    }
}

impl Popularity {
    /// Counts a request with a prompt of `tokens` whose deepest shared block is `block`.
    pub fn record(&mut self, block: u64, tokens: u32, now: BootTime) {
        if self.by_block.len() >= MAX_BLOCKS {
            self.by_block.retain(|_, traffic| now.since(traffic.at) < WINDOW);
        }
        if self.by_block.len() >= MAX_BLOCKS {
            self.by_block.clear();
        }
        let tokens = f64::from(tokens);
        let previous = self.by_block.get(&block);
        let mean = previous.map_or(tokens, |traffic| traffic.mean_tokens);
        let traffic = Traffic {
            requests: previous.map_or(0.0, |traffic| traffic.decayed_requests(now)) + 1.0,
            mean_tokens: mean + (tokens - mean) * LENGTH_WEIGHT,
            at: now,
        };
        self.by_block.insert(block, traffic);
    }

    /// Average length of the prompts about `block`, in tokens; `None` if none was seen.
    pub fn mean_tokens(&self, block: u64) -> Option<f64> {
        self.by_block.get(&block).map(|traffic| traffic.mean_tokens)
    }

    /// Engines that should cache `block`, if each of `instances` has the same traffic and a prompt about it occupies an
    /// engine for `prefill_time`.
    pub fn preferred_count(&self, block: u64, instances: usize, prefill_time: Duration, now: BootTime) -> usize {
        let requests = self
            .by_block
            .get(&block)
            .map_or(0.0, |traffic| traffic.decayed_requests(now));
        let per_s = (requests - 1.0).max(0.0) * instances as f64 / WINDOW.as_secs_f64();
        let engines = per_s * prefill_time.as_secs_f64() / ENGINE_SHARE;
        (engines.ceil() as usize).max(1)
    }
}
