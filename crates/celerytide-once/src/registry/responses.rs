//! Stored responses with a limit on their total bytes; the oldest are dropped first.

use std::collections::{HashMap, VecDeque};

use super::StoredResponse;

/// Responses by the nonce of their ticket.
#[derive(Debug, Default)]
pub(super) struct ResponseStore {
    by_nonce: HashMap<u128, StoredResponse>,
    order: VecDeque<u128>,
    bytes: usize,
}

impl ResponseStore {
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, nonce: u128) -> Option<StoredResponse> {
        self.by_nonce.get(&nonce).cloned()
    }

    pub(super) fn put(&mut self, nonce: u128, response: StoredResponse, max_bytes: usize) {
        if response.bytes() > max_bytes {
            return;
        }
        self.bytes += response.bytes();
        self.by_nonce.insert(nonce, response);
        self.order.push_back(nonce);
        while self.bytes > max_bytes {
            let Some(oldest) = self.order.pop_front() else { return };
            self.remove(oldest);
        }
    }

    pub(super) fn remove(&mut self, nonce: u128) {
        let Some(response) = self.by_nonce.remove(&nonce) else {
            return;
        };
        self.bytes -= response.bytes();
        self.order.retain(|kept| *kept != nonce);
    }
}
