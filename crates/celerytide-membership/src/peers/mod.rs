//! Selects the peers to exchange digests with in a gossip round.
//!
//! The selection mixes successors on the ring of ids with random other instances. It is seeded by the own id and the
//! round, so that a test can repeat a round and no two instances select alike.

use celerytide_types::InstanceId;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::view::Instance;

/// Number of peers per round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerOptions {
    /// Number of successors on the ring of ids.
    pub ring: usize,
    /// Number of other instances drawn at random.
    pub random: usize,
}

impl Default for PeerOptions {
    fn default() -> PeerOptions {
        PeerOptions { ring: 0, random: 2 }
    }
}

/// Peers of a round, each once and never `own`. Leaving instances are included: they still hold views.
pub fn pick_peers(own: &str, instances: &[Instance], round: u64, opts: PeerOptions) -> Vec<InstanceId> {
    let after_own = instances.partition_point(|i| i.id.as_str() <= own);
    let (before, after) = instances.split_at(after_own);
    let mut others: Vec<&InstanceId> = after.iter().chain(before).map(|i| &i.id).collect();
    others.retain(|id| id.as_str() != own);
    let ring = opts.ring.min(others.len());
    let distant = others.split_off(ring);
    let mut rng = SmallRng::seed_from_u64(xxh3_64_with_seed(own.as_bytes(), round));
    let drawn = sample(&mut rng, distant.len(), opts.random.min(distant.len()));
    let drawn = drawn.into_iter().filter_map(|at| distant.get(at).copied());
    others.into_iter().chain(drawn).cloned().collect()
}
