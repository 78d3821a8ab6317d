//! A cold endpoint is never given more than it bears, over recorded histories of a small fleet.

mod common;
mod owners;

use arbtest::arbtest;
use owners::fleet::{Fleet, Tally};
use owners::{Faults, Flaw};

const BYTES: u32 = 16_384;
/// Seeds from each base.
const FEW: u64 = 8;
/// Seeds from each base where the first broken history ends the search.
const MANY: u64 = 256;

#[derive(Debug, Default)]
struct Sum {
    histories: usize,
    broken: usize,
    ran: usize,
    settled: usize,
}

impl Sum {
    fn add(&mut self, tally: Tally) {
        self.histories += 1;
        self.broken += usize::from(!tally.holds());
        self.ran += tally.ran;
        self.settled += tally.settled;
    }
}

/// Histories up to the first one that is broken.
fn first_broken(faults: Faults, flaw: Option<Flaw>) -> Sum {
    let mut sum = Sum::default();
    common::each_fixed_seed(BYTES, MANY, |u| {
        if sum.broken == 0 {
            sum.add(Fleet::new(faults, flaw).run(u)?);
        }
        Ok(())
    });
    sum
}

fn claimed_sum(name: &str, faults: Faults) -> Sum {
    let mut sum = Sum::default();
    common::each_seed(BYTES, FEW, |u| {
        let tally = Fleet::new(faults, None).run(u)?;
        assert!(tally.holds(), "{name}: {tally:?}");
        sum.add(tally);
        Ok(())
    });
    sum
}

const CALM: Faults = Faults {
    list_changes: false,
    deaths: false,
    pauses: false,
    restarts: false,
    partitions: false,
    losses: false,
    stale_service: false,
    false_removals: false,
    late_permits: false,
    slow_network: false,
    no_report: false,
};
const CHANGES: Faults = Faults {
    list_changes: true,
    deaths: true,
    ..CALM
};
const CLAIMED: Faults = Faults {
    pauses: true,
    restarts: true,
    partitions: true,
    losses: true,
    ..CHANGES
};
const REMOVED_AND_CUT: Faults = Faults {
    list_changes: true,
    false_removals: true,
    partitions: true,
    ..CALM
};
const STALE_AND_SLOW: Faults = Faults {
    stale_service: true,
    slow_network: true,
    ..CHANGES
};
const UNREPORTED: Faults = Faults {
    no_report: true,
    restarts: false,
    deaths: false,
    ..CLAIMED
};

#[test]
fn a_cold_endpoint_gets_no_more_than_it_bears() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let case = |name, faults| Case { name, faults };
    let cases = [
        case("calm", CALM),
        case("lists change, instances die", CHANGES),
        case(
            "and pauses",
            Faults {
                pauses: true,
                ..CHANGES
            },
        ),
        case(
            "and restarts",
            Faults {
                restarts: true,
                ..CHANGES
            },
        ),
        case(
            "and partitions",
            Faults {
                partitions: true,
                ..CHANGES
            },
        ),
        case(
            "and a stale service",
            Faults {
                stale_service: true,
                ..CHANGES
            },
        ),
        case("all of these but stale", CLAIMED),
        case(
            "all of these",
            Faults {
                stale_service: true,
                ..CLAIMED
            },
        ),
        case("a stale service, a slow network", STALE_AND_SLOW),
        case("instances dropped from the list, partitions", REMOVED_AND_CUT),
        case("no report, no death, no restart", UNREPORTED),
    ];
    for case in cases {
        let sum = claimed_sum(case.name, case.faults);
        println!("{}: {sum:?}", case.name);
        assert_eq!(sum.broken, 0, "{}: {sum:?}", case.name);
        assert!(
            sum.ran > sum.histories && sum.settled > 0,
            "{}: too little happened: {sum:?}",
            case.name
        );
    }
}

/// One of the histories above: an owner that read old lists mustered an instance that had died, come back and forgotten
/// whom it followed.
#[test]
fn a_returned_entry_is_not_mustered_by_an_owner_that_has_not_seen_it_return() {
    const SEED: u64 = 0x85f2_1d39_0000_4000;
    struct Case {
        flaw: Option<Flaw>,
        holds: bool,
    }
    let cases = [
        Case {
            flaw: None,
            holds: true,
        },
        Case {
            flaw: Some(Flaw::AnyList),
            holds: false,
        },
    ];
    for case in cases {
        arbtest(|u| {
            let tally = Fleet::new(STALE_AND_SLOW, case.flaw).run(u)?;
            assert_eq!(tally.holds(), case.holds, "{:?}: {tally:?}", case.flaw);
            Ok(())
        })
        .seed(SEED);
    }
}

#[test]
fn combinations_that_are_left_are_real() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let case = |name, faults| Case { name, faults };
    let dropped = Faults {
        false_removals: true,
        ..CHANGES
    };
    let cases = [
        case(
            "stale service, instance dropped while it works",
            Faults {
                stale_service: true,
                ..dropped
            },
        ),
        case(
            "no report, instance dropped while it works",
            Faults {
                no_report: true,
                ..dropped
            },
        ),
        case(
            "no report, owner and entry die at once",
            Faults {
                no_report: true,
                ..CLAIMED
            },
        ),
    ];
    for case in cases {
        let faults = Faults {
            late_permits: true,
            ..case.faults
        };
        let sum = first_broken(faults, None);
        println!("{}: {sum:?}", case.name);
        assert!(sum.broken > 0, "{}: holds; move it to the claims: {sum:?}", case.name);
    }
}

#[test]
fn every_deliberate_break_is_caught() {
    struct Case {
        flaw: Flaw,
        faults: Faults,
    }
    let case = |flaw, faults| Case { flaw, faults };
    let cases = [
        case(Flaw::NoGuard, CLAIMED),
        case(Flaw::NoMuster, CLAIMED),
        case(Flaw::NoReports, CLAIMED),
        case(Flaw::AlwaysFresh, CLAIMED),
        case(Flaw::NoAdoption, UNREPORTED),
    ];
    for case in cases {
        let faults = Faults {
            late_permits: true,
            ..case.faults
        };
        let sum = first_broken(faults, Some(case.flaw));
        println!("{:?}: {sum:?}", case.flaw);
        assert!(sum.broken > 0, "{:?} was never caught", case.flaw);
    }
}
