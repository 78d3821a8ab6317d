//! When responses to prompts with a block last went on.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::BootTime;

/// Time for which a good response is remembered; longer than a crash takes to be told.
const KEEP_TIME: Duration = Duration::from_secs(10);
/// Most blocks that are remembered.
const MAX_BLOCKS: usize = 8192;

/// The last good response of this instance for each block.
#[derive(Debug, Default)]
pub(super) struct GoodResponses {
    last: HashMap<u64, BootTime>,
}

impl GoodResponses {
    pub(super) fn record(&mut self, block: u64, now: BootTime) {
        if self.last.len() >= MAX_BLOCKS && !self.last.contains_key(&block) {
            self.sweep(now);
        }
        if self.last.len() < MAX_BLOCKS || self.last.contains_key(&block) {
            self.last.insert(block, now);
        }
    }

    pub(super) fn last(&self, block: u64) -> Option<BootTime> {
        self.last.get(&block).copied()
    }

    pub(super) fn sweep(&mut self, now: BootTime) {
        self.last.retain(|_, at| now.since(*at) < KEEP_TIME);
    }
}
