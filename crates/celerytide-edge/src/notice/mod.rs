//! Pauses and departures that endpoints announce in their responses.
//!
//! Designed for these loads: endpoints are replaced while the store is unavailable or behind, so that their records don't
//! show it; endpoints reject requests in a burst and ask for a pause while every instance has more to send. A notice
//! holds from the moment it is received, whatever the record says: a departure until the endpoint's next start, a pause
//! until its end. Other instances aren't told: they lose nothing by it, since the response that informs an instance also
//! serves its request or says that it did not run.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::Endpoint;
use celerytide_types::{BootTime, EndpointId};

/// Longest pause that is accepted; after it the endpoint gets requests again.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Time for which a departure is kept without further notices.
const KEEP_TIME: Duration = Duration::from_secs(3600);

/// Length of a requested pause.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestedPause {
    /// Seconds; negative, infinite and NaN are possible.
    Seconds(f64),
    /// Not a number.
    Unreadable,
}

/// What one response announces about its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// Whether the endpoint will stop.
    pub is_leaving: bool,
    /// Pause that the endpoint asks this instance for.
    pub pause: Option<RequestedPause>,
}

/// Whether an endpoint may get requests, by its notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It may get requests.
    Available,
    /// It gets none until this time.
    Paused(BootTime),
    /// This start of the endpoint gets none any more.
    Leaving,
}

/// What changed through a notice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeEffect {
    /// The endpoint leaves, which wasn't known before.
    pub is_leaving: bool,
    /// It pauses for this time from now, which is longer than known before.
    pub pauses: Option<Duration>,
    /// The requested pause isn't a valid time or is too long.
    pub is_invalid: bool,
}

/// Notices of all endpoints.
#[derive(Debug, Default)]
pub struct Notices {
    by_id: HashMap<EndpointId, State>,
}

/// Notices of one start of an endpoint.
#[derive(Debug, Clone, Copy)]
struct State {
    start: Option<u64>,
    is_leaving: bool,
    pause_until: Option<BootTime>,
    at: BootTime,
}

impl State {
    fn is_kept(&self, now: BootTime) -> bool {
        let pauses = self.pause_until.is_some_and(|until| now < until);
        pauses || (self.is_leaving && now.since(self.at) < KEEP_TIME)
    }
}

/// The pause to apply, and whether it differs from the requested one.
pub fn clamp_pause(requested: RequestedPause) -> (Option<Duration>, bool) {
    let RequestedPause::Seconds(seconds) = requested else {
        return (None, true);
    };
    match Duration::try_from_secs_f64(seconds) {
        Ok(pause) if pause <= MAX_PAUSE => (Some(pause), false),
        Ok(_) => (Some(MAX_PAUSE), true),
        Err(_) if seconds > 0.0 => (Some(MAX_PAUSE), true),
        Err(_) => (None, true),
    }
}

impl Notices {
    /// Records what a response of `endpoint` announced.
    pub fn record(&mut self, endpoint: &Endpoint, notice: Notice, now: BootTime) -> NoticeEffect {
        let (pause, is_invalid) = notice.pause.map_or((None, false), clamp_pause);
        let mut effect = NoticeEffect {
            is_invalid,
            ..NoticeEffect::default()
        };
        let known = self.by_id.get(&endpoint.id);
        let is_older = known.is_some_and(|state| endpoint.start < state.start);
        if is_older || (!notice.is_leaving && pause.is_none()) {
            return effect;
        }
        let same = known.filter(|state| state.start == endpoint.start).copied();
        let mut state = same.unwrap_or(State {
            start: endpoint.start,
            is_leaving: false,
            pause_until: None,
            at: now,
        });
        effect.is_leaving = notice.is_leaving && !state.is_leaving;
        let until = pause.map(|pause| now.after(pause));
        if until > state.pause_until {
            state.pause_until = until;
            effect.pauses = pause;
        }
        state.is_leaving |= notice.is_leaving;
        state.at = now;
        self.by_id.insert(endpoint.id.clone(), state);
        effect
    }

    /// Availability of `endpoint` by its notices; those of another start don't count.
    pub fn availability(&self, endpoint: &Endpoint, now: BootTime) -> Availability {
        let Some(state) = self.by_id.get(&endpoint.id).filter(|w| w.start == endpoint.start) else {
            return Availability::Available;
        };
        match state.pause_until {
            _ if state.is_leaving => Availability::Leaving,
            Some(until) if now < until => Availability::Paused(until),
            _ => Availability::Available,
        }
    }

    /// Drops notices that no longer hold.
    pub fn sweep(&mut self, now: BootTime) {
        self.by_id.retain(|_, state| state.is_kept(now));
    }
}
