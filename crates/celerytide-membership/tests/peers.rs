//! Selection of gossip peers.

use std::collections::BTreeSet;

use celerytide_membership::{Instance, PeerOptions, pick_peers};

fn instances(count: usize) -> Vec<Instance> {
    let addr = "127.0.0.1:1".parse().expect("a literal address");
    let one = |n: usize| Instance {
        id: format!("i-{n:03}"),
        zone: "z".into(),
        region: "r".into(),
        live: n.is_multiple_of(2),
        caller: addr,
        entry_peer: addr,
        dispatch_peer: addr,
    };
    (0..count).map(one).collect()
}

#[test]
fn peers_are_distinct_and_never_the_own_instance() {
    struct Case {
        name: &'static str,
        count: usize,
        own: &'static str,
        opts: PeerOptions,
        want: usize,
    }
    let case = |name, count, own, opts, want| Case {
        name,
        count,
        own,
        opts,
        want,
    };
    let cases = [
        case("none listed", 0, "i-000", PeerOptions { ring: 1, random: 2 }, 0),
        case(
            "only the own instance",
            1,
            "i-000",
            PeerOptions { ring: 1, random: 2 },
            0,
        ),
        case("two instances", 2, "i-000", PeerOptions { ring: 1, random: 2 }, 1),
        case("many instances", 360, "i-359", PeerOptions { ring: 1, random: 2 }, 3),
        case("random only", 360, "i-100", PeerOptions::default(), 2),
        case(
            "own instance not listed",
            9,
            "i-x",
            PeerOptions { ring: 2, random: 0 },
            2,
        ),
    ];
    for case in cases {
        let list = instances(case.count);
        for round in 0..50 {
            let peers = pick_peers(case.own, &list, round, case.opts);
            let distinct: BTreeSet<&String> = peers.iter().collect();
            assert_eq!((peers.len(), distinct.len()), (case.want, case.want), "{}", case.name);
            assert!(!peers.iter().any(|p| p == case.own), "{}", case.name);
            assert_eq!(
                peers,
                pick_peers(case.own, &list, round, case.opts),
                "{}: a round can be repeated",
                case.name
            );
        }
    }
}

#[test]
fn ring_peers_are_the_next_ids_with_wraparound() {
    let peers = pick_peers("i-008", &instances(9), 3, PeerOptions { ring: 2, random: 0 });
    assert_eq!(peers, ["i-000", "i-001"]);
}

#[test]
fn random_peers_reach_every_instance_over_many_rounds() {
    let list = instances(20);
    let met: BTreeSet<String> = (0..200)
        .flat_map(|r| pick_peers("i-005", &list, r, PeerOptions::default()))
        .collect();
    assert_eq!(met.len(), 19);
}
