//! Which endpoint a request goes to.
//!
//! Answers these loads: long prompts that share parts, arriving beside short ones; an engine that has much to read
//! already; endpoints that are slower than their kind. The cost of an endpoint counts prompt tokens: those that it would
//! read again though another one holds them, those that wait in front of the request (here and from other instances)
//! beyond what its objective allows, and a little for each other. Shared parts are taken to be held where this instance
//! sent them lately, and at the part's home, an order of endpoints by rendezvous hashing that all instances compute alike.

pub mod heat;
mod load;

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::{Known, Service};
use celerytide_types::{BootTime, EndpointId, rendezvous_weight};

pub use load::{Load, Loads, Ticket};

use crate::names::{Part, Prompt};
use crate::peers::digest::{Elsewhere, id_hash};

/// Part of a running request's share of an engine's memory that its decoding costs, as prompt tokens.
const DECODE_SHARE: f64 = 0.02;
/// Share of a part that the second home is taken to hold.
const SECOND_HOME: f64 = 0.5;
/// Weight of a token that the endpoint would read again: reading it takes time from all requests of the endpoint, and the
/// part then stands in two caches.
const REREAD: f64 = 8.0;
/// Weight of a token in front of the request that makes it late.
const LATE: f64 = 20.0;
/// Weight of any token in front of the request.
const WAITING: f64 = 0.3;
/// Share of the objective that may be spent waiting for others.
const WAIT_SHARE: f64 = 0.35;
/// Least and most that a plain endpoint's pace changes its cost.
const PACE_RANGE: (f64, f64) = (0.5, 6.0);
/// Pace up to which an engine counts like its kind: a few first events tell no more, and to leave an engine costs the
/// parts that it holds.
const ENGINE_SLOW: f64 = 1.5;
/// Cost of a request at a plain endpoint that is as fast as its kind.
const PLAIN_COST: f64 = 1.0;

/// An endpoint that may be chosen.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Its entry.
    pub known: &'a Known,
    /// In this instance's availability zone.
    pub near: bool,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a Service,
    /// The request's prompt.
    pub prompt: &'a Prompt,
    /// Objective for its first event.
    pub target: Option<Duration>,
    /// Engines that should hold its deepest shared part.
    pub homes: usize,
}

/// What the choice rests on.
#[derive(Debug, Clone, Copy)]
pub struct Facts<'a> {
    /// What this instance has in flight.
    pub loads: &'a Loads,
    /// What the others have in flight, by the hash of the endpoint.
    pub elsewhere: &'a HashMap<u32, Elsewhere>,
    /// Draws an order of this instance's own among equal endpoints, so that not all instances take the same one.
    pub draw: &'a str,
    /// The time.
    pub now: BootTime,
}

/// The endpoint that was chosen.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// Its entry.
    pub known: &'a Known,
    /// Prompt tokens that it has to read for the request.
    pub missing: u32,
    /// Prompt tokens that wait in front of it.
    pub ahead: u64,
}

/// Cost of one candidate; the least is chosen, and among equals the one that was used longest ago, then a near one.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Cost {
    tokens: f64,
    picked_at: BootTime,
    far: bool,
    drawn: u64,
}

/// Chooses the cheapest candidate.
pub fn choose<'a>(candidates: &[Candidate<'a>], ask: Ask<'_>, facts: Facts<'_>) -> Option<Choice<'a>> {
    let homes = homes(candidates, shared(ask.prompt), ask.homes);
    let mean_pace = facts
        .loads
        .mean_pace(candidates.iter().map(|c| c.known.endpoint.id.as_str()));
    let mut best: Option<(Cost, Choice<'a>)> = None;
    for candidate in candidates {
        let (cost, choice) = weigh(candidate, ask, facts, &homes, mean_pace);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn weigh<'a>(
    candidate: &Candidate<'a>,
    ask: Ask<'_>,
    facts: Facts<'_>,
    homes: &Homes,
    mean_pace: Option<f64>,
) -> (Cost, Choice<'a>) {
    let endpoint = &candidate.known.endpoint;
    let load = facts.loads.get(&endpoint.id);
    let other = facts.elsewhere.get(&id_hash(&endpoint.id)).copied().unwrap_or_default();
    let running = load.map_or(0, Load::running) + other.running;
    let ahead = load.map_or(0, Load::unread_tokens) + other.unread;
    let missing = missing_tokens(load, ask.prompt, homes, &endpoint.id, facts.now);
    let pace = load
        .map_or(1.0, |l| l.pace(mean_pace))
        .clamp(PACE_RANGE.0, PACE_RANGE.1);
    let tokens = match ask.service.engine_slots {
        Some(slots) => {
            let pace = if pace > ENGINE_SLOW { pace } else { 1.0 };
            engine_cost(ask, facts, slots, running, ahead as f64, missing) * pace
        }
        None => (PLAIN_COST + f64::from(running)) / f64::from(endpoint.slots.max(1)) * pace,
    };
    let cost = Cost {
        tokens,
        picked_at: load.map_or(BootTime::default(), Load::picked_at),
        far: !candidate.near,
        drawn: rendezvous_weight(facts.draw, &endpoint.id),
    };
    let choice = Choice {
        known: candidate.known,
        missing: missing as u32,
        ahead,
    };
    (cost, choice)
}

/// The parts that other requests may share.
pub fn shared(prompt: &Prompt) -> &[Part] {
    match prompt.parts.len() {
        0 => &[],
        n => &prompt.parts[..n - 1],
    }
}

/// The endpoints that most likely hold the deepest shared part.
#[derive(Debug, Default)]
struct Homes {
    first: Vec<EndpointId>,
    /// The next one, which holds it at times.
    second: Option<EndpointId>,
}

fn homes(candidates: &[Candidate<'_>], shared: &[Part], count: usize) -> Homes {
    let Some(part) = shared.last() else {
        return Homes::default();
    };
    let key = format!("{:x}", part.id);
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|c| (rendezvous_weight(&key, &c.known.endpoint.id), &c.known.endpoint.id))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut ids = ranked.into_iter().map(|(_, id)| id.clone());
    Homes {
        first: ids.by_ref().take(count).collect(),
        second: ids.next(),
    }
}

fn engine_cost(ask: Ask<'_>, facts: Facts<'_>, slots: u32, running: u32, ahead: f64, missing: f64) -> f64 {
    let slot_tokens = ask.service.engine_tokens.unwrap_or(0) as f64 / f64::from(slots.max(1));
    let allowed = ask.target.unwrap_or_default().as_secs_f64() * WAIT_SHARE * facts.loads.read_rate(&ask.service.id);
    let waiting = ahead + missing;
    let late = (waiting - allowed).max(0.0);
    let decoding = f64::from(running) * slot_tokens * DECODE_SHARE;
    missing * REREAD + late * LATE + waiting * WAITING + decoding
}

/// Tokens of the prompt that the endpoint has to read.
fn missing_tokens(load: Option<&Load>, prompt: &Prompt, homes: &Homes, id: &EndpointId, now: BootTime) -> f64 {
    let shared_tokens: f64 = shared(prompt).iter().map(|p| f64::from(p.tokens)).sum();
    let seen = load.map_or(0, |l| l.held_tokens(&prompt.parts, now)) as f64;
    let by_home = match () {
        () if homes.first.contains(id) => shared_tokens,
        () if homes.second.as_ref() == Some(id) => shared_tokens * SECOND_HOME,
        () => 0.0,
    };
    (f64::from(prompt.tokens) - seen.max(by_home)).max(0.0)
}
