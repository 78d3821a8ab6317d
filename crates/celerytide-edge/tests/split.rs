//! The parts of a service's engines replayed with the loads that they answer.

use std::time::Duration;

use celerytide_edge::place::heat::Heat;
use celerytide_edge::split::{Demand, Size, Split, readers, size};
use celerytide_types::BootTime;

const SERVICE: &str = "llm";

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

/// A prompt beside streams that may pause for some time.
struct Prompt {
    tokens: u32,
    pause_ms: u64,
    per_s: f64,
    size: Size,
}

const fn prompt(tokens: u32, pause_ms: u64, per_s: f64, size: Size) -> Prompt {
    Prompt {
        tokens,
        pause_ms,
        per_s,
        size,
    }
}

const PROMPTS: [Prompt; 5] = [
    prompt(17_000, 150, 51_000.0, Size::Long),
    prompt(1_500, 150, 51_000.0, Size::Short),
    prompt(17_000, 2_000, 51_000.0, Size::Short),
    prompt(1_500, 150, 5_000.0, Size::Long),
    prompt(1_500, 150, 0.0, Size::Long),
];

#[test]
fn what_counts_as_long_follows_from_the_pause_and_the_rate() {
    for case in &PROMPTS {
        let pause = Duration::from_millis(case.pause_ms);
        assert_eq!(
            size(f64::from(case.tokens), pause, case.per_s),
            case.size,
            "{} tokens",
            case.tokens
        );
    }
}

/// Steady work for some seconds.
#[derive(Clone)]
struct Load {
    name: &'static str,
    engines: usize,
    /// Engine time of one long prompt and of one other request, in milliseconds.
    takes_ms: (u64, u64),
    /// Requests a second of each.
    per_s: (u64, u64),
    /// Engines that read long prompts.
    readers: std::ops::RangeInclusive<usize>,
}

const LOADS: [Load; 7] = [
    Load {
        name: "three quarters of the work is long",
        engines: 60,
        takes_ms: (90, 30),
        per_s: (100, 100),
        readers: 43..=47,
    },
    Load {
        name: "equal work",
        engines: 60,
        takes_ms: (50, 50),
        per_s: (20, 20),
        readers: 28..=32,
    },
    Load {
        name: "nothing is stopped",
        engines: 60,
        takes_ms: (90, 30),
        per_s: (50, 0),
        readers: 60..=60,
    },
    Load {
        name: "nothing is long",
        engines: 60,
        takes_ms: (90, 30),
        per_s: (0, 50),
        readers: 0..=0,
    },
    Load {
        name: "three engines",
        engines: 3,
        takes_ms: (90, 45),
        per_s: (20, 20),
        readers: 2..=2,
    },
    Load {
        name: "long prompts that earn no engine of three",
        engines: 3,
        takes_ms: (90, 45),
        per_s: (1, 20),
        readers: 0..=0,
    },
    Load {
        name: "one engine",
        engines: 1,
        takes_ms: (90, 45),
        per_s: (20, 20),
        readers: 0..=1,
    },
];

fn play(split: &mut Split, load: &Load, from_ms: u64, to_ms: u64) {
    for ms in from_ms..to_ms {
        for (size, per_s, takes) in [
            (Size::Long, load.per_s.0, load.takes_ms.0),
            (Size::Short, load.per_s.1, load.takes_ms.1),
        ] {
            if per_s > 0 && ms.is_multiple_of(1000 / per_s) {
                split.note(SERVICE, size, Duration::from_millis(takes), 0, at(ms));
            }
        }
    }
}

#[test]
fn the_parts_follow_the_work() {
    for load in &LOADS {
        let mut split = Split::default();
        play(&mut split, load, 0, 12_000);
        let parts = split.parts(SERVICE, load.engines, Demand::default(), at(12_000));
        assert!(load.readers.contains(&parts.readers), "{}: {parts:?}", load.name);
    }
}

#[test]
fn a_burst_moves_the_parts_at_once_and_they_come_back() {
    let calm = Load {
        name: "calm",
        engines: 60,
        takes_ms: (50, 50),
        per_s: (20, 20),
        readers: 28..=32,
    };
    let burst = Load {
        per_s: (100, 20),
        ..calm.clone()
    };
    let mut split = Split::default();
    let readers = |split: &mut Split, ms| split.parts(SERVICE, 60, Demand::default(), at(ms)).readers;
    play(&mut split, &calm, 0, 12_000);
    let before = readers(&mut split, 12_000);
    play(&mut split, &burst, 12_000, 13_500);
    let during = readers(&mut split, 13_500);
    play(&mut split, &calm, 13_500, 33_500);
    let after = readers(&mut split, 33_500);
    assert!(during >= before + 8, "{before}, then {during} after 1.5 s");
    assert!(after.abs_diff(before) <= 1, "{before}, and {after} long after it");
}

#[test]
fn a_little_more_work_moves_nothing() {
    let load = &LOADS[1];
    let mut split = Split::default();
    play(&mut split, load, 0, 12_000);
    split.parts(SERVICE, 60, Demand::default(), at(12_000));
    split.note(SERVICE, Size::Long, Duration::from_millis(50), 0, at(12_000));
    assert!(!split.parts(SERVICE, 60, Demand::default(), at(12_000)).moved);
}

/// Instances that each see two requests a second, and hear of the work of some others.
#[test]
fn instances_of_a_large_fleet_agree_on_the_parts() {
    const INSTANCES: u64 = 90;
    const HEARD: usize = 40;
    let mut fleet: Vec<Split> = (0..INSTANCES).map(|_| Split::default()).collect();
    // 90 long prompts and 90 others a second, each at an instance that a plain generator draws.
    let mut draw = 12_345_u64;
    for ms in 0..10_000_u64 {
        for (size, takes) in [(Size::Long, 90), (Size::Short, 30)] {
            draw = draw
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            if (draw >> 33) % 1000 < 90 {
                let instance = ((draw >> 13) % INSTANCES) as usize;
                fleet[instance].note(SERVICE, size, Duration::from_millis(takes), 0, at(ms));
            }
        }
    }
    let told: Vec<_> = fleet.iter().flat_map(|s| s.told(at(10_000))).collect();
    let mut counts: Vec<usize> = Vec::new();
    for (n, split) in fleet.iter_mut().enumerate() {
        let heard = told.iter().cycle().skip(n * 7 + 1).take(HEARD);
        let elsewhere = heard.fold(Demand::default(), Demand::with);
        counts.push(split.parts(SERVICE, 60, elsewhere, at(10_000)).readers);
    }
    counts.sort_unstable();
    let (low, high) = (counts[9], counts[80]);
    assert!(high - low <= 5, "{counts:?}");
    assert!(low >= 40 && high <= 50, "{counts:?}");
}

#[test]
fn a_part_that_grows_keeps_its_engines() {
    let ids: Vec<String> = (0..60).map(|n| format!("e{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    for count in 1..60 {
        let smaller = readers(SERVICE, &ids, count);
        let larger = readers(SERVICE, &ids, count + 1);
        assert_eq!(larger.len(), count + 1);
        assert!(smaller.iter().all(|id| larger.contains(id)), "{count}");
    }
    let mut turned = ids.clone();
    turned.reverse();
    assert_eq!(
        readers(SERVICE, &ids, 20),
        readers(SERVICE, &turned, 20),
        "the order of the list doesn't matter"
    );
}

#[test]
fn answers_count_when_they_are_sent_for() {
    let mut split = Split::default();
    for _ in 0..10 {
        split.learn(SERVICE, 100, Duration::from_millis(6_400), 64);
    }
    split.note(SERVICE, Size::Long, Duration::from_millis(100), 0, at(0));
    split.note(SERVICE, Size::Short, Duration::ZERO, 100, at(0));
    let parts = split.parts(SERVICE, 60, Demand::default(), at(0));
    assert_eq!(
        parts.readers, 30,
        "an answer that holds a place of 64 for 6.4 s takes 0.1 s"
    );
}

/// Prompts about one document, whose lengths lie about the bound: each part of the engines would read the document. The
/// first one counts by its own length, the next ones like those before.
#[test]
fn prompts_that_share_a_document_count_alike() {
    const DOCUMENT: u64 = 7;
    let pause = Duration::from_millis(250);
    let lengths = [8_000, 9_200, 10_500, 8_800, 9_600, 12_000, 7_000, 9_100];
    let mut heat = Heat::default();
    assert_eq!(heat.tokens(DOCUMENT), None);
    let mut sizes = Vec::new();
    for (n, tokens) in lengths.into_iter().enumerate() {
        heat.note(DOCUMENT, tokens, at(n as u64 * 50));
        let alike = heat.tokens(DOCUMENT).expect("seen");
        sizes.push(size(alike, pause, 36_000.0));
    }
    assert!(sizes.iter().all(|s| *s == sizes[0]), "{sizes:?}");
    let own: Vec<Size> = lengths.map(|t| size(f64::from(t), pause, 36_000.0)).into();
    assert!(
        own.contains(&Size::Long) && own.contains(&Size::Short),
        "the bound lies among them"
    );
}

/// Streams that end in each tenth of a second, and which of them have too long a pause.
struct Streams {
    name: &'static str,
    /// One in so many is late; 0 for none.
    late_each: u64,
    divided: bool,
}

/// The shares were seen on the users' deployments: 0 to 2 in 100 where pauses are long for what engines need, 8 to 24 in 100
/// where they aren't.
const STREAMS: [Streams; 4] = [
    Streams {
        name: "none is late",
        late_each: 0,
        divided: false,
    },
    Streams {
        name: "one in 200",
        late_each: 200,
        divided: false,
    },
    Streams {
        name: "one in 12",
        late_each: 12,
        divided: true,
    },
    Streams {
        name: "one in 4",
        late_each: 4,
        divided: true,
    },
];

/// Both kinds of work for ten seconds, beside streams of that kind.
fn replay(split: &mut Split, streams: &Streams, from_ms: u64) -> usize {
    for n in 0..400 {
        let now = at(from_ms + n * 25);
        split.note(SERVICE, Size::Long, Duration::from_millis(300), 0, now);
        split.note(SERVICE, Size::Short, Duration::from_millis(300), 0, now);
        let late = streams.late_each > 0 && n % streams.late_each == 0;
        split.saw(SERVICE, late, now);
        split.parts(SERVICE, 60, Demand::default(), now);
    }
    split
        .parts(SERVICE, 60, Demand::default(), at(from_ms + 10_000))
        .readers
}

#[test]
fn engines_are_divided_only_where_streams_are_late() {
    for streams in &STREAMS {
        let mut split = Split::default();
        let readers = replay(&mut split, streams, 0);
        assert_eq!(readers > 0, streams.divided, "{}: {readers}", streams.name);
    }
}

#[test]
fn parts_dissolve_and_come_back_with_the_lateness() {
    let mut split = Split::default();
    for (step, streams) in [&STREAMS[3], &STREAMS[0], &STREAMS[2]].into_iter().enumerate() {
        let readers = replay(&mut split, streams, step as u64 * 20_000);
        assert_eq!(readers > 0, streams.divided, "step {step}: {}", streams.name);
    }
}

#[test]
fn what_others_saw_counts_too() {
    let mut split = Split::default();
    split.note(SERVICE, Size::Long, Duration::from_millis(300), 0, at(0));
    split.note(SERVICE, Size::Short, Duration::from_millis(300), 0, at(0));
    let seen = |streams, late| Demand {
        streams,
        late,
        ..Demand::default()
    };
    assert!(
        split.parts(SERVICE, 60, seen(4.0, 0.0), at(0)).readers > 0,
        "too few to tell"
    );
    assert_eq!(split.parts(SERVICE, 60, seen(40.0, 0.0), at(0)).readers, 0);
    assert_eq!(
        split.parts(SERVICE, 60, seen(40.0, 1.0), at(0)).readers,
        0,
        "it stays until more are late"
    );
    assert!(split.parts(SERVICE, 60, seen(40.0, 4.0), at(0)).readers > 0);
}
