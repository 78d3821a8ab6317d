//! Requests that were answered with a failure on one connection.
//!
//! An endpoint may write such an answer twice. The second one comes in front of the answer to a later request, and its id
//! tells them apart only if that is another request. A request that is sent once more therefore never uses a connection on
//! which it was answered before.

use std::hash::{DefaultHasher, Hash, Hasher};

use http::HeaderValue;

/// Hash of a request's id.
pub(super) type IdHash = u64;

/// Most answers that a connection remembers; one with more isn't used again.
const MAX_ANSWERED: usize = 32;

/// Ids of the requests that were answered with a failure on one connection.
#[derive(Debug, Default)]
pub(super) struct Answered {
    ids: Vec<IdHash>,
}

impl Answered {
    /// Records a request.
    pub(super) fn insert(&mut self, id: IdHash) {
        if !self.contains(id) {
            self.ids.push(id);
        }
    }

    /// Whether the request was answered on the connection, or one whose id has the same hash.
    pub(super) fn contains(&self, id: IdHash) -> bool {
        self.ids.contains(&id)
    }

    /// Whether there is no room for another one.
    pub(super) fn is_full(&self) -> bool {
        self.ids.len() >= MAX_ANSWERED
    }
}

/// Hash of a request id.
pub(super) fn hash_id(id: &HeaderValue) -> IdHash {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}
