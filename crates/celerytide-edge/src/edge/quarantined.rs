//! Prompt blocks that are withheld: what is learned of them, told, and refused for them.

use celerytide_types::{BootTime, now_boot};
use tracing::{info, warn};

use super::Edge;
use crate::peers::digest::id_hash;
use crate::placement::shared_blocks;
use crate::protocol::Protocol;
use crate::quarantine::{BlockStatus, BreakOff, Change, SuspectEntry};
use crate::request::RoutedRequest;

impl<P: Protocol> Edge<P> {
    /// Whether the prompt of a request has a block under which engines crash.
    pub(super) fn is_withheld(&self, request: &RoutedRequest, now: BootTime) -> bool {
        let Some(block) = self.quarantine.borrow_mut().withheld(shared_ids(request), now) else {
            return false;
        };
        self.counters.withheld_requests.inc();
        info!(
            request = request.id,
            block = hex(block),
            "quarantine: a request is withheld"
        );
        true
    }

    /// Records that an endpoint of `service` broke off a response to a request; returns whether the request may be sent
    /// again.
    pub fn record_break_off(&self, service: &str, request: &RoutedRequest, at: BreakOff) -> bool {
        if !at.is_suspicious() {
            return true;
        }
        let service = id_hash(service);
        let blocks: Vec<u64> = shared_ids(request).collect();
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_crash(service, &blocks, at.endpoint, now_boot());
        drop(quarantine);
        self.note_changes(&changes, "response");
        let may_repeat = self.quarantine.borrow().allows_repeat(shared_ids(request));
        if !may_repeat {
            info!(request = request.id, "quarantine: a suspected request isn't sent again");
        }
        may_repeat
    }

    /// Records that a response of `service` to a request went on.
    pub fn record_good_response(&self, service: &str, request: &RoutedRequest) {
        let service = id_hash(service);
        let blocks: Vec<u64> = shared_ids(request).collect();
        let changes = self.quarantine.borrow_mut().record_good(service, &blocks, now_boot());
        self.note_changes(&changes, "response");
    }

    /// Applies what a peer tells of blocks.
    pub fn apply_told_suspects(&self, told: &[SuspectEntry]) {
        let changes = self.quarantine.borrow_mut().learn(told, now_boot());
        self.note_changes(&changes, "peer");
    }

    /// Blocks to tell other instances now.
    pub fn suspects_to_tell(&self, now: BootTime) -> Vec<SuspectEntry> {
        self.quarantine.borrow_mut().entries(now)
    }

    /// Forgets what is known of blocks that nobody has asked for in a long time.
    pub(super) fn sweep_quarantine(&self, now: BootTime) {
        let changes = self.quarantine.borrow_mut().sweep(now);
        self.note_changes(&changes, "age");
    }

    fn note_changes(&self, changes: &[Change], source: &'static str) {
        for change in changes {
            let (block, crashes, resets) = (hex(change.block), change.crashes, change.resets);
            match change.status {
                BlockStatus::Suspected => info!(block, crashes, resets, source, "quarantine: a block is suspected"),
                BlockStatus::Withheld => warn!(block, crashes, resets, source, "quarantine: a block is withheld"),
                BlockStatus::Released => warn!(block, crashes, resets, source, "quarantine: a block is released"),
            }
        }
        if !changes.is_empty() {
            let count = self.quarantine.borrow().withheld_count();
            self.counters.withheld_blocks.set(count as i64);
        }
    }
}

/// Ids of the blocks that the prompt may share with others.
fn shared_ids(request: &RoutedRequest) -> impl Iterator<Item = u64> {
    shared_blocks(&request.prompt).iter().map(|block| block.id)
}

fn hex(block: u64) -> String {
    format!("{block:x}")
}
