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
    /// The record may have been written before the removal.
    Unproven {
        /// Highest known sequence of the record's start.
        newest: Option<Sequence>,
    },
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

    /// Forgets an endpoint that has a record again. `None` unless this start of it, or a later one, was removed recently.
    pub fn take(&mut self, endpoint: &Endpoint, now: BootTime) -> Option<Return> {
        let Removal { known, at } = self.by_id.remove(&endpoint.id)?;
        if endpoint.start > known.endpoint.start || now.since(at) >= KEEP_TIME {
            return None;
        }
        let is_same_start = endpoint.start == known.endpoint.start;
        let is_known = is_same_start && endpoint.sequence.is_some() && endpoint.sequence == known.newest;
        if is_known && at == now {
            return Some(Return::Repeated(known));
        }
        let newest = known.newest.filter(|_| is_same_start);
        Some(Return::Unproven {
            newest: newest.max(endpoint.sequence),
        })
    }
}
