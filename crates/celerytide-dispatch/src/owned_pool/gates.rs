//! Gates of a pool's endpoints. A gate limits the permits of a cold endpoint by the ownership state and the endpoint's
//! load reports, so that work of another owner can't overload it.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_membership::ownership::{ColdGate, GateOptions, OwnershipState};
use celerytide_policy::{LoadReport, PoolPlan};
use celerytide_types::{BootTime, EndpointId, now_unix_ms};

/// Gates by endpoint.
#[derive(Default)]
pub(super) struct Gates {
    gates: BTreeMap<EndpointId, EndpointGate>,
}

struct EndpointGate {
    /// Permits that the endpoint handles at once while it is cold.
    cold_slots: u32,
    gate: ColdGate,
}

impl Gates {
    /// Adds gates for the endpoints of a plan and drops all others.
    pub(super) fn apply_plan(&mut self, now: BootTime, plan: &PoolPlan, has_load_reports: bool) {
        let opts = GateOptions {
            reports: has_load_reports,
            ..GateOptions::default()
        };
        self.gates.retain(|id, _| plan.endpoints.iter().any(|e| e.id == *id));
        for endpoint in &plan.endpoints {
            let new = || EndpointGate {
                cold_slots: 0,
                gate: ColdGate::new(now, opts),
            };
            self.gates.entry(endpoint.id.clone()).or_insert_with(new).cold_slots = endpoint.cold_slots;
        }
    }

    pub(super) fn set_ownership_state(&mut self, now: BootTime, ownership_state: OwnershipState) {
        for entry in self.gates.values_mut() {
            entry.gate.record_state(now, ownership_state);
        }
    }

    /// Records a load report. Its age comes from the wall clocks of both machines; it is zero if the endpoint's is
    /// ahead.
    pub(super) fn report(&mut self, now: BootTime, endpoint: &str, load: &LoadReport) {
        let age = Duration::from_millis(now_unix_ms().saturating_sub(load.observed_unix_ms));
        if let Some(entry) = self.gates.get_mut(endpoint) {
            entry
                .gate
                .record_report(now, load.running.saturating_add(load.waiting), age);
        }
    }

    /// Calls `f` with each endpoint, its cold slots and its gate.
    pub(super) fn for_each(&mut self, mut f: impl FnMut(&str, u32, &mut ColdGate)) {
        for (endpoint, entry) in &mut self.gates {
            f(endpoint, entry.cold_slots, &mut entry.gate);
        }
    }
}
