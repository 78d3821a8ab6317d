//! Properties of the batch, the prefix cache and the response lengths, for fixed seeds.

use std::time::Duration;

use arbtest::{arbitrary, arbtest};
use celerytide_standin::engine::{Batch, Job, PrefixCache, Progress, Prompt, ResponseLengths, StepCost};
use futures::channel::mpsc::{self, UnboundedReceiver};

const SEEDS: [u64; 4] = [0x1_0000_0400, 0x2_0000_0400, 0x3_0000_0400, 0x4_0000_0400];
const COST: StepCost = StepCost {
    prefill_us_per_token: 1.0,
    decode_ms: 1.0,
    batch_slowdown: 0.1,
};

fn job(priority: u8, prefill: usize, end: usize) -> (Job, UnboundedReceiver<Progress>) {
    let (tx, rx) = mpsc::unbounded();
    (
        Job {
            priority,
            prefill_left: prefill,
            next_token: 0,
            end_token: end,
            tx,
        },
        rx,
    )
}

fn drain(rx: &mut UnboundedReceiver<Progress>) -> Vec<Progress> {
    std::iter::from_fn(|| rx.try_recv().ok()).collect()
}

#[test]
fn each_request_gets_all_its_tokens_in_order() {
    for seed in SEEDS {
        arbtest(|u| {
            let slots = u.int_in_range(1..=4)?;
            let mut batch = Batch::new(COST, slots);
            let mut waiting = Vec::new();
            for _ in 0..u.int_in_range(1..=8)? {
                let end = u.int_in_range(0..=5)?;
                let (job, rx) = job(u.int_in_range(1..=3)?, u.int_in_range(0..=1500)?, end);
                batch.add(job);
                waiting.push((end, rx));
            }
            while batch.begin_step().is_some() {
                assert!(batch.running() <= slots);
                batch.end_step();
            }
            for (end, rx) in &mut waiting {
                let mut want: Vec<Progress> = (0..*end).map(Progress::Token).collect();
                want.push(Progress::End);
                assert_eq!(drain(rx), want);
            }
            Ok::<(), arbitrary::Error>(())
        })
        .seed(seed);
    }
}

#[test]
fn the_highest_priority_runs_first_and_equal_ones_by_arrival() {
    let mut batch = Batch::new(COST, 1);
    let mut all: Vec<_> = [3, 1, 2, 1]
        .into_iter()
        .map(|priority| {
            let (job, rx) = job(priority, 0, 1);
            batch.add(job);
            rx
        })
        .collect();
    let mut order = Vec::new();
    while batch.begin_step().is_some() {
        batch.end_step();
        order.extend(
            all.iter_mut()
                .enumerate()
                .filter_map(|(i, rx)| (!drain(rx).is_empty()).then_some(i)),
        );
    }
    assert_eq!(order, [1, 3, 2, 0]);
}

#[test]
fn a_request_of_a_disconnected_caller_is_dropped() {
    let mut batch = Batch::new(COST, 1);
    let (gone, rx) = job(1, 0, 100);
    batch.add(gone);
    assert!(batch.begin_step().is_some());
    drop(rx);
    assert!(batch.begin_step().is_none());
    assert_eq!((batch.running(), batch.waiting()), (0, 0));
}

#[test]
fn step_duration_grows_with_prompt_and_batch() {
    struct Case {
        name: &'static str,
        input: (usize, usize),
        want: Duration,
    }
    let cases = [
        Case {
            name: "nothing",
            input: (0, 0),
            want: Duration::ZERO,
        },
        Case {
            name: "one",
            input: (0, 1),
            want: Duration::from_micros(1000),
        },
        Case {
            name: "three",
            input: (0, 3),
            want: Duration::from_micros(1200),
        },
        Case {
            name: "prompt only",
            input: (500, 0),
            want: Duration::from_micros(500),
        },
        Case {
            name: "both",
            input: (500, 1),
            want: Duration::from_micros(1500),
        },
    ];
    for case in &cases {
        assert_eq!(COST.duration(case.input.0, case.input.1), case.want, "{}", case.name);
    }
}

#[test]
fn a_long_prompt_does_not_stop_the_batch() {
    let mut batch = Batch::new(COST, 2);
    let (long, mut long_rx) = job(1, 100_000, 1);
    let (short, mut short_rx) = job(2, 0, 3);
    batch.add(long);
    batch.add(short);
    for _ in 0..3 {
        batch.begin_step();
        batch.end_step();
    }
    assert_eq!(drain(&mut short_rx).len(), 4);
    assert!(drain(&mut long_rx).is_empty());
}

#[test]
fn the_cache_evicts_the_least_recently_used_block() {
    let mut cache = PrefixCache::new(4 * 64, 1);
    assert_eq!(cache.lookup_and_store(&[1, 2, 3]), 0);
    assert_eq!(cache.lookup_and_store(&[1, 2, 9]), 2);
    assert_eq!(cache.lookup_and_store(&[9, 1]), 1 + 1);
    assert_eq!(cache.lookup_and_store(&[7, 8]), 0);
    assert_eq!(
        cache.lookup_and_store(&[3]),
        0,
        "the least recently used block is evicted"
    );
    cache.clear();
    assert_eq!(cache.lookup_and_store(&[7]), 0);
}

#[test]
fn prompts_with_a_common_start_share_its_blocks() {
    let body = |text: String| format!(r#"{{"prompt":"{text}","max_tokens":5,"stream":true}}"#);
    let read = |text: String| Prompt::parse(body(text).as_bytes()).expect("prompt");
    let (start, rest) = ("s".repeat(512), "r".repeat(256));
    let (short, long) = (read(start.clone()), read(start + &rest));
    assert_eq!((short.tokens, short.blocks.len(), long.blocks.len()), (128, 2, 3));
    assert_eq!(short.blocks[..], long.blocks[..2]);
    assert_eq!((long.max_tokens, long.stream, long.resume_from), (Some(5), true, 0));
}

#[test]
fn lengths_depend_on_seed_and_id_and_respect_the_bound() {
    for seed in SEEDS {
        arbtest(|u| {
            let id: String = u.arbitrary()?;
            let bound: usize = u.int_in_range(0..=300)?;
            let lengths = ResponseLengths::new(seed);
            let free = lengths.draw(&id, None);
            assert!(free >= 1);
            assert_eq!(lengths.draw(&id, Some(bound)), free.min(bound));
            Ok::<(), arbitrary::Error>(())
        })
        .seed(seed);
    }
    let drawn: Vec<usize> = (0..200)
        .map(|i| ResponseLengths::new(1).draw(&format!("r-{i}"), None))
        .collect();
    assert!(drawn.iter().min() < drawn.iter().max(), "lengths differ");
}
