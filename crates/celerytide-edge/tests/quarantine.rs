//! Which requests and prompt blocks are withheld, by the evidence of all instances.

use std::time::Duration;

use celerytide_edge::quarantine::{
    BreakOff, MIN_CRASHES, MIN_CRASHES_OF_ANY, Progress, Quarantine, Subject, SubjectStatus, is_crash,
};
use celerytide_http::client::Cause;
use celerytide_http::validate::ProtocolError;
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

const WIDE: Subject = Subject::Block(1);
const CUSTOMER: Subject = Subject::Block(2);
const CRASHING: Subject = Subject::Block(3);
const OTHER: Subject = Subject::Block(4);
/// A block of prompts that engines answer.
const SOUND: Subject = Subject::Block(5);
const SERVICE: u32 = 1;
const BEGUN: Progress = Progress::Begun;
/// A request, and another one with the same blocks.
const REQUEST: Subject = Subject::Request(1);
const NEIGHBOUR: Subject = Subject::Request(2);

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

/// What an instance sees, with its time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Seen {
    /// A crash of this endpoint under a request with these subjects.
    Crash(u64, u32, &'static [Subject]),
    /// The same of a request that waits for the head of its response.
    Waiting(u64, u32, &'static [Subject]),
    /// A good response to a request with these subjects.
    Good(u64, &'static [Subject]),
}

use Seen::{Crash, Good, Waiting};

struct Case {
    name: &'static str,
    seen: &'static [Seen],
    withheld: &'static [Subject],
}

const CASES: [Case; 27] = [
    Case {
        name: "fewer crashes",
        seen: &[Crash(0, 1, &[CRASHING]), Crash(500, 2, &[CRASHING])],
        withheld: &[],
    },
    Case {
        name: "enough crashes",
        seen: &[
            Crash(0, 1, &[CRASHING]),
            Crash(500, 2, &[CRASHING]),
            Crash(1000, 3, &[CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "one start of an endpoint counts once",
        seen: &[
            Crash(0, 1, &[CRASHING]),
            Crash(500, 1, &[CRASHING]),
            Crash(1000, 1, &[CRASHING]),
            Crash(1500, 2, &[CRASHING]),
        ],
        withheld: &[],
    },
    Case {
        name: "endpoints that crash at one moment count once",
        seen: &[
            Crash(0, 1, &[WIDE]),
            Crash(10, 2, &[WIDE]),
            Crash(20, 3, &[WIDE]),
            Crash(30, 4, &[WIDE]),
        ],
        withheld: &[],
    },
    Case {
        name: "a moment with many crashes leaves room for further ones",
        seen: &[
            Crash(0, 1, &[WIDE]),
            Crash(1, 2, &[WIDE]),
            Crash(2, 3, &[WIDE]),
            Crash(3, 4, &[WIDE]),
            Crash(4, 5, &[WIDE]),
            Crash(5, 6, &[WIDE]),
            Crash(6, 7, &[WIDE]),
            Crash(7, 8, &[WIDE]),
            Crash(8, 9, &[WIDE]),
            Crash(500, 10, &[WIDE]),
            Crash(1000, 11, &[WIDE]),
        ],
        withheld: &[WIDE],
    },
    Case {
        name: "a good response ends suspicion",
        seen: &[
            Crash(0, 1, &[WIDE, CRASHING]),
            Crash(500, 2, &[WIDE, CRASHING]),
            Good(600, &[WIDE, OTHER]),
            Crash(1000, 3, &[WIDE, CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "blocks that are always together: the deepest",
        seen: &[
            Crash(0, 1, &[WIDE, CUSTOMER, CRASHING]),
            Crash(500, 2, &[WIDE, CUSTOMER, CRASHING]),
            Crash(1000, 3, &[WIDE, CUSTOMER, CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "a further crash without the deepest one releases it",
        seen: &[
            Crash(0, 1, &[CRASHING, OTHER]),
            Crash(500, 2, &[CRASHING, OTHER]),
            Crash(1000, 3, &[CRASHING, OTHER]),
            Crash(1500, 4, &[CRASHING, CUSTOMER]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "two of their own",
        seen: &[
            Crash(0, 1, &[WIDE, CRASHING]),
            Crash(300, 2, &[WIDE, OTHER]),
            Crash(600, 3, &[WIDE, CRASHING]),
            Crash(900, 4, &[WIDE, OTHER]),
            Good(950, &[WIDE, CUSTOMER]),
            Crash(1200, 5, &[WIDE, CRASHING]),
            Crash(1500, 6, &[WIDE, OTHER]),
        ],
        withheld: &[CRASHING, OTHER],
    },
    Case {
        name: "a good response of before the crashes has no effect",
        seen: &[
            Good(0, &[CRASHING]),
            Crash(100, 1, &[CRASHING]),
            Crash(500, 2, &[CRASHING]),
            Crash(1000, 3, &[CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "a good response releases",
        seen: &[
            Crash(0, 1, &[CRASHING]),
            Crash(500, 2, &[CRASHING]),
            Crash(1000, 3, &[CRASHING]),
            Good(1100, &[CRASHING]),
        ],
        withheld: &[],
    },
    Case {
        name: "a request that explains its blocks' crashes",
        seen: &[
            Crash(0, 1, &[WIDE, CRASHING, REQUEST]),
            Crash(500, 2, &[WIDE, CRASHING, REQUEST]),
            Crash(1000, 3, &[WIDE, CRASHING, REQUEST]),
            Crash(1500, 4, &[WIDE, CRASHING, NEIGHBOUR]),
        ],
        withheld: &[REQUEST],
    },
    Case {
        name: "a block that explains the crashes of several requests",
        seen: &[
            Crash(0, 1, &[CRASHING, REQUEST]),
            Crash(500, 2, &[CRASHING, REQUEST]),
            Crash(1000, 3, &[CRASHING, REQUEST]),
            Crash(1500, 4, &[CRASHING, NEIGHBOUR]),
            Crash(2000, 5, &[CRASHING, NEIGHBOUR]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "a request that crashed an endpoint before a head, and explains nearly as much as its block",
        seen: &[
            Crash(0, 1, &[REQUEST]),
            Crash(500, 2, &[WIDE, CRASHING, REQUEST]),
            Crash(1000, 3, &[WIDE, CRASHING, REQUEST]),
            Crash(1500, 4, &[WIDE, CRASHING, NEIGHBOUR]),
            Crash(2000, 5, &[WIDE, CRASHING, Subject::Request(3)]),
        ],
        withheld: &[REQUEST],
    },
    Case {
        name: "a request is withheld though its blocks are answered",
        seen: &[
            Crash(0, 1, &[CRASHING, REQUEST]),
            Good(100, &[CRASHING, NEIGHBOUR]),
            Crash(500, 2, &[CRASHING, REQUEST]),
            Good(600, &[CRASHING, NEIGHBOUR]),
            Crash(1000, 3, &[CRASHING, REQUEST]),
        ],
        withheld: &[REQUEST],
    },
    Case {
        name: "a request whose copies crash endpoints at one moment",
        seen: &[
            Crash(0, 1, &[WIDE, REQUEST]),
            Crash(10, 2, &[WIDE, REQUEST]),
            Crash(20, 3, &[WIDE, REQUEST]),
        ],
        withheld: &[REQUEST],
    },
    Case {
        name: "equal requests at endpoints that crash at one moment, of which one is answered elsewhere",
        seen: &[
            Crash(0, 1, &[REQUEST]),
            Crash(10, 2, &[REQUEST]),
            Crash(20, 3, &[REQUEST]),
            Good(40, &[REQUEST]),
        ],
        withheld: &[],
    },
    Case {
        name: "equal requests of which one was answered a moment ago",
        seen: &[
            Good(0, &[REQUEST]),
            Crash(500, 1, &[REQUEST]),
            Crash(1000, 2, &[REQUEST]),
            Crash(1500, 3, &[REQUEST]),
        ],
        withheld: &[],
    },
    Case {
        name: "equal requests of which none was answered in a long time",
        seen: &[
            Good(0, &[REQUEST]),
            Crash(10_500, 1, &[REQUEST]),
            Crash(11_000, 2, &[REQUEST]),
            Crash(11_500, 3, &[REQUEST]),
        ],
        withheld: &[REQUEST],
    },
    Case {
        name: "a block that waits at each crash, with another request each time",
        seen: &[
            Waiting(0, 1, &[WIDE, CRASHING, Subject::Request(11)]),
            Waiting(0, 1, &[WIDE, OTHER, Subject::Request(21)]),
            Waiting(500, 2, &[WIDE, CRASHING, Subject::Request(12)]),
            Waiting(500, 2, &[WIDE, OTHER, Subject::Request(22)]),
            Good(700, &[WIDE, OTHER]),
            Waiting(1000, 3, &[WIDE, CRASHING, Subject::Request(13)]),
            Waiting(1500, 4, &[WIDE, CRASHING, Subject::Request(14)]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "a block that waits at three crashes",
        seen: &[
            Waiting(0, 1, &[CRASHING]),
            Waiting(500, 2, &[CRASHING]),
            Waiting(1000, 3, &[CRASHING]),
        ],
        withheld: &[],
    },
    Case {
        name: "a block that waits at a crash or whose response had just begun there",
        seen: &[
            Crash(0, 1, &[CRASHING]),
            Waiting(500, 2, &[CRASHING]),
            Crash(1000, 3, &[CRASHING]),
            Waiting(1500, 4, &[CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "of several requests at a crash the one counts whose response had begun",
        seen: &[
            Waiting(0, 1, &[CRASHING]),
            Crash(0, 1, &[CRASHING]),
            Crash(500, 2, &[CRASHING]),
            Waiting(500, 2, &[CRASHING]),
            Crash(1000, 3, &[CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "a rack of endpoints at which a block waits",
        seen: &[
            Waiting(0, 1, &[WIDE]),
            Waiting(20, 2, &[WIDE]),
            Waiting(40, 3, &[WIDE]),
            Waiting(60, 4, &[WIDE]),
            Waiting(80, 5, &[WIDE]),
        ],
        withheld: &[],
    },
    Case {
        name: "a block that waits at each crash and is answered in between",
        seen: &[
            Waiting(0, 1, &[WIDE]),
            Waiting(500, 2, &[WIDE]),
            Waiting(1000, 3, &[WIDE]),
            Good(1200, &[WIDE]),
            Waiting(1500, 4, &[WIDE]),
            Waiting(2000, 5, &[WIDE]),
            Waiting(2500, 6, &[WIDE]),
        ],
        withheld: &[],
    },
    Case {
        name: "a request that waits at three crashes",
        seen: &[
            Waiting(0, 1, &[WIDE, REQUEST]),
            Waiting(500, 2, &[WIDE, REQUEST]),
            Waiting(1000, 3, &[WIDE, REQUEST]),
        ],
        withheld: &[REQUEST],
    },
    Case {
        name: "polls equal to the letter that wait at crashes",
        seen: &[
            Good(0, &[REQUEST]),
            Waiting(500, 1, &[REQUEST]),
            Waiting(1000, 2, &[REQUEST]),
            Waiting(1500, 3, &[REQUEST]),
            Waiting(2000, 4, &[REQUEST]),
        ],
        withheld: &[],
    },
];

fn apply(quarantine: &mut Quarantine, seen: Seen) -> BootTime {
    match seen {
        Crash(ms, endpoint, blocks) => {
            quarantine.record_crash(SERVICE, blocks, (endpoint, BEGUN), at(ms));
            at(ms)
        }
        Waiting(ms, endpoint, blocks) => {
            quarantine.record_crash(SERVICE, blocks, (endpoint, Progress::BeforeHead), at(ms));
            at(ms)
        }
        Good(ms, blocks) => {
            quarantine.record_good(SERVICE, blocks, at(ms));
            at(ms)
        }
    }
}

fn withheld(quarantine: &mut Quarantine, now: BootTime) -> Vec<Subject> {
    // The service answers other prompts.
    quarantine.record_good(SERVICE, &[SOUND], now);
    let subjects = [WIDE, CUSTOMER, CRASHING, OTHER, REQUEST, NEIGHBOUR].into_iter();
    subjects
        .filter(|subject| quarantine.withheld([*subject].into_iter(), now).is_some())
        .collect()
}

#[test]
fn a_block_is_withheld_after_crashes_that_nothing_else_explains() {
    for case in &CASES {
        let mut quarantine = Quarantine::default();
        let mut now = at(0);
        for seen in case.seen {
            now = apply(&mut quarantine, *seen);
        }
        assert_eq!(withheld(&mut quarantine, now), case.withheld, "{}", case.name);
    }
}

/// Tells all that `from` knows to `to`.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now: BootTime) {
    let told = from.entries(now);
    to.learn(&told, now.after(Duration::from_millis(2)));
}

#[test]
fn instances_that_see_one_crash_each_agree_on_what_is_withheld() {
    let mut instances = [(); 5].map(|()| Quarantine::default());
    for n in 0..MIN_CRASHES {
        let now = at(1000 + 400 * n as u64);
        instances[n].record_crash(SERVICE, &[WIDE, CRASHING], (n as u32, BEGUN), now);
        for other in 0..5 {
            if other != n {
                let (mut from, mut to) = (std::mem::take(&mut instances[n]), std::mem::take(&mut instances[other]));
                tell(&mut from, &mut to, now);
                (instances[n], instances[other]) = (from, to);
            }
        }
        // Only one instance serves the other block.
        instances[4].record_good(SERVICE, &[WIDE], now.after(Duration::from_millis(100)));
    }
    let now = at(3000);
    let (mut last, mut serves) = (std::mem::take(&mut instances[0]), std::mem::take(&mut instances[4]));
    tell(&mut serves, &mut last, now);
    assert_eq!(withheld(&mut last, now), [CRASHING]);
    assert_eq!(withheld(&mut serves, now), [CRASHING]);
}

#[test]
fn an_instance_that_starts_later_learns_crashes_of_before_its_machine_booted() {
    let mut knows = Quarantine::default();
    for n in 0..MIN_CRASHES as u32 {
        knows.record_crash(SERVICE, &[CRASHING], (n, BEGUN), at(10_000 + 500 * u64::from(n)));
    }
    knows.record_good(SERVICE, &[SOUND], at(12_000));
    let told = knows.entries(at(100_000));
    let mut new = Quarantine::default();
    let changes = new.learn(&told, at(50));
    assert_eq!(
        changes.iter().map(|c| c.status).collect::<Vec<_>>(),
        [SubjectStatus::Withheld]
    );
    assert_eq!(withheld(&mut new, at(60)), [CRASHING]);
}

#[test]
fn instances_that_see_one_crash_each_before_the_head_agree_on_what_is_withheld() {
    let mut instances = [(); MIN_CRASHES_OF_ANY].map(|()| Quarantine::default());
    for (n, instance) in instances.iter_mut().enumerate() {
        let request = Subject::Request(10 + n as u64);
        let crash = (n as u32, Progress::BeforeHead);
        instance.record_crash(SERVICE, &[CRASHING, request], crash, at(1000 + 400 * n as u64));
    }
    let now = at(3000);
    let mut told: Vec<_> = instances.iter_mut().map(|from| from.entries(now)).collect();
    for to in &mut instances {
        told.rotate_left(1);
        for entries in &told {
            to.learn(entries, now);
        }
        assert_eq!(withheld(to, now), [CRASHING]);
    }
}

#[test]
fn engines_that_crash_under_every_prompt_withhold_no_block() {
    let mut quarantine = Quarantine::default();
    let mut crash = |n: u32| quarantine.record_crash(SERVICE, &[WIDE, CRASHING], (n, BEGUN), at(500 * u64::from(n)));
    for n in 0..10 {
        crash(n);
    }
    // Another service answers; this one doesn't.
    quarantine.record_good(SERVICE + 1, &[SOUND], at(6000));
    assert_eq!(quarantine.all_withheld().count(), 0);
    quarantine.record_good(SERVICE, &[SOUND], at(6100));
    assert_eq!(withheld(&mut quarantine, at(6100)), [CRASHING]);
}

#[test]
fn a_withheld_block_is_kept_while_requests_with_it_come() {
    let mut quarantine = Quarantine::default();
    for n in 0..MIN_CRASHES as u32 {
        quarantine.record_crash(SERVICE, &[CRASHING], (n, BEGUN), at(500 * u64::from(n)));
    }
    assert_eq!(withheld(&mut quarantine, at(2000)), [CRASHING]);
    const HOUR_MS: u64 = 3_600_000;
    for hour in (20..200).step_by(20) {
        quarantine.sweep(at(hour * HOUR_MS));
        assert_eq!(withheld(&mut quarantine, at(hour * HOUR_MS)), [CRASHING], "{hour}");
    }
    let changes = quarantine.sweep(at(300 * HOUR_MS));
    assert_eq!(changes.first().map(|c| c.status), Some(SubjectStatus::Released));
}

#[test]
fn a_suspected_request_is_not_repeated_where_one_more_crash_would_withhold_it() {
    let mut quarantine = Quarantine::default();
    let blocks = || [WIDE, CRASHING].into_iter();
    for n in 0..MIN_CRASHES {
        assert_eq!(quarantine.allows_repeat(blocks()), n + 1 < MIN_CRASHES, "{n}");
        quarantine.record_crash(SERVICE, &[CRASHING], (n as u32, BEGUN), at(500 * n as u64));
    }
    assert!(quarantine.allows_repeat([WIDE].into_iter()));
}

#[test]
fn only_a_response_that_had_not_gone_on_is_suspicious() {
    struct Begun {
        head_ms: Option<u64>,
        has_events: bool,
        progress: Option<Progress>,
    }
    let begun = |head_ms, has_events, progress| Begun {
        head_ms,
        has_events,
        progress,
    };
    for case in [
        begun(None, false, Some(Progress::BeforeHead)),
        begun(Some(10), false, Some(BEGUN)),
        begun(Some(900), false, Some(BEGUN)),
        begun(Some(10), true, Some(BEGUN)),
        begun(Some(900), true, None),
    ] {
        let at = BreakOff {
            endpoint: 1,
            head_age: case.head_ms.map(Duration::from_millis),
            has_events: case.has_events,
        };
        assert_eq!(at.progress(), case.progress, "{at:?}");
    }
}

#[test]
fn silence_and_invalid_bytes_are_no_crash() {
    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let causes = [
        (Cause::Closed, true),
        (Cause::Read { source: reset }, true),
        (Cause::FirstByteTimeout, false),
        (Cause::BetweenBytesTimeout, false),
        (Cause::TotalTimeout, false),
        (Cause::TooLarge, false),
        (ProtocolError::Chunk.into(), false),
    ];
    for (cause, expected) in causes {
        assert_eq!(is_crash(&cause), expected, "{cause:?}");
    }
}

/// Guards against decisions that depend on the order in which instances tell each other, and against tables that grow.
#[test]
fn all_instances_agree_in_the_end_and_stay_bounded() {
    each_seed(2048, 12, |u| {
        let mut instances = [(); 4].map(|()| Quarantine::default());
        let mut now = at(1000);
        for n in 0..u.int_in_range(20..=120)? {
            now = now.after(Duration::from_millis(u.int_in_range(0..=400)?));
            let who: usize = u.int_in_range(0..=3)?;
            match u.int_in_range(0..=5)? {
                0 => {
                    instances[who].record_crash(
                        SERVICE,
                        &[WIDE, Subject::Block(u.int_in_range(2..=4)?), REQUEST],
                        (n, *u.choose(&[Progress::BeforeHead, BEGUN])?),
                        now,
                    );
                }
                1 => {
                    instances[who].record_good(SERVICE, &[WIDE, OTHER, NEIGHBOUR], now);
                }
                _ => {
                    let to: usize = u.int_in_range(0..=3)?;
                    let told = instances[who].entries(now);
                    instances[to].learn(&told, now);
                }
            }
        }
        for round in 0..20 {
            now = now.after(Duration::from_millis(1100));
            for from in 0..4 {
                let told = instances[from].entries(now);
                for to in (0..4).filter(|to| *to != from) {
                    instances[to].learn(&told, now);
                }
            }
            let decisions: Vec<Vec<Subject>> = instances.iter_mut().map(|i| withheld(i, now)).collect();
            let agree = decisions.windows(2).all(|pair| pair[0] == pair[1]);
            assert!(agree || round < 19, "{decisions:?}");
        }
        Ok(())
    });
}

#[test]
fn tables_are_bounded() {
    let mut quarantine = Quarantine::default();
    for n in 0..MIN_CRASHES as u32 {
        quarantine.record_crash(SERVICE, &[CRASHING], (n, BEGUN), at(500 * u64::from(n)));
    }
    for n in 0..9_000_u64 {
        quarantine.record_crash(SERVICE, &[Subject::Request(1000 + n)], (n as u32, BEGUN), at(5000 + n));
        quarantine.record_good(SERVICE, &[Subject::Request(100_000 + n)], at(5000 + n));
    }
    assert_eq!(
        withheld(&mut quarantine, at(30_000)),
        [CRASHING],
        "the strongest evidence stays"
    );
    let told = quarantine.entries(at(40_000));
    assert!(
        told.len() <= 4 && told.iter().any(|entry| entry.subject == CRASHING),
        "{told:?}"
    );
}
