//! Replays request loads on the choice of an endpoint.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint, Service};
use celerytide_edge::peers::digest::{Backlog, Digest, Digests, id_hash};
use celerytide_edge::placement::popularity::Popularity;
use celerytide_edge::placement::{Candidate, Choice, EndpointLoads, Inputs, Query, choose};
use celerytide_edge::protocol::{Prompt, PromptBlock};
use celerytide_types::BootTime;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

fn instance(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 8229))
}

fn service() -> Service {
    Service {
        id: "llm".to_owned(),
        cold_period: Duration::ZERO,
        cold_rate: 0.0,
        engine_slots: Some(128),
        engine_tokens: Some(352_253),
        max_connections: None,
        health_path: None,
    }
}

fn engines(count: usize) -> Vec<KnownEndpoint> {
    let known = |n: usize| {
        KnownEndpoint::new(Rc::new(Endpoint {
            id: format!("e{n}"),
            service: "llm".to_owned(),
            address: instance(n as u8),
            zone: "z".to_owned(),
            slots: 128,
            leaving: false,
            cold_remaining: Duration::ZERO,
            start: None,
            version: String::new(),
            sequence: None,
        }))
    };
    (0..count).map(known).collect()
}

fn prompt(document: u64, own: u64) -> Prompt {
    let block = |id, tokens| PromptBlock { id, tokens };
    Prompt {
        blocks: vec![block(1, 2520), block(document, 3780), block(own, 2890)],
        tokens: 9190,
        max_output_tokens: 52,
    }
}

fn pick(
    engines: &[KnownEndpoint],
    prompt: &Prompt,
    target_ms: u64,
    loads: &EndpointLoads,
    digests: &Digests,
) -> String {
    pick_among(8, engines, prompt, target_ms, loads, digests)
}

/// The choice of the idle instance `name`, where the shared block has `preferred_count` preferred
/// engines.
fn pick_as(name: &str, preferred_count: usize, others: usize, engines: &[KnownEndpoint], prompt: &Prompt) -> String {
    let chooser = Chooser { name, preferred_count };
    pick_with(
        chooser,
        others,
        engines,
        prompt,
        1200,
        &EndpointLoads::default(),
        &Digests::default(),
    )
}

/// The choosing instance, and the number of preferred engines of the shared block.
#[derive(Clone, Copy)]
struct Chooser<'a> {
    name: &'a str,
    preferred_count: usize,
}

/// The choice of an instance that knows `others` other instances.
fn pick_among(
    others: usize,
    engines: &[KnownEndpoint],
    prompt: &Prompt,
    target_ms: u64,
    loads: &EndpointLoads,
    digests: &Digests,
) -> String {
    let chooser = Chooser {
        name: "i1",
        preferred_count: 1,
    };
    pick_with(chooser, others, engines, prompt, target_ms, loads, digests)
}

fn pick_with(
    chooser: Chooser<'_>,
    others: usize,
    engines: &[KnownEndpoint],
    prompt: &Prompt,
    target_ms: u64,
    loads: &EndpointLoads,
    digests: &Digests,
) -> String {
    let service = service();
    let candidates: Vec<Candidate<'_>> = engines
        .iter()
        .map(|known| Candidate { known, same_zone: true })
        .collect();
    let query = Query {
        service: &service,
        prompt,
        latency_target: Some(Duration::from_millis(target_ms)),
        preferred_count: chooser.preferred_count,
    };
    let remote = digests.loads_by_endpoint(others, at(0));
    let inputs = Inputs {
        loads,
        remote: &remote,
        tie_break_key: chooser.name,
        now: at(0),
    };
    choose(&candidates, query, inputs)
        .expect("a choice")
        .known
        .endpoint
        .id
        .clone()
}

#[test]
fn prompts_that_share_a_block_go_to_one_endpoint_from_every_instance() {
    let engines = engines(12);
    for document in 100..140 {
        let choices: Vec<String> = (0..5)
            .map(|own| {
                pick(
                    &engines,
                    &prompt(document, own),
                    1200,
                    &EndpointLoads::default(),
                    &Digests::default(),
                )
            })
            .collect();
        assert!(choices.iter().all(|choice| *choice == choices[0]), "{choices:?}");
    }
}

#[test]
fn a_short_prompt_avoids_backlogs_of_other_instances() {
    let engines = engines(12);
    let short = Prompt {
        blocks: Vec::new(),
        tokens: 500,
        max_output_tokens: 200,
    };
    let mut digests = Digests::default();
    let backlog = |n: usize| Backlog {
        endpoint: id_hash(&format!("e{n}")),
        queued_tokens: 18_000,
        running: 1,
    };
    digests.insert(
        instance(9),
        Digest::new((0..11).map(backlog).collect(), Vec::new()),
        at(0),
    );
    assert_eq!(pick(&engines, &short, 300, &EndpointLoads::default(), &digests), "e11");
    let preferred = pick(
        &engines,
        &prompt(7, 1),
        1200,
        &EndpointLoads::default(),
        &Digests::default(),
    );
    let mut with_backlog = Digests::default();
    let backlog = Backlog {
        endpoint: id_hash(&preferred),
        queued_tokens: 6_000,
        running: 1,
    };
    with_backlog.insert(instance(9), Digest::new(vec![backlog], Vec::new()), at(0));
    let next = pick(&engines, &prompt(7, 2), 1200, &EndpointLoads::default(), &with_backlog);
    assert_eq!(
        next, preferred,
        "a long prompt with time left waits where its blocks are cached"
    );
}

#[test]
fn in_a_large_fleet_backlogs_of_the_few_heard_instances_move_no_prompt() {
    let engines = engines(12);
    let preferred = pick(
        &engines,
        &prompt(7, 1),
        1200,
        &EndpointLoads::default(),
        &Digests::default(),
    );
    let mut digests = Digests::default();
    for n in 1..=24 {
        let backlog = Backlog {
            endpoint: id_hash(&preferred),
            queued_tokens: 9_000,
            running: 1,
        };
        let backlogs = if n <= 2 { vec![backlog] } else { Vec::new() };
        digests.insert(instance(n), Digest::new(backlogs, Vec::new()), at(0));
    }
    let next = pick_among(68, &engines, &prompt(7, 2), 1200, &EndpointLoads::default(), &digests);
    assert_eq!(next, preferred, "two of the 24 heard instances have a prompt there");
}

/// Prompts of all lengths at engines of equal speed.
struct PrefillRateCase {
    name: &'static str,
    /// Prefill rate of each engine, in tokens per second.
    per_s: f64,
    /// One in this number of prompts is cached already, so that its response starts at once.
    cached_every: u64,
    /// One in this number of prompts waits behind work that this instance doesn't know of.
    hidden_every: u64,
    hidden: u64,
}

const PREFILL_RATES: [PrefillRateCase; 3] = [
    PrefillRateCase {
        name: "no cached prompts and no hidden work",
        per_s: 75_000.0,
        cached_every: 1000,
        hidden_every: 1000,
        hidden: 0,
    },
    PrefillRateCase {
        name: "a third cached, a quarter behind hidden work",
        per_s: 75_000.0,
        cached_every: 3,
        hidden_every: 4,
        hidden: 9000,
    },
    PrefillRateCase {
        name: "slow engines",
        per_s: 20_000.0,
        cached_every: 4,
        hidden_every: 3,
        hidden: 5000,
    },
];

/// Time to a first byte without prefill in the replays.
const FLOOR: Duration = Duration::from_millis(15);

/// Records one request whose first byte came after `took`.
fn record_request(loads: &mut EndpointLoads, known: &KnownEndpoint, prompt: &Prompt, ahead: u64, took: Duration) {
    let choice = Choice {
        known,
        uncached: prompt.tokens,
        ahead,
    };
    let mut reservation = loads.reserve("llm", &choice, prompt, at(0));
    loads.record_first_byte(&mut reservation, took);
    loads.release(&mut reservation);
}

fn own(tokens: u32) -> Prompt {
    Prompt {
        blocks: Vec::new(),
        tokens,
        max_output_tokens: 100,
    }
}

#[test]
fn the_estimated_prefill_rate_converges_to_the_engines_rate() {
    let engines = engines(4);
    for case in &PREFILL_RATES {
        let mut loads = EndpointLoads::default();
        for n in 0..400_u64 {
            let tokens = 2_000 + (n * 7919) % 8_000;
            // Half of a prompt that is ahead has been processed by the time it is known.
            let ahead = if n % 5 == 0 { 6_000 } else { 0 };
            let hidden = if n % case.hidden_every == 0 { case.hidden } else { 0 };
            let uncached = if n % case.cached_every == 1 { 200 } else { tokens };
            let prefill_s = (uncached + ahead / 2 + hidden) as f64 / case.per_s;
            let took = FLOOR + Duration::from_secs_f64(prefill_s);
            record_request(&mut loads, &engines[(n % 4) as usize], &own(tokens as u32), ahead, took);
        }
        let rate = loads.prefill_rate("llm");
        let close = (0.65..1.35).contains(&(rate / case.per_s));
        assert!(close, "{}: {rate:.0} of {:.0}", case.name, case.per_s);
    }
}

/// Latencies of the preferred engine and of the others, and whether a prompt moves away from the preferred one.
struct LatencyCase {
    name: &'static str,
    /// Prompt lengths at the preferred and at the other engines, in tokens.
    lengths: (u32, u32),
    /// Actual by expected time to the first byte at the preferred engine.
    slowness: f64,
    moves_away: bool,
}

const LATENCIES: [LatencyCase; 4] = [
    LatencyCase {
        name: "long prompts at the preferred engine, short ones at the others",
        lengths: (9_000, 1_000),
        slowness: 1.0,
        moves_away: false,
    },
    LatencyCase {
        name: "short prompts at the preferred engine",
        lengths: (500, 9_000),
        slowness: 1.0,
        moves_away: false,
    },
    LatencyCase {
        name: "a slightly slow preferred engine",
        lengths: (4_000, 4_000),
        slowness: 1.4,
        moves_away: false,
    },
    LatencyCase {
        name: "a slow preferred engine",
        lengths: (4_000, 4_000),
        slowness: 8.0,
        moves_away: true,
    },
];

#[test]
fn a_preferred_engine_is_left_only_if_it_is_slow_for_its_prompt_lengths() {
    let engines = engines(12);
    for case in &LATENCIES {
        let preferred = pick(
            &engines,
            &prompt(7, 1),
            1200,
            &EndpointLoads::default(),
            &Digests::default(),
        );
        let mut loads = EndpointLoads::default();
        for n in 0..240_usize {
            let engine = &engines[n % 12];
            let is_preferred = engine.endpoint.id == preferred;
            let tokens = if is_preferred { case.lengths.0 } else { case.lengths.1 };
            let times = if is_preferred { case.slowness } else { 1.0 };
            let took = FLOOR + Duration::from_secs_f64(f64::from(tokens) / 75_000.0);
            record_request(&mut loads, engine, &own(tokens), 0, took.mul_f64(times));
        }
        let next = pick(&engines, &prompt(7, 2), 1200, &loads, &Digests::default());
        assert_eq!(
            next != preferred,
            case.moves_away,
            "{}: {preferred} then {next}",
            case.name
        );
    }
}

/// Requests about one block that each instance sees in ten seconds, spread evenly.
struct TrafficCase {
    name: &'static str,
    instances: usize,
    requests: u64,
    /// Engine time per request.
    engine_time_ms: u64,
    preferred_count: std::ops::RangeInclusive<usize>,
}

const TRAFFIC: [TrafficCase; 5] = [
    TrafficCase {
        name: "a single request gives no rate",
        instances: 90,
        requests: 1,
        engine_time_ms: 150,
        preferred_count: 1..=1,
    },
    TrafficCase {
        name: "a quarter of the traffic in a large fleet",
        instances: 90,
        requests: 6,
        engine_time_ms: 150,
        preferred_count: 6..=20,
    },
    TrafficCase {
        name: "the same in a small fleet",
        instances: 9,
        requests: 6,
        engine_time_ms: 150,
        preferred_count: 1..=2,
    },
    TrafficCase {
        name: "frequent, with short prefill",
        instances: 90,
        requests: 6,
        engine_time_ms: 2,
        preferred_count: 1..=1,
    },
    TrafficCase {
        name: "a block of every prompt",
        instances: 90,
        requests: 100,
        engine_time_ms: 150,
        preferred_count: 60..=1200,
    },
];

#[test]
fn a_popular_block_gets_more_preferred_engines() {
    for case in &TRAFFIC {
        let mut popularity = Popularity::default();
        for n in 0..case.requests {
            popularity.record(7, 1_000, at(n * 10_000 / case.requests));
        }
        let last = at((case.requests - 1) * 10_000 / case.requests);
        let preferred_count =
            popularity.preferred_count(7, case.instances, Duration::from_millis(case.engine_time_ms), last);
        assert!(
            case.preferred_count.contains(&preferred_count),
            "{}: {preferred_count}",
            case.name
        );
        let later = popularity.preferred_count(
            7,
            case.instances,
            Duration::from_millis(case.engine_time_ms),
            at(60_000),
        );
        assert_eq!(later, 1, "{}: long after", case.name);
    }
}

#[test]
fn instances_without_information_spread_over_equal_engines() {
    let engines = engines(12);
    let short = own(500);
    let from_instance = |n: usize| pick_as(&format!("i{n}"), 3, 68, &engines, &short);
    let first: std::collections::BTreeSet<String> = (0..60).map(from_instance).collect();
    assert!(first.len() >= 10, "60 instances start at {first:?}");
    let popular: std::collections::BTreeSet<String> = (0..60)
        .map(|n| pick_as(&format!("i{n}"), 3, 68, &engines, &prompt(7, n as u64)))
        .collect();
    assert_eq!(
        popular.len(),
        3,
        "a block with three preferred engines goes to {popular:?}"
    );
}
