//! Orders that one endpoint has accepted, and the time of the next attempt.

use std::time::Duration;

use celerytide_manifest::Order;
use celerytide_types::BootTime;

/// Delay after the first failure; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest delay after a failure.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Result of sending all orders of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendOutcome {
    /// Every order was accepted.
    Accepted,
    /// The endpoint has seen a higher fencing number, so another owner knows a newer manifest.
    RefusedAsOld,
    /// An order could not be delivered or was not accepted.
    Failed,
}

impl SendOutcome {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            SendOutcome::Accepted => "taken",
            SendOutcome::RefusedAsOld => "refused as old",
            SendOutcome::Failed => "failed",
        }
    }
}

/// Orders that one endpoint has accepted.
#[derive(Debug, Default)]
pub(super) struct EndpointOrders {
    orders: Vec<Order>,
    started_unix_ms: u64,
    failures: u32,
    retry_at: Option<BootTime>,
}

impl EndpointOrders {
    /// Forgets the accepted orders if the endpoint's process has restarted.
    pub(super) fn record_start(&mut self, started_unix_ms: u64) {
        if self.started_unix_ms != 0 && self.started_unix_ms != started_unix_ms {
            self.orders.clear();
        }
        self.started_unix_ms = started_unix_ms;
    }

    pub(super) fn is_due(&self, orders: &[Order], now: BootTime) -> bool {
        let waited = self.retry_at.is_none_or(|at| now >= at);
        waited && self.orders != orders
    }

    pub(super) fn record(&mut self, orders: Vec<Order>, outcome: SendOutcome, now: BootTime) {
        match outcome {
            // Refused orders of an older manifest are not repeated; they become due when a newer manifest changes them.
            SendOutcome::Accepted | SendOutcome::RefusedAsOld => {
                self.orders = orders;
                self.failures = 0;
                self.retry_at = None;
            }
            SendOutcome::Failed => {
                let delay = FIRST_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(6));
                self.failures += 1;
                self.retry_at = Some(now.after(delay.min(MAX_RETRY_DELAY)));
            }
        }
    }
}
