//! Checks the rules of a pool over random histories, and shows for each rule that the checker detects a violation.

mod common;
#[path = "common/history.rs"]
mod history;

use std::time::Duration;

use arbtest::arbtest;
use celerytide_policy::check::Rule;
use celerytide_policy::{DeliberateFault, Options};
use history::{Shape, violations};

/// Bytes of entropy for one history.
const ENTROPY: u64 = 16 * 1024;
/// Seeds of the histories of each shape.
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

struct FaultCase {
    fault: DeliberateFault,
    want: Rule,
}

#[test]
fn each_deliberate_fault_violates_its_rule() {
    let cases = [
        FaultCase {
            fault: DeliberateFault::IgnoreCold,
            want: Rule::ColdLimit,
        },
        FaultCase {
            fault: DeliberateFault::ShedHighest,
            want: Rule::ShedOrder,
        },
        FaultCase {
            fault: DeliberateFault::IgnoreShares,
            want: Rule::GuaranteedShare,
        },
        FaultCase {
            fault: DeliberateFault::GrantClosed,
            want: Rule::ClosedEndpoint,
        },
        FaultCase {
            fault: DeliberateFault::GrantTwice,
            want: Rule::SingleAnswer,
        },
        FaultCase {
            fault: DeliberateFault::LeakInFlight,
            want: Rule::Counts,
        },
        FaultCase {
            fault: DeliberateFault::IgnoreAvoid,
            want: Rule::Avoid,
        },
        FaultCase {
            fault: DeliberateFault::PreemptAny,
            want: Rule::Preemption,
        },
        FaultCase {
            fault: DeliberateFault::GrantLate,
            want: Rule::Deadline,
        },
    ];
    for case in cases {
        assert!(
            is_detected(case.fault, case.want),
            "{:?} did not violate {:?}",
            case.fault,
            case.want
        );
    }
}

/// Whether a history violates the rule under this fault.
fn is_detected(fault: DeliberateFault, want: Rule) -> bool {
    SHAPES.iter().any(|shape| {
        SEEDS
            .into_iter()
            .any(|number| violates_rule(fault, *shape, number, want))
    })
}

fn violates_rule(fault: DeliberateFault, shape: Shape, number: u64, want: Rule) -> bool {
    let mut is_violated = false;
    arbtest(|u| {
        let found = violations(u, opts(Some(fault)), shape)?;
        is_violated = found.iter().any(|found| found.rule == want);
        Ok(())
    })
    .seed(seed(number));
    is_violated
}

/// Seeds for which the search once found a violated rule, drawn in the same way as in the search.
const FOUND_SEEDS: [u64; 2] = [0x2478_839d_0000_8000, 0x1ca7_7fed_0000_8000];

#[test]
fn rules_hold_over_histories_found_by_the_search() {
    for number in FOUND_SEEDS {
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
