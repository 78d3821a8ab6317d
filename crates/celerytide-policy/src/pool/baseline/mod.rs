//! Baselines: what routers do without tiers, shares and ramps. For comparison only.

use celerytide_types::BootTime;
use rand::Rng;

use super::Pool;
use crate::ask::{AskId, Grant};
use crate::options::Baseline;

impl Pool {
    pub(super) fn next_baseline(&mut self, now: BootTime) -> Option<Grant> {
        let id = self.first_arrived()?;
        let queued = self.asks.get(&id)?;
        let class = queued.class;
        let avoids = self.avoids(&queued.ask);
        let at = self.baseline_endpoint(&avoids)?;
        self.grant(now, class, id, at)
    }

    fn first_arrived(&self) -> Option<AskId> {
        self.asks.keys().copied().min()
    }

    fn baseline_endpoint(&mut self, avoids: &[usize]) -> Option<usize> {
        let may = |at: &usize| !avoids.contains(at);
        if self.opts.baseline == Some(Baseline::FirstCome) {
            return self.table.with_room().find(may);
        }
        let is_open = |at: &usize| self.table.get(*at).is_some_and(|endpoint| endpoint.is_open());
        let open: Vec<usize> = self.table.indices().into_iter().filter(is_open).filter(may).collect();
        if open.is_empty() {
            return None;
        }
        let in_flight = |at: &usize| self.table.get(*at).map_or(u32::MAX, |endpoint| endpoint.in_flight);
        let turn = usize::try_from(self.grant_sequence).unwrap_or(0) % open.len();
        match self.opts.baseline {
            Some(Baseline::RoundRobin) => open.get(turn).copied(),
            Some(Baseline::LeastInFlight) => open.into_iter().min_by_key(in_flight),
            _ => open.get(self.rng.random_range(0..open.len())).copied(),
        }
    }
}
