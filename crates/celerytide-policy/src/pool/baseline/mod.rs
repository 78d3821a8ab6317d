//! Baseline policies without tiers, shares and cold-start ramps, as common routers have them. For comparisons only.

use celerytide_types::BootTime;
use rand::Rng;

use super::Pool;
use crate::options::Baseline;
use crate::request::{Grant, PermitRequestId};

impl Pool {
    pub(super) fn next_baseline(&mut self, now: BootTime) -> Option<Grant> {
        let id = self.first_arrived()?;
        let queued = self.waiting.get(&id)?;
        let class = queued.class;
        let avoided_endpoints = self.avoided_endpoints(&queued.req);
        let idx = self.baseline_endpoint(&avoided_endpoints)?;
        self.grant(now, class, id, idx)
    }

    fn first_arrived(&self) -> Option<PermitRequestId> {
        self.waiting.keys().copied().min()
    }

    fn baseline_endpoint(&mut self, avoided_endpoints: &[usize]) -> Option<usize> {
        let allowed = |idx: &usize| !avoided_endpoints.contains(idx);
        if self.opts.baseline == Some(Baseline::FirstCome) {
            return self.table.with_room().find(allowed);
        }
        let accepts_requests = |idx: &usize| self.table.get(*idx).is_some_and(|endpoint| endpoint.accepts_requests());
        let open: Vec<usize> = self
            .table
            .indices()
            .into_iter()
            .filter(accepts_requests)
            .filter(allowed)
            .collect();
        if open.is_empty() {
            return None;
        }
        let in_flight = |idx: &usize| self.table.get(*idx).map_or(u32::MAX, |endpoint| endpoint.in_flight);
        let turn = usize::try_from(self.grant_sequence).unwrap_or(0) % open.len();
        match self.opts.baseline {
            Some(Baseline::RoundRobin) => open.get(turn).copied(),
            Some(Baseline::LeastInFlight) => open.into_iter().min_by_key(in_flight),
            _ => open.get(self.rng.random_range(0..open.len())).copied(),
        }
    }
}
