//! Compares the engines of a group for one request, by milliseconds of engine time.
//!
//! Designed for these loads: prompts that share a document, which an engine that has it cached prefills faster; long prompts beside streams whose events must not pause while they are prefilled; a burst in which all engines
//! have prompts waiting. The cost of an engine adds up the time by which the request would miss its latency target, the
//! time by which streams there would miss the gap that they allow, and, with smaller weights, the prefill of the request
//! itself and the prompts in front of it.

use std::time::Duration;

use celerytide_catalog::{KnownEndpoint, Service};
use celerytide_types::BootTime;

use super::engine::{Engine, Tolerance};
use super::group::Rooms;
use super::messages::{Demand, IdHash};
use crate::peers::digest::id_hash;

/// Share of the latency target that the prefill before the first event may take.
const WAIT_SHARE: f64 = 0.35;
/// Share of the longest gap that a stream allows which prefill for other requests may take: an engine also decodes.
const GAP_SHARE: f64 = 0.4;
/// Streams at one engine that count as delayed by a prompt; more would outweigh everything else.
const MAX_DELAYED: u32 = 4;
/// Cost of a millisecond of prefill, without that of the requests that it delays.
const PREFILL_WEIGHT: f64 = 1.0;
/// Most requests that count as delayed by prefill at an engine where nothing waits.
const IDLE_DELAYED: f64 = 3.0;
/// Cost of a millisecond of waiting within the target.
const WAITING_WEIGHT: f64 = 0.05;
/// Cost of an engine whose slots are all in use, in milliseconds; proportionally less with free slots.
const BATCH_COST_MS: f64 = 5.0;
/// Share of the prefill of shared blocks that counts as saved at their home if no engine is known to have them cached.
const HOME_SHARE: f64 = 0.5;
/// Share of an engine's memory beyond which its requests preempt each other.
const MEMORY_SHARE: f64 = 0.9;
/// Relative latency above which an engine counts as slow, and its largest effect.
const SLOW_RATIO: f64 = 1.5;
const MAX_SLOW_RATIO: f64 = 6.0;

/// A request as the cost function sees it.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// What the request needs.
    pub demand: &'a Demand,
    /// Position in the order of urgency.
    pub urgency: u16,
    /// Latency target for the first event.
    pub target: Duration,
    /// Hash of the endpoint that is the home of its shared blocks.
    pub home: Option<IdHash>,
}

/// Facts about the group that are the same for all its engines.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The service.
    pub service: &'a Service,
    /// Engines that get requests only while they have room.
    pub rooms: &'a Rooms,
    /// Prefill rate of its engines, in tokens per second.
    pub per_s: f64,
    /// Requests that wait for an engine or for their first event, per engine.
    pub waiting: f64,
    /// Mean latency ratio of its engines, if known.
    pub mean_latency_ratio: Option<f64>,
    /// Whether an engine of the group is known to have the shared blocks of the request cached.
    pub is_cached_somewhere: bool,
    /// Current time.
    pub now: BootTime,
}

/// An engine with its cost for one request.
#[derive(Debug, Clone, Copy)]
pub struct RatedEngine<'a> {
    /// The endpoint.
    pub known: &'a KnownEndpoint,
    /// Prompt tokens of the request that it has to prefill.
    pub uncached: u32,
    /// Uncached tokens of other requests that wait there.
    pub ahead: u64,
    /// Requests in flight there.
    pub running: u32,
    /// Expected time from now to the first event of the request.
    pub start: Duration,
    /// Whether a slot is free, and nothing waits before the request or the request makes nothing late there.
    pub has_room: bool,
    /// Whether it may get no request now, since more would be in flight than it certainly has room for.
    pub is_shut: bool,
    cost_ms: f64,
    last_sent_at: BootTime,
}

impl RatedEngine<'_> {
    /// Whether it is better than `other`; of equal ones the one that was used longest ago.
    pub fn is_better_than(&self, other: &Self) -> bool {
        (self.cost_ms, self.last_sent_at) < (other.cost_ms, other.last_sent_at)
    }
}

/// Rates an engine for a request; `engine` is its state, if anything is known.
pub fn rate<'a>(known: &'a KnownEndpoint, engine: &Engine, need: Need<'_>, cx: Context<'_>) -> RatedEngine<'a> {
    let uncached = need
        .demand
        .tokens
        .saturating_sub(engine.cached_tokens(&need.demand.blocks, cx.now));
    let ahead = engine.tokens_ahead(need.urgency);
    let all_ms = ms_of(engine.queued_tokens() as f64, cx);
    let ms = |tokens: f64| ms_of(tokens, cx);
    let wait_ms = ms(ahead as f64);
    let prefill_ms = ms(f64::from(uncached));
    let late_ms = (wait_ms + prefill_ms - need.target.as_secs_f64() * 1000.0 * WAIT_SHARE).max(0.0);
    let pause_ms = beyond_gap_ms(all_ms, need.demand.max_gap_ms);
    let delay_ms = delay_ms(engine, all_ms, prefill_ms);
    let preempted_ms = ms(preempted_tokens(engine, need, cx.service));
    let room = cx.rooms.get(&id_hash(&known.endpoint.id)).copied();
    let slots = cx.service.engine_slots.unwrap_or(known.endpoint.slots).max(1);
    let is_shut = room.is_some_and(|room| engine.running() >= room);
    let is_full = is_shut || engine.running() >= slots;
    let batch_ms = f64::from(engine.running()) / f64::from(slots) * BATCH_COST_MS;
    let at_home = need.home == Some(id_hash(&known.endpoint.id)) && !cx.is_cached_somewhere;
    let saved_ms = if at_home {
        ms(shared_tokens(need.demand)) * HOME_SHARE
    } else {
        0.0
    };
    let prefill_cost = (prefill_ms - saved_ms).max(0.0) * prefill_weight(engine, cx);
    let harm_ms = late_ms + delay_ms + preempted_ms;
    let cost_ms = (harm_ms + pause_ms + prefill_cost + wait_ms * WAITING_WEIGHT + batch_ms) * slowness(engine, cx);
    RatedEngine {
        known,
        uncached,
        ahead,
        running: engine.running(),
        start: Duration::from_secs_f64((wait_ms + prefill_ms) / 1000.0),
        has_room: !is_full && (ahead == 0 || harm_ms <= 0.0),
        is_shut,
        cost_ms,
        last_sent_at: engine.last_sent_at(),
    }
}

/// Cost of a millisecond of prefill at an engine. Prefill that could have been avoided delays as many requests as wait at an
/// engine of the group on average, but fewer at an idle engine.
fn prefill_weight(engine: &Engine, cx: Context<'_>) -> f64 {
    let most = if engine.waiting() > 0 {
        f64::INFINITY
    } else {
        IDLE_DELAYED
    };
    PREFILL_WEIGHT + cx.waiting.min(most)
}

/// Time that the engines need to prefill this many tokens, in milliseconds.
fn ms_of(tokens: f64, cx: Context<'_>) -> f64 {
    tokens / cx.per_s.max(1.0) * 1000.0
}

/// Part of this prefill that a stream doesn't bear without exceeding its gap.
fn beyond_gap_ms(prefill_ms: f64, max_gap_ms: u32) -> f64 {
    match max_gap_ms {
        0 => 0.0,
        gap_ms => (prefill_ms - f64::from(gap_ms) * GAP_SHARE).max(0.0),
    }
}

/// Time by which `prefill_ms` more of prefill would make requests at the engine exceed their gaps or miss their deadlines,
/// over those that are delayed most.
fn delay_ms(engine: &Engine, wait_ms: f64, prefill_ms: f64) -> f64 {
    let delay = |tolerance: &Tolerance| {
        // A stream whose gap what waits there exceeds already is late in any case.
        let is_late = beyond_gap_ms(wait_ms, tolerance.max_gap_ms) > 0.0;
        let late_ms = if is_late {
            0.0
        } else {
            beyond_gap_ms(wait_ms + prefill_ms, tolerance.max_gap_ms)
        };
        let missed_ms = (prefill_ms - tolerance.slack_ms).min(prefill_ms);
        late_ms.max(missed_ms).max(0.0)
    };
    let total: f64 = engine.tolerances().iter().map(delay).sum();
    let most = (wait_ms + prefill_ms) * f64::from(MAX_DELAYED);
    total.min(most)
}

/// Tokens by which the request would exceed the engine's memory: that much is preempted and prefilled again.
fn preempted_tokens(engine: &Engine, need: Need<'_>, service: &Service) -> f64 {
    let Some(capacity) = service.engine_tokens else {
        return 0.0;
    };
    let own = f64::from(need.demand.tokens) + f64::from(need.demand.max_output_tokens);
    (engine.tokens() as f64 + own - capacity as f64 * MEMORY_SHARE).max(0.0)
}

/// Tokens of the blocks that other requests may share: all but the last one.
fn shared_tokens(demand: &Demand) -> f64 {
    let count = demand.blocks.len().saturating_sub(1);
    demand
        .blocks
        .iter()
        .take(count)
        .map(|block| f64::from(block.tokens))
        .sum()
}

fn slowness(engine: &Engine, cx: Context<'_>) -> f64 {
    match (engine.latency_ratio(), cx.mean_latency_ratio) {
        (Some(own), Some(mean)) if mean > 0.0 && own / mean > SLOW_RATIO => (own / mean).min(MAX_SLOW_RATIO),
        _ => 1.0,
    }
}
