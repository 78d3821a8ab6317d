//! Remembers removed endpoints for as long as a backup of the store may contain their records.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId};

use super::Endpoint;

/// Time for which a removed endpoint is remembered.
const KEEP_TIME: Duration = Duration::from_secs(120);
/// Most endpoints that are remembered.
const MAX_ENDPOINTS: usize = 1024;

/// Recently removed endpoints.
#[derive(Debug, Default)]
pub struct RemovedEndpoints {
    by_id: BTreeMap<EndpointId, Removal>,
}

/// Last known start of an endpoint, and when it was removed.
#[derive(Debug, Clone, Copy)]
struct Removal {
    start: Option<u64>,
    at: BootTime,
}

impl RemovedEndpoints {
    /// Records that `endpoint` was removed.
    pub fn insert(&mut self, endpoint: &Endpoint, now: BootTime) {
        self.by_id.retain(|_, removal| now.since(removal.at) < KEEP_TIME);
        if self.by_id.len() >= MAX_ENDPOINTS {
            self.by_id.pop_first();
        }
        let removal = Removal {
            start: endpoint.start,
            at: now,
        };
        self.by_id.insert(endpoint.id.clone(), removal);
    }

    /// Whether this start of the endpoint, or a later one, was removed recently.
    pub fn contains(&self, endpoint: &Endpoint, now: BootTime) -> bool {
        let removal = self.by_id.get(&endpoint.id);
        removal.is_some_and(|removal| endpoint.start <= removal.start && now.since(removal.at) < KEEP_TIME)
    }

    /// Forgets an endpoint whose record was written again.
    pub fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }
}
