//! Limits the permits for a cold endpoint so that work of another owner can't overload it.
//!
//! An endpoint's load report counts all its work, including that of other owners, and arrives late. It can't be
//! compared with the owner's current count: a permit may not have reached the endpoint yet, and one that just ended may
//! hide as much foreign work. So the gate suspects foreign work from the start of a tenure, and again whenever a report
//! exceeds everything that the owner recently had in flight. Only a report of an idle endpoint ends the suspicion.
//! Meanwhile the owner grants nothing, so its own work drains and the endpoint can become idle.

use std::collections::VecDeque;
use std::time::Duration;

use celerytide_types::BootTime;

use super::state::OwnershipState;

/// Settings of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateOptions {
    /// Whether the endpoint publishes load reports; without them the gate depends on the ownership state alone.
    pub reports: bool,
    /// Time for which an ended permit may still be running at the endpoint.
    pub settle_lag: Duration,
}

impl Default for GateOptions {
    fn default() -> GateOptions {
        GateOptions {
            reports: true,
            settle_lag: Duration::from_secs(2),
        }
    }
}

/// Decides how many permits the pool's owner may have in flight at one cold endpoint.
#[derive(Debug)]
pub struct ColdGate {
    opts: GateOptions,
    suspects_foreign_work: bool,
    suspected_since: BootTime,
    permit_counts: VecDeque<PermitCount>,
}

/// Number of permits in flight up to a time, or currently if `until` is `None`.
#[derive(Debug, Clone, Copy)]
struct PermitCount {
    until: Option<BootTime>,
    permits: u32,
}

impl ColdGate {
    /// Creates a gate that suspects foreign work if reports can end the suspicion.
    pub fn new(now: BootTime, opts: GateOptions) -> ColdGate {
        let permit_counts = VecDeque::from([PermitCount {
            until: None,
            permits: 0,
        }]);
        ColdGate {
            opts,
            suspects_foreign_work: opts.reports,
            suspected_since: now,
            permit_counts,
        }
    }

    /// Records the ownership state at each assessment; if another instance may own the pool, the suspicion is renewed.
    pub fn record_state(&mut self, now: BootTime, state: OwnershipState) {
        let is_sole_owner = matches!(state, OwnershipState::Settled | OwnershipState::TakingOver { .. });
        if !is_sole_owner {
            self.suspects_foreign_work = self.opts.reports;
            self.suspected_since = now;
        }
    }

    /// Records how many permits the owner has in flight at the endpoint; call it at each change.
    pub fn record_permits(&mut self, now: BootTime, permits: u32) {
        if let Some(last) = self.permit_counts.back_mut() {
            last.until = Some(now);
        }
        self.permit_counts.push_back(PermitCount { until: None, permits });
    }

    /// Records a report: `work` is running plus waiting, `age` includes the time in transit.
    pub fn record_report(&mut self, now: BootTime, work: u32, age: Duration) {
        let observed = BootTime::from_start(now.since_start().saturating_sub(age));
        self.drop_counts_before(observed);
        if work > self.max_permits() {
            self.suspects_foreign_work = self.opts.reports;
        }
        if work == 0 && observed > self.suspected_since {
            self.suspects_foreign_work = false;
        }
    }

    /// Most permits that may be in flight at the endpoint, including current ones; `cold_slots` is what it handles at
    /// once while cold.
    pub fn permit_limit(&self, state: OwnershipState, cold_slots: u32) -> u32 {
        if self.suspects_foreign_work {
            return 0;
        }
        match state {
            OwnershipState::Settled => cold_slots,
            OwnershipState::TakingOver { .. }
            | OwnershipState::Stale { .. }
            | OwnershipState::Woken
            | OwnershipState::NotOwner => 0,
        }
    }

    /// Whether work of another owner is suspected at the endpoint.
    pub fn suspects_foreign_work(&self) -> bool {
        self.suspects_foreign_work
    }

    fn drop_counts_before(&mut self, observed: BootTime) {
        let lag = self.opts.settle_lag;
        let expired = |c: &PermitCount| c.until.is_some_and(|until| until.after(lag) < observed);
        while self.permit_counts.front().is_some_and(expired) {
            self.permit_counts.pop_front();
        }
    }

    /// Most permits that the owner may have had in flight at the time of the last report or since.
    fn max_permits(&self) -> u32 {
        self.permit_counts.iter().map(|c| c.permits).max().unwrap_or_default()
    }
}
