//! State of one endpoint at the pool's owner: its exact permit counts and its limit.

pub(crate) mod observations;
pub(crate) mod table;

use std::time::Duration;

use celerytide_types::BootTime;

use crate::options::{DeliberateFault, Options};
use crate::plan::EndpointPlan;
use crate::ramp::Ramp;
use crate::request::{Trust, WarmLimit};
use crate::status::{EndpointState, EndpointStatus};
use observations::Observations;

/// Epoch of an endpoint that has not turned cold since it was added.
const FIRST_EPOCH: u64 = 1;

/// State of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub plan: EndpointPlan,
    /// Whether the plan no longer names it. It is kept while permits are counted against it, and for a while after.
    pub is_removed: bool,
    pub ramp: Ramp,
    pub observations: Observations,
    pub in_flight: u32,
    /// Cap on the permits while it is cold, set by the owner of the pool.
    pub cold_cap: u32,
    pub orphans: u32,
    /// Prompt tokens of the permits that still wait for their first token.
    pub prefill: u64,
    /// Answers before this time don't count towards the end of the cold start.
    pub cold_until: BootTime,
    /// Failures since its last answer.
    pub failures: u32,
    /// Whether it gets no work because of a failure.
    pub in_backoff: bool,
    /// Time of the latest answer, token or report.
    pub last_activity: BootTime,
    /// Whether a report made under this owner shows no work of other senders.
    pub is_exclusive: bool,
    /// Time by the endpoint's clock from which on a report was surely made under this owner.
    exclusive_from_ms: Option<u64>,
    /// Sequence number of its latest grant; of equally loaded endpoints the least recently used is preferred.
    pub last_grant: u64,
}

impl Endpoint {
    pub fn new(now: BootTime, plan: EndpointPlan, opts: &Options) -> Endpoint {
        Endpoint {
            ramp: Ramp::new(plan.slots, plan.cold_slots, opts.cold_successes_per_slot),
            plan,
            is_removed: false,
            observations: Observations::default(),
            in_flight: 0,
            cold_cap: u32::MAX,
            orphans: 0,
            prefill: 0,
            cold_until: now,
            failures: 0,
            in_backoff: false,
            last_activity: now,
            is_exclusive: false,
            exclusive_from_ms: None,
            last_grant: 0,
        }
    }

    /// Applies a changed plan.
    pub fn update_plan(&mut self, plan: EndpointPlan) {
        self.ramp.resize(plan.slots, plan.cold_slots);
        self.plan = plan;
        self.is_removed = false;
    }

    /// Requires a new report that shows that no other owner sends work.
    pub fn reset_exclusivity(&mut self) {
        self.is_exclusive = false;
        self.exclusive_from_ms = None;
    }

    /// Checks whether a report of this time shows that only this owner sends work. Reports are at most `lag_ms` old, so
    /// the first report under this owner determines from when on reports count.
    pub fn update_exclusivity(&mut self, observed_unix_ms: u64, lag_ms: u64) {
        let from = *self
            .exclusive_from_ms
            .get_or_insert(observed_unix_ms.saturating_add(lag_ms));
        self.is_exclusive = observed_unix_ms >= from && self.observations.reported() <= self.in_flight;
    }

    pub fn accepts_requests(&self) -> bool {
        self.plan.open && !self.is_removed
    }

    /// Permits that it may have in flight under this trust. Work of other senders is subtracted.
    pub fn limit(&self, trust: Trust, fault: Option<DeliberateFault>) -> u32 {
        if fault == Some(DeliberateFault::IgnoreCold) {
            return self.plan.slots;
        }
        if self.in_backoff {
            return 0;
        }
        let probe = if self.failures > 0 { 1 } else { u32::MAX };
        let limit = self
            .ramp
            .limit()
            .min(probe)
            .saturating_sub(self.observations.foreign_work());
        let limit = if self.ramp.is_cold() {
            limit.min(self.cold_cap)
        } else {
            limit
        };
        match (trust, self.ramp.is_cold()) {
            (Trust::Settled, _) => limit,
            (Trust::Taking { .. }, true) if self.is_exclusive => limit / 2,
            (Trust::Taking { .. }, true) => 0,
            (Trust::Taking { share }, false) => (f64::from(limit) * share.clamp(0.0, 1.0)).floor() as u32,
            (Trust::Stale, true) => 0,
            (Trust::Stale, false) => limit,
        }
    }

    /// Prompt tokens in prefill as a fraction of the bound; zero if there is no bound.
    pub fn prefill_load(&self) -> f64 {
        match self.plan.prefill_tokens {
            0 => 0.0,
            bound => self.prefill as f64 / f64::from(bound),
        }
    }

    /// Prompt tokens that may still enter prefill.
    pub fn prefill_room(&self) -> u64 {
        if self.plan.prefill_tokens == 0 || self.prefill == 0 {
            return u64::MAX;
        }
        u64::from(self.plan.prefill_tokens).saturating_sub(self.prefill)
    }

    /// Starts a cold start that lasts at least `cold_min`.
    pub fn mark_cold(&mut self, now: BootTime, cold_min: Duration) {
        self.cold_until = now.after(cold_min);
        self.ramp.mark_cold();
        self.observations.forget_speed();
    }

    /// Records a failure. Returns the backoff that it starts, or `None` if one is already running.
    pub fn record_failure(&mut self, now: BootTime, opts: &Options) -> Option<Duration> {
        self.mark_cold(now, opts.cold_min);
        if self.in_backoff {
            return None;
        }
        self.in_backoff = true;
        let doubled = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures += 1;
        Some(opts.backoff_floor.saturating_mul(doubled).min(opts.backoff_ceiling))
    }

    /// Records activity. Activity after too long a silence makes the endpoint cold.
    pub fn record_activity(&mut self, now: BootTime, opts: &Options) {
        if now.since(self.last_activity) > opts.silence {
            self.mark_cold(now, opts.cold_min);
        }
        self.last_activity = now;
    }

    /// Restores the limit of a previous owner, unless something observed here contradicts it. Returns whether it did.
    pub fn restore_warm_limit(&mut self, warm: &WarmLimit) -> bool {
        let started = self.observations.started_unix_ms();
        let restarted = started.is_some() && warm.started_unix_ms.is_some() && started != warm.started_unix_ms;
        let untouched = self.ramp.epoch() == FIRST_EPOCH && self.failures == 0 && self.ramp.is_cold();
        if restarted || !untouched {
            return false;
        }
        self.observations.restore_start(warm.started_unix_ms);
        self.ramp.restore_limit(warm.limit);
        true
    }

    /// Halves the limit and drops the speed samples, so that later answers are judged anew.
    pub fn record_slow(&mut self) {
        self.ramp.record_slow();
        self.observations.forget_speed();
    }

    pub fn state(&self) -> EndpointState {
        if !self.accepts_requests() {
            EndpointState::Closed
        } else if self.ramp.is_cold() {
            EndpointState::Cold
        } else if self.ramp.is_slow() {
            EndpointState::Suspect
        } else {
            EndpointState::Warm
        }
    }

    pub fn status(&self, trust: Trust) -> EndpointStatus {
        EndpointStatus {
            id: self.plan.id.clone(),
            zone: self.plan.zone.clone(),
            state: self.state(),
            in_flight: self.in_flight,
            orphans: self.orphans,
            limit: self.limit(trust, None),
            prefill_tokens: self.prefill,
        }
    }
}
