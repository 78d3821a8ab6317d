//! Requests in flight, assumed cache contents, latency and health of each endpoint.
//!
//! An endpoint's latency ratio is the moving average of the actual by the expected time to the first byte. Its relative
//! latency is that ratio divided by the mean of all candidates.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ServiceId};

use super::Choice;
use crate::health::Health;
use crate::peers::digest::{Backlog, id_hash};
use crate::protocol::{Prompt, PromptBlock};

/// Weight of a new sample in the moving average of the latency ratio.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time after which a block that this instance sent is no longer assumed to be cached.
const CACHED_FOR: Duration = Duration::from_secs(20);
/// Most blocks tracked per endpoint.
const MAX_BLOCKS: usize = 4096;

/// Prefill rate assumed for an engine before the first response, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 30_000.0;
/// Least uncached tokens of a request whose time to first byte is a sample of the prefill rate; fewer say too little.
const MIN_SAMPLE_TOKENS: u64 = 2_000;
/// Share by which one sample raises or lowers the rate. Steps of a fixed size make it settle at the median: some samples
/// include waiting that this instance didn't know of, others a prompt that the engine had cached.
const RATE_STEP: f64 = 0.03;
/// Largest number of tokens ahead of a sample, as a share of its own: it isn't known how many of them the engine had
/// already processed.
const MAX_AHEAD_SHARE: f64 = 0.25;

/// A request counted at an endpoint.
#[derive(Debug)]
pub struct Reservation {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    service: ServiceId,
    /// Uncached tokens of other requests that waited there when it was sent, as far as known.
    ahead: u64,
    /// Tokens of its own prompt that the engine has to prefill.
    uncached: u64,
    is_prefilled: bool,
}

/// Requests, cached blocks and health of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    running: u32,
    queued_tokens: u64,
    last_sent_at: BootTime,
    latency_ratio: Option<f64>,
    blocks: HashMap<u64, BootTime>,
    /// Ejection state.
    pub health: Health,
}

impl EndpointLoad {
    /// Requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Uncached tokens of the requests in flight that have no first byte yet.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// When a request was last sent to it.
    pub fn last_sent_at(&self) -> BootTime {
        self.last_sent_at
    }

    /// Latency ratio divided by `mean`; 1 if either is unknown.
    pub fn relative_latency(&self, mean: Option<f64>) -> f64 {
        match (self.latency_ratio, mean) {
            (Some(own), Some(mean)) if mean > 0.0 => own / mean,
            _ => 1.0,
        }
    }

    /// Tokens of the leading blocks that this instance sent within `CACHED_FOR`.
    pub fn cached_tokens(&self, blocks: &[PromptBlock], now: BootTime) -> u64 {
        let fresh = |block: &&PromptBlock| self.blocks.get(&block.id).is_some_and(|at| now.since(*at) < CACHED_FOR);
        blocks.iter().take_while(fresh).map(|p| u64::from(p.tokens)).sum()
    }

    fn note_cached(&mut self, blocks: &[PromptBlock], now: BootTime) {
        if self.blocks.len() + blocks.len() > MAX_BLOCKS {
            self.blocks.retain(|_, at| now.since(*at) < CACHED_FOR);
        }
        if self.blocks.len() + blocks.len() > MAX_BLOCKS {
            self.blocks.clear();
        }
        self.blocks.extend(blocks.iter().map(|p| (p.id, now)));
    }
}

/// Load of all endpoints, as seen by this instance.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    by_id: HashMap<EndpointId, EndpointLoad>,
    rates: HashMap<ServiceId, PrefillRate>,
}

/// Estimate of how fast the engines of a service prefill prompts.
#[derive(Debug)]
pub struct PrefillRate {
    /// Tokens per second.
    per_s: f64,
    /// Shortest time to first byte, in seconds; assumed to include no prefill.
    floor_s: f64,
}

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        PrefillRate {
            per_s: DEFAULT_PREFILL_RATE,
            floor_s: f64::INFINITY,
        }
    }
}

impl PrefillRate {
    /// Tokens per second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Records a first byte after `took_s`; returns the ratio of that to the expected time.
    pub fn record(&mut self, ahead: u64, uncached: u64, took_s: f64) -> f64 {
        self.floor_s = self.floor_s.min(took_s);
        let expected = self.floor_s + (ahead + uncached) as f64 / self.per_s;
        let prefill_s = took_s - self.floor_s;
        let is_sample = uncached >= MIN_SAMPLE_TOKENS && ahead as f64 <= uncached as f64 * MAX_AHEAD_SHARE;
        if is_sample && prefill_s > 0.0 {
            let faster = uncached as f64 / prefill_s > self.per_s;
            self.per_s *= if faster { 1.0 + RATE_STEP } else { 1.0 - RATE_STEP };
        }
        took_s / expected.max(f64::MIN_POSITIVE)
    }
}

impl EndpointLoads {
    /// Load of one endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointLoad> {
        self.by_id.get(id)
    }

    /// Prefill rate of the engines of `service`, in tokens per second.
    pub fn prefill_rate(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(DEFAULT_PREFILL_RATE, |rate| rate.per_s)
    }

    /// Load of one endpoint, created if absent.
    pub fn get_or_insert(&mut self, id: &str) -> &mut EndpointLoad {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.to_owned(), EndpointLoad::default());
        }
        self.by_id.entry(id.to_owned()).or_default()
    }

    /// Forgets cache contents, latency and health after a restart of the endpoint; requests in flight stay counted.
    pub fn reset(&mut self, id: &str) {
        if let Some(load) = self.by_id.get_mut(id) {
            load.blocks.clear();
            load.latency_ratio = None;
            load.health = Health::default();
        }
    }

    /// Drops a removed endpoint, unless it has requests in flight.
    pub fn remove_idle(&mut self, id: &str) {
        if self.by_id.get(id).is_some_and(|l| l.running == 0) {
            self.by_id.remove(id);
        }
    }

    /// Mean latency ratio of the endpoints `ids`, where known.
    pub fn mean_latency_ratio<'a>(&self, ids: impl Iterator<Item = &'a str>) -> Option<f64> {
        let known: Vec<f64> = ids.filter_map(|id| self.by_id.get(id)?.latency_ratio).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Share of failures at the endpoints `ids`, leaving out `except`.
    pub fn failure_share_without<'a>(&self, ids: impl Iterator<Item = &'a str>, except: &str, now: BootTime) -> f64 {
        let (mut bad, mut all) = (0.0, 0.0);
        for load in ids.filter(|id| *id != except).filter_map(|id| self.by_id.get(id)) {
            let (share, count) = load.health.failures(now);
            bad += share * count;
            all += count;
        }
        if all > 0.0 { bad / all } else { 0.0 }
    }

    /// Requests in flight by endpoint, for the digest.
    pub fn backlogs(&self) -> Vec<Backlog> {
        let busy = self.by_id.iter().filter(|(_, load)| load.running > 0);
        let backlog = |(id, load): (&EndpointId, &EndpointLoad)| Backlog {
            endpoint: id_hash(id),
            queued_tokens: load.queued_tokens.try_into().unwrap_or(u32::MAX),
            running: load.running.try_into().unwrap_or(u16::MAX),
        };
        busy.map(backlog).collect()
    }

    /// Counts a request as it is sent to the endpoint.
    pub fn reserve(&mut self, service: &str, choice: &Choice<'_>, prompt: &Prompt, now: BootTime) -> Reservation {
        let id = &choice.known.endpoint.id;
        let load = self.get_or_insert(id);
        let uncached = u64::from(choice.uncached);
        load.running += 1;
        load.queued_tokens += uncached;
        load.last_sent_at = now;
        load.note_cached(&prompt.blocks, now);
        Reservation {
            endpoint: id.clone(),
            service: service.to_owned(),
            ahead: choice.ahead,
            uncached,
            is_prefilled: false,
        }
    }

    /// Records that the first byte of the response came after `took`.
    pub fn record_first_byte(&mut self, reservation: &mut Reservation, took: Duration) {
        let load = self.get_or_insert(&reservation.endpoint);
        load.finish_prefill(reservation);
        let rate = self.rates.entry(reservation.service.clone()).or_default();
        let new = rate.record(reservation.ahead, reservation.uncached, took.as_secs_f64());
        let load = self.get_or_insert(&reservation.endpoint);
        load.latency_ratio = Some(load.latency_ratio.map_or(new, |old| old + (new - old) * LATENCY_WEIGHT));
    }

    /// Removes a request that is no longer in flight.
    pub fn release(&mut self, reservation: &mut Reservation) {
        let load = self.get_or_insert(&reservation.endpoint);
        load.finish_prefill(reservation);
        load.running = load.running.saturating_sub(1);
    }
}

impl EndpointLoad {
    fn finish_prefill(&mut self, reservation: &mut Reservation) {
        if !reservation.is_prefilled {
            reservation.is_prefilled = true;
            self.queued_tokens = self.queued_tokens.saturating_sub(reservation.uncached);
        }
    }
}
