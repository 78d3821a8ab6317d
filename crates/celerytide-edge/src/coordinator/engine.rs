//! What a coordinator knows of one engine: requests in flight, cached blocks and health.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use celerytide_types::BootTime;

use super::messages::{Block, FlightEntry};
use crate::health::Health;

/// Time after which a block that was sent to the engine is no longer assumed to be cached.
const CACHED_FOR: Duration = Duration::from_secs(20);
/// Share of the engine's memory that cached blocks are assumed to fill: running requests need the rest.
const CACHE_SHARE: f64 = 0.8;
/// Most blocks tracked for an engine whose memory isn't known.
const MAX_BLOCKS: usize = 4096;
/// Weight of a new sample in the moving average of the latency ratio.
const LATENCY_WEIGHT: f64 = 0.2;

#[derive(Debug, Clone, Copy)]
struct CachedBlock {
    tokens: u32,
    at: BootTime,
}

/// State of one engine.
#[derive(Debug, Default)]
pub struct Engine {
    running: u32,
    queued_tokens: u64,
    tokens: u64,
    /// Streams in flight by the longest gap that is on time, in milliseconds.
    gaps: BTreeMap<u32, u32>,
    blocks: HashMap<u64, CachedBlock>,
    block_tokens: u64,
    last_sent_at: BootTime,
    latency_ratio: Option<f64>,
    /// Ejection state.
    pub health: Health,
}

impl Engine {
    /// Requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Uncached prompt tokens of requests without a first event.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Tokens of the requests in flight with their longest responses.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// When a request was last sent to it.
    pub fn last_sent_at(&self) -> BootTime {
        self.last_sent_at
    }

    /// Mean of the actual by the expected times to the first byte, if known.
    pub fn latency_ratio(&self) -> Option<f64> {
        self.latency_ratio
    }

    /// Streams in flight by the longest gap that is on time.
    pub fn gaps(&self) -> impl Iterator<Item = (Duration, u32)> {
        let gap = |(ms, count): (&u32, &u32)| (Duration::from_millis(u64::from(*ms)), *count);
        self.gaps.iter().map(gap)
    }

    /// Tokens of the leading blocks that it has cached.
    pub fn cached_tokens(&self, blocks: &[Block], now: BootTime) -> u64 {
        let is_cached = |block: &&Block| {
            let known = self.blocks.get(&block.id);
            known.is_some_and(|cached| now.since(cached.at) < CACHED_FOR)
        };
        let cached = blocks.iter().take_while(is_cached);
        cached.map(|block| u64::from(block.tokens)).sum()
    }

    /// Counts a request.
    pub fn add(&mut self, flight: &FlightEntry, now: BootTime) {
        self.running += 1;
        self.queued_tokens += u64::from(flight.queued_tokens);
        self.tokens += u64::from(flight.tokens);
        self.last_sent_at = self.last_sent_at.max(now);
        if flight.max_gap_ms > 0 {
            *self.gaps.entry(flight.max_gap_ms).or_default() += 1;
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, flight: &FlightEntry) {
        self.running = self.running.saturating_sub(1);
        self.finish_prefill(flight.queued_tokens);
        self.tokens = self.tokens.saturating_sub(u64::from(flight.tokens));
        if let Some(count) = self.gaps.get_mut(&flight.max_gap_ms) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.gaps.remove(&flight.max_gap_ms);
            }
        }
    }

    /// Removes the queued tokens of a request that has its first event.
    pub fn finish_prefill(&mut self, queued_tokens: u32) {
        self.queued_tokens = self.queued_tokens.saturating_sub(u64::from(queued_tokens));
    }

    /// Adds a sample of the latency ratio.
    pub fn record_latency(&mut self, ratio: f64) {
        let mean = self
            .latency_ratio
            .map_or(ratio, |old| old + (ratio - old) * LATENCY_WEIGHT);
        self.latency_ratio = Some(mean);
    }

    /// Assumes `blocks` to be cached from now on; the ones used longest ago yield if the engine holds `capacity` tokens.
    pub fn note_cached(&mut self, blocks: &[Block], capacity: Option<u64>, now: BootTime) {
        for block in blocks {
            let cached = CachedBlock {
                tokens: block.tokens,
                at: now,
            };
            let previous = self.blocks.insert(block.id, cached);
            self.block_tokens += u64::from(block.tokens);
            self.block_tokens -= previous.map_or(0, |cached| u64::from(cached.tokens));
        }
        let most = capacity.map_or(u64::MAX, |tokens| (tokens as f64 * CACHE_SHARE) as u64);
        if self.block_tokens > most || self.blocks.len() > MAX_BLOCKS {
            self.evict(most, now);
        }
    }

    fn evict(&mut self, most_tokens: u64, now: BootTime) {
        let mut oldest: Vec<(BootTime, u64)> = self.blocks.iter().map(|(id, cached)| (cached.at, *id)).collect();
        oldest.sort_unstable();
        for (at, id) in oldest {
            let fits = self.block_tokens <= most_tokens && self.blocks.len() <= MAX_BLOCKS;
            if fits && now.since(at) < CACHED_FOR {
                return;
            }
            let evicted = self.blocks.remove(&id);
            self.block_tokens -= evicted.map_or(0, |cached| u64::from(cached.tokens));
        }
    }
}
