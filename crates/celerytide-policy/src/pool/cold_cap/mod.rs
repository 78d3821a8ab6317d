//! Caps on the permits of cold endpoints that the owner of the pool sets, and the counts that it needs to compute them.

use super::Pool;
use crate::status::EndpointState;

impl Pool {
    /// Caps the permits in flight at the endpoint while it is cold, in addition to all other limits. Without a call
    /// there is no cap.
    pub fn set_cold_cap(&mut self, endpoint: &str, cap: u32) {
        let Some(idx) = self.table.find(endpoint) else { return };
        if self.table.get(idx).is_none_or(|row| row.cold_cap == cap) {
            return;
        }
        self.table.update(idx, |row| row.cold_cap = cap);
    }

    /// Number of permits in flight, including adopted and orphaned ones.
    pub fn in_flight(&self) -> u64 {
        self.active_permits.len() as u64
    }

    /// Number of permits counted against the endpoint.
    pub fn in_flight_at(&self, endpoint: &str) -> u32 {
        let idx = self.table.find(endpoint);
        idx.and_then(|idx| self.table.get(idx)).map_or(0, |row| row.in_flight)
    }

    /// Permits that the endpoint handles at once, or `None` unless it is warm.
    pub fn warm_limit_at(&self, endpoint: &str) -> Option<u32> {
        let row = self.table.find(endpoint).and_then(|idx| self.table.get(idx))?;
        (row.state() == EndpointState::Warm).then(|| row.ramp.limit())
    }

    /// Whether an open endpoint is in cold start.
    pub fn has_cold(&self) -> bool {
        self.table
            .iter()
            .any(|row| row.accepts_requests() && row.ramp.is_cold())
    }
}
