//! Which crashes withhold a request or a prompt block, and what acquits it.

use std::time::Duration;

use celerytide_edge::quarantine::{Progress, Quarantine, Reached, Subject};
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
    /// The same this many tenths of a second after the head.
    Late(u64, u32, u8, &'static [Subject]),
    /// A response to a request with these subjects that goes on this many tenths of a second after its head.
    GoesOn(u64, u8, &'static [Subject]),
    /// A good response to a request with these subjects.
    Good(u64, &'static [Subject]),
}

use Seen::{Crash, GoesOn, Good, Late, Waiting};

struct Case {
    name: &'static str,
    seen: &'static [Seen],
    withheld: &'static [Subject],
}

const CASES: [Case; 35] = [
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
        name: "a block whose requests are each tried three times in a moment",
        seen: &[
            Waiting(0, 1, &[WIDE, CRASHING, REQUEST]),
            Waiting(70, 2, &[WIDE, CRASHING, REQUEST]),
            Waiting(140, 3, &[WIDE, CRASHING, REQUEST]),
            Good(300, &[WIDE, OTHER]),
            Waiting(500, 4, &[WIDE, CRASHING, NEIGHBOUR]),
            Waiting(570, 5, &[WIDE, CRASHING, NEIGHBOUR]),
            Waiting(640, 6, &[WIDE, CRASHING, NEIGHBOUR]),
            Good(700, &[WIDE, OTHER]),
            Waiting(1000, 7, &[WIDE, CRASHING, Subject::Request(3)]),
            Waiting(1070, 8, &[WIDE, CRASHING, Subject::Request(3)]),
            Waiting(1140, 9, &[WIDE, CRASHING, Subject::Request(3)]),
            Waiting(1500, 10, &[WIDE, CRASHING, Subject::Request(4)]),
            Waiting(1570, 11, &[WIDE, CRASHING, Subject::Request(4)]),
            Waiting(1640, 12, &[WIDE, CRASHING, Subject::Request(4)]),
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
    Case {
        name: "a block whose responses go on for a second and crash endpoints later",
        seen: &[
            Late(0, 1, 15, &[WIDE, CRASHING]),
            GoesOn(100, 10, &[WIDE, CRASHING]),
            Late(500, 2, 14, &[WIDE, CRASHING]),
            GoesOn(600, 10, &[WIDE, CRASHING]),
            Good(700, &[WIDE, OTHER]),
            Late(1000, 3, 16, &[WIDE, CRASHING]),
            GoesOn(1100, 10, &[WIDE, CRASHING]),
            Late(1500, 4, 15, &[WIDE, CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "a block that waits at crashes under another of its requests",
        seen: &[
            Waiting(0, 1, &[CRASHING]),
            Late(0, 1, 15, &[CRASHING]),
            Late(500, 2, 15, &[CRASHING]),
            Waiting(500, 2, &[CRASHING]),
            Late(1000, 3, 15, &[CRASHING]),
            GoesOn(1100, 10, &[CRASHING]),
            Late(1500, 4, 15, &[CRASHING]),
        ],
        withheld: &[CRASHING],
    },
    Case {
        name: "three crashes long after the head",
        seen: &[
            Late(0, 1, 15, &[CRASHING]),
            Late(500, 2, 15, &[CRASHING]),
            Late(1000, 3, 15, &[CRASHING]),
        ],
        withheld: &[],
    },
    Case {
        name: "responses that had come differently far at each crash",
        seen: &[
            Late(0, 1, 5, &[WIDE]),
            Late(500, 2, 12, &[WIDE]),
            Late(1000, 3, 24, &[WIDE]),
            Late(1500, 4, 60, &[WIDE]),
            Late(2000, 5, 110, &[WIDE]),
        ],
        withheld: &[],
    },
    Case {
        name: "a rack of endpoints at which responses had gone on",
        seen: &[
            Late(0, 1, 15, &[WIDE]),
            Late(20, 2, 15, &[WIDE]),
            Late(40, 3, 15, &[WIDE]),
            Late(60, 4, 15, &[WIDE]),
        ],
        withheld: &[],
    },
    Case {
        name: "a response that comes further than those at the crashes",
        seen: &[
            Late(0, 1, 15, &[WIDE]),
            Late(500, 2, 15, &[WIDE]),
            Late(1000, 3, 15, &[WIDE]),
            GoesOn(1200, 40, &[WIDE]),
            Late(1500, 4, 15, &[WIDE]),
        ],
        withheld: &[],
    },
    Case {
        name: "a response that goes on acquits of crashes before the head",
        seen: &[
            Waiting(0, 1, &[WIDE]),
            Waiting(500, 2, &[WIDE]),
            Waiting(1000, 3, &[WIDE]),
            GoesOn(1200, 10, &[WIDE]),
            Waiting(1500, 4, &[WIDE]),
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
        Late(ms, endpoint, tenths, blocks) => {
            quarantine.record_crash(SERVICE, blocks, (endpoint, Progress::GoneOn(tenths)), at(ms));
            at(ms)
        }
        GoesOn(ms, tenths, blocks) => {
            quarantine.record_good(SERVICE, blocks, Reached::Time(tenths), at(ms));
            at(ms)
        }
        Good(ms, blocks) => {
            quarantine.record_good(SERVICE, blocks, Reached::End, at(ms));
            at(ms)
        }
    }
}

fn withheld(quarantine: &mut Quarantine, now: BootTime) -> Vec<Subject> {
    // The service answers other prompts.
    quarantine.record_good(SERVICE, &[SOUND], Reached::End, now);
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
