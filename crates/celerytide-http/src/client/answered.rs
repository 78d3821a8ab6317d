//! Requests that were answered on one connection.
//!
//! An endpoint may write an answer twice. The second one comes in front of the answer to a later request, and its id tells
//! them apart only if that is another request. A request that is sent once more therefore never uses a connection on which
//! it was answered before. After a failure callers send again, so that all failures are remembered; of the successes, which
//! are many, the last ones are.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use http::{HeaderValue, StatusCode};

/// Hash of a request's id.
pub(super) type IdHash = u64;

/// Most failures that a connection remembers; one with more isn't used again.
const MAX_FAILED: usize = 32;
/// Most successes that a connection remembers.
const MAX_SUCCEEDED: usize = 32;

/// Ids of the requests that were answered on one connection.
#[derive(Debug, Default)]
pub(super) struct Answered {
    failed: Vec<IdHash>,
    succeeded: VecDeque<IdHash>,
}

impl Answered {
    /// Records a request and the status of its answer.
    pub(super) fn insert(&mut self, id: IdHash, status: StatusCode) {
        if self.contains(id) {
            return;
        }
        if !status.is_success() {
            self.failed.push(id);
            return;
        }
        if self.succeeded.len() == MAX_SUCCEEDED {
            self.succeeded.pop_front();
        }
        self.succeeded.push_back(id);
    }

    /// Whether the request was answered on the connection, or one whose id has the same hash.
    pub(super) fn contains(&self, id: IdHash) -> bool {
        self.failed.contains(&id) || self.succeeded.contains(&id)
    }

    /// Whether there is no room for another failure.
    pub(super) fn is_full(&self) -> bool {
        self.failed.len() >= MAX_FAILED
    }
}

/// Hash of a request id.
pub(super) fn hash_id(id: &HeaderValue) -> IdHash {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}
