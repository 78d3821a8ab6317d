//! One endpoint as its owner sees it: the exact count of its work and what it bears.

pub(crate) mod sign;
pub(crate) mod table;

use std::time::Duration;

use celerytide_types::BootTime;

use crate::ask::{Trust, Warmth};
use crate::options::{DeliberateFault, Options};
use crate::plan::EndpointPlan;
use crate::ramp::Ramp;
use crate::status::{EndpointState, EndpointStatus};
use sign::Signs;

/// Epoch of an endpoint that was never seen to turn cold.
const FIRST_EPOCH: u64 = 1;

/// State of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub plan: EndpointPlan,
    /// No longer in the plan; kept while work is counted against it and for a while after.
    pub gone: bool,
    pub ramp: Ramp,
    pub signs: Signs,
    pub in_flight: u32,
    /// A cap from outside on permits while it is cold.
    pub cold_cap: u32,
    pub orphans: u32,
    /// Prompt tokens of permits whose first token is still out.
    pub prefill: u64,
    /// Answers until then are no evidence that a cold start is over.
    pub cold_until: BootTime,
    /// Failures since it last answered.
    pub failures: u32,
    /// Gets no work until its pause after a failure is over.
    pub backing_off: bool,
    /// Last sign of life.
    pub last_sign: BootTime,
    /// Whether a report made under this owner shows no foreign work.
    pub witnessed: bool,
    /// Time of the first report that is surely made under this owner, by the endpoint's clock.
    witness_from_ms: Option<u64>,
    /// Sequence of its latest grant; the least lately used of equals goes first.
    pub last_grant: u64,
}

impl Endpoint {
    pub fn new(now: BootTime, plan: EndpointPlan, opts: &Options) -> Endpoint {
        Endpoint {
            ramp: Ramp::new(plan.slots, plan.cold_slots, opts.cold_successes_per_slot),
            plan,
            gone: false,
            signs: Signs::default(),
            in_flight: 0,
            cold_cap: u32::MAX,
            orphans: 0,
            prefill: 0,
            cold_until: now,
            failures: 0,
            backing_off: false,
            last_sign: now,
            witnessed: false,
            witness_from_ms: None,
            last_grant: 0,
        }
    }

    /// Takes over a changed plan.
    pub fn replan(&mut self, plan: EndpointPlan) {
        self.ramp.resize(plan.slots, plan.cold_slots);
        self.plan = plan;
        self.gone = false;
    }

    /// From now on a report has to show that nobody else sends work.
    pub fn begin_witness(&mut self) {
        self.witnessed = false;
        self.witness_from_ms = None;
    }

    /// Judges whether a report of this time is a witness. Reports lag by at most `lag_ms`, so the first one that comes
    /// under this owner only tells from when on they count.
    pub fn witness(&mut self, observed_unix_ms: u64, lag_ms: u64) {
        let from = *self
            .witness_from_ms
            .get_or_insert(observed_unix_ms.saturating_add(lag_ms));
        self.witnessed = observed_unix_ms >= from && self.signs.reported() <= self.in_flight;
    }

    pub fn is_open(&self) -> bool {
        self.plan.open && !self.gone
    }

    /// Permits that it may bear under this trust; work that others sent takes from it.
    pub fn limit(&self, trust: Trust, fault: Option<DeliberateFault>) -> u32 {
        if fault == Some(DeliberateFault::IgnoreCold) {
            return self.plan.slots;
        }
        if self.backing_off {
            return 0;
        }
        let probe = if self.failures > 0 { 1 } else { u32::MAX };
        let bears = self.ramp.limit().min(probe).saturating_sub(self.signs.foreign());
        let bears = if self.ramp.is_cold() {
            bears.min(self.cold_cap)
        } else {
            bears
        };
        match (trust, self.ramp.is_cold()) {
            (Trust::Settled, _) => bears,
            (Trust::Taking { .. }, true) if self.witnessed => bears / 2,
            (Trust::Taking { .. }, true) => 0,
            (Trust::Taking { share }, false) => (f64::from(bears) * share.clamp(0.0, 1.0)).floor() as u32,
            (Trust::Stale, true) => 0,
            (Trust::Stale, false) => bears,
        }
    }

    /// Prompt tokens in prefill, as a fraction of what it may have; zero where that is unbounded.
    pub fn prefill_load(&self) -> f64 {
        match self.plan.prefill_tokens {
            0 => 0.0,
            bound => self.prefill as f64 / f64::from(bound),
        }
    }

    /// Prompt tokens that may still go into prefill.
    pub fn prefill_room(&self) -> u64 {
        if self.plan.prefill_tokens == 0 || self.prefill == 0 {
            return u64::MAX;
        }
        u64::from(self.plan.prefill_tokens).saturating_sub(self.prefill)
    }

    /// The endpoint is cold from now on, for `least` at the least.
    pub fn chill(&mut self, now: BootTime, least: Duration) {
        self.cold_until = now.after(least);
        self.ramp.chill();
        self.signs.forget_speed();
    }

    /// Takes note of a failure; the pause that it begins, unless one is on already.
    pub fn fail(&mut self, now: BootTime, opts: &Options) -> Option<Duration> {
        self.chill(now, opts.cold_min);
        if self.backing_off {
            return None;
        }
        self.backing_off = true;
        let doubled = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures += 1;
        Some(opts.backoff_floor.saturating_mul(doubled).min(opts.backoff_ceiling))
    }

    /// Takes note of a sign of life. One that ends too long a silence makes the endpoint cold.
    pub fn sign(&mut self, now: BootTime, opts: &Options) {
        if now.since(self.last_sign) > opts.silence {
            self.chill(now, opts.cold_min);
        }
        self.last_sign = now;
    }

    /// Takes over what a former owner knew, unless something was seen here that speaks against it.
    pub fn take_over(&mut self, warmth: &Warmth) -> bool {
        let started = self.signs.started_unix_ms();
        let restarted = started.is_some() && warmth.started_unix_ms.is_some() && started != warmth.started_unix_ms;
        let untouched = self.ramp.epoch() == FIRST_EPOCH && self.failures == 0 && self.ramp.is_cold();
        if restarted || !untouched {
            return false;
        }
        self.signs.take_over_start(warmth.started_unix_ms);
        self.ramp.take_over(warmth.limit);
        true
    }

    /// Halves the limit, and judges the endpoint anew by what it does next.
    pub fn slow(&mut self) {
        self.ramp.slow();
        self.signs.forget_speed();
    }

    pub fn state(&self) -> EndpointState {
        if !self.is_open() {
            EndpointState::Closed
        } else if self.ramp.is_cold() {
            EndpointState::Cold
        } else if self.ramp.is_suspect() {
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
