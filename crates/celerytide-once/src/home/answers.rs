//! Stored answers with a limit on their total bytes; the oldest are dropped first.

use std::collections::{HashMap, VecDeque};

use super::StoredAnswer;

/// Answers by the nonce of their ticket.
#[derive(Debug, Default)]
pub(super) struct AnswerStore {
    by_nonce: HashMap<u128, StoredAnswer>,
    order: VecDeque<u128>,
    bytes: usize,
}

impl AnswerStore {
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, nonce: u128) -> Option<StoredAnswer> {
        self.by_nonce.get(&nonce).cloned()
    }

    pub(super) fn put(&mut self, nonce: u128, answer: StoredAnswer, max_bytes: usize) {
        if answer.bytes() > max_bytes {
            return;
        }
        self.bytes += answer.bytes();
        self.by_nonce.insert(nonce, answer);
        self.order.push_back(nonce);
        while self.bytes > max_bytes {
            let Some(oldest) = self.order.pop_front() else { return };
            self.remove(oldest);
        }
    }

    pub(super) fn remove(&mut self, nonce: u128) {
        let Some(answer) = self.by_nonce.remove(&nonce) else {
            return;
        };
        self.bytes -= answer.bytes();
        self.order.retain(|kept| *kept != nonce);
    }
}
