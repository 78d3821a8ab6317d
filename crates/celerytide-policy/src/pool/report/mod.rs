//! Load reports of endpoints, and periodic checks for endpoints without activity.

use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, PermitId};

use super::Pool;
use crate::endpoint::Endpoint;
use crate::endpoint::observations::ReportEffect;
use crate::options::Options;
use crate::plan::EndpointPlan;
use crate::request::{LoadReport, WarmLimit};
use crate::status::EndpointState;

impl Pool {
    /// Applies a load report. Reports arrive late, so they can only lower trust: a changed start time or a report of
    /// being cold makes the endpoint cold, work that this pool didn't send lowers its limit, and orphaned permits that
    /// the endpoint no longer runs are released. Reports older than the latest one are ignored.
    pub fn report(&mut self, now: BootTime, endpoint: &str, load: LoadReport) {
        let Some(idx) = self.table.find(endpoint) else { return };
        let opts = &self.opts;
        let effect = self.table.update(idx, |row| {
            let effect = row.observations.report(now, &load);
            row.apply_report_effect(now, opts, effect);
            row.extend_cold_start(now, opts, &load);
            effect
        });
        match effect {
            Some(ReportEffect::Restarted) => self.release_all_orphans(idx),
            Some(ReportEffect::Normal | ReportEffect::Cold) => self.release_missing(idx, &load),
            _ => {}
        }
    }

    /// Limits of the warm endpoints, for the next owner of the pool.
    pub fn warm_limits(&self) -> Vec<WarmLimit> {
        let warm = self.table.iter().filter(|row| row.state() == EndpointState::Warm);
        let warm_limits = warm.map(|row| WarmLimit {
            endpoint: row.plan.id.clone(),
            limit: row.ramp.limit(),
            started_unix_ms: row.observations.started_unix_ms(),
        });
        warm_limits.collect()
    }

    /// Restores the limits of a previous owner at a planned change of owners. A limit applies only to an endpoint about
    /// which nothing contrary is known here: a failure, a cold start or another start time takes precedence. Returns
    /// the endpoints whose limit was restored.
    pub fn restore_warm_limits(&mut self, warm_limits: &[WarmLimit]) -> Vec<EndpointId> {
        let mut restored = Vec::new();
        for known in warm_limits {
            let Some(idx) = self.table.find(&known.endpoint) else {
                continue;
            };
            if self.table.update(idx, |row| row.restore_warm_limit(known)) == Some(true) {
                restored.push(known.endpoint.clone());
            }
        }
        restored
    }

    /// Marks endpoints without recent activity as cold, and drops removed endpoints without permits.
    pub(super) fn sweep(&mut self, now: BootTime) {
        let lag = self.opts.report_lag;
        for idx in self.table.indices() {
            self.mark_cold_if_silent(now, idx);
            self.table.update(idx, |row| row.observations.forget_report(now, lag));
            let silence = self.opts.silence;
            let row = self.table.get(idx);
            if row.is_some_and(|row| row.is_removed && row.in_flight == 0 && now.since(row.last_activity) > silence) {
                self.table.remove(idx);
                self.backoffs.retain(|&(_, other)| other != idx);
            }
        }
    }

    /// Marks an endpoint as cold that had no activity for too long. This also restarts a cold start, because responses
    /// from before the silence no longer count. Returns whether it did.
    pub(super) fn mark_cold_if_silent(&mut self, now: BootTime, idx: usize) -> bool {
        let silence = self.opts.silence;
        let exceeds_silence = |row: &Endpoint| now.since(row.last_activity) > silence;
        let cold_min = self.opts.cold_min;
        let is_silent = self.table.get(idx).is_some_and(exceeds_silence);
        if is_silent {
            self.table.update(idx, |row| {
                row.mark_cold(now, cold_min);
                row.last_activity = now;
            });
        }
        is_silent
    }

    /// Inserts an endpoint that no plan names, so that its work can be counted.
    pub(super) fn insert_unplanned(&mut self, now: BootTime, id: &str) -> usize {
        let plan = EndpointPlan {
            id: id.to_owned(),
            zone: String::new(),
            slots: 1,
            cold_slots: 1,
            prefill_tokens: 0,
            resumes: false,
            open: false,
        };
        let mut endpoint = Endpoint::new(now, plan, &self.opts);
        endpoint.is_removed = true;
        self.table.insert(endpoint)
    }

    fn release_all_orphans(&mut self, idx: usize) {
        for permit in self.orphans_of(idx) {
            self.release(permit);
        }
    }

    /// Releases orphaned permits that the endpoint no longer runs, if the report was made long enough after their
    /// connections were lost.
    fn release_missing(&mut self, idx: usize, load: &LoadReport) {
        let reported = load.running.saturating_add(load.waiting);
        let counted = self.table.get(idx).map_or(0, |row| row.in_flight);
        let missing = counted.saturating_sub(reported) as usize;
        let lag_ms = self.opts.report_lag_ms();
        let is_proven = |permit: &PermitId| {
            let orphaned = self.active_permits.get(permit).and_then(|active| active.orphaned);
            let before = orphaned.and_then(|orphan| orphan.observed_unix_ms);
            before.is_some_and(|before| load.observed_unix_ms >= before.saturating_add(lag_ms))
        };
        let ended: Vec<PermitId> = self
            .orphans_of(idx)
            .into_iter()
            .filter(is_proven)
            .take(missing)
            .collect();
        for permit in ended {
            self.release(permit);
        }
    }

    fn orphans_of(&self, idx: usize) -> Vec<PermitId> {
        if self.table.get(idx).is_none_or(|row| row.orphans == 0) {
            return Vec::new();
        }
        let orphans = self.orphans.iter().map(|&(_, permit)| permit);
        let is_here = |permit: &PermitId| {
            self.active_permits
                .get(permit)
                .is_some_and(|active| active.endpoint == idx)
        };
        orphans.filter(is_here).collect()
    }
}

impl Endpoint {
    fn apply_report_effect(&mut self, now: BootTime, opts: &Options, effect: ReportEffect) {
        if effect == ReportEffect::Stale {
            return;
        }
        self.record_activity(now, opts);
        if effect != ReportEffect::Normal {
            // This restarts a cold start too, because what the endpoint handled before it reported being cold says
            // nothing about its state now.
            self.mark_cold(now, opts.cold_min);
        }
        if let Some(observed_unix_ms) = self.observations.observed_unix_ms() {
            self.update_exclusivity(observed_unix_ms, opts.report_lag_ms());
        }
    }

    /// Extends a cold start to its shortest duration, counted from the start of the endpoint's process by the
    /// endpoint's own clock.
    fn extend_cold_start(&mut self, now: BootTime, opts: &Options, load: &LoadReport) {
        let age = Duration::from_millis(load.observed_unix_ms.saturating_sub(load.started_unix_ms));
        let left = opts.cold_min.saturating_sub(age);
        if self.ramp.is_cold() {
            self.cold_until = self.cold_until.max(now.after(left));
        }
    }
}
