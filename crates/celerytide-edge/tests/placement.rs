//! Placement replayed with the loads that it answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, Known, Service};
use celerytide_edge::names::{Part, Prompt};
use celerytide_edge::peers::digest::{Backlog, Digest, Digests, id_hash};
use celerytide_edge::place::heat::Heat;
use celerytide_edge::place::{Ask, Candidate, Choice, Facts, Loads, choose};
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
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        engine_slots: Some(128),
        engine_tokens: Some(352_253),
    }
}

fn engines(count: usize) -> Vec<Known> {
    let known = |n: usize| {
        Known::new(Rc::new(Endpoint {
            id: format!("e{n}"),
            service: "llm".to_owned(),
            address: instance(n as u8),
            zone: "z".to_owned(),
            slots: 128,
            leaving: false,
            cold_for: Duration::ZERO,
            start: None,
        }))
    };
    (0..count).map(known).collect()
}

fn prompt(document: u64, own: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        parts: vec![part(1, 2520), part(document, 3780), part(own, 2890)],
        tokens: 9190,
        most_output: 52,
    }
}

fn pick(engines: &[Known], prompt: &Prompt, target_ms: u64, loads: &Loads, digests: &Digests) -> String {
    pick_among(8, engines, prompt, target_ms, loads, digests)
}

/// The choice of an instance with that name that has nothing in flight, for a part with so many homes.
fn pick_drawn(name: &str, homes: usize, others: usize, engines: &[Known], prompt: &Prompt) -> String {
    let draw = Draw { name, homes };
    pick_with(
        draw,
        others,
        engines,
        prompt,
        1200,
        &Loads::default(),
        &Digests::default(),
    )
}

/// Who chooses, and how many homes a part has.
#[derive(Clone, Copy)]
struct Draw<'a> {
    name: &'a str,
    homes: usize,
}

/// The choice of an instance that knows `others`.
fn pick_among(
    others: usize,
    engines: &[Known],
    prompt: &Prompt,
    target_ms: u64,
    loads: &Loads,
    digests: &Digests,
) -> String {
    let draw = Draw { name: "i1", homes: 1 };
    pick_with(draw, others, engines, prompt, target_ms, loads, digests)
}

fn pick_with(
    draw: Draw<'_>,
    others: usize,
    engines: &[Known],
    prompt: &Prompt,
    target_ms: u64,
    loads: &Loads,
    digests: &Digests,
) -> String {
    let service = service();
    let candidates: Vec<Candidate<'_>> = engines.iter().map(|known| Candidate { known, near: true }).collect();
    let ask = Ask {
        service: &service,
        prompt,
        target: Some(Duration::from_millis(target_ms)),
        homes: draw.homes,
    };
    let elsewhere = digests.sums(others, at(0));
    let facts = Facts {
        loads,
        elsewhere: &elsewhere,
        draw: draw.name,
        now: at(0),
    };
    choose(&candidates, ask, facts)
        .expect("a choice")
        .known
        .endpoint
        .id
        .clone()
}

#[test]
fn prompts_that_share_a_part_meet_at_one_endpoint_from_every_instance() {
    let engines = engines(12);
    for document in 100..140 {
        let homes: Vec<String> = (0..5)
            .map(|own| {
                pick(
                    &engines,
                    &prompt(document, own),
                    1200,
                    &Loads::default(),
                    &Digests::default(),
                )
            })
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

#[test]
fn a_short_prompt_avoids_what_other_instances_have_waiting() {
    let engines = engines(12);
    let short = Prompt {
        parts: Vec::new(),
        tokens: 500,
        most_output: 200,
    };
    let mut digests = Digests::default();
    let waiting = |n: usize| Backlog {
        endpoint: id_hash(&format!("e{n}")),
        unread: 18_000,
        running: 1,
    };
    digests.take(
        instance(9),
        Digest::new((0..11).map(waiting).collect(), Vec::new()),
        at(0),
    );
    assert_eq!(pick(&engines, &short, 300, &Loads::default(), &digests), "e11");
    let home = pick(&engines, &prompt(7, 1), 1200, &Loads::default(), &Digests::default());
    let mut at_home = Digests::default();
    let backlog = Backlog {
        endpoint: id_hash(&home),
        unread: 6_000,
        running: 1,
    };
    at_home.take(instance(9), Digest::new(vec![backlog], Vec::new()), at(0));
    let stays = pick(&engines, &prompt(7, 2), 1200, &Loads::default(), &at_home);
    assert_eq!(stays, home, "a long prompt with time waits where its parts are");
}

#[test]
fn in_a_large_fleet_the_few_that_are_heard_draw_no_prompt_away() {
    let engines = engines(12);
    let home = pick(&engines, &prompt(7, 1), 1200, &Loads::default(), &Digests::default());
    let mut digests = Digests::default();
    for n in 1..=24 {
        let backlog = Backlog {
            endpoint: id_hash(&home),
            unread: 9_000,
            running: 1,
        };
        let backlogs = if n <= 2 { vec![backlog] } else { Vec::new() };
        digests.take(instance(n), Digest::new(backlogs, Vec::new()), at(0));
    }
    let stays = pick_among(68, &engines, &prompt(7, 2), 1200, &Loads::default(), &digests);
    assert_eq!(stays, home, "two of 24 heard have a prompt there");
}

/// Engines that read as fast as each other, with requests of all lengths.
struct Reading {
    name: &'static str,
    /// Tokens a second that each engine reads.
    per_s: f64,
    /// Every so manieth prompt is held already, so that its answer begins at once.
    held_every: u64,
    /// Every so manieth meets work that this instance doesn't know of, in tokens.
    hidden_every: u64,
    hidden: u64,
}

const READING: [Reading; 3] = [
    Reading {
        name: "all as known",
        per_s: 75_000.0,
        held_every: 1000,
        hidden_every: 1000,
        hidden: 0,
    },
    Reading {
        name: "a third held, a third behind hidden work",
        per_s: 75_000.0,
        held_every: 3,
        hidden_every: 4,
        hidden: 9000,
    },
    Reading {
        name: "slow engines",
        per_s: 20_000.0,
        held_every: 4,
        hidden_every: 3,
        hidden: 5000,
    },
];

/// Least time to a first byte in the replays.
const FLOOR: Duration = Duration::from_millis(15);

/// One request that was sent and answered.
fn answer(loads: &mut Loads, known: &Known, prompt: &Prompt, ahead: u64, took: Duration) {
    let choice = Choice {
        known,
        missing: prompt.tokens,
        ahead,
    };
    let mut ticket = loads.begin("llm", &choice, prompt, at(0));
    loads.first_byte(&mut ticket, took);
    loads.end(&mut ticket);
}

fn own(tokens: u32) -> Prompt {
    Prompt {
        parts: Vec::new(),
        tokens,
        most_output: 100,
    }
}

#[test]
fn the_reading_rate_settles_near_the_engines_own() {
    let engines = engines(4);
    for case in &READING {
        let mut loads = Loads::default();
        for n in 0..400_u64 {
            let tokens = 2_000 + (n * 7919) % 8_000;
            // A prompt in front is half read by the time it is known of.
            let ahead = if n % 5 == 0 { 6_000 } else { 0 };
            let hidden = if n % case.hidden_every == 0 { case.hidden } else { 0 };
            let read = if n % case.held_every == 1 { 200 } else { tokens };
            let reading = (read + ahead / 2 + hidden) as f64 / case.per_s;
            let took = FLOOR + Duration::from_secs_f64(reading);
            answer(&mut loads, &engines[(n % 4) as usize], &own(tokens as u32), ahead, took);
        }
        let rate = loads.read_rate("llm");
        let close = (0.65..1.35).contains(&(rate / case.per_s));
        assert!(close, "{}: {rate:.0} of {:.0}", case.name, case.per_s);
    }
}

/// What an instance saw of the engine that holds the parts, against the others, and whether it leaves it for that.
struct Paces {
    name: &'static str,
    /// Prompt lengths at the home and elsewhere, in tokens.
    lengths: (u32, u32),
    /// Time to the first event at the home against what was to be expected.
    slowness: f64,
    leaves: bool,
}

const PACES: [Paces; 4] = [
    Paces {
        name: "long prompts at the home, short ones elsewhere",
        lengths: (9_000, 1_000),
        slowness: 1.0,
        leaves: false,
    },
    Paces {
        name: "short prompts at the home",
        lengths: (500, 9_000),
        slowness: 1.0,
        leaves: false,
    },
    Paces {
        name: "a little late at the home",
        lengths: (4_000, 4_000),
        slowness: 1.4,
        leaves: false,
    },
    Paces {
        name: "a slow home",
        lengths: (4_000, 4_000),
        slowness: 8.0,
        leaves: true,
    },
];

#[test]
fn an_engine_that_holds_the_parts_is_left_only_when_it_is_slow_for_what_it_reads() {
    let engines = engines(12);
    for case in &PACES {
        let home = pick(&engines, &prompt(7, 1), 1200, &Loads::default(), &Digests::default());
        let mut loads = Loads::default();
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

/// Requests about one part that one of many instances sees in ten seconds, spread evenly.
struct Hot {
    name: &'static str,
    instances: usize,
    requests: u64,
    /// Time that one takes an engine.
    takes_ms: u64,
    homes: std::ops::RangeInclusive<usize>,
}

const HOT: [Hot; 5] = [
    Hot {
        name: "one request tells nothing",
        instances: 90,
        requests: 1,
        takes_ms: 150,
        homes: 1..=1,
    },
    Hot {
        name: "a quarter of the traffic in a large fleet",
        instances: 90,
        requests: 6,
        takes_ms: 150,
        homes: 6..=20,
    },
    Hot {
        name: "the same in a small fleet",
        instances: 9,
        requests: 6,
        takes_ms: 150,
        homes: 1..=2,
    },
    Hot {
        name: "often, and read at once",
        instances: 90,
        requests: 6,
        takes_ms: 2,
        homes: 1..=1,
    },
    Hot {
        name: "a part of each prompt",
        instances: 90,
        requests: 100,
        takes_ms: 150,
        homes: 60..=1200,
    },
];

#[test]
fn a_part_that_is_asked_for_often_gets_more_homes() {
    for case in &HOT {
        let mut heat = Heat::default();
        for n in 0..case.requests {
            heat.note(7, 1_000, at(n * 10_000 / case.requests));
        }
        let last = at((case.requests - 1) * 10_000 / case.requests);
        let homes = heat.homes(7, case.instances, Duration::from_millis(case.takes_ms), last);
        assert!(case.homes.contains(&homes), "{}: {homes}", case.name);
        let later = heat.homes(7, case.instances, Duration::from_millis(case.takes_ms), at(60_000));
        assert_eq!(later, 1, "{}: long after", case.name);
    }
}

#[test]
fn instances_that_know_nothing_spread_over_equal_engines() {
    let engines = engines(12);
    let short = own(500);
    let drawn = |n: usize| pick_drawn(&format!("i{n}"), 3, 68, &engines, &short);
    let first: std::collections::BTreeSet<String> = (0..60).map(drawn).collect();
    assert!(first.len() >= 10, "60 instances begin at {first:?}");
    let hot: std::collections::BTreeSet<String> = (0..60)
        .map(|n| pick_drawn(&format!("i{n}"), 3, 68, &engines, &prompt(7, n as u64)))
        .collect();
    assert_eq!(hot.len(), 3, "a part with three homes is read at {hot:?}");
}
