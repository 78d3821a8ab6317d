//! Which endpoint a request goes to.
//!
//! Answers these loads: long prompts that share parts, arriving beside short ones; an engine that has much to read
//! already; endpoints that are slower than their kind. The cost of an endpoint is the prompt tokens in front of the
//! request's first token: those that it still has to read for others, those of the request that it doesn't hold, and a
//! part for each running request. Shared parts are taken to be held where this instance sent them lately, and at the
//! part's home, an order of endpoints by rendezvous hashing that all instances compute alike.

mod load;

use celerytide_catalog::{Known, Service};
use celerytide_types::{Boot, EndpointId, rendezvous_weight};

pub use load::{Load, Loads, Ticket};

use crate::names::{Part, Prompt};

/// Part of a running request's share of an engine's memory that its decoding costs, as prompt tokens.
const DECODE_SHARE: f64 = 0.125;
/// Share of a part that the second home is taken to hold.
const SECOND_HOME: f64 = 0.5;
/// Weight of a token that the endpoint would read again against one that waits in front of the request: reading it takes
/// time from all requests of the endpoint, and the part then stands in two caches.
const REREAD: f64 = 4.0;
/// Least and most that an endpoint's pace changes its cost.
const PACE_RANGE: (f64, f64) = (0.5, 6.0);
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

/// Chooses the cheapest candidate.
pub fn choose<'a>(
    candidates: &'a [Candidate<'a>],
    service: &Service,
    prompt: &Prompt,
    loads: &Loads,
    now: Boot,
) -> Option<&'a Candidate<'a>> {
    let homes = homes(candidates, shared(prompt));
    let pace = loads.mean_pace(candidates.iter().map(|c| c.known.endpoint.id.as_str()));
    let cost = |c: &Candidate<'a>| {
        let id = &c.known.endpoint.id;
        let load = loads.get(id);
        let own_pace = load.map_or(1.0, |l| l.pace(pace)).clamp(PACE_RANGE.0, PACE_RANGE.1);
        let cost = match service.engine_slots {
            Some(slots) => engine_cost(load, service, slots, prompt, &homes, id, now),
            None => plain_cost(load, c.known.endpoint.slots),
        };
        (cost * own_pace, load.map_or(Boot::default(), Load::picked_at), !c.near)
    };
    let costs: Vec<_> = candidates.iter().map(cost).collect();
    let best = (0..candidates.len()).min_by(|a, b| {
        let (x, y) = (&costs[*a], &costs[*b]);
        x.0.total_cmp(&y.0).then(x.1.cmp(&y.1)).then(x.2.cmp(&y.2))
    })?;
    candidates.get(best)
}

/// The parts that other requests may share.
pub fn shared(prompt: &Prompt) -> &[Part] {
    match prompt.parts.len() {
        0 => &[],
        n => &prompt.parts[..n - 1],
    }
}

/// The two endpoints that most likely hold the deepest shared part.
#[derive(Debug, Default)]
struct Homes {
    first: Option<EndpointId>,
    second: Option<EndpointId>,
}

fn homes(candidates: &[Candidate<'_>], shared: &[Part]) -> Homes {
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
        first: ids.next(),
        second: ids.next(),
    }
}

fn engine_cost(
    load: Option<&Load>,
    service: &Service,
    slots: u32,
    prompt: &Prompt,
    homes: &Homes,
    id: &EndpointId,
    now: Boot,
) -> f64 {
    let slot_tokens = service.engine_tokens.unwrap_or(0) as f64 / f64::from(slots.max(1));
    let running = load.map_or(0, Load::running);
    let unread = load.map_or(0, Load::unread_tokens) as f64;
    let missing = missing_tokens(load, prompt, homes, id, now);
    unread + missing * REREAD + f64::from(running) * slot_tokens * DECODE_SHARE
}

/// Tokens of the prompt that the endpoint has to read.
fn missing_tokens(load: Option<&Load>, prompt: &Prompt, homes: &Homes, id: &EndpointId, now: Boot) -> f64 {
    let shared_tokens: f64 = shared(prompt).iter().map(|p| f64::from(p.tokens)).sum();
    let seen = load.map_or(0, |l| l.held_tokens(&prompt.parts, now)) as f64;
    let by_home = match () {
        () if homes.first.as_ref() == Some(id) => shared_tokens,
        () if homes.second.as_ref() == Some(id) => shared_tokens * SECOND_HOME,
        () => 0.0,
    };
    (f64::from(prompt.tokens) - seen.max(by_home)).max(0.0)
}

fn plain_cost(load: Option<&Load>, slots: u32) -> f64 {
    let running = load.map_or(0, Load::running);
    (PLAIN_COST + f64::from(running)) / f64::from(slots.max(1))
}
