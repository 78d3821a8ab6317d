//! Remembers removed endpoints for as long as a backup of the store may contain their records, or a late write may bring
//! them back.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId};

use super::{Endpoint, EndpointStart, KnownEndpoint, Sequence};

/// Time for which a removed endpoint is remembered.
const KEEP_TIME: Duration = Duration::from_secs(120);
/// Most endpoints that are remembered.
const MAX_ENDPOINTS: usize = 1024;

/// Recently removed endpoints.
#[derive(Debug, Default)]
pub struct RemovedEndpoints {
    by_id: BTreeMap<EndpointId, Removal>,
}

/// A removed endpoint, and when it was removed or a peer told that.
#[derive(Debug)]
struct Removal {
    start: Option<u64>,
    newest: Option<Sequence>,
    at: BootTime,
    /// What was known of it; `None` by the word of a peer.
    known: Option<KnownEndpoint>,
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
        let id = known.endpoint.id.clone();
        let removal = Removal {
            start: known.endpoint.start,
            newest: known.newest,
            at: now,
            known: Some(known),
        };
        self.keep(id, removal, now);
    }

    /// Records that a peer knows of a removal, unless one is known here.
    pub fn learn(&mut self, removed: EndpointStart, now: BootTime) {
        if !self.by_id.contains_key(&removed.id) {
            let EndpointStart { id, start, newest } = removed;
            let (at, known) = (now, None);
            let removal = Removal {
                start,
                newest,
                at,
                known,
            };
            self.keep(id, removal, now);
        }
    }

    fn keep(&mut self, id: EndpointId, removal: Removal, now: BootTime) {
        self.by_id.retain(|_, removal| now.since(removal.at) < KEEP_TIME);
        if self.by_id.len() >= MAX_ENDPOINTS {
            self.remove_oldest();
        }
        self.by_id.insert(id, removal);
    }

    /// Starts that were removed less than `age` ago.
    pub fn since(&self, age: Duration, now: BootTime) -> impl Iterator<Item = EndpointStart> + '_ {
        let recent = self
            .by_id
            .iter()
            .filter(move |(_, removal)| now.since(removal.at) < age);
        recent.map(|(id, removal)| EndpointStart {
            id: id.clone(),
            start: removal.start,
            newest: removal.newest,
        })
    }

    fn remove_oldest(&mut self) {
        let oldest = self.by_id.iter().min_by_key(|(_, removal)| removal.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }

    /// Forgets an endpoint that has a record again. `None` if it wasn't removed, or has started again since.
    pub fn take(&mut self, endpoint: &Endpoint, now: BootTime) -> Option<Return> {
        let removal = self.by_id.remove(&endpoint.id)?;
        if endpoint.start > removal.start {
            return None;
        }
        let is_same_start = endpoint.start == removal.start;
        let newest = removal.newest.filter(|_| is_same_start);
        let is_repeated = removal.at == now && newest.is_some() && newest == endpoint.sequence;
        if let Some(known) = removal.known.filter(|_| is_repeated) {
            return Some(Return::Repeated(known));
        }
        Some(match (newest, endpoint.sequence) {
            _ if now.since(removal.at) >= KEEP_TIME => Return::Unordered,
            (Some(newest), Some(sequence)) if newest < sequence => Return::Unclear,
            (None, None) if is_same_start => Return::Unordered,
            (newest, sequence) => Return::Older {
                newest: newest.max(sequence),
            },
        })
    }
}
