//! Simulates how many gossip rounds a change takes to reach every instance, for several ways to select peers.
//!
//! Run with `cargo run --release -p celerytide-membership --example spread`. In a round each instance exchanges with
//! each of its selected peers; an exchange informs both sides. Each figure is over 200 seeds.

use std::net::SocketAddr;

use celerytide_membership::{Instance, PeerOptions, ViewDigest, pick_peers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 200;
const MAX_ROUNDS: usize = 200;
const SIZES: [usize; 4] = [8, 64, 180, 360];
const PARTITION_ROUNDS: usize = 30;

/// How the peers of a round are selected.
#[derive(Clone, Copy)]
enum PeerSelection {
    /// By [`pick_peers`].
    Picked(PeerOptions),
    /// This many of the ring distances 1, 2, 4, ..., different ones each round.
    Fingers(usize),
    /// All other instances.
    Mesh,
}

/// Disturbances of the exchanges.
#[derive(Clone, Copy)]
struct Disturbance {
    /// Fraction of exchanges lost.
    loss: f64,
    /// Whether the two halves can't reach each other during the first rounds.
    partitioned: bool,
}

struct Row {
    name: &'static str,
    selection: PeerSelection,
}

fn instances(count: usize) -> Vec<Instance> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let one = |n: usize| Instance {
        id: format!("i-{n:04}"),
        zone: "z".into(),
        region: "r".into(),
        live: true,
        caller: addr,
        entry_peer: addr,
        dispatch_peer: addr,
    };
    (0..count).map(one).collect()
}

fn peers(selection: PeerSelection, at: usize, list: &[Instance], round: u64) -> Vec<usize> {
    let count = list.len();
    match selection {
        PeerSelection::Mesh => (0..count).filter(|n| *n != at).collect(),
        PeerSelection::Fingers(count_per_round) => {
            let fingers = usize::BITS - (count - 1).leading_zeros();
            let distance = |n: usize| 1usize << ((round as usize * count_per_round + n) % fingers as usize);
            (0..count_per_round).map(|n| (at + distance(n)) % count).collect()
        }
        PeerSelection::Picked(opts) => {
            let index = |id: &String| list.binary_search_by(|i| i.id.cmp(id)).ok();
            let own = list.get(at).map_or("", |i| i.id.as_str());
            pick_peers(own, list, round, opts).iter().filter_map(index).collect()
        }
    }
}

/// Rounds until all instances are informed, counted from the end of the partition if there is one.
fn rounds(selection: PeerSelection, list: &[Instance], disturbance: Disturbance, seed: u64) -> usize {
    let count = list.len();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut informed = vec![false; count];
    let first = rng.random_range(0..count);
    informed[first] = true;
    let in_other_half = |a: usize, b: usize| (a < count / 2) != (b < count / 2);
    let partition_rounds = if disturbance.partitioned { PARTITION_ROUNDS } else { 0 };
    for round in 0..partition_rounds + MAX_ROUNDS {
        if round >= partition_rounds && informed.iter().all(|k| *k) {
            return round - partition_rounds;
        }
        let before = informed.clone();
        for at in 0..count {
            for peer in peers(selection, at, list, seed * 1000 + round as u64) {
                let unreachable = round < partition_rounds && in_other_half(at, peer);
                if unreachable || rng.random_bool(disturbance.loss) {
                    continue;
                }
                informed[peer] |= before[at];
                informed[at] |= before[peer];
            }
        }
    }
    MAX_ROUNDS
}

fn summary(selection: PeerSelection, list: &[Instance], disturbance: Disturbance) -> String {
    let mut all: Vec<usize> = (0..SEEDS)
        .map(|seed| rounds(selection, list, disturbance, seed))
        .collect();
    all.sort_unstable();
    let at = |share: f64| all[((all.len() - 1) as f64 * share) as usize];
    format!("{:>3}/{:>3}", at(0.5), at(1.0))
}

fn digest_bytes() -> usize {
    let digest = ViewDigest {
        manifest_version: 1 << 20,
        manifest_digest: "0".repeat(64),
        list_version: 1 << 40,
        endpoints_version: 1 << 40,
        incarnation: u64::MAX,
        confirmed_ms_ago: Some(20_000),
    };
    bincode::serde::encode_to_vec(&digest, bincode::config::standard()).map_or(0, |bytes| bytes.len())
}

fn main() {
    let picked = |ring, random| PeerSelection::Picked(PeerOptions { ring, random });
    let rows = [
        Row {
            name: "random 1",
            selection: picked(0, 1),
        },
        Row {
            name: "random 2",
            selection: picked(0, 2),
        },
        Row {
            name: "random 3",
            selection: picked(0, 3),
        },
        Row {
            name: "ring 1 + random 1",
            selection: picked(1, 1),
        },
        Row {
            name: "ring 2",
            selection: picked(2, 0),
        },
        Row {
            name: "fingers 1",
            selection: PeerSelection::Fingers(1),
        },
        Row {
            name: "fingers 2",
            selection: PeerSelection::Fingers(2),
        },
        Row {
            name: "mesh",
            selection: PeerSelection::Mesh,
        },
    ];
    let disturbances = [
        (
            "no loss",
            Disturbance {
                loss: 0.0,
                partitioned: false,
            },
        ),
        (
            "30% lost",
            Disturbance {
                loss: 0.3,
                partitioned: false,
            },
        ),
        (
            "after a partition",
            Disturbance {
                loss: 0.0,
                partitioned: true,
            },
        ),
    ];
    println!(
        "a digest has {} bytes in bincode; rounds to full spread, median/worst of {SEEDS} seeds",
        digest_bytes()
    );
    for (name, disturbance) in disturbances {
        println!("{name}: instances {SIZES:?}");
        for row in &rows {
            let cells: Vec<String> = SIZES
                .iter()
                .map(|n| summary(row.selection, &instances(*n), disturbance))
                .collect();
            println!("  {:<18} {}", row.name, cells.join("  "));
        }
    }
}
