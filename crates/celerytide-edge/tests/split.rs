//! Replays request loads on the division of a service's engines by prompt size.

use std::time::Duration;

use celerytide_edge::placement::popularity::Popularity;
use celerytide_edge::split::{Demand, EngineSplit, PromptSize, classify, long_engines};
use celerytide_types::BootTime;

const SERVICE: &str = "llm";

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

/// A prompt, the longest gap that streams allow, and the engines' prefill rate.
struct Prompt {
    tokens: u32,
    max_gap_ms: u64,
    per_s: f64,
    size: PromptSize,
}

const fn prompt(tokens: u32, max_gap_ms: u64, per_s: f64, size: PromptSize) -> Prompt {
    Prompt {
        tokens,
        max_gap_ms,
        per_s,
        size,
    }
}

const PROMPTS: [Prompt; 5] = [
    prompt(17_000, 150, 51_000.0, PromptSize::Long),
    prompt(1_500, 150, 51_000.0, PromptSize::Short),
    prompt(17_000, 2_000, 51_000.0, PromptSize::Short),
    prompt(1_500, 150, 5_000.0, PromptSize::Long),
    prompt(1_500, 150, 0.0, PromptSize::Long),
];

#[test]
fn a_prompt_is_long_if_its_prefill_exceeds_the_allowed_gap() {
    for case in &PROMPTS {
        let max_gap = Duration::from_millis(case.max_gap_ms);
        assert_eq!(
            classify(f64::from(case.tokens), max_gap, case.per_s),
            case.size,
            "{} tokens",
            case.tokens
        );
    }
}

/// A constant load for some seconds.
#[derive(Clone)]
struct Load {
    name: &'static str,
    engines: usize,
    /// Engine time per long prompt and per other request, in milliseconds.
    engine_time_ms: (u64, u64),
    /// Requests per second of each kind.
    per_s: (u64, u64),
    /// Expected number of engines for long prompts.
    long_engines: std::ops::RangeInclusive<usize>,
}

const LOADS: [Load; 7] = [
    Load {
        name: "three quarters of the work is long",
        engines: 60,
        engine_time_ms: (90, 30),
        per_s: (100, 100),
        long_engines: 43..=47,
    },
    Load {
        name: "equal work",
        engines: 60,
        engine_time_ms: (50, 50),
        per_s: (20, 20),
        long_engines: 28..=32,
    },
    Load {
        name: "only long prompts",
        engines: 60,
        engine_time_ms: (90, 30),
        per_s: (50, 0),
        long_engines: 60..=60,
    },
    Load {
        name: "no long prompts",
        engines: 60,
        engine_time_ms: (90, 30),
        per_s: (0, 50),
        long_engines: 0..=0,
    },
    Load {
        name: "three engines",
        engines: 3,
        engine_time_ms: (90, 45),
        per_s: (20, 20),
        long_engines: 2..=2,
    },
    Load {
        name: "long prompts that need less than one of three engines",
        engines: 3,
        engine_time_ms: (90, 45),
        per_s: (1, 20),
        long_engines: 0..=0,
    },
    Load {
        name: "one engine",
        engines: 1,
        engine_time_ms: (90, 45),
        per_s: (20, 20),
        long_engines: 0..=1,
    },
];

fn run_load(split: &mut EngineSplit, load: &Load, from_ms: u64, to_ms: u64) {
    for ms in from_ms..to_ms {
        for (size, per_s, engine_time_ms) in [
            (PromptSize::Long, load.per_s.0, load.engine_time_ms.0),
            (PromptSize::Short, load.per_s.1, load.engine_time_ms.1),
        ] {
            if per_s > 0 && ms.is_multiple_of(1000 / per_s) {
                split.record_request(SERVICE, size, Duration::from_millis(engine_time_ms), 0, at(ms));
            }
        }
    }
}

#[test]
fn the_division_follows_the_work() {
    for load in &LOADS {
        let mut split = EngineSplit::default();
        run_load(&mut split, load, 0, 12_000);
        let division = split.divide(SERVICE, load.engines, Demand::default(), at(12_000));
        assert!(
            load.long_engines.contains(&division.long_engines),
            "{}: {division:?}",
            load.name
        );
    }
}

#[test]
fn a_burst_changes_the_division_at_once_and_only_for_a_while() {
    let calm = Load {
        name: "calm",
        engines: 60,
        engine_time_ms: (50, 50),
        per_s: (20, 20),
        long_engines: 28..=32,
    };
    let burst = Load {
        per_s: (100, 20),
        ..calm.clone()
    };
    let mut split = EngineSplit::default();
    let long_engines = |split: &mut EngineSplit, ms| split.divide(SERVICE, 60, Demand::default(), at(ms)).long_engines;
    run_load(&mut split, &calm, 0, 12_000);
    let before = long_engines(&mut split, 12_000);
    run_load(&mut split, &burst, 12_000, 13_500);
    let during = long_engines(&mut split, 13_500);
    run_load(&mut split, &calm, 13_500, 33_500);
    let after = long_engines(&mut split, 33_500);
    assert!(during >= before + 8, "{before}, then {during} after 1.5 s");
    assert!(after.abs_diff(before) <= 1, "{before}, and {after} long after it");
}

#[test]
fn a_small_change_of_work_does_not_change_the_division() {
    let load = &LOADS[1];
    let mut split = EngineSplit::default();
    run_load(&mut split, load, 0, 12_000);
    split.divide(SERVICE, 60, Demand::default(), at(12_000));
    split.record_request(SERVICE, PromptSize::Long, Duration::from_millis(50), 0, at(12_000));
    assert!(!split.divide(SERVICE, 60, Demand::default(), at(12_000)).changed);
}

/// Each instance sees two requests per second and receives the work of some others.
#[test]
fn instances_of_a_large_fleet_agree_on_the_division() {
    const INSTANCES: u64 = 90;
    const HEARD: usize = 40;
    let mut fleet: Vec<EngineSplit> = (0..INSTANCES).map(|_| EngineSplit::default()).collect();
    // 90 long prompts and 90 others per second, each at a pseudorandom instance.
    let mut draw = 12_345_u64;
    for ms in 0..10_000_u64 {
        for (size, engine_time_ms) in [(PromptSize::Long, 90), (PromptSize::Short, 30)] {
            draw = draw
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            if (draw >> 33) % 1000 < 90 {
                let instance = ((draw >> 13) % INSTANCES) as usize;
                fleet[instance].record_request(SERVICE, size, Duration::from_millis(engine_time_ms), 0, at(ms));
            }
        }
    }
    let entries: Vec<_> = fleet.iter().flat_map(|s| s.entries(at(10_000))).collect();
    let mut counts: Vec<usize> = Vec::new();
    for (n, split) in fleet.iter_mut().enumerate() {
        let heard = entries.iter().cycle().skip(n * 7 + 1).take(HEARD);
        let remote = heard.fold(Demand::default(), Demand::plus);
        counts.push(split.divide(SERVICE, 60, remote, at(10_000)).long_engines);
    }
    counts.sort_unstable();
    let (low, high) = (counts[9], counts[80]);
    assert!(high - low <= 5, "{counts:?}");
    assert!(low >= 40 && high <= 50, "{counts:?}");
}

#[test]
fn a_larger_division_keeps_the_engines_of_a_smaller_one() {
    let ids: Vec<String> = (0..60).map(|n| format!("e{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    for count in 1..60 {
        let smaller = long_engines(SERVICE, &ids, count);
        let larger = long_engines(SERVICE, &ids, count + 1);
        assert_eq!(larger.len(), count + 1);
        assert!(smaller.iter().all(|id| larger.contains(id)), "{count}");
    }
    let mut reversed = ids.clone();
    reversed.reverse();
    assert_eq!(
        long_engines(SERVICE, &ids, 20),
        long_engines(SERVICE, &reversed, 20),
        "the order of the list doesn't matter"
    );
}

#[test]
fn the_expected_response_counts_as_work_when_a_request_is_sent() {
    let mut split = EngineSplit::default();
    for _ in 0..10 {
        split.record_response(SERVICE, 100, Duration::from_millis(6_400), 64);
    }
    split.record_request(SERVICE, PromptSize::Long, Duration::from_millis(100), 0, at(0));
    split.record_request(SERVICE, PromptSize::Short, Duration::ZERO, 100, at(0));
    let division = split.divide(SERVICE, 60, Demand::default(), at(0));
    assert_eq!(
        division.long_engines, 30,
        "a response that holds one of 64 slots for 6.4 s takes 0.1 s"
    );
}

/// Guards against prefill of one document in both parts of the engines because the lengths of its prompts lie around
/// the limit. The first prompt counts by its own length, the next ones by the average so far.
#[test]
fn prompts_that_share_a_document_have_the_same_size() {
    const DOCUMENT: u64 = 7;
    let max_gap = Duration::from_millis(250);
    let lengths = [8_000, 9_200, 10_500, 8_800, 9_600, 12_000, 7_000, 9_100];
    let mut popularity = Popularity::default();
    assert_eq!(popularity.mean_tokens(DOCUMENT), None);
    let mut sizes = Vec::new();
    for (n, tokens) in lengths.into_iter().enumerate() {
        popularity.record(DOCUMENT, tokens, at(n as u64 * 50));
        let mean = popularity.mean_tokens(DOCUMENT).expect("seen");
        sizes.push(classify(mean, max_gap, 36_000.0));
    }
    assert!(sizes.iter().all(|s| *s == sizes[0]), "{sizes:?}");
    let own: Vec<PromptSize> = lengths.map(|t| classify(f64::from(t), max_gap, 36_000.0)).into();
    assert!(
        own.contains(&PromptSize::Long) && own.contains(&PromptSize::Short),
        "the limit lies among the lengths"
    );
}

/// Streams, and the share of them with too long a gap.
struct Streams {
    name: &'static str,
    /// One in this number of streams is late; 0 for none.
    late_each: u64,
    is_divided: bool,
}

/// On deployments, 0 to 2 in 100 streams are late where the allowed gaps are long for what engines need, and 8 to 24 in
/// 100 where they aren't.
const STREAMS: [Streams; 4] = [
    Streams {
        name: "none is late",
        late_each: 0,
        is_divided: false,
    },
    Streams {
        name: "one in 200",
        late_each: 200,
        is_divided: false,
    },
    Streams {
        name: "one in 12",
        late_each: 12,
        is_divided: true,
    },
    Streams {
        name: "one in 4",
        late_each: 4,
        is_divided: true,
    },
];

/// Replays both kinds of work and these streams for ten seconds.
fn replay(split: &mut EngineSplit, streams: &Streams, from_ms: u64) -> usize {
    for n in 0..400 {
        let now = at(from_ms + n * 25);
        split.record_request(SERVICE, PromptSize::Long, Duration::from_millis(300), 0, now);
        split.record_request(SERVICE, PromptSize::Short, Duration::from_millis(300), 0, now);
        let late = streams.late_each > 0 && n % streams.late_each == 0;
        split.record_stream(SERVICE, late, now);
        split.divide(SERVICE, 60, Demand::default(), now);
    }
    split
        .divide(SERVICE, 60, Demand::default(), at(from_ms + 10_000))
        .long_engines
}

#[test]
fn engines_are_divided_only_where_streams_are_late() {
    for streams in &STREAMS {
        let mut split = EngineSplit::default();
        let long_engines = replay(&mut split, streams, 0);
        assert_eq!(long_engines > 0, streams.is_divided, "{}: {long_engines}", streams.name);
    }
}

#[test]
fn engines_are_joined_and_divided_again_with_the_share_of_late_streams() {
    let mut split = EngineSplit::default();
    for (step, streams) in [&STREAMS[3], &STREAMS[0], &STREAMS[2]].into_iter().enumerate() {
        let long_engines = replay(&mut split, streams, step as u64 * 20_000);
        assert_eq!(long_engines > 0, streams.is_divided, "step {step}: {}", streams.name);
    }
}

#[test]
fn late_streams_of_other_instances_count() {
    let mut split = EngineSplit::default();
    split.record_request(SERVICE, PromptSize::Long, Duration::from_millis(300), 0, at(0));
    split.record_request(SERVICE, PromptSize::Short, Duration::from_millis(300), 0, at(0));
    let seen = |streams, late| Demand {
        streams,
        late,
        ..Demand::default()
    };
    assert!(
        split.divide(SERVICE, 60, seen(4.0, 0.0), at(0)).long_engines > 0,
        "too few streams"
    );
    assert_eq!(split.divide(SERVICE, 60, seen(40.0, 0.0), at(0)).long_engines, 0);
    assert_eq!(
        split.divide(SERVICE, 60, seen(40.0, 1.0), at(0)).long_engines,
        0,
        "the engines stay joined until more streams are late"
    );
    assert!(split.divide(SERVICE, 60, seen(40.0, 4.0), at(0)).long_engines > 0);
}
