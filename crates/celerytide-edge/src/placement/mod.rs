//! Chooses the endpoint for a request by cost.
//!
//! Answers these loads: long prompts with shared blocks beside short ones; an engine with much to read already; an
//! endpoint slower than its peers. Costs are counted in prompt tokens: those that the endpoint would read although
//! another one has them cached, those that wait in front of the request (from all instances) beyond what its objective
//! allows, and a little for each other. Shared blocks are assumed to be cached where this instance sent them recently
//! and at their home, the highest-ranked endpoints by rendezvous hashing, which all instances compute alike.

mod load;
pub mod popularity;

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::{KnownEndpoint, Service};
use celerytide_types::{BootTime, EndpointId, rendezvous_weight};

pub use load::{EndpointLoad, EndpointLoads, Reservation};

use crate::peers::digest::{RemoteLoad, id_hash};
use crate::protocol::{Prompt, PromptBlock};

/// Decoding cost of a running request, as a share of its slot's part of the engine's memory, in prompt tokens.
const DECODE_SHARE: f64 = 0.02;
/// Share of a block that the second home is assumed to have cached.
const SECOND_HOME_SHARE: f64 = 0.5;
/// Weight of a token that the endpoint would read again: reading takes time from all of its requests, and two caches
/// then hold the block.
const REREAD_WEIGHT: f64 = 8.0;
/// Weight of a token in front of the request that makes it miss its objective.
const LATE_WEIGHT: f64 = 20.0;
/// Weight of any token in front of the request.
const WAITING_WEIGHT: f64 = 0.3;
/// Share of the objective that may be spent waiting for other requests.
const WAIT_SHARE: f64 = 0.35;
/// Least and largest factor that the latency ratio applies to the cost.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.5, 6.0);
/// Latency ratio up to which an engine counts as normal: a few first events show no more, and moving away from an
/// engine gives up its cached blocks.
const SLOW_ENGINE_RATIO: f64 = 1.5;
/// Cost of a request at a plain endpoint with a latency ratio of 1.
const PLAIN_COST: f64 = 1.0;

/// An endpoint that may be chosen.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub known: &'a KnownEndpoint,
    /// Whether it is in this instance's availability zone.
    pub same_zone: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a Service,
    /// The request's prompt.
    pub prompt: &'a Prompt,
    /// Objective for the time to the first event.
    pub target: Option<Duration>,
    /// Number of engines that should cache its deepest shared block.
    pub homes: usize,
}

/// Load data that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct Inputs<'a> {
    /// Requests in flight from this instance.
    pub loads: &'a EndpointLoads,
    /// Requests in flight from other instances, by hash of the endpoint's id.
    pub remote: &'a HashMap<u32, RemoteLoad>,
    /// Key for breaking ties; differs between instances, so that they choose different endpoints.
    pub tie_break_key: &'a str,
    /// Current time.
    pub now: BootTime,
}

/// The chosen endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The endpoint.
    pub known: &'a KnownEndpoint,
    /// Prompt tokens of the request that the endpoint has to read.
    pub uncached: u32,
    /// Prompt tokens that wait in front of the request.
    pub ahead: u64,
}

/// Cost of one candidate. The lowest is chosen; ties go to the endpoint used longest ago, then to one in the same zone.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Cost {
    tokens: f64,
    last_sent_at: BootTime,
    other_zone: bool,
    tie_break: u64,
}

/// Chooses the candidate with the lowest cost.
pub fn choose<'a>(candidates: &[Candidate<'a>], query: Query<'_>, inputs: Inputs<'_>) -> Option<Choice<'a>> {
    let homes = homes(candidates, shared_blocks(query.prompt), query.homes);
    let mean_latency_ratio = inputs
        .loads
        .mean_latency_ratio(candidates.iter().map(|c| c.known.endpoint.id.as_str()));
    let mut best: Option<(Cost, Choice<'a>)> = None;
    for candidate in candidates {
        let (cost, choice) = score(candidate, query, inputs, &homes, mean_latency_ratio);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn score<'a>(
    candidate: &Candidate<'a>,
    query: Query<'_>,
    inputs: Inputs<'_>,
    homes: &Homes,
    mean_latency_ratio: Option<f64>,
) -> (Cost, Choice<'a>) {
    let endpoint = &candidate.known.endpoint;
    let load = inputs.loads.get(&endpoint.id);
    let remote_load = inputs.remote.get(&id_hash(&endpoint.id)).copied().unwrap_or_default();
    let running = load.map_or(0, EndpointLoad::running) + remote_load.running;
    let ahead = load.map_or(0, EndpointLoad::unread_tokens) + remote_load.unread;
    let uncached = uncached_tokens(load, query.prompt, homes, &endpoint.id, inputs.now);
    let latency_ratio = load
        .map_or(1.0, |l| l.latency_ratio(mean_latency_ratio))
        .clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1);
    let tokens = match query.service.engine_slots {
        Some(slots) => {
            let latency_ratio = if latency_ratio > SLOW_ENGINE_RATIO {
                latency_ratio
            } else {
                1.0
            };
            engine_cost(query, inputs, slots, running, ahead as f64, uncached) * latency_ratio
        }
        None => (PLAIN_COST + f64::from(running)) / f64::from(endpoint.slots.max(1)) * latency_ratio,
    };
    let cost = Cost {
        tokens,
        last_sent_at: load.map_or(BootTime::default(), EndpointLoad::last_sent_at),
        other_zone: !candidate.same_zone,
        tie_break: rendezvous_weight(inputs.tie_break_key, &endpoint.id),
    };
    let choice = Choice {
        known: candidate.known,
        uncached: uncached as u32,
        ahead,
    };
    (cost, choice)
}

/// The blocks that other requests may share: all but the last one.
pub fn shared_blocks(prompt: &Prompt) -> &[PromptBlock] {
    match prompt.blocks.len() {
        0 => &[],
        n => &prompt.blocks[..n - 1],
    }
}

/// The endpoints that most likely have the deepest shared block cached.
#[derive(Debug, Default)]
struct Homes {
    first: Vec<EndpointId>,
    /// The next in rank, which has it cached at times.
    second: Option<EndpointId>,
}

fn homes(candidates: &[Candidate<'_>], shared_blocks: &[PromptBlock], count: usize) -> Homes {
    let Some(block) = shared_blocks.last() else {
        return Homes::default();
    };
    let key = format!("{:x}", block.id);
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

fn engine_cost(query: Query<'_>, inputs: Inputs<'_>, slots: u32, running: u32, ahead: f64, uncached: f64) -> f64 {
    let slot_tokens = query.service.engine_tokens.unwrap_or(0) as f64 / f64::from(slots.max(1));
    let allowed =
        query.target.unwrap_or_default().as_secs_f64() * WAIT_SHARE * inputs.loads.read_rate(&query.service.id);
    let waiting = ahead + uncached;
    let late = (waiting - allowed).max(0.0);
    let decoding = f64::from(running) * slot_tokens * DECODE_SHARE;
    uncached * REREAD_WEIGHT + late * LATE_WEIGHT + waiting * WAITING_WEIGHT + decoding
}

/// Tokens of the prompt that the endpoint has to read.
fn uncached_tokens(load: Option<&EndpointLoad>, prompt: &Prompt, homes: &Homes, id: &EndpointId, now: BootTime) -> f64 {
    let shared_tokens: f64 = shared_blocks(prompt).iter().map(|p| f64::from(p.tokens)).sum();
    let sent = load.map_or(0, |l| l.cached_tokens(&prompt.blocks, now)) as f64;
    let at_home = match () {
        () if homes.first.contains(id) => shared_tokens,
        () if homes.second.as_ref() == Some(id) => shared_tokens * SECOND_HOME_SHARE,
        () => 0.0,
    };
    (f64::from(prompt.tokens) - sent.max(at_home)).max(0.0)
}
