//! Rate limits that endpoints name in their responses, and what instances tell each other of them.
//!
//! Only the selected instances send to a limited endpoint, so only they hear when its limit changes or ends. They tell the
//! others. Each change that a response shows has a version one higher than what its instance knew, so that what a peer
//! knew before never undoes it. Of two changes with the same version the lower rate holds until the next response.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::Endpoint;
use celerytide_types::{BootTime, EndpointId, data};
use rand::seq::IteratorRandom;

use crate::peers::digest::id_hash;

/// Time for which a change is told in every digest.
const NEWS_TIME: Duration = Duration::from_millis(800);
/// Interval at which known limits are told again, for instances that missed the change.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Most entries in one digest.
const MAX_ENTRIES: usize = 4;
/// Time for which the limit of an endpoint without a record is kept.
const KEEP_TIME: Duration = Duration::from_secs(600);

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

data! {
    /// What one instance tells others of an endpoint's limit.
    #[derive(Copy)]
    pub struct LimitEntry {
        /// Hash of the endpoint's id.
        pub endpoint: u32,
        /// Start of the endpoint that named the limit.
        pub start: Option<u64>,
        /// Requests per second from all instances together; `None` if the limit ended.
        pub per_s: Option<f64>,
        /// Increases with each change.
        pub version: u32,
    }
}

/// The limits of all endpoints.
#[derive(Debug, Default)]
pub struct NamedLimits {
    by_id: HashMap<EndpointId, State>,
    told_at: BootTime,
}

/// What is known of one start of an endpoint; a limit doesn't outlive the process that named it.
#[derive(Debug, Clone, Copy)]
struct State {
    start: Option<u64>,
    per_s: Option<f64>,
    version: u32,
    /// When the limit was last stated.
    stated_at: BootTime,
    changed_at: BootTime,
    /// When the endpoint last had a record.
    listed_at: BootTime,
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
        let is_older = self.by_id.get(&endpoint.id).is_some_and(|s| endpoint.start < s.start);
        let same = self.state(endpoint).copied();
        if is_older || (stated == StatedLimit::Absent && same.is_none_or(|state| sent_at <= state.stated_at)) {
            return None;
        }
        let mut state = same.unwrap_or(State::new(endpoint, now));
        let change = state.apply(stated, now);
        self.by_id.insert(endpoint.id.clone(), state);
        change
    }

    /// Applies what a peer tells of `endpoint`, if that is newer.
    pub fn learn(&mut self, endpoint: &Endpoint, told: LimitEntry, now: BootTime) -> Option<Change> {
        let mut state = self.state(endpoint).copied().unwrap_or(State::new(endpoint, now));
        if told.start != endpoint.start || !state.is_older_than(told) {
            return None;
        }
        state.version = told.version;
        state.stated_at = now;
        let change = state.set(valid_rate(told.per_s), now);
        self.by_id.insert(endpoint.id.clone(), state);
        change
    }

    /// Entries to tell others now: recent changes each time, and a sample of all endpoints in `listed` now and then.
    pub fn entries<'a>(&mut self, listed: impl Fn(&str) -> Option<&'a Endpoint>, now: BootTime) -> Vec<LimitEntry> {
        let tells_all = now.since(self.told_at) >= REPEAT_INTERVAL;
        if tells_all {
            self.told_at = now;
        }
        let due = self.by_id.iter().filter(|(id, state)| {
            let is_news = now.since(state.changed_at) < NEWS_TIME;
            let is_listed = || listed(id.as_str()).is_some_and(|endpoint| endpoint.start == state.start);
            state.version > 0 && (tells_all || is_news) && is_listed()
        });
        let entry = |(id, state): (&EndpointId, &State)| LimitEntry {
            endpoint: id_hash(id),
            start: state.start,
            per_s: state.per_s,
            version: state.version,
        };
        due.map(entry).choose_multiple(&mut rand::rng(), MAX_ENTRIES)
    }

    /// Drops what is known of endpoints that have had no record for long.
    pub fn sweep<'a>(&mut self, listed: impl Fn(&str) -> Option<&'a Endpoint>, now: BootTime) {
        self.by_id.retain(|id, state| {
            if listed(id.as_str()).is_some_and(|endpoint| endpoint.start == state.start) {
                state.listed_at = now;
            }
            now.since(state.listed_at) < KEEP_TIME
        });
    }

    /// Requests per second that the endpoint takes from all instances together; `None` without a limit.
    pub fn per_s(&self, endpoint: &Endpoint) -> Option<f64> {
        self.state(endpoint)?.per_s
    }

    /// Version of what is known of the endpoint; 0 if nothing is.
    pub fn version(&self, endpoint: &Endpoint) -> u32 {
        self.state(endpoint).map_or(0, |state| state.version)
    }

    /// What is known of the endpoint's present start.
    fn state(&self, endpoint: &Endpoint) -> Option<&State> {
        let state = self.by_id.get(&endpoint.id);
        state.filter(|state| state.start == endpoint.start)
    }

    /// Number of endpoints with a limit.
    pub fn count(&self) -> usize {
        self.by_id.values().filter(|state| state.per_s.is_some()).count()
    }
}

impl State {
    fn new(endpoint: &Endpoint, now: BootTime) -> State {
        State {
            start: endpoint.start,
            per_s: None,
            version: 0,
            stated_at: now,
            changed_at: now,
            listed_at: now,
            is_unreadable: false,
        }
    }

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
        let change = self.set(to, now)?;
        self.version = self.version.saturating_add(1);
        Some(change)
    }

    fn set(&mut self, to: Option<f64>, now: BootTime) -> Option<Change> {
        let from = std::mem::replace(&mut self.per_s, to);
        if from == to {
            return None;
        }
        self.changed_at = now;
        Some(Change::Limit { from, to })
    }

    fn is_older_than(&self, told: LimitEntry) -> bool {
        let is_lower = match (told.per_s, self.per_s) {
            (Some(told), Some(known)) => told < known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        self.version < told.version || (self.version == told.version && is_lower)
    }
}

/// The rate if it is one that an endpoint can name.
fn valid_rate(per_s: Option<f64>) -> Option<f64> {
    per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0)
}
