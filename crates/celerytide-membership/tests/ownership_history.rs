//! A cold endpoint is never overloaded, in simulated histories of a small fleet.
//!
//! Random sequences of list changes, crashes, suspensions, restarts, partitions and lost messages make several
//! processes believe that they own the same pool at once.

mod common;
mod simulation;

use arbtest::arbtest;
use simulation::fleet::{Fleet, Stats};
use simulation::{Faults, Flaw};

const ENTROPY_BYTES: u32 = 16_384;
/// Seeds from each base of fixed seeds.
const SEEDS_PER_BASE: u64 = 8;
/// Seeds from each base where the search ends at the first violation.
const MAX_SEARCH_SEEDS: u64 = 256;

#[derive(Debug, Default)]
struct Totals {
    histories: usize,
    violations: usize,
    ran: usize,
    settled: usize,
}

impl Totals {
    fn add(&mut self, stats: Stats) {
        self.histories += 1;
        self.violations += usize::from(!stats.is_safe());
        self.ran += stats.ran;
        self.settled += stats.settled;
    }
}

/// Runs histories up to the first one with a violation.
fn search_violation(faults: Faults, flaw: Option<Flaw>) -> Totals {
    let mut totals = Totals::default();
    common::each_fixed_seed(ENTROPY_BYTES, MAX_SEARCH_SEEDS, |u| {
        if totals.violations == 0 {
            totals.add(Fleet::new(faults, flaw).run(u)?);
        }
        Ok(())
    });
    totals
}

fn check_histories(name: &str, faults: Faults) -> Totals {
    let mut totals = Totals::default();
    common::each_seed(ENTROPY_BYTES, SEEDS_PER_BASE, |u| {
        let stats = Fleet::new(faults, None).run(u)?;
        assert!(stats.is_safe(), "{name}: {stats:?}");
        totals.add(stats);
        Ok(())
    });
    totals
}

const NO_FAULTS: Faults = Faults {
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
const LIST_CHANGES: Faults = Faults {
    list_changes: true,
    deaths: true,
    ..NO_FAULTS
};
const COMBINED_FAULTS: Faults = Faults {
    pauses: true,
    restarts: true,
    partitions: true,
    losses: true,
    ..LIST_CHANGES
};
const REMOVALS_AND_PARTITIONS: Faults = Faults {
    list_changes: true,
    false_removals: true,
    partitions: true,
    ..NO_FAULTS
};
const STALE_AND_SLOW: Faults = Faults {
    stale_service: true,
    slow_network: true,
    ..LIST_CHANGES
};
const NO_REPORT: Faults = Faults {
    no_report: true,
    restarts: false,
    deaths: false,
    ..COMBINED_FAULTS
};

#[test]
fn a_cold_endpoint_is_never_overloaded() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let case = |name, faults| Case { name, faults };
    let cases = [
        case("no faults", NO_FAULTS),
        case("list changes and crashes", LIST_CHANGES),
        case(
            "list changes, crashes and suspensions",
            Faults {
                pauses: true,
                ..LIST_CHANGES
            },
        ),
        case(
            "list changes, crashes and restarts",
            Faults {
                restarts: true,
                ..LIST_CHANGES
            },
        ),
        case(
            "list changes, crashes and partitions",
            Faults {
                partitions: true,
                ..LIST_CHANGES
            },
        ),
        case(
            "list changes, crashes and a stale service",
            Faults {
                stale_service: true,
                ..LIST_CHANGES
            },
        ),
        case(
            "list changes, crashes, suspensions, restarts, partitions and losses",
            COMBINED_FAULTS,
        ),
        case(
            "all of these and a stale service",
            Faults {
                stale_service: true,
                ..COMBINED_FAULTS
            },
        ),
        case("stale service and slow network", STALE_AND_SLOW),
        case(
            "running instances dropped from the list, partitions",
            REMOVALS_AND_PARTITIONS,
        ),
        case("no load report, but no crash or restart", NO_REPORT),
    ];
    for case in cases {
        let totals = check_histories(case.name, case.faults);
        println!("{}: {totals:?}", case.name);
        assert_eq!(totals.violations, 0, "{}: {totals:?}", case.name);
        assert!(
            totals.ran > totals.histories && totals.settled > 0,
            "{}: too few permits or settled owners: {totals:?}",
            case.name
        );
    }
}

/// An owner that reads old lists must not take over the permits of an instance that crashed, returned and forgot the
/// term that it followed. The seed is one of the histories above.
#[test]
fn a_returned_entry_is_not_taken_over_by_an_owner_with_an_older_list() {
    const SEED: u64 = 0x85f2_1d39_0000_4000;
    struct Case {
        flaw: Option<Flaw>,
        is_safe: bool,
    }
    let cases = [
        Case {
            flaw: None,
            is_safe: true,
        },
        Case {
            flaw: Some(Flaw::IgnoresLatestListVersion),
            is_safe: false,
        },
    ];
    for case in cases {
        arbtest(|u| {
            let stats = Fleet::new(STALE_AND_SLOW, case.flaw).run(u)?;
            assert_eq!(stats.is_safe(), case.is_safe, "{:?}: {stats:?}", case.flaw);
            Ok(())
        })
        .seed(SEED);
    }
}

#[test]
fn known_unsafe_fault_combinations_still_overload_the_endpoint() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let case = |name, faults| Case { name, faults };
    let dropped = Faults {
        false_removals: true,
        ..LIST_CHANGES
    };
    let cases = [
        case(
            "stale service, running instance dropped from the list",
            Faults {
                stale_service: true,
                ..dropped
            },
        ),
        case(
            "no load report, running instance dropped from the list",
            Faults {
                no_report: true,
                ..dropped
            },
        ),
        case(
            "no load report, owner and entry crash at once",
            Faults {
                no_report: true,
                ..COMBINED_FAULTS
            },
        ),
    ];
    for case in cases {
        let faults = Faults {
            late_permits: true,
            ..case.faults
        };
        let totals = search_violation(faults, None);
        println!("{}: {totals:?}", case.name);
        assert!(
            totals.violations > 0,
            "{}: no violation; add it to the safe combinations: {totals:?}",
            case.name
        );
    }
}

#[test]
fn every_deliberate_flaw_is_detected() {
    struct Case {
        flaw: Flaw,
        faults: Faults,
    }
    let case = |flaw, faults| Case { flaw, faults };
    let cases = [
        case(Flaw::NoGuard, COMBINED_FAULTS),
        case(Flaw::NoTakeover, COMBINED_FAULTS),
        case(Flaw::NoReports, COMBINED_FAULTS),
        case(Flaw::AlwaysFresh, COMBINED_FAULTS),
        case(Flaw::NoAdoption, NO_REPORT),
    ];
    for case in cases {
        let faults = Faults {
            late_permits: true,
            ..case.faults
        };
        let totals = search_violation(faults, Some(case.flaw));
        println!("{:?}: {totals:?}", case.flaw);
        assert!(totals.violations > 0, "{:?} was never detected", case.flaw);
    }
}
