//! The prefix cache: leading blocks of prompts in limited memory, with least-recently-used eviction.
//!
//! Its events are published late and with gaps: some of them are lost, drawn from a seed.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use celerytide_types::{Millis, now_unix_ms};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Tokens in a block.
pub const BLOCK_TOKENS: usize = 64;
/// Fraction of the events that are lost.
const EVENT_LOSS_PROBABILITY: f64 = 0.05;
/// Most events kept for readers.
const MAX_EVENTS: usize = 4096;

celerytide_types::data! {
    /// A block that was stored in the cache or removed from it.
    #[derive(Eq)]
    pub struct CacheEvent {
        /// Sequence number; gaps are lost events.
        pub seq: u64,
        /// `stored` or `removed`.
        pub kind: String,
        /// Hash of the block and of all blocks before it.
        pub block: u64,
        /// Time of the change.
        pub at_unix_ms: Millis,
    }
}

/// A prefix cache with a log of its changes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    blocks_by_use: BTreeMap<u64, u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
    rng: StdRng,
}

impl PrefixCache {
    /// An empty cache for `tokens` tokens; `seed` decides which events are lost.
    pub fn new(tokens: usize, seed: u64) -> Self {
        Self {
            capacity_blocks: tokens / BLOCK_TOKENS,
            clock: 0,
            last_used: HashMap::new(),
            blocks_by_use: BTreeMap::new(),
            events: VecDeque::new(),
            seq: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Stores a prompt's blocks and returns how many of its leading blocks the cache held before.
    pub fn lookup_and_store(&mut self, blocks: &[u64]) -> usize {
        let held = blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count();
        for block in blocks.iter().take(self.capacity_blocks) {
            self.touch(*block);
        }
        self.evict();
        held
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        let blocks: Vec<u64> = self.blocks_by_use.values().copied().collect();
        self.last_used.clear();
        self.blocks_by_use.clear();
        for block in blocks {
            self.record_event("removed", block);
        }
    }

    /// Events with a sequence number above `since` that are at least `lag` old.
    pub fn events(&self, since: u64, lag: Duration) -> Vec<CacheEvent> {
        let until = now_unix_ms().saturating_sub(u64::try_from(lag.as_millis()).unwrap_or(u64::MAX));
        let visible = self
            .events
            .iter()
            .filter(|event| event.seq > since && event.at_unix_ms <= until);
        visible.cloned().collect()
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.last_used.insert(block, self.clock) {
            Some(before) => {
                self.blocks_by_use.remove(&before);
            }
            None => self.record_event("stored", block),
        }
        self.blocks_by_use.insert(self.clock, block);
    }

    fn evict(&mut self) {
        while self.last_used.len() > self.capacity_blocks {
            let Some((_, block)) = self.blocks_by_use.pop_first() else {
                return;
            };
            self.last_used.remove(&block);
            self.record_event("removed", block);
        }
    }

    fn record_event(&mut self, kind: &str, block: u64) {
        self.seq += 1;
        if self.rng.random_bool(EVENT_LOSS_PROBABILITY) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            seq: self.seq,
            kind: kind.to_owned(),
            block,
            at_unix_ms: now_unix_ms(),
        };
        self.events.push_back(event);
    }
}
