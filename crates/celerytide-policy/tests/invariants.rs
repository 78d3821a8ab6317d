//! The rules of a pool over random histories, and proof that each check can fail.

mod common;
#[path = "common/history.rs"]
mod history;

use std::time::Duration;

use arbtest::arbtest;
use celerytide_policy::check::Rule;
use celerytide_policy::{DeliberateFault, Options};
use history::{Shape, violations};

/// Bytes of entropy of one history.
const ENTROPY: u64 = 16 * 1024;
/// Histories of each shape.
const SEEDS: std::ops::Range<u64> = 0..150;

const SHAPES: [Shape; 4] = [
    Shape {
        steps: 300,
        restricted: false,
        reconfigures: false,
    },
    Shape {
        steps: 300,
        restricted: true,
        reconfigures: false,
    },
    Shape {
        steps: 300,
        restricted: false,
        reconfigures: true,
    },
    Shape {
        steps: 300,
        restricted: true,
        reconfigures: true,
    },
];

fn opts(fault: Option<DeliberateFault>) -> Options {
    Options {
        max_queued: 12,
        cold_min: Duration::from_millis(100),
        backoff_floor: Duration::from_millis(20),
        backoff_ceiling: Duration::from_millis(200),
        fault,
        ..Options::default()
    }
}

fn seed(number: u64) -> u64 {
    (number << 32) | ENTROPY
}

#[test]
fn rules_hold_over_random_histories() {
    for shape in SHAPES {
        for number in SEEDS {
            arbtest(|u| {
                let found = violations(u, opts(None), shape)?;
                assert!(found.is_empty(), "{found:#?}");
                Ok(())
            })
            .seed(seed(number));
        }
    }
}

struct Break {
    fault: DeliberateFault,
    want: Rule,
}

#[test]
fn each_break_is_found_by_its_check() {
    let cases = [
        Break {
            fault: DeliberateFault::IgnoreCold,
            want: Rule::ColdLimit,
        },
        Break {
            fault: DeliberateFault::ShedHighest,
            want: Rule::ShedOrder,
        },
        Break {
            fault: DeliberateFault::IgnoreShares,
            want: Rule::GuaranteedShare,
        },
        Break {
            fault: DeliberateFault::GrantClosed,
            want: Rule::ClosedEndpoint,
        },
        Break {
            fault: DeliberateFault::GrantTwice,
            want: Rule::SingleAnswer,
        },
        Break {
            fault: DeliberateFault::LeakInFlight,
            want: Rule::Counts,
        },
        Break {
            fault: DeliberateFault::IgnoreAvoid,
            want: Rule::Avoid,
        },
        Break {
            fault: DeliberateFault::PreemptAny,
            want: Rule::Preemption,
        },
        Break {
            fault: DeliberateFault::GrantLate,
            want: Rule::Deadline,
        },
    ];
    for case in cases {
        assert!(
            is_found(case.fault, case.want),
            "{:?} was not found by {:?}",
            case.fault,
            case.want
        );
    }
}

/// Whether any of the histories breaks the rule under this fault.
fn is_found(fault: DeliberateFault, want: Rule) -> bool {
    SHAPES
        .iter()
        .any(|shape| SEEDS.into_iter().any(|number| breaks(fault, *shape, number, want)))
}

fn breaks(fault: DeliberateFault, shape: Shape, number: u64, want: Rule) -> bool {
    let mut broken = false;
    arbtest(|u| {
        let found = violations(u, opts(Some(fault)), shape)?;
        broken = found.iter().any(|found| found.rule == want);
        Ok(())
    })
    .seed(seed(number));
    broken
}

/// Seeds of histories in which the search found a broken rule, drawn as the search draws them.
const FOUND: [u64; 2] = [0x2478_839d_0000_8000, 0x1ca7_7fed_0000_8000];

#[test]
fn histories_that_the_search_found_hold() {
    for number in FOUND {
        arbtest(|u| {
            let shape = Shape {
                steps: 600,
                restricted: u.arbitrary()?,
                reconfigures: u.arbitrary()?,
            };
            let opts = Options {
                max_queued: u.int_in_range(1..=40)?,
                backoff_floor: Duration::from_millis(u.int_in_range(0..=100)?),
                backoff_ceiling: Duration::from_millis(400),
                cold_min: Duration::from_millis(u.int_in_range(0..=400)?),
                ..Options::default()
            };
            let found = violations(u, opts, shape)?;
            assert!(found.is_empty(), "{found:#?}");
            Ok(())
        })
        .seed(number);
    }
}
