//! Remembers removed endpoints for as long as a backup of the store may contain their records, or a late write may bring
//! them back.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId};

use super::{Endpoint, KnownEndpoint, Sequence};

/// Time for which a removed endpoint is remembered.
const KEEP_TIME: Duration = Duration::from_secs(120);
/// Most endpoints that are remembered.
const MAX_ENDPOINTS: usize = 1024;

/// Recently removed endpoints.
#[derive(Debug, Default)]
pub struct RemovedEndpoints {
    by_id: BTreeMap<EndpointId, Removal>,
}

/// What was known of an endpoint, and when it was removed.
#[derive(Debug)]
struct Removal {
    known: KnownEndpoint,
    at: BootTime,
}

/// What the record of a removed endpoint means.
#[derive(Debug)]
pub enum Return {
    /// It was removed by an earlier change of the same update, which repeats changes that the view knew.
    Repeated(KnownEndpoint),
    /// The record was written before the removal.
    Older {
        /// Highest known sequence of the record's start.
        newest: Option<Sequence>,
    },
    /// The record is newer than the last one, and may have been written before the removal nevertheless.
    Unclear,
    /// Nothing tells the order of the two, or the endpoint was removed long ago.
    Unordered,
}

impl RemovedEndpoints {
    /// Records that an endpoint was removed.
    pub fn insert(&mut self, known: KnownEndpoint, now: BootTime) {
        self.by_id.retain(|_, removal| now.since(removal.at) < KEEP_TIME);
        if self.by_id.len() >= MAX_ENDPOINTS {
            self.remove_oldest();
        }
        let id = known.endpoint.id.clone();
        self.by_id.insert(id, Removal { known, at: now });
    }

    fn remove_oldest(&mut self) {
        let oldest = self.by_id.iter().min_by_key(|(_, removal)| removal.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }

    /// Forgets an endpoint that has a record again. `None` if it wasn't removed, or has started again since.
    pub fn take(&mut self, endpoint: &Endpoint, now: BootTime) -> Option<Return> {
        let Removal { known, at } = self.by_id.remove(&endpoint.id)?;
        if endpoint.start > known.endpoint.start {
            return None;
        }
        let is_same_start = endpoint.start == known.endpoint.start;
        let newest = known.newest.filter(|_| is_same_start);
        Some(match (newest, endpoint.sequence) {
            _ if now.since(at) >= KEEP_TIME => Return::Unordered,
            (Some(newest), Some(sequence)) if newest == sequence && at == now => Return::Repeated(known),
            (Some(newest), Some(sequence)) if newest < sequence => Return::Unclear,
            (None, None) if is_same_start => Return::Unordered,
            (newest, sequence) => Return::Older {
                newest: newest.max(sequence),
            },
        })
    }
}
