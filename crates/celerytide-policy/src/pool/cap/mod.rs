//! Caps from outside on what cold endpoints get, and the counts that the owner of the caps needs.

use super::Pool;
use crate::status::EndpointState;

impl Pool {
    /// Permits that may be in flight at the endpoint while it is cold, whatever else allows more. Without a call there is no cap.
    pub fn cap_cold(&mut self, endpoint: &str, cap: u32) {
        let Some(at) = self.table.find(endpoint) else { return };
        if self.table.get(at).is_none_or(|row| row.cold_cap == cap) {
            return;
        }
        self.table.update(at, |row| row.cold_cap = cap);
    }

    /// Permits in flight, adopted ones and orphans included.
    pub fn in_flight(&self) -> u64 {
        self.flights.len() as u64
    }

    /// Permits counted against the endpoint.
    pub fn in_flight_at(&self, endpoint: &str) -> u32 {
        let at = self.table.find(endpoint);
        at.and_then(|at| self.table.get(at)).map_or(0, |row| row.in_flight)
    }

    /// Permits that the endpoint bears at once, if it is warm.
    pub fn warm_limit_at(&self, endpoint: &str) -> Option<u32> {
        let row = self.table.find(endpoint).and_then(|at| self.table.get(at))?;
        (row.state() == EndpointState::Warm).then(|| row.ramp.limit())
    }

    /// Whether an open endpoint is in cold start.
    pub fn has_cold(&self) -> bool {
        self.table.iter().any(|row| row.is_open() && row.ramp.is_cold())
    }
}
