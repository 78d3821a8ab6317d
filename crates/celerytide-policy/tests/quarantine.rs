//! Contents under which endpoints crash.

mod common;

use std::time::Duration;

use celerytide_policy::{Ended, Offer, Options, PermitRequest, Pool, Quarantine, Refusal};
use common::{at_ms, class, endpoint, enqueue, grant_all, pool, request};

const CONTENT: u64 = 7;
const SPAN: Duration = Duration::from_millis(250);

enum Event {
    /// A crash of an endpoint.
    Crash(u64, &'static str),
    /// An answer.
    Success,
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    /// Seconds from 0 at which the content is withheld, and at which it isn't.
    withheld: &'static [u64],
    free: &'static [u64],
}

use Event::{Crash, Success};

const CASES: [Case; 7] = [
    Case {
        name: "two crashes",
        events: &[Crash(0, "a"), Crash(1000, "b")],
        withheld: &[],
        free: &[1, 2],
    },
    Case {
        name: "three crashes",
        events: &[Crash(0, "a"), Crash(1000, "b"), Crash(2000, "a")],
        withheld: &[2, 31],
        free: &[32],
    },
    Case {
        name: "requests lost in the same crash",
        events: &[Crash(0, "a"), Crash(10, "a"), Crash(20, "a"), Crash(1000, "b")],
        withheld: &[],
        free: &[1],
    },
    Case {
        name: "two endpoints that crash under two requests each",
        events: &[Crash(0, "a"), Crash(10, "b"), Crash(20, "a"), Crash(30, "b")],
        withheld: &[],
        free: &[1],
    },
    Case {
        name: "an answer in between",
        events: &[Crash(0, "a"), Crash(1000, "b"), Success, Crash(2000, "c")],
        withheld: &[],
        free: &[2],
    },
    Case {
        name: "the first crashes are long past",
        events: &[Crash(0, "a"), Crash(1000, "b"), Crash(121_000, "c")],
        withheld: &[],
        free: &[121],
    },
    Case {
        name: "tried again in vain",
        events: &[
            Crash(0, "a"),
            Crash(1000, "b"),
            Crash(2000, "c"),
            Crash(40_000, "a"),
            Crash(110_000, "b"),
        ],
        withheld: &[110, 229],
        free: &[230],
    },
];

#[test]
fn a_content_is_withheld_after_crashes_without_an_answer() {
    for case in CASES {
        let mut quarantine = Quarantine::default();
        for event in case.events {
            match event {
                Crash(ms, endpoint) => {
                    quarantine.record_crash(at_ms(*ms), CONTENT, endpoint, SPAN);
                }
                Success => quarantine.record_success(CONTENT),
            }
        }
        let is_withheld = |second: &u64| quarantine.remaining(at_ms(second * 1000), CONTENT).is_some();
        assert!(case.withheld.iter().all(is_withheld), "{}", case.name);
        assert!(!case.free.iter().any(is_withheld), "{}", case.name);
        assert_eq!(quarantine.remaining(at_ms(2000), CONTENT + 1), None, "{}", case.name);
    }
}

/// Contents are the callers' choice, so their number must not grow without bound.
#[test]
fn the_contents_with_the_oldest_crashes_are_forgotten_first() {
    let mut quarantine = Quarantine::default();
    for content in 0..5000 {
        for (i, endpoint) in ["a", "b", "c"].iter().enumerate() {
            quarantine.record_crash(at_ms(content * 4 + i as u64), content, endpoint, SPAN);
        }
    }
    let now = at_ms(20_000);
    assert_eq!(quarantine.withheld(now), 1024);
    assert!(quarantine.remaining(now, 4999).is_some());
}

fn with_content(content: u64) -> PermitRequest {
    PermitRequest {
        content: Some(content),
        ..request("a", "c", 600_000)
    }
}

fn crash_three_times(pool: &mut Pool) {
    for i in 0..3 {
        let now = at_ms(i * 30_000);
        enqueue(pool, now, with_content(CONTENT));
        let granted = grant_all(pool, now);
        assert_eq!(granted.len(), 1, "crash {i}");
        if i == 2 {
            // Waits while the third crash happens.
            enqueue(pool, now, with_content(CONTENT));
        }
        pool.settle(now, granted[0].permit, Ended::BrokeOff);
    }
}

#[test]
fn a_pool_refuses_a_withheld_content_and_no_other() {
    let mut pool = pool(Options::default(), vec![endpoint("e", 1, 1)], vec![class("a", 1, 0.0)]);
    crash_three_times(&mut pool);
    let now = at_ms(60_000);
    let shed: Vec<Refusal> = pool.expire(now).iter().map(|refused| refused.cause).collect();
    assert_eq!(shed, [Refusal::CrashesEndpoints], "queued");
    let Offer::Refused(refused) = pool.offer(now, with_content(CONTENT)) else {
        panic!("offered again: queued");
    };
    assert_eq!(refused.cause, Refusal::CrashesEndpoints);
    assert_eq!(refused.retry_after, Duration::from_secs(30));
    assert!(matches!(pool.offer(now, with_content(CONTENT + 1)), Offer::Queued(_)));
    assert!(matches!(pool.offer(now, request("a", "c", 600_000)), Offer::Queued(_)));
    assert!(matches!(
        pool.offer(at_ms(90_000), with_content(CONTENT)),
        Offer::Queued(_)
    ));
}
