//! The gates of a pool's endpoints: what a cold endpoint may get by the owner's standing and the endpoint's own reports.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_membership::ownership::{ColdGate, GateOptions, OwnershipState};
use celerytide_policy::{LoadReport, PoolPlan};
use celerytide_types::{BootTime, EndpointId, now_unix_ms};

/// Gates by endpoint.
#[derive(Default)]
pub(super) struct Gates {
    gates: BTreeMap<EndpointId, Gated>,
}

struct Gated {
    bound: u32,
    gate: ColdGate,
}

impl Gates {
    /// Follows a plan; endpoints that it doesn't name lose their gates.
    pub(super) fn plan(&mut self, now: BootTime, plan: &PoolPlan, reports: bool) {
        let opts = GateOptions {
            reports,
            ..GateOptions::default()
        };
        self.gates.retain(|id, _| plan.endpoints.iter().any(|e| e.id == *id));
        for endpoint in &plan.endpoints {
            let new = || Gated {
                bound: 0,
                gate: ColdGate::new(now, opts),
            };
            self.gates.entry(endpoint.id.clone()).or_insert_with(new).bound = endpoint.cold_slots;
        }
    }

    pub(super) fn stand(&mut self, now: BootTime, standing: OwnershipState) {
        for gated in self.gates.values_mut() {
            gated.gate.record_state(now, standing);
        }
    }

    pub(super) fn report(&mut self, now: BootTime, endpoint: &str, load: &LoadReport) {
        let age = Duration::from_millis(now_unix_ms().saturating_sub(load.observed_unix_ms));
        if let Some(gated) = self.gates.get_mut(endpoint) {
            gated
                .gate
                .record_report(now, load.running.saturating_add(load.waiting), age);
        }
    }

    /// Runs `each` with every endpoint, what it bears while cold, and its gate.
    pub(super) fn each(&mut self, mut each: impl FnMut(&str, u32, &mut ColdGate)) {
        for (endpoint, gated) in &mut self.gates {
            each(endpoint, gated.bound, &mut gated.gate);
        }
    }
}
