//! Requests in flight at the engines of one group, from all instances.
//!
//! An instance tells single events at once and all its requests in a report each second. The report is a complete state,
//! so that lost datagrams, a new coordinator and requests that were placed without it are corrected within a second.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_catalog::Service;
use celerytide_types::BootTime;

use super::bounds::{leading_blocks, max_tokens};
use super::engine::Engine;
use super::messages::{Advice, Block, FlightEntry, IdHash, PlacementId, Report, Sign};
use crate::health::Outcome;
use crate::placement::PrefillRate;

/// Silence after which an instance has no requests in flight.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Age from which a request that a report omits has ended: a younger one may have crossed the report.
const MIN_OMITTED_AGE: Duration = Duration::from_millis(300);
/// Time without a request or an outcome after which an engine is forgotten: its cached blocks and its health have expired
/// by then.
const ENGINE_AGE: Duration = Duration::from_secs(60);

/// One request of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlightKey {
    /// The instance.
    pub from: SocketAddr,
    /// Its number of the request.
    pub id: PlacementId,
}

#[derive(Debug)]
struct Flight {
    entry: FlightEntry,
    /// Uncached tokens in front of it and requests in flight at the engine when it was placed.
    ahead: u64,
    running: u32,
    uncached: u32,
    is_started: bool,
    /// Whether it is the only request at an ejected engine.
    is_trial: bool,
    at: BootTime,
    expires: BootTime,
}

/// Requests in flight at the engines of a group.
#[derive(Debug, Default)]
pub struct Ledger {
    engines: HashMap<IdHash, Engine>,
    flights: HashMap<FlightKey, Flight>,
    heard: HashMap<SocketAddr, BootTime>,
    rate: PrefillRate,
}

impl Ledger {
    /// State of an engine, if it ever had a request.
    pub fn engine(&self, endpoint: IdHash) -> Option<&Engine> {
        self.engines.get(&endpoint)
    }

    /// Prefill rate of the group's engines, in tokens per second.
    pub fn per_s(&self) -> f64 {
        self.rate.per_s()
    }

    /// Requests in flight.
    pub fn flight_count(&self) -> usize {
        self.flights.len()
    }

    /// Endpoint of a request in flight.
    pub fn endpoint_of(&self, key: FlightKey) -> Option<IdHash> {
        self.flights.get(&key).map(|flight| flight.entry.endpoint)
    }

    /// What was advised for a request in flight.
    pub fn advice(&self, key: FlightKey) -> Option<Advice> {
        let flight = self.flights.get(&key)?;
        Some(Advice {
            endpoint: flight.entry.endpoint,
            uncached: flight.uncached,
            ahead: flight.ahead.try_into().unwrap_or(u32::MAX),
            running: flight.running.try_into().unwrap_or(u16::MAX),
        })
    }

    /// Uncached tokens that wait at all engines.
    pub fn queued_tokens(&self) -> u64 {
        self.engines.values().map(Engine::queued_tokens).sum()
    }

    /// Requests without a first event at all engines.
    pub fn waiting(&self) -> u32 {
        self.engines.values().map(Engine::waiting).sum()
    }

    /// Counts a request whose prompt has these blocks; `entry.queued_tokens` are the uncached ones.
    pub fn add(&mut self, key: FlightKey, entry: FlightEntry, blocks: &[Block], service: &Service, now: BootTime) {
        self.end(key);
        self.heard.insert(key.from, now);
        let most = max_tokens(service);
        let entry = FlightEntry {
            queued_tokens: entry.queued_tokens.min(most),
            tokens: entry.tokens.min(most),
            ..entry
        };
        let engine = self.engines.entry(entry.endpoint).or_default();
        let flight = Flight {
            entry,
            ahead: engine.tokens_ahead(entry.urgency),
            running: engine.running(),
            uncached: entry.queued_tokens,
            is_started: false,
            is_trial: false,
            at: now,
            expires: now.after(Duration::from_millis(u64::from(entry.left_ms))),
        };
        engine.add(key, &entry, self.rate.per_s(), now);
        engine.note_cached(&leading_blocks(blocks, service), service.engine_tokens, now);
        self.flights.insert(key, flight);
    }

    /// Records that the first byte of a response came after `took`.
    pub fn start(&mut self, key: FlightKey, took: Duration) {
        let Some(flight) = self.flights.get_mut(&key) else {
            return;
        };
        let queued = std::mem::take(&mut flight.entry.queued_tokens);
        let is_first = !std::mem::replace(&mut flight.is_started, true);
        let uncached = u64::from(flight.uncached);
        let engine = self.engines.entry(flight.entry.endpoint).or_default();
        engine.finish_prefill(flight.entry.urgency, queued);
        if is_first && uncached > 0 {
            let ratio = self.rate.record(flight.ahead, uncached, took.as_secs_f64());
            engine.record_latency(ratio);
        }
    }

    /// Removes a request.
    pub fn end(&mut self, key: FlightKey) {
        if let Some(flight) = self.flights.remove(&key)
            && let Some(engine) = self.engines.get_mut(&flight.entry.endpoint)
        {
            engine.remove(key, &flight.entry);
            if flight.is_trial {
                engine.health.end_trial();
            }
        }
    }

    /// Marks a request as the one that tests whether its ejected engine has recovered.
    pub fn begin_trial(&mut self, key: FlightKey) {
        if let Some(flight) = self.flights.get_mut(&key) {
            flight.is_trial = true;
            let engine = self.engines.entry(flight.entry.endpoint).or_default();
            engine.health.begin_trial();
        }
    }

    /// Replaces what is known of one instance by its report, for the range of numbers that it covers.
    pub fn apply_report(&mut self, from: SocketAddr, report: &Report, service: &Service, now: BootTime) {
        self.heard.insert(from, now);
        let (first, last) = report.ids;
        let reported: HashSet<PlacementId> = report.flights.iter().map(|entry| entry.id).collect();
        let omitted = |(key, flight): (&FlightKey, &Flight)| {
            let is_omitted = key.from == from && (first..=last).contains(&key.id) && !reported.contains(&key.id);
            (is_omitted && now.since(flight.at) >= MIN_OMITTED_AGE).then_some(*key)
        };
        let ended: Vec<FlightKey> = self.flights.iter().filter_map(omitted).collect();
        for key in ended {
            self.end(key);
        }
        for entry in &report.flights {
            let key = FlightKey { from, id: entry.id };
            match self.flights.get(&key).map(|flight| flight.entry) {
                None => self.add(key, *entry, &[], service, now),
                Some(known) if entry.endpoint != known.endpoint => self.add(key, *entry, &[], service, now),
                Some(known) if entry.queued_tokens == 0 && known.queued_tokens > 0 => self.finish_prefill(key),
                Some(_) => {}
            }
        }
    }

    fn finish_prefill(&mut self, key: FlightKey) {
        if let Some(flight) = self.flights.get_mut(&key) {
            let queued = std::mem::take(&mut flight.entry.queued_tokens);
            let engine = self.engines.entry(flight.entry.endpoint).or_default();
            engine.finish_prefill(flight.entry.urgency, queued);
        }
    }

    /// Records a sign of an endpoint's health; returns whether it was ejected or became healthy again.
    pub fn record_outcome(&mut self, endpoint: IdHash, sign: Sign, others: &[IdHash], now: BootTime) -> bool {
        let share = self.failure_share(others, endpoint, now);
        let outcome = match sign {
            Sign::Good => Outcome::Good,
            Sign::Bad => Outcome::Bad,
            Sign::Unreached => Outcome::Unreached,
            Sign::Rejected => return false,
        };
        let engine = self.engines.entry(endpoint).or_default();
        engine.note_outcome(now);
        engine.health.record(outcome, share, now)
    }

    fn failure_share(&self, endpoints: &[IdHash], except: IdHash, now: BootTime) -> f64 {
        let (mut bad, mut all) = (0.0, 0.0);
        let others = endpoints.iter().filter(|id| **id != except);
        for engine in others.filter_map(|id| self.engines.get(id)) {
            let (share, count) = engine.health.failures(now);
            bad += share * count;
            all += count;
        }
        if all > 0.0 { bad / all } else { 0.0 }
    }

    /// Mean latency ratio of these engines, where known.
    pub fn mean_latency_ratio(&self, endpoints: impl Iterator<Item = IdHash>) -> Option<f64> {
        let known: Vec<f64> = endpoints
            .filter_map(|id| self.engines.get(&id)?.latency_ratio())
            .collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Forgets an endpoint that restarted or is gone, but for its requests in flight.
    pub fn reset(&mut self, endpoint: IdHash) {
        let Some(old) = self.engines.remove(&endpoint) else {
            return;
        };
        if old.running() == 0 {
            return;
        }
        let mut engine = Engine::default();
        for (key, flight) in self.flights.iter().filter(|(_, f)| f.entry.endpoint == endpoint) {
            engine.add(*key, &flight.entry, self.rate.per_s(), flight.at);
        }
        self.engines.insert(endpoint, engine);
    }

    /// Drops requests past their deadline and those of instances that are silent.
    pub fn sweep(&mut self, now: BootTime) {
        let heard = &self.heard;
        let is_over = |(key, flight): (&FlightKey, &Flight)| {
            let is_silent = heard.get(&key.from).is_none_or(|at| now.since(*at) > MAX_SILENCE);
            (is_silent || flight.expires <= now).then_some(*key)
        };
        let over: Vec<FlightKey> = self.flights.iter().filter_map(is_over).collect();
        for key in over {
            self.end(key);
        }
        self.heard.retain(|_, at| now.since(*at) <= MAX_SILENCE);
        let is_used = |engine: &Engine| engine.running() > 0 || now.since(engine.last_used_at()) < ENGINE_AGE;
        self.engines.retain(|_, engine| is_used(engine));
    }
}
