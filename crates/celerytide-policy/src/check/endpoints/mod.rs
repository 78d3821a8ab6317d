//! Model of endpoints: which ones are closed, and the limit of each.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, PermitId};

use super::{Entry, Event, Rule};
use crate::options::Options;
use crate::plan::EndpointPlan;
use crate::request::{Ended, Grant, LoadReport, Trust, WarmLimit};

#[derive(Debug)]
struct EndpointModel {
    plan: EndpointPlan,
    is_listed: bool,
    in_flight: u32,
    limit: u32,
    successes_needed: u32,
    /// Number of cold starts; only responses to work granted after the latest one count.
    epoch: u32,
    /// Whether the pool may have dropped it since its latest cold start.
    maybe_dropped: bool,
    started: Option<u64>,
    observed: u64,
    last_activity: BootTime,
    /// Responses before this time don't count towards the end of the cold start.
    cold_until: BootTime,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointId,
    epoch: u32,
    counted: bool,
}

/// Replays endpoints and the work on them.
#[derive(Debug)]
pub(super) struct Model {
    rows: HashMap<EndpointId, EndpointModel>,
    running: HashMap<PermitId, Running>,
    trust: Trust,
    successes_per_slot: u32,
    silence: Duration,
    cold_min: Duration,
    is_planned: bool,
    has_limits: bool,
}

impl EndpointModel {
    fn mark_cold(&mut self, now: BootTime, successes_per_slot: u32, cold_min: Duration) {
        self.cold_until = now.after(cold_min);
        self.limit = cold_limit(&self.plan);
        self.successes_needed = successes_to_warm(&self.plan, successes_per_slot);
        self.epoch += 1;
        self.maybe_dropped = false;
    }

    fn grant_limit(&self, trust: Trust) -> u32 {
        match trust {
            Trust::Stale if self.successes_needed > 0 => 0,
            Trust::Taking { .. } if self.successes_needed > 0 => self.limit / 2,
            _ => self.limit,
        }
    }

    fn record_success(&mut self) {
        if self.successes_needed > 0 {
            self.successes_needed -= 1;
        } else {
            self.limit = (self.limit + 1).min(self.plan.slots.max(1));
        }
    }

    fn update_plan(&mut self, plan: EndpointPlan, successes_per_slot: u32) {
        self.limit = self.limit.clamp(cold_limit(&plan), plan.slots.max(1));
        if self.successes_needed > 0 {
            let (before, after) = (
                successes_to_warm(&self.plan, successes_per_slot),
                successes_to_warm(&plan, successes_per_slot),
            );
            self.successes_needed = (self.successes_needed + after).saturating_sub(before).max(1);
            self.limit = cold_limit(&plan);
        }
        if !self.is_listed {
            // The pool may have dropped it, and then the first report since proves no restart.
            self.started = None;
            self.maybe_dropped = true;
        }
        self.plan = plan;
        self.is_listed = true;
    }
}

/// Whole responses that end a cold start under this plan.
fn successes_to_warm(plan: &EndpointPlan, successes_per_slot: u32) -> u32 {
    cold_limit(plan).saturating_mul(successes_per_slot).max(1)
}

/// Requests that an endpoint of this plan handles when cold.
fn cold_limit(plan: &EndpointPlan) -> u32 {
    plan.cold_slots.clamp(1, plan.slots.max(1))
}

impl Model {
    pub fn new(opts: &Options) -> Model {
        Model {
            rows: HashMap::new(),
            running: HashMap::new(),
            trust: Trust::Settled,
            successes_per_slot: opts.cold_successes_per_slot,
            silence: opts.silence,
            cold_min: opts.cold_min,
            is_planned: false,
            has_limits: opts.baseline.is_none(),
        }
    }

    pub fn step(&mut self, entry: &Entry, report: &mut impl FnMut(Rule, String)) {
        match &entry.event {
            Event::Applied(plan) => self.apply(entry.at, &plan.endpoints),
            Event::Trusted(trust) => self.trust = *trust,
            Event::Granted(grant) => self.grant(entry.at, grant, report),
            Event::Adopted(permit, endpoint, _) => {
                self.mark_cold_if_silent(entry.at, endpoint);
                self.add_permit(*permit, endpoint);
            }
            Event::WarmLimitRestored(warm) => self.restore_warm_limit(warm),
            Event::Orphaned(permit) => self.uncount(*permit),
            Event::Progressed(permit, _) => self.record_permit_activity(entry.at, *permit),
            Event::Settled(permit, ended) => self.settle(entry.at, *permit, *ended),
            Event::Reported(endpoint, load) => self.on_reported(entry.at, endpoint, load),
            _ => {}
        }
    }

    fn apply(&mut self, now: BootTime, plans: &[EndpointPlan]) {
        self.unlist_unplanned(plans);
        let is_first = !std::mem::replace(&mut self.is_planned, true);
        for plan in plans {
            if let Some(row) = self.rows.get_mut(&plan.id) {
                row.update_plan(plan.clone(), self.successes_per_slot);
                continue;
            }
            let mut row = EndpointModel {
                plan: plan.clone(),
                is_listed: true,
                in_flight: 0,
                limit: 0,
                successes_needed: 0,
                epoch: 0,
                maybe_dropped: false,
                started: None,
                observed: 0,
                last_activity: now,
                cold_until: now,
            };
            let cold_min = if is_first { Duration::ZERO } else { self.cold_min };
            row.mark_cold(now, self.successes_per_slot, cold_min);
            self.rows.insert(plan.id.clone(), row);
        }
    }

    /// Restores the limit of a previous owner for an endpoint that has not turned cold since it was added.
    fn restore_warm_limit(&mut self, warm: &WarmLimit) {
        let unchanged = self
            .rows
            .get_mut(&warm.endpoint)
            .filter(|row| row.epoch == 1 || row.maybe_dropped);
        if let Some(row) = unchanged {
            row.successes_needed = 0;
            row.limit = warm.limit.clamp(cold_limit(&row.plan), row.plan.slots.max(1));
            row.started = row.started.or(warm.started_unix_ms);
        }
    }

    fn unlist_unplanned(&mut self, plans: &[EndpointPlan]) {
        for (id, row) in &mut self.rows {
            row.is_listed &= plans.iter().any(|plan| plan.id == *id);
        }
    }

    fn grant(&mut self, now: BootTime, grant: &Grant, report: &mut impl FnMut(Rule, String)) {
        self.mark_cold_if_silent(now, &grant.endpoint);
        let trust = self.trust;
        let Some(row) = self.rows.get_mut(&grant.endpoint) else {
            report(Rule::ClosedEndpoint, format!("{} is unknown", grant.endpoint));
            return;
        };
        if !row.plan.open || !row.is_listed {
            report(Rule::ClosedEndpoint, format!("{} got a grant", grant.endpoint));
        }
        let grant_limit = row.grant_limit(trust);
        if self.has_limits && row.in_flight >= grant_limit {
            let detail = format!(
                "{} has {} permits, beyond its limit of {grant_limit}",
                grant.endpoint,
                row.in_flight + 1
            );
            report(Rule::ColdLimit, detail);
        }
        if row.in_flight == 0 {
            row.last_activity = now;
        }
        self.add_permit(grant.permit, &grant.endpoint);
    }

    /// An endpoint without activity is cold from the end of the allowed silence on, whenever the pool notices it.
    fn mark_cold_if_silent(&mut self, now: BootTime, endpoint: &str) {
        let Some(row) = self.rows.get_mut(endpoint) else { return };
        if now.since(row.last_activity) > self.silence {
            let since = row.last_activity.after(self.silence);
            row.mark_cold(since, self.successes_per_slot, self.cold_min);
            row.last_activity = now;
        }
    }

    fn add_permit(&mut self, permit: PermitId, endpoint: &str) {
        let Some(row) = self.rows.get_mut(endpoint) else { return };
        row.in_flight += 1;
        let running = Running {
            endpoint: endpoint.to_owned(),
            epoch: row.epoch,
            counted: true,
        };
        self.running.insert(permit, running);
    }

    /// An orphaned permit may be released at any time, so the model no longer counts it.
    fn uncount(&mut self, permit: PermitId) {
        let Some(running) = self.running.get_mut(&permit) else {
            return;
        };
        let was_counted = std::mem::replace(&mut running.counted, false);
        if let Some(row) = self.rows.get_mut(&running.endpoint) {
            row.in_flight -= u32::from(was_counted);
        }
    }

    fn record_permit_activity(&mut self, now: BootTime, permit: PermitId) {
        let endpoint = self.running.get(&permit).map(|running| running.endpoint.clone());
        if let Some(endpoint) = endpoint {
            self.record_activity(now, &endpoint);
        }
    }

    /// Records activity. Activity after too long a silence makes the endpoint cold.
    fn record_activity(&mut self, now: BootTime, endpoint: &str) {
        self.mark_cold_if_silent(now, endpoint);
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.last_activity = now;
        }
    }

    fn settle(&mut self, now: BootTime, permit: PermitId, ended: Ended) {
        if matches!(ended, Ended::Whole { .. }) {
            self.record_permit_activity(now, permit);
        }
        self.uncount(permit);
        let Some(running) = self.running.remove(&permit) else {
            return;
        };
        let Some(row) = self.rows.get_mut(&running.endpoint) else {
            return;
        };
        match ended {
            Ended::Whole { .. } if running.epoch == row.epoch && now >= row.cold_until => row.record_success(),
            Ended::Whole { .. } => {}
            Ended::Failed | Ended::NotStarted | Ended::BrokeOff => {
                row.mark_cold(now, self.successes_per_slot, self.cold_min)
            }
            Ended::Slow | Ended::Cancelled => {}
        }
    }

    fn on_reported(&mut self, now: BootTime, endpoint: &str, load: &LoadReport) {
        let Some(row) = self.rows.get(endpoint) else { return };
        if row.started.is_some() && load.observed_unix_ms < row.observed {
            return;
        }
        self.record_activity(now, endpoint);
        let Some(row) = self.rows.get_mut(endpoint) else { return };
        row.observed = load.observed_unix_ms;
        let restarted = row
            .started
            .replace(load.started_unix_ms)
            .is_some_and(|seen| seen != load.started_unix_ms);
        if restarted || load.cold == Some(true) {
            row.mark_cold(now, self.successes_per_slot, self.cold_min);
        }
    }
}
