//! Rounds until a change has reached every instance, for several ways to choose peers.
//!
//! Run with `cargo run --release -p celerytide-membership --example spread`. A round is one exchange with each chosen
//! peer; an exchange tells both sides. Each figure is over 200 seeds.

use std::net::SocketAddr;

use celerytide_membership::{Instance, PeerOptions, ViewDigest, pick_peers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 200;
const MAX_ROUNDS: usize = 200;
const SIZES: [usize; 4] = [8, 64, 180, 360];
const CUT_ROUNDS: usize = 30;

/// How peers of a round are chosen.
#[derive(Clone, Copy)]
enum Way {
    /// By [`pick_peers`].
    Picked(PeerOptions),
    /// So many of the ring distances 1, 2, 4, ..., a different part each round.
    Fingers(usize),
    /// Everybody.
    Mesh,
}

/// What disturbs the exchange.
#[derive(Clone, Copy)]
struct Trouble {
    /// Share of exchanges lost.
    loss: f64,
    /// Two halves are cut from each other for the first rounds.
    cut: bool,
}

struct Row {
    name: &'static str,
    way: Way,
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

fn peers(way: Way, at: usize, list: &[Instance], round: u64) -> Vec<usize> {
    let count = list.len();
    match way {
        Way::Mesh => (0..count).filter(|n| *n != at).collect(),
        Way::Fingers(fan) => {
            let fingers = usize::BITS - (count - 1).leading_zeros();
            let distance = |n: usize| 1usize << ((round as usize * fan + n) % fingers as usize);
            (0..fan).map(|n| (at + distance(n)) % count).collect()
        }
        Way::Picked(opts) => {
            let index = |id: &String| list.binary_search_by(|i| i.id.cmp(id)).ok();
            let own = list.get(at).map_or("", |i| i.id.as_str());
            pick_peers(own, list, round, opts).iter().filter_map(index).collect()
        }
    }
}

/// Rounds until all know, counted from the end of the cut if there is one.
fn rounds(way: Way, list: &[Instance], trouble: Trouble, seed: u64) -> usize {
    let count = list.len();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut knows = vec![false; count];
    let first = rng.random_range(0..count);
    knows[first] = true;
    let halves = |a: usize, b: usize| (a < count / 2) != (b < count / 2);
    let cut_rounds = if trouble.cut { CUT_ROUNDS } else { 0 };
    for round in 0..cut_rounds + MAX_ROUNDS {
        if round >= cut_rounds && knows.iter().all(|k| *k) {
            return round - cut_rounds;
        }
        let before = knows.clone();
        for at in 0..count {
            for peer in peers(way, at, list, seed * 1000 + round as u64) {
                let cut = round < cut_rounds && halves(at, peer);
                if cut || rng.random_bool(trouble.loss) {
                    continue;
                }
                knows[peer] |= before[at];
                knows[at] |= before[peer];
            }
        }
    }
    MAX_ROUNDS
}

fn summary(way: Way, list: &[Instance], trouble: Trouble) -> String {
    let mut all: Vec<usize> = (0..SEEDS).map(|seed| rounds(way, list, trouble, seed)).collect();
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
    let picked = |ring, random| Way::Picked(PeerOptions { ring, random });
    let rows = [
        Row {
            name: "random 1",
            way: picked(0, 1),
        },
        Row {
            name: "random 2",
            way: picked(0, 2),
        },
        Row {
            name: "random 3",
            way: picked(0, 3),
        },
        Row {
            name: "ring 1 + random 1",
            way: picked(1, 1),
        },
        Row {
            name: "ring 2",
            way: picked(2, 0),
        },
        Row {
            name: "fingers 1",
            way: Way::Fingers(1),
        },
        Row {
            name: "fingers 2",
            way: Way::Fingers(2),
        },
        Row {
            name: "mesh",
            way: Way::Mesh,
        },
    ];
    let troubles = [
        ("no loss", Trouble { loss: 0.0, cut: false }),
        ("30% lost", Trouble { loss: 0.3, cut: false }),
        ("after a cut", Trouble { loss: 0.0, cut: true }),
    ];
    println!(
        "a digest has {} bytes in bincode; rounds to full spread, median/worst of {SEEDS} seeds",
        digest_bytes()
    );
    for (name, trouble) in troubles {
        println!("{name}: instances {SIZES:?}");
        for row in &rows {
            let cells: Vec<String> = SIZES
                .iter()
                .map(|n| summary(row.way, &instances(*n), trouble))
                .collect();
            println!("  {:<18} {}", row.name, cells.join("  "));
        }
    }
}
