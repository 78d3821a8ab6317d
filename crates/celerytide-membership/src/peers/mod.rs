//! Whom to exchange digests with in a round.
//!
//! A mix of ring neighbours (by id) and random distant instances. The choice is seeded by the own id and the round, so
//! that a round can be repeated in a test and no two instances choose alike.

use celerytide_types::InstanceId;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::view::Instance;

/// How many peers a round has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerOptions {
    /// Successors on the ring of ids.
    pub ring: usize,
    /// Others drawn at random.
    pub random: usize,
}

impl Default for PeerOptions {
    fn default() -> PeerOptions {
        PeerOptions { ring: 0, random: 2 }
    }
}

/// The peers of a round, each once, never `own`; leaving instances count, they still hold views.
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
