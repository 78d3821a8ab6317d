//! Replays loads on placement.

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

/// The choice of the idle instance `name`, where the shared block has `homes` home engines.
fn pick_as(name: &str, homes: usize, others: usize, engines: &[KnownEndpoint], prompt: &Prompt) -> String {
    let chooser = Chooser { name, homes };
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

/// The choosing instance, and the homes of the shared block.
#[derive(Clone, Copy)]
struct Chooser<'a> {
    name: &'a str,
    homes: usize,
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
    let chooser = Chooser { name: "i1", homes: 1 };
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
        target: Some(Duration::from_millis(target_ms)),
        homes: chooser.homes,
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
        let homes: Vec<String> = (0..5)
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
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
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
    let waiting = |n: usize| Backlog {
        endpoint: id_hash(&format!("e{n}")),
        unread: 18_000,
        running: 1,
    };
    digests.insert(
        instance(9),
        Digest::new((0..11).map(waiting).collect(), Vec::new()),
        at(0),
    );
    assert_eq!(pick(&engines, &short, 300, &EndpointLoads::default(), &digests), "e11");
    let home = pick(
        &engines,
        &prompt(7, 1),
        1200,
        &EndpointLoads::default(),
        &Digests::default(),
    );
    let mut at_home = Digests::default();
    let backlog = Backlog {
        endpoint: id_hash(&home),
        unread: 6_000,
        running: 1,
    };
    at_home.insert(instance(9), Digest::new(vec![backlog], Vec::new()), at(0));
    let next = pick(&engines, &prompt(7, 2), 1200, &EndpointLoads::default(), &at_home);
    assert_eq!(
        next, home,
        "a long prompt with time left waits where its blocks are cached"
    );
}

#[test]
fn in_a_large_fleet_backlogs_of_the_few_heard_instances_move_no_prompt() {
    let engines = engines(12);
    let home = pick(
        &engines,
        &prompt(7, 1),
        1200,
        &EndpointLoads::default(),
        &Digests::default(),
    );
    let mut digests = Digests::default();
    for n in 1..=24 {
        let backlog = Backlog {
            endpoint: id_hash(&home),
            unread: 9_000,
            running: 1,
        };
        let backlogs = if n <= 2 { vec![backlog] } else { Vec::new() };
        digests.insert(instance(n), Digest::new(backlogs, Vec::new()), at(0));
    }
    let next = pick_among(68, &engines, &prompt(7, 2), 1200, &EndpointLoads::default(), &digests);
    assert_eq!(next, home, "two of 24 heard have a prompt there");
}

/// Engines of equal speed that read prompts of all lengths.
struct ReadRateCase {
    name: &'static str,
    /// Read rate of each engine, in tokens per second.
    per_s: f64,
    /// One in this number of prompts is cached already, so that its answer starts at once.
    cached_every: u64,
    /// One in this number of prompts waits behind work that this instance doesn't know of.
    hidden_every: u64,
    hidden: u64,
}

const READ_RATES: [ReadRateCase; 3] = [
    ReadRateCase {
        name: "no cached prompts and no hidden work",
        per_s: 75_000.0,
        cached_every: 1000,
        hidden_every: 1000,
        hidden: 0,
    },
    ReadRateCase {
        name: "a third cached, a quarter behind hidden work",
        per_s: 75_000.0,
        cached_every: 3,
        hidden_every: 4,
        hidden: 9000,
    },
    ReadRateCase {
        name: "slow engines",
        per_s: 20_000.0,
        cached_every: 4,
        hidden_every: 3,
        hidden: 5000,
    },
];

/// Shortest time to a first byte in the replays.
const FLOOR: Duration = Duration::from_millis(15);

/// Sends and answers one request.
fn answer(loads: &mut EndpointLoads, known: &KnownEndpoint, prompt: &Prompt, ahead: u64, took: Duration) {
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
fn the_estimated_read_rate_converges_to_the_engines_rate() {
    let engines = engines(4);
    for case in &READ_RATES {
        let mut loads = EndpointLoads::default();
        for n in 0..400_u64 {
            let tokens = 2_000 + (n * 7919) % 8_000;
            // A prompt in front is half read by the time it is known.
            let ahead = if n % 5 == 0 { 6_000 } else { 0 };
            let hidden = if n % case.hidden_every == 0 { case.hidden } else { 0 };
            let read = if n % case.cached_every == 1 { 200 } else { tokens };
            let reading = (read + ahead / 2 + hidden) as f64 / case.per_s;
            let took = FLOOR + Duration::from_secs_f64(reading);
            answer(&mut loads, &engines[(n % 4) as usize], &own(tokens as u32), ahead, took);
        }
        let rate = loads.read_rate("llm");
        let close = (0.65..1.35).contains(&(rate / case.per_s));
        assert!(close, "{}: {rate:.0} of {:.0}", case.name, case.per_s);
    }
}

/// Latencies of the home engine and of the others, and whether a prompt moves away from the home.
struct LatencyCase {
    name: &'static str,
    /// Prompt lengths at the home and at the other engines, in tokens.
    lengths: (u32, u32),
    /// Ratio of actual to expected time to the first event at the home.
    slowness: f64,
    leaves: bool,
}

const LATENCIES: [LatencyCase; 4] = [
    LatencyCase {
        name: "long prompts at the home, short ones at the others",
        lengths: (9_000, 1_000),
        slowness: 1.0,
        leaves: false,
    },
    LatencyCase {
        name: "short prompts at the home",
        lengths: (500, 9_000),
        slowness: 1.0,
        leaves: false,
    },
    LatencyCase {
        name: "a slightly slow home",
        lengths: (4_000, 4_000),
        slowness: 1.4,
        leaves: false,
    },
    LatencyCase {
        name: "a slow home",
        lengths: (4_000, 4_000),
        slowness: 8.0,
        leaves: true,
    },
];

#[test]
fn a_home_engine_is_abandoned_only_if_it_is_slow_for_its_prompt_lengths() {
    let engines = engines(12);
    for case in &LATENCIES {
        let home = pick(
            &engines,
            &prompt(7, 1),
            1200,
            &EndpointLoads::default(),
            &Digests::default(),
        );
        let mut loads = EndpointLoads::default();
        for n in 0..240_usize {
            let engine = &engines[n % 12];
            let is_home = engine.endpoint.id == home;
            let tokens = if is_home { case.lengths.0 } else { case.lengths.1 };
            let times = if is_home { case.slowness } else { 1.0 };
            let took = FLOOR + Duration::from_secs_f64(f64::from(tokens) / 75_000.0);
            answer(&mut loads, engine, &own(tokens), 0, took.mul_f64(times));
        }
        let next = pick(&engines, &prompt(7, 2), 1200, &loads, &Digests::default());
        assert_eq!(next != home, case.leaves, "{}: {home} then {next}", case.name);
    }
}

/// Requests about one block that each instance sees in ten seconds, spread evenly.
struct TrafficCase {
    name: &'static str,
    instances: usize,
    requests: u64,
    /// Engine time per request.
    takes_ms: u64,
    homes: std::ops::RangeInclusive<usize>,
}

const TRAFFIC: [TrafficCase; 5] = [
    TrafficCase {
        name: "a single request gives no rate",
        instances: 90,
        requests: 1,
        takes_ms: 150,
        homes: 1..=1,
    },
    TrafficCase {
        name: "a quarter of the traffic in a large fleet",
        instances: 90,
        requests: 6,
        takes_ms: 150,
        homes: 6..=20,
    },
    TrafficCase {
        name: "the same in a small fleet",
        instances: 9,
        requests: 6,
        takes_ms: 150,
        homes: 1..=2,
    },
    TrafficCase {
        name: "frequent, but read quickly",
        instances: 90,
        requests: 6,
        takes_ms: 2,
        homes: 1..=1,
    },
    TrafficCase {
        name: "a block of every prompt",
        instances: 90,
        requests: 100,
        takes_ms: 150,
        homes: 60..=1200,
    },
];

#[test]
fn a_popular_block_gets_more_homes() {
    for case in &TRAFFIC {
        let mut popularity = Popularity::default();
        for n in 0..case.requests {
            popularity.record(7, 1_000, at(n * 10_000 / case.requests));
        }
        let last = at((case.requests - 1) * 10_000 / case.requests);
        let homes = popularity.home_count(7, case.instances, Duration::from_millis(case.takes_ms), last);
        assert!(case.homes.contains(&homes), "{}: {homes}", case.name);
        let later = popularity.home_count(7, case.instances, Duration::from_millis(case.takes_ms), at(60_000));
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
    let hot: std::collections::BTreeSet<String> = (0..60)
        .map(|n| pick_as(&format!("i{n}"), 3, 68, &engines, &prompt(7, n as u64)))
        .collect();
    assert_eq!(hot.len(), 3, "a block with three homes is read at {hot:?}");
}
