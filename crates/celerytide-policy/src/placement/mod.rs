//! Placement of requests by prefix locality and load.
//!
//! An endpoint that already caches a prompt's leading blocks skips their prefill, but it must not be overloaded while
//! others are idle. The cost of a candidate is its load as a fraction of its limit, less the fraction of the prompt
//! that it has cached. Only prefixes that this pool placed are remembered, because cache events arrive late and with
//! gaps; a wrong entry only costs a prefill.

use ahash::AHashMap;

/// Leading blocks of a prompt that are considered.
pub const BLOCKS_MAX: usize = 64;
/// Endpoints remembered for each block.
const HOLDERS_MAX: usize = 4;
/// Marks an unused entry among the holders.
const NO_ENDPOINT: u32 = u32::MAX;
/// Blocks remembered in each of the two generations.
const GENERATION_BLOCKS: usize = 32 * 1024;

type Holders = [u32; HOLDERS_MAX];

/// An endpoint that holds leading blocks of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Number of leading blocks that it holds.
    pub blocks: usize,
}

/// Maps prompt blocks to the endpoints that got them recently. Two generations bound its memory.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    recent: AHashMap<u64, Holders>,
    older: AHashMap<u64, Holders>,
}

impl PrefixIndex {
    /// Records that the endpoint got these blocks.
    pub fn record(&mut self, blocks: &[u64], endpoint: usize) {
        let Ok(endpoint) = u32::try_from(endpoint) else { return };
        for &block in blocks.iter().take(BLOCKS_MAX) {
            let mut holders = self.holders(block).unwrap_or([NO_ENDPOINT; HOLDERS_MAX]);
            let pos = holders
                .iter()
                .position(|&held| held == endpoint)
                .unwrap_or(HOLDERS_MAX - 1);
            holders.copy_within(0..pos, 1);
            holders[0] = endpoint;
            self.recent.insert(block, holders);
        }
        if self.recent.len() >= GENERATION_BLOCKS {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Returns the endpoints that hold the longest known prefix of these blocks, the most recent first.
    pub fn longest_match(&self, blocks: &[u64]) -> impl Iterator<Item = Match> + use<> {
        let seen = blocks.iter().take(BLOCKS_MAX);
        let known = seen.map_while(|&block| self.holders(block)).enumerate().last();
        let (blocks, holders) = known.map_or((0, [NO_ENDPOINT; HOLDERS_MAX]), |(pos, holders)| (pos + 1, holders));
        let held = holders.into_iter().filter(|&endpoint| endpoint != NO_ENDPOINT);
        held.map(move |endpoint| Match {
            endpoint: endpoint as usize,
            blocks,
        })
    }

    /// Number of remembered blocks.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn holders(&self, block: u64) -> Option<Holders> {
        self.recent.get(&block).or_else(|| self.older.get(&block)).copied()
    }
}

/// Cost of placing a request on an endpoint; lower is better. `load` is a fraction of the endpoint's limit,
/// `cached_fraction` the part of the prompt's blocks that the endpoint has cached.
pub fn placement_cost(load: f64, cached_fraction: f64, locality_weight: f64) -> f64 {
    load - cached_fraction * locality_weight
}
