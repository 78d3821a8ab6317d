//! What this instance sent to endpoints with a rejection limit, and how they rejected it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use celerytide_catalog::Endpoint;
use celerytide_types::{BootTime, EndpointId, ServiceId};

/// Weight of one request in the mean of the tokens that requests need.
const MEAN_WEIGHT: f64 = 0.05;
/// Largest share of an engine's memory that one request counts with: a caller states its prompt, and must not have others
/// refused by it.
const MAX_REQUEST_SHARE: f64 = 0.125;
/// Share of an engine's memory for what requests don't share; the rest holds what they do.
const OWN_SHARE: f64 = 0.8;
/// Share of a rejection limit up to which all instances together go on after rejections.
const REPEATED_SHARE: f64 = 0.5;
/// Least limit that is divided, in rejections per second; an endpoint that bears none is asked again after a while.
const MIN_LIMIT: f64 = 0.5;
/// Shortest and longest pause after one rejection.
const MIN_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Time after a pause until one more request may be in flight.
const STEP: Duration = Duration::from_millis(500);
/// Time after which the digests of others include a request.
const TOLD_AFTER: Duration = Duration::from_millis(100);

/// Pause after one rejection at an endpoint to which `senders` instances send.
pub fn pause_after(senders: usize, rejections_per_s: f64) -> Duration {
    let per_s = (rejections_per_s * REPEATED_SHARE).max(MIN_LIMIT);
    let seconds = (senders as f64 / per_s).min(MAX_PAUSE.as_secs_f64());
    Duration::from_secs_f64(seconds).max(MIN_PAUSE)
}

/// Sends to and rejections by endpoints with a limit.
#[derive(Debug, Default)]
pub struct Rejections {
    by_id: HashMap<EndpointId, State>,
    /// Mean of the tokens of a request that others don't share.
    tokens: HashMap<ServiceId, f64>,
}

/// One start of an endpoint.
#[derive(Debug)]
struct State {
    start: Option<u64>,
    paused_until: Option<BootTime>,
    /// When the latest requests were sent, oldest first.
    sent: VecDeque<BootTime>,
}

impl State {
    fn is_kept(&self, now: BootTime) -> bool {
        // A pause no longer matters when the steps after it have reached any number of slots.
        let pauses = self.paused_until.is_some_and(|until| now.since(until) < MAX_PAUSE * 4);
        pauses || self.untold(now) > 0
    }

    fn untold(&self, now: BootTime) -> usize {
        self.sent.iter().filter(|at| now.since(**at) < TOLD_AFTER).count()
    }
}

impl Rejections {
    /// Records a request sent to `endpoint`.
    pub fn record_sent(&mut self, endpoint: &Endpoint, now: BootTime) {
        let state = self.state_mut(endpoint);
        while state.sent.front().is_some_and(|at| now.since(*at) >= TOLD_AFTER) {
            state.sent.pop_front();
        }
        state.sent.push_back(now);
    }

    /// Records the tokens of a request that others don't share, at engines that hold `engine_tokens`.
    pub fn record_tokens(&mut self, service: &str, tokens: f64, engine_tokens: u64) {
        let tokens = tokens.min(engine_tokens as f64 * MAX_REQUEST_SHARE);
        match self.tokens.get_mut(service) {
            Some(mean) => *mean += (tokens - *mean) * MEAN_WEIGHT,
            None => {
                self.tokens.insert(service.to_owned(), tokens);
            }
        }
    }

    /// Requests of a service that fit into an engine's memory; `None` if nothing is known.
    pub fn fitting(&self, service: &str, engine_tokens: u64) -> Option<usize> {
        let mean = self.tokens.get(service)?.max(1.0);
        // A conversion from a float saturates.
        Some((engine_tokens as f64 * OWN_SHARE / mean) as usize)
    }

    /// Records a rejection, which pauses the endpoint for `pause` more; returns the whole pause from now on.
    pub fn record_rejected(&mut self, endpoint: &Endpoint, pause: Duration, now: BootTime) -> Duration {
        let state = self.state_mut(endpoint);
        let left = state.paused_until.map_or(Duration::ZERO, |until| until.since(now));
        let pause = (left + pause).min(MAX_PAUSE);
        state.paused_until = Some(now.after(pause));
        pause
    }

    /// Requests sent to `endpoint` that others may not know of yet.
    pub fn untold(&self, endpoint: &Endpoint, now: BootTime) -> usize {
        self.state(endpoint).map_or(0, |state| state.untold(now))
    }

    /// Time left of the endpoint's pause.
    pub fn pause(&self, endpoint: &Endpoint, now: BootTime) -> Duration {
        let until = self.state(endpoint).and_then(|state| state.paused_until);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Requests that may be in flight after a pause; `None` if there was none of late.
    pub fn allowance(&self, endpoint: &Endpoint, now: BootTime) -> Option<usize> {
        let until = self.state(endpoint)?.paused_until?;
        if now < until {
            return Some(0);
        }
        let steps = now.since(until).as_millis() / STEP.as_millis();
        Some(1 + steps as usize)
    }

    /// Drops what no longer matters.
    pub fn sweep(&mut self, now: BootTime) {
        self.by_id.retain(|_, state| state.is_kept(now));
    }

    fn state(&self, endpoint: &Endpoint) -> Option<&State> {
        let state = self.by_id.get(&endpoint.id);
        state.filter(|state| state.start == endpoint.start)
    }

    fn state_mut(&mut self, endpoint: &Endpoint) -> &mut State {
        let new = || State {
            start: endpoint.start,
            paused_until: None,
            sent: VecDeque::new(),
        };
        let state = self.by_id.entry(endpoint.id.clone()).or_insert_with(new);
        if state.start != endpoint.start {
            *state = new();
        }
        state
    }
}
