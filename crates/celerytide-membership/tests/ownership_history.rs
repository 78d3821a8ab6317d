//! A cold endpoint is never given more than it bears, over recorded histories of a small fleet.

mod common;
mod owners;

use owners::fleet::{Fleet, Tally};
use owners::{Faults, Flaw};

const BYTES: u32 = 8192;

#[derive(Debug, Default)]
struct Sum {
    histories: usize,
    beyond: usize,
    ran: usize,
    settled: usize,
}

impl Sum {
    fn add(&mut self, tally: Tally) {
        self.histories += 1;
        self.beyond += usize::from(!tally.within_bound());
        self.ran += tally.ran;
        self.settled += tally.settled;
    }
}

fn sum(faults: Faults, flaw: Option<Flaw>) -> Sum {
    let mut sum = Sum::default();
    common::each_seed(BYTES, |u| {
        sum.add(Fleet::new(faults, flaw).run(u)?);
        Ok(())
    });
    sum
}

fn claimed() -> Faults {
    Faults {
        list_changes: true,
        pauses: true,
        restarts: true,
        partitions: true,
        losses: true,
        ..Faults::default()
    }
}

#[test]
fn a_cold_endpoint_gets_no_more_than_it_bears() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let calm = Faults::default();
    let cases = [
        Case {
            name: "calm",
            faults: calm,
        },
        Case {
            name: "list changes",
            faults: Faults {
                list_changes: true,
                ..calm
            },
        },
        Case {
            name: "pauses",
            faults: Faults {
                pauses: true,
                list_changes: true,
                ..calm
            },
        },
        Case {
            name: "restarts",
            faults: Faults {
                restarts: true,
                list_changes: true,
                ..calm
            },
        },
        Case {
            name: "partitions",
            faults: Faults {
                partitions: true,
                list_changes: true,
                ..calm
            },
        },
        Case {
            name: "all at once",
            faults: claimed(),
        },
        Case {
            name: "stale service",
            faults: Faults {
                stale_service: true,
                list_changes: true,
                ..calm
            },
        },
    ];
    for case in cases {
        let sum = sum(case.faults, None);
        println!("{}: {sum:?}", case.name);
        assert_eq!(sum.beyond, 0, "{}: {sum:?}", case.name);
        assert!(
            sum.ran > sum.histories && sum.settled > 0,
            "{}: too little happened: {sum:?}",
            case.name
        );
    }
}
