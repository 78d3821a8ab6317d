//! Rate limits that endpoints name in their responses.

use std::collections::HashMap;

use celerytide_catalog::Endpoint;
use celerytide_types::{BootTime, EndpointId};

/// What one response states about the rate of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedLimit {
    /// No limit.
    Absent,
    /// Requests per second from all instances together; finite and not negative.
    PerSecond(f64),
    /// A limit whose value isn't such a number.
    Unreadable,
}

/// What a statement changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The limit differs from the one known before; `None` means no limit.
    Limit {
        /// Requests per second known before.
        from: Option<f64>,
        /// Requests per second from now on.
        to: Option<f64>,
    },
    /// The endpoint began to state a limit that can't be read; what was known holds.
    Unreadable,
}

/// The limits of all endpoints.
#[derive(Debug, Default)]
pub struct NamedLimits {
    by_id: HashMap<EndpointId, State>,
}

/// What is known of one start of an endpoint; a limit doesn't outlive the process that named it.
#[derive(Debug, Clone, Copy)]
struct State {
    start: Option<u64>,
    per_s: Option<f64>,
    /// When the limit was last stated.
    stated_at: BootTime,
    is_unreadable: bool,
}

impl NamedLimits {
    /// Records what the response to a request that was sent at `sent_at` states. A response without a limit ends the
    /// limit only if its request was sent after the last statement: an earlier one may have been overtaken.
    pub fn record(
        &mut self,
        endpoint: &Endpoint,
        stated: StatedLimit,
        sent_at: BootTime,
        now: BootTime,
    ) -> Option<Change> {
        let known = self.by_id.get(&endpoint.id);
        let is_older = known.is_some_and(|state| endpoint.start < state.start);
        let same = known.filter(|state| state.start == endpoint.start).copied();
        if is_older || (stated == StatedLimit::Absent && same.is_none_or(|state| sent_at <= state.stated_at)) {
            return None;
        }
        let mut state = same.unwrap_or(State {
            start: endpoint.start,
            per_s: None,
            stated_at: now,
            is_unreadable: false,
        });
        let change = state.apply(stated, now);
        self.by_id.insert(endpoint.id.clone(), state);
        change
    }

    /// Requests per second that the endpoint takes from all instances together; `None` without a limit.
    pub fn per_s(&self, endpoint: &Endpoint) -> Option<f64> {
        let state = self.by_id.get(&endpoint.id)?;
        state.per_s.filter(|_| state.start == endpoint.start)
    }

    /// Number of endpoints with a limit.
    pub fn count(&self) -> usize {
        self.by_id.values().filter(|state| state.per_s.is_some()).count()
    }
}

impl State {
    fn apply(&mut self, stated: StatedLimit, now: BootTime) -> Option<Change> {
        let to = match stated {
            StatedLimit::Unreadable => {
                let was_unreadable = std::mem::replace(&mut self.is_unreadable, true);
                return (!was_unreadable).then_some(Change::Unreadable);
            }
            StatedLimit::Absent => None,
            StatedLimit::PerSecond(per_s) => {
                self.stated_at = now;
                Some(per_s)
            }
        };
        self.is_unreadable = false;
        let from = std::mem::replace(&mut self.per_s, to);
        (from != to).then_some(Change::Limit { from, to })
    }
}
