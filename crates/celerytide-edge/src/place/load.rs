//! What this instance has in flight at each endpoint, and how fast each has been.

use std::collections::HashMap;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ServiceId};

use super::Choice;
use crate::health::Health;
use crate::names::{Part, Prompt};
use crate::peers::digest::{Backlog, id_hash};

/// Weight of a new measurement of an endpoint's pace.
const PACE_WEIGHT: f64 = 0.2;
/// Time after which a part that this instance sent is no longer taken to be held.
const HELD_FOR: Duration = Duration::from_secs(20);
/// Parts remembered of one endpoint.
const MAX_PARTS: usize = 4096;

/// Tokens a second that an engine is taken to read before any answer has shown it.
const FIRST_RATE: f64 = 30_000.0;
/// Prompts shorter than this tell little of the rate, in tokens.
const LEAST_TOKENS: u64 = 2_000;
/// Part by which one measurement moves the rate towards itself, so that it settles at their median: some show more that
/// waited than this instance knew of, others a prompt that the engine held already.
const RATE_STEP: f64 = 0.03;
/// Part of a measured prompt up to which others may wait in front of it: what an engine has read of these isn't known.
const MOST_AHEAD: f64 = 0.25;

/// A request in flight at an endpoint.
#[derive(Debug)]
pub struct Ticket {
    /// The endpoint.
    pub endpoint: EndpointId,
    service: ServiceId,
    /// Tokens that waited in front of it, as far as was known.
    ahead: u64,
    /// Tokens of its own that were to be read.
    unread: u64,
    read: bool,
}

/// One endpoint as this instance sees it.
#[derive(Debug, Default)]
pub struct Load {
    running: u32,
    unread_tokens: u64,
    picked_at: BootTime,
    pace: Option<f64>,
    parts: HashMap<u64, BootTime>,
    /// Whether it works.
    pub health: Health,
}

impl Load {
    /// Requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Prompt tokens of requests in flight that have no first event yet.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// When a request was last sent.
    pub fn picked_at(&self) -> BootTime {
        self.picked_at
    }

    /// Time to the first byte, against what was to be expected, against `mean`; 1 where it isn't known.
    pub fn pace(&self, mean: Option<f64>) -> f64 {
        match (self.pace, mean) {
            (Some(own), Some(mean)) if mean > 0.0 => own / mean,
            _ => 1.0,
        }
    }

    /// Tokens of the leading parts that this instance sent lately.
    pub fn held_tokens(&self, parts: &[Part], now: BootTime) -> u64 {
        let fresh = |part: &&Part| self.parts.get(&part.id).is_some_and(|at| now.since(*at) < HELD_FOR);
        parts.iter().take_while(fresh).map(|p| u64::from(p.tokens)).sum()
    }

    fn remember(&mut self, parts: &[Part], now: BootTime) {
        if self.parts.len() + parts.len() > MAX_PARTS {
            self.parts.retain(|_, at| now.since(*at) < HELD_FOR);
        }
        if self.parts.len() + parts.len() > MAX_PARTS {
            self.parts.clear();
        }
        self.parts.extend(parts.iter().map(|p| (p.id, now)));
    }
}

/// All endpoints as this instance sees them.
#[derive(Debug, Default)]
pub struct Loads {
    by_id: HashMap<EndpointId, Load>,
    rates: HashMap<ServiceId, ReadRate>,
}

/// How fast the engines of a service read prompts.
#[derive(Debug)]
struct ReadRate {
    /// Tokens a second.
    per_s: f64,
    /// Least time to a first byte: what it takes beside reading.
    floor_s: f64,
}

impl Default for ReadRate {
    fn default() -> ReadRate {
        ReadRate {
            per_s: FIRST_RATE,
            floor_s: f64::INFINITY,
        }
    }
}

impl ReadRate {
    /// Takes in that a request had its first byte after `took_s`; returns that against the time that was to be expected.
    fn note(&mut self, ahead: u64, unread: u64, took_s: f64) -> f64 {
        self.floor_s = self.floor_s.min(took_s);
        let expected = self.floor_s + (ahead + unread) as f64 / self.per_s;
        let reading = took_s - self.floor_s;
        let tells = unread >= LEAST_TOKENS && ahead as f64 <= unread as f64 * MOST_AHEAD;
        if tells && reading > 0.0 {
            let faster = unread as f64 / reading > self.per_s;
            self.per_s *= if faster { 1.0 + RATE_STEP } else { 1.0 - RATE_STEP };
        }
        took_s / expected.max(f64::MIN_POSITIVE)
    }
}

impl Loads {
    /// The endpoint with that id.
    pub fn get(&self, id: &str) -> Option<&Load> {
        self.by_id.get(id)
    }

    /// Tokens a second that an engine of `service` reads.
    pub fn read_rate(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(FIRST_RATE, |rate| rate.per_s)
    }

    /// The endpoint with that id, remembered from now on.
    pub fn entry(&mut self, id: &str) -> &mut Load {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.to_owned(), Load::default());
        }
        self.by_id.entry(id.to_owned()).or_default()
    }

    /// Forgets what a former start of the endpoint held and showed; requests in flight stay counted.
    pub fn restart(&mut self, id: &str) {
        if let Some(load) = self.by_id.get_mut(id) {
            load.parts.clear();
            load.pace = None;
            load.health = Health::default();
        }
    }

    /// Forgets endpoints that are gone and have nothing in flight.
    pub fn forget(&mut self, id: &str) {
        if self.by_id.get(id).is_some_and(|l| l.running == 0) {
            self.by_id.remove(id);
        }
    }

    /// Mean of the time to the first byte against what was to be expected, of `ids`, as far as it is known.
    pub fn mean_pace<'a>(&self, ids: impl Iterator<Item = &'a str>) -> Option<f64> {
        let known: Vec<f64> = ids.filter_map(|id| self.by_id.get(id)?.pace).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Share of failures of `ids` but `except`.
    pub fn others_failures<'a>(&self, ids: impl Iterator<Item = &'a str>, except: &str, now: BootTime) -> f64 {
        let (mut bad, mut all) = (0.0, 0.0);
        for load in ids.filter(|id| *id != except).filter_map(|id| self.by_id.get(id)) {
            let (share, count) = load.health.failures(now);
            bad += share * count;
            all += count;
        }
        if all > 0.0 { bad / all } else { 0.0 }
    }

    /// What is in flight, for other instances.
    pub fn backlogs(&self) -> Vec<Backlog> {
        let busy = self.by_id.iter().filter(|(_, load)| load.running > 0);
        let backlog = |(id, load): (&EndpointId, &Load)| Backlog {
            endpoint: id_hash(id),
            unread: load.unread_tokens.try_into().unwrap_or(u32::MAX),
            running: load.running.try_into().unwrap_or(u16::MAX),
        };
        busy.map(backlog).collect()
    }

    /// Counts a request that is sent to the endpoint.
    pub fn begin(&mut self, service: &str, choice: &Choice<'_>, prompt: &Prompt, now: BootTime) -> Ticket {
        let id = &choice.known.endpoint.id;
        let load = self.entry(id);
        let unread = u64::from(choice.missing);
        load.running += 1;
        load.unread_tokens += unread;
        load.picked_at = now;
        load.remember(&prompt.parts, now);
        Ticket {
            endpoint: id.clone(),
            service: service.to_owned(),
            ahead: choice.ahead,
            unread,
            read: false,
        }
    }

    /// The first byte of the answer came after `took`.
    pub fn first_byte(&mut self, ticket: &mut Ticket, took: Duration) {
        let load = self.entry(&ticket.endpoint);
        load.settle(ticket);
        let rate = self.rates.entry(ticket.service.clone()).or_default();
        let new = rate.note(ticket.ahead, ticket.unread, took.as_secs_f64());
        let load = self.entry(&ticket.endpoint);
        load.pace = Some(load.pace.map_or(new, |old| old + (new - old) * PACE_WEIGHT));
    }

    /// The request is no longer in flight.
    pub fn end(&mut self, ticket: &mut Ticket) {
        let load = self.entry(&ticket.endpoint);
        load.settle(ticket);
        load.running = load.running.saturating_sub(1);
    }
}

impl Load {
    fn settle(&mut self, ticket: &mut Ticket) {
        if !ticket.read {
            ticket.read = true;
            self.unread_tokens = self.unread_tokens.saturating_sub(ticket.unread);
        }
    }
}
