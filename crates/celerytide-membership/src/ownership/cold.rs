//! What a cold endpoint may get, by the owner's standing and the endpoint's own reports.
//!
//! A report counts all the endpoint's work, whoever sent it, and it lags. The owner's own count tells little about the
//! same moment: a permit may not have arrived yet, and one that ended may hide foreign work of the same number. So foreign
//! work is suspected from the start of a tenure, and again when a report exceeds all that the owner had in flight of late;
//! only a report of an idle endpoint ends the suspicion. A suspecting owner grants nothing, so its own work runs out and
//! the endpoint can become idle.

use std::collections::VecDeque;
use std::time::Duration;

use celerytide_types::BootTime;

use super::standing::Standing;

/// Bounds of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateOptions {
    /// Whether the endpoint publishes reports; without them the gate rests on the standing alone.
    pub reports: bool,
    /// A permit that ended counts as possibly running for this long.
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

/// Guards one cold endpoint for the owner of its pool.
#[derive(Debug)]
pub struct ColdGate {
    opts: GateOptions,
    suspects: bool,
    since: BootTime,
    counts: VecDeque<Count>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    until: Option<BootTime>,
    permits: u32,
}

impl ColdGate {
    /// A gate that suspects foreign work, if there are reports to end the suspicion.
    pub fn new(now: BootTime, opts: GateOptions) -> ColdGate {
        let counts = VecDeque::from([Count {
            until: None,
            permits: 0,
        }]);
        ColdGate {
            opts,
            suspects: opts.reports,
            since: now,
            counts,
        }
    }

    /// Notes the standing; call it at each assessment. Time in which another may have owned the pool renews the suspicion.
    pub fn standing(&mut self, now: BootTime, standing: Standing) {
        let sole = matches!(standing, Standing::Settled | Standing::Taking { .. });
        if !sole {
            self.suspects = self.opts.reports;
            self.since = now;
        }
    }

    /// Notes how many permits the owner counts at the endpoint; call it at each change.
    pub fn counted(&mut self, now: BootTime, permits: u32) {
        if let Some(last) = self.counts.back_mut() {
            last.until = Some(now);
        }
        self.counts.push_back(Count { until: None, permits });
    }

    /// Notes a report: work running and waiting, and the age of the observation with its way included.
    pub fn reported(&mut self, now: BootTime, work: u32, age: Duration) {
        let observed = BootTime::from_start(now.since_start().saturating_sub(age));
        self.forget_before(observed);
        if work > self.most_counted() {
            self.suspects = self.opts.reports;
        }
        if work == 0 && observed > self.since {
            self.suspects = false;
        }
    }

    /// Permits that may be in flight at the endpoint, those that are included; `bound` is what it bears while cold.
    pub fn limit(&self, standing: Standing, bound: u32) -> u32 {
        if self.suspects {
            return 0;
        }
        match standing {
            Standing::Settled => bound,
            Standing::Taking { .. } | Standing::Stale { .. } | Standing::Woken | Standing::NotOwner => 0,
        }
    }

    /// Whether foreign work is suspected.
    pub fn suspects(&self) -> bool {
        self.suspects
    }

    fn forget_before(&mut self, observed: BootTime) {
        let lag = self.opts.settle_lag;
        let over = |c: &Count| c.until.is_some_and(|until| until.after(lag) < observed);
        while self.counts.front().is_some_and(over) {
            self.counts.pop_front();
        }
    }

    fn most_counted(&self) -> u32 {
        self.counts.iter().map(|c| c.permits).max().unwrap_or_default()
    }
}
