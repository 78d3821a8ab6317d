//! Model of endpoints: which are closed, and how much each bears.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, PermitId};

use super::{Entry, Event, Rule};
use crate::ask::{Ended, Grant, LoadReport, Trust, Warmth};
use crate::options::Options;
use crate::plan::EndpointPlan;

#[derive(Debug)]
struct Row {
    plan: EndpointPlan,
    named: bool,
    in_flight: u32,
    bears: u32,
    missing: u32,
    /// Number of cold starts; only work granted after the last one counts as evidence.
    epoch: u32,
    /// Whether the pool may have forgotten it since its last cold start.
    forgotten: bool,
    started: Option<u64>,
    observed: u64,
    last_sign: BootTime,
    /// Answers until then are no evidence.
    cold_until: BootTime,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointId,
    epoch: u32,
    counted: bool,
}

/// Endpoints and the work on them, replayed.
#[derive(Debug)]
pub(super) struct Model {
    rows: HashMap<EndpointId, Row>,
    running: HashMap<PermitId, Running>,
    trust: Trust,
    per_slot: u32,
    silence: Duration,
    least: Duration,
    is_planned: bool,
    bounded: bool,
}

impl Row {
    fn chill(&mut self, now: BootTime, per_slot: u32, least: Duration) {
        self.cold_until = now.after(least);
        self.bears = cold_bound(&self.plan);
        self.missing = needed(&self.plan, per_slot);
        self.epoch += 1;
        self.forgotten = false;
    }

    fn bound(&self, trust: Trust) -> u32 {
        match trust {
            Trust::Stale if self.missing > 0 => 0,
            Trust::Taking { .. } if self.missing > 0 => self.bears / 2,
            _ => self.bears,
        }
    }

    fn succeed(&mut self) {
        if self.missing > 0 {
            self.missing -= 1;
        } else {
            self.bears = (self.bears + 1).min(self.plan.slots.max(1));
        }
    }

    fn replan(&mut self, plan: EndpointPlan, per_slot: u32) {
        self.bears = self.bears.clamp(cold_bound(&plan), plan.slots.max(1));
        if self.missing > 0 {
            let (before, after) = (needed(&self.plan, per_slot), needed(&plan, per_slot));
            self.missing = (self.missing + after).saturating_sub(before).max(1);
            self.bears = cold_bound(&plan);
        }
        if !self.named {
            // The pool may have forgotten it, and its first report since then tells nothing.
            self.started = None;
            self.forgotten = true;
        }
        self.plan = plan;
        self.named = true;
    }
}

/// Whole answers that end a cold start under this plan.
fn needed(plan: &EndpointPlan, per_slot: u32) -> u32 {
    cold_bound(plan).saturating_mul(per_slot).max(1)
}

/// Requests that an endpoint of this plan bears when cold.
fn cold_bound(plan: &EndpointPlan) -> u32 {
    plan.cold_slots.clamp(1, plan.slots.max(1))
}

impl Model {
    pub fn new(opts: &Options) -> Model {
        Model {
            rows: HashMap::new(),
            running: HashMap::new(),
            trust: Trust::Settled,
            per_slot: opts.cold_successes_per_slot,
            silence: opts.silence,
            least: opts.cold_min,
            is_planned: false,
            bounded: opts.baseline.is_none(),
        }
    }

    pub fn step(&mut self, entry: &Entry, report: &mut impl FnMut(Rule, String)) {
        match &entry.event {
            Event::Applied(plan) => self.apply(entry.at, &plan.endpoints),
            Event::Trusted(trust) => self.trust = *trust,
            Event::Granted(grant) => self.grant(entry.at, grant, report),
            Event::Adopted(permit, endpoint, _) => {
                self.chill_if_silent(entry.at, endpoint);
                self.run(*permit, endpoint);
            }
            Event::TakenOver(warmth) => self.take_over(warmth),
            Event::Orphaned(permit) => self.uncount(*permit),
            Event::Progressed(permit, _) => self.sign(entry.at, *permit),
            Event::Settled(permit, ended) => self.settle(entry.at, *permit, *ended),
            Event::Reported(endpoint, load) => self.reported(entry.at, endpoint, load),
            _ => {}
        }
    }

    fn apply(&mut self, now: BootTime, plans: &[EndpointPlan]) {
        self.drop_unnamed(plans);
        let is_first = !std::mem::replace(&mut self.is_planned, true);
        for plan in plans {
            if let Some(row) = self.rows.get_mut(&plan.id) {
                row.replan(plan.clone(), self.per_slot);
                continue;
            }
            let mut row = Row {
                plan: plan.clone(),
                named: true,
                in_flight: 0,
                bears: 0,
                missing: 0,
                epoch: 0,
                forgotten: false,
                started: None,
                observed: 0,
                last_sign: now,
                cold_until: now,
            };
            let least = if is_first { Duration::ZERO } else { self.least };
            row.chill(now, self.per_slot, least);
            self.rows.insert(plan.id.clone(), row);
        }
    }

    /// A former owner's word holds for an endpoint that was never seen to turn cold here.
    fn take_over(&mut self, warmth: &Warmth) {
        let first = self
            .rows
            .get_mut(&warmth.endpoint)
            .filter(|row| row.epoch == 1 || row.forgotten);
        if let Some(row) = first {
            row.missing = 0;
            row.bears = warmth.limit.clamp(cold_bound(&row.plan), row.plan.slots.max(1));
            row.started = row.started.or(warmth.started_unix_ms);
        }
    }

    fn drop_unnamed(&mut self, plans: &[EndpointPlan]) {
        for (id, row) in &mut self.rows {
            row.named &= plans.iter().any(|plan| plan.id == *id);
        }
    }

    fn grant(&mut self, now: BootTime, grant: &Grant, report: &mut impl FnMut(Rule, String)) {
        self.chill_if_silent(now, &grant.endpoint);
        let trust = self.trust;
        let Some(row) = self.rows.get_mut(&grant.endpoint) else {
            report(Rule::ClosedEndpoint, format!("{} is unknown", grant.endpoint));
            return;
        };
        if !row.plan.open || !row.named {
            report(Rule::ClosedEndpoint, format!("{} got a grant", grant.endpoint));
        }
        let bound = row.bound(trust);
        if self.bounded && row.in_flight >= bound {
            let what = format!("{} has {} and bears {bound}", grant.endpoint, row.in_flight + 1);
            report(Rule::ColdBound, what);
        }
        if row.in_flight == 0 {
            row.last_sign = now;
        }
        self.run(grant.permit, &grant.endpoint);
    }

    /// A silent endpoint was cold from the end of the bound on, whenever the pool looked.
    fn chill_if_silent(&mut self, now: BootTime, endpoint: &str) {
        let Some(row) = self.rows.get_mut(endpoint) else { return };
        if now.since(row.last_sign) > self.silence {
            let since = row.last_sign.after(self.silence);
            row.chill(since, self.per_slot, self.least);
            row.last_sign = now;
        }
    }

    fn run(&mut self, permit: PermitId, endpoint: &str) {
        let Some(row) = self.rows.get_mut(endpoint) else { return };
        row.in_flight += 1;
        let running = Running {
            endpoint: endpoint.to_owned(),
            epoch: row.epoch,
            counted: true,
        };
        self.running.insert(permit, running);
    }

    /// An orphan may be released at any time, so the model counts it no longer.
    fn uncount(&mut self, permit: PermitId) {
        let Some(running) = self.running.get_mut(&permit) else {
            return;
        };
        let was_counted = std::mem::replace(&mut running.counted, false);
        if let Some(row) = self.rows.get_mut(&running.endpoint) {
            row.in_flight -= u32::from(was_counted);
        }
    }

    fn sign(&mut self, now: BootTime, permit: PermitId) {
        let endpoint = self.running.get(&permit).map(|running| running.endpoint.clone());
        if let Some(endpoint) = endpoint {
            self.sign_of(now, &endpoint);
        }
    }

    /// A sign of life; one that ends too long a silence makes the endpoint cold.
    fn sign_of(&mut self, now: BootTime, endpoint: &str) {
        self.chill_if_silent(now, endpoint);
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.last_sign = now;
        }
    }

    fn settle(&mut self, now: BootTime, permit: PermitId, ended: Ended) {
        if matches!(ended, Ended::Whole { .. }) {
            self.sign(now, permit);
        }
        self.uncount(permit);
        let Some(running) = self.running.remove(&permit) else {
            return;
        };
        let Some(row) = self.rows.get_mut(&running.endpoint) else {
            return;
        };
        match ended {
            Ended::Whole { .. } if running.epoch == row.epoch && now >= row.cold_until => row.succeed(),
            Ended::Whole { .. } => {}
            Ended::Failed | Ended::NotStarted => row.chill(now, self.per_slot, self.least),
            Ended::Slow | Ended::Cancelled => {}
        }
    }

    fn reported(&mut self, now: BootTime, endpoint: &str, load: &LoadReport) {
        let Some(row) = self.rows.get(endpoint) else { return };
        if row.started.is_some() && load.observed_unix_ms < row.observed {
            return;
        }
        self.sign_of(now, endpoint);
        let Some(row) = self.rows.get_mut(endpoint) else { return };
        row.observed = load.observed_unix_ms;
        let restarted = row
            .started
            .replace(load.started_unix_ms)
            .is_some_and(|seen| seen != load.started_unix_ms);
        if restarted || load.cold == Some(true) {
            row.chill(now, self.per_slot, self.least);
        }
    }
}
