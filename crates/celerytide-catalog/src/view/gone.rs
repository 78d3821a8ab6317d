//! Endpoints that are gone, for as long as an older copy of the store may bring their entries back.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId};

use super::Endpoint;

/// Time for which an endpoint that is gone is remembered.
const KEPT: Duration = Duration::from_secs(120);
/// Endpoints that are remembered.
const MAX_KEPT: usize = 1024;

/// Endpoints that are gone.
#[derive(Debug, Default)]
pub struct Gone {
    by_id: BTreeMap<EndpointId, Last>,
}

/// The last that was known of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Last {
    start: Option<u64>,
    at: BootTime,
}

impl Gone {
    /// Notes that `endpoint` is gone.
    pub fn note(&mut self, endpoint: &Endpoint, now: BootTime) {
        self.by_id.retain(|_, last| now.since(last.at) < KEPT);
        if self.by_id.len() >= MAX_KEPT {
            self.by_id.pop_first();
        }
        let last = Last {
            start: endpoint.start,
            at: now,
        };
        self.by_id.insert(endpoint.id.clone(), last);
    }

    /// Whether this start of the endpoint, or a later one, was gone.
    pub fn holds(&self, endpoint: &Endpoint, now: BootTime) -> bool {
        let last = self.by_id.get(&endpoint.id);
        last.is_some_and(|last| endpoint.start <= last.start && now.since(last.at) < KEPT)
    }

    /// Forgets an endpoint that was written again.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }
}
