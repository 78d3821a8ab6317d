//! Blocks of one size for bodies. Freed blocks are kept and reused.

use bytes::{Bytes, BytesMut};

/// Size of a block in bytes: a body wastes less than one, and a block costs one read.
pub(crate) const BLOCK_BYTES: usize = 32 * 1024;

/// Blocks that are free.
#[derive(Debug, Default)]
pub(super) struct FreeBlocks {
    blocks: Vec<BytesMut>,
}

impl FreeBlocks {
    pub(super) fn bytes(&self) -> usize {
        self.blocks.len() * BLOCK_BYTES
    }

    pub(super) fn take(&mut self) -> Option<BytesMut> {
        self.blocks.pop()
    }

    /// Adds the block of a segment of which nobody else has a part.
    pub(super) fn put(&mut self, segment: Bytes) {
        if let Ok(block) = segment.try_into_mut() {
            self.put_block(block);
        }
    }

    pub(super) fn put_block(&mut self, mut block: BytesMut) {
        block.clear();
        // Takes up the whole block again after a part of it was split off.
        if block.try_reclaim(BLOCK_BYTES) {
            self.blocks.push(block);
        }
    }

    /// Returns blocks of at least `bytes`, or all, to the allocator.
    pub(super) fn release(&mut self, bytes: usize) {
        let kept = self.blocks.len().saturating_sub(bytes.div_ceil(BLOCK_BYTES));
        self.blocks.truncate(kept);
        if self.blocks.is_empty() {
            self.blocks = Vec::new();
        }
    }
}

/// Allocates a block.
pub(super) fn new_block() -> BytesMut {
    BytesMut::with_capacity(BLOCK_BYTES)
}
