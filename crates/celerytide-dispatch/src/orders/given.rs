//! What one endpoint was told, and when it is told again.

use std::time::Duration;

use celerytide_manifest::Order;
use celerytide_types::BootTime;

/// Wait after the first failure.
const FIRST_WAIT: Duration = Duration::from_secs(1);
/// Longest wait after a failure.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// How a round of orders ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Told {
    /// Every order was taken.
    All,
    /// The endpoint has seen a higher number: another owner knows a newer manifest.
    RefusedAsOld,
    /// One was not taken.
    Failed,
}

impl Told {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Told::All => "taken",
            Told::RefusedAsOld => "refused as old",
            Told::Failed => "failed",
        }
    }
}

/// What one endpoint was told.
#[derive(Debug, Default)]
pub(super) struct Given {
    orders: Vec<Order>,
    started_unix_ms: u64,
    failed: u32,
    not_before: Option<BootTime>,
}

impl Given {
    pub(super) fn started(&mut self, started_unix_ms: u64) {
        if self.started_unix_ms != 0 && self.started_unix_ms != started_unix_ms {
            self.orders.clear();
        }
        self.started_unix_ms = started_unix_ms;
    }

    pub(super) fn is_due(&self, orders: &[Order], now: BootTime) -> bool {
        let waited = self.not_before.is_none_or(|at| now >= at);
        waited && self.orders != orders
    }

    pub(super) fn told(&mut self, orders: Vec<Order>, told: Told, now: BootTime) {
        match told {
            // An older manifest's orders are not repeated; a newer manifest changes what is due.
            Told::All | Told::RefusedAsOld => {
                self.orders = orders;
                self.failed = 0;
                self.not_before = None;
            }
            Told::Failed => {
                let wait = FIRST_WAIT * 2_u32.saturating_pow(self.failed.min(6));
                self.failed += 1;
                self.not_before = Some(now.after(wait.min(LONGEST_WAIT)));
            }
        }
    }
}
