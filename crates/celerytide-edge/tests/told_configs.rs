//! Versions of the configuration that other instances tell, and whether requests may go to them.

use std::net::SocketAddr;

use celerytide_edge::peers::ToldConfigs;

fn peer(n: u8) -> SocketAddr {
    ([10, 1, 0, n], 8229).into()
}

struct Case {
    name: &'static str,
    /// Peers and versions, in the order in which they were told.
    told: &'static [(u8, u64)],
    /// Peers that have version 7 or a newer one.
    up_to_date: &'static [u8],
    newest: u64,
}

const CASES: [Case; 5] = [
    Case {
        name: "nobody has told a version",
        told: &[],
        up_to_date: &[],
        newest: 0,
    },
    Case {
        name: "the same version, a newer one and an older one",
        told: &[(1, 7), (2, 9), (3, 6)],
        up_to_date: &[1, 2],
        newest: 9,
    },
    Case {
        name: "a peer that started again with an older one",
        told: &[(1, 8), (2, 7), (1, 6)],
        up_to_date: &[2],
        newest: 7,
    },
    Case {
        name: "a peer that has just started",
        told: &[(1, 8), (1, 0)],
        up_to_date: &[],
        newest: 0,
    },
    Case {
        name: "a peer that no longer lives",
        told: &[(9, 12), (1, 7)],
        up_to_date: &[1],
        newest: 7,
    },
];

/// Guards against: a request goes to a peer of an earlier release that hasn't told the version which decides it.
#[test]
fn only_a_peer_that_told_the_version_has_it() {
    let live = [1, 2, 3].map(peer);
    for case in &CASES {
        let mut told = ToldConfigs::default();
        for (n, version) in case.told {
            told.record(peer(*n), *version, &live);
        }
        let expected: Vec<SocketAddr> = case.up_to_date.iter().map(|n| peer(*n)).collect();
        assert_eq!(told.with_version(&live, 7), expected, "{}", case.name);
        assert_eq!(told.newest(&live), case.newest, "{}", case.name);
        assert!(!told.has(peer(9), 7), "{}", case.name);
    }
}
