//! Placement: prefix locality against load.
//!
//! An endpoint that already holds a prompt's leading blocks skips their prefill, but a favourite must not be
//! overloaded while others idle. Each candidate's load is a fraction of its limit; a matched prefix counts against it
//! as the fraction of the prompt that need not be prefilled. Only work that this pool granted is remembered, because
//! cache events come late and with gaps; a wrong memory costs a prefill and nothing else.

use ahash::AHashMap;

/// Blocks of a prompt that are looked at.
pub const BLOCKS_MAX: usize = 64;
/// Endpoints remembered for one block.
const HOLDERS: usize = 4;
/// Marks an unused place among the holders.
const NOBODY: u32 = u32::MAX;
/// Blocks remembered in each of two generations.
const GENERATION: usize = 32 * 1024;

type Holders = [u32; HOLDERS];

/// An endpoint that holds the first blocks of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Number of leading blocks that it holds.
    pub blocks: usize,
}

/// Which endpoints were lately given which prompt blocks. Two generations bound its memory.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    young: AHashMap<u64, Holders>,
    old: AHashMap<u64, Holders>,
}

impl PrefixIndex {
    /// Remembers that the endpoint was given these blocks.
    pub fn note(&mut self, blocks: &[u64], endpoint: usize) {
        let Ok(endpoint) = u32::try_from(endpoint) else { return };
        for &block in blocks.iter().take(BLOCKS_MAX) {
            let mut holders = self.holders(block).unwrap_or([NOBODY; HOLDERS]);
            let at = holders.iter().position(|&held| held == endpoint).unwrap_or(HOLDERS - 1);
            holders.copy_within(0..at, 1);
            holders[0] = endpoint;
            self.young.insert(block, holders);
        }
        if self.young.len() >= GENERATION {
            self.old = std::mem::take(&mut self.young);
        }
    }

    /// Endpoints that hold the longest known start of these blocks; the latest given first.
    pub fn longest(&self, blocks: &[u64]) -> impl Iterator<Item = Match> + use<> {
        let seen = blocks.iter().take(BLOCKS_MAX);
        let known = seen.map_while(|&block| self.holders(block)).enumerate().last();
        let (blocks, holders) = known.map_or((0, [NOBODY; HOLDERS]), |(at, holders)| (at + 1, holders));
        let held = holders.into_iter().filter(|&endpoint| endpoint != NOBODY);
        held.map(move |endpoint| Match {
            endpoint: endpoint as usize,
            blocks,
        })
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn holders(&self, block: u64) -> Option<Holders> {
        self.young.get(&block).or_else(|| self.old.get(&block)).copied()
    }
}

/// Cost of placing a request: lower is better. `load` is a fraction of the limit, `matched` a fraction of the prompt.
pub fn cost(load: f64, matched: f64, locality_weight: f64) -> f64 {
    load - matched * locality_weight
}
