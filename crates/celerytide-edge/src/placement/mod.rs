//! Chooses the endpoint for a request by cost.
//!
//! Designed for these workloads: long prompts with shared blocks beside short ones; an engine (an endpoint of a model
//! service) with a long prefill queue; an endpoint slower than its peers. The cost at an engine is counted in prompt
//! tokens: the uncached tokens of the request; the tokens to prefill before its first event, from all instances, beyond
//! what its latency target allows; and, with a small weight, all tokens to prefill before its first event. Shared blocks
//! are assumed to be cached where this instance sent them recently and at their preferred endpoints, the highest-ranked
//! ones by rendezvous hashing, which all instances compute alike.

mod load;
pub mod popularity;

use std::collections::HashMap;
use std::time::Duration;

use celerytide_catalog::{KnownEndpoint, Service};
use celerytide_types::{BootTime, EndpointId, rendezvous_weight};

pub use load::{EndpointLoad, EndpointLoads, PrefillRate, Reservation};

use crate::peers::digest::{RemoteLoad, id_hash};
use crate::protocol::{Prompt, PromptBlock};

/// Decoding cost of a running request: this share of the tokens that one slot of the engine holds.
const DECODE_SHARE: f64 = 0.02;
/// Share of the shared tokens that the endpoint ranked next after the preferred ones is assumed to have cached.
const NEXT_RANKED_SHARE: f64 = 0.5;
/// Weight of an uncached token of the request: its prefill takes time from all requests of the engine, and two caches
/// may then hold the block.
const UNCACHED_WEIGHT: f64 = 8.0;
/// Weight of a token that makes the request miss its latency target.
const LATE_WEIGHT: f64 = 20.0;
/// Weight of any token to prefill before the first event of the request.
const WAITING_WEIGHT: f64 = 0.3;
/// Share of the latency target that the prefill before the first event may take.
const WAIT_SHARE: f64 = 0.35;
/// Least and largest factor that the relative latency applies to the cost.
const RELATIVE_LATENCY_RANGE: (f64, f64) = (0.5, 6.0);
/// Relative latency above which an engine counts as slow: with few first events a smaller one proves nothing, and
/// moving away from an engine gives up its cached blocks.
const SLOW_ENGINE_RATIO: f64 = 1.5;
/// Cost of one request at a plain endpoint, before it is divided by the slots and scaled by the relative latency.
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
    /// Latency target for the first event.
    pub latency_target: Option<Duration>,
    /// Number of engines that should cache its deepest shared block.
    pub preferred_count: usize,
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
    /// Prompt tokens of the request that the endpoint has to prefill.
    pub uncached: u32,
    /// Uncached tokens of other requests that have no first event yet.
    pub ahead: u64,
}

/// Cost of one candidate; the lowest is chosen. The derived order compares the fields from the first to the last, so
/// ties go to the endpoint used longest ago, then to one in the same zone.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Cost {
    /// Weighted prompt tokens at an engine; requests per slot at a plain endpoint.
    value: f64,
    last_sent_at: BootTime,
    other_zone: bool,
    tie_break: u64,
}

/// Chooses the candidate with the lowest cost.
pub fn choose<'a>(candidates: &[Candidate<'a>], query: Query<'_>, inputs: Inputs<'_>) -> Option<Choice<'a>> {
    let preferred = preferred_endpoints(candidates, shared_blocks(query.prompt), query.preferred_count);
    let mean_latency_ratio = inputs
        .loads
        .mean_latency_ratio(candidates.iter().map(|c| c.known.endpoint.id.as_str()));
    let mut best: Option<(Cost, Choice<'a>)> = None;
    for candidate in candidates {
        let (cost, choice) = score(candidate, query, inputs, &preferred, mean_latency_ratio);
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
    preferred: &PreferredEndpoints,
    mean_latency_ratio: Option<f64>,
) -> (Cost, Choice<'a>) {
    let endpoint = &candidate.known.endpoint;
    let load = inputs.loads.get(&endpoint.id);
    let remote_load = inputs.remote.get(&id_hash(&endpoint.id)).copied().unwrap_or_default();
    let running = load.map_or(0, EndpointLoad::running) + remote_load.running;
    let ahead = load.map_or(0, EndpointLoad::queued_tokens) + remote_load.queued_tokens;
    let uncached = uncached_tokens(load, query.prompt, preferred, &endpoint.id, inputs.now);
    let relative_latency = load
        .map_or(1.0, |l| l.relative_latency(mean_latency_ratio))
        .clamp(RELATIVE_LATENCY_RANGE.0, RELATIVE_LATENCY_RANGE.1);
    let value = match query.service.engine_slots {
        Some(slots) => {
            let relative_latency = if relative_latency > SLOW_ENGINE_RATIO {
                relative_latency
            } else {
                1.0
            };
            engine_cost(query, inputs, slots, running, ahead as f64, uncached) * relative_latency
        }
        None => (PLAIN_COST + f64::from(running)) / f64::from(endpoint.slots.max(1)) * relative_latency,
    };
    let cost = Cost {
        value,
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
struct PreferredEndpoints {
    top: Vec<EndpointId>,
    /// The next in rank, which has it cached only some of the time.
    next_ranked: Option<EndpointId>,
}

fn preferred_endpoints(
    candidates: &[Candidate<'_>],
    shared_blocks: &[PromptBlock],
    count: usize,
) -> PreferredEndpoints {
    let Some(block) = shared_blocks.last() else {
        return PreferredEndpoints::default();
    };
    let key = format!("{:x}", block.id);
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|c| (rendezvous_weight(&key, &c.known.endpoint.id), &c.known.endpoint.id))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut ids = ranked.into_iter().map(|(_, id)| id.clone());
    PreferredEndpoints {
        top: ids.by_ref().take(count).collect(),
        next_ranked: ids.next(),
    }
}

fn engine_cost(query: Query<'_>, inputs: Inputs<'_>, slots: u32, running: u32, ahead: f64, uncached: f64) -> f64 {
    let slot_tokens = query.service.engine_tokens.unwrap_or(0) as f64 / f64::from(slots.max(1));
    let allowed = query.latency_target.unwrap_or_default().as_secs_f64()
        * WAIT_SHARE
        * inputs.loads.prefill_rate(&query.service.id);
    let waiting = ahead + uncached;
    let late = (waiting - allowed).max(0.0);
    let decoding = f64::from(running) * slot_tokens * DECODE_SHARE;
    uncached * UNCACHED_WEIGHT + late * LATE_WEIGHT + waiting * WAITING_WEIGHT + decoding
}

/// Prompt tokens that the endpoint is expected to prefill, since it doesn't have them cached.
fn uncached_tokens(
    load: Option<&EndpointLoad>,
    prompt: &Prompt,
    preferred: &PreferredEndpoints,
    id: &EndpointId,
    now: BootTime,
) -> f64 {
    let shared_tokens: f64 = shared_blocks(prompt).iter().map(|p| f64::from(p.tokens)).sum();
    let sent = load.map_or(0, |l| l.cached_tokens(&prompt.blocks, now)) as f64;
    let assumed_cached = match () {
        () if preferred.top.contains(id) => shared_tokens,
        () if preferred.next_ranked.as_ref() == Some(id) => shared_tokens * NEXT_RANKED_SHARE,
        () => 0.0,
    };
    (f64::from(prompt.tokens) - sent.max(assumed_cached)).max(0.0)
}
