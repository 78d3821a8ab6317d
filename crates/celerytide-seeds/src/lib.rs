//! Seeds for property tests: the same in every run, or new random ones for a longer search.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// First seed of each series; the others of the series follow at distances of [`SEED_STEP`].
const BASE_SEEDS: [u64; 8] = [
    0x9e37_79b9,
    0x85eb_ca6b,
    0xc2b2_ae35,
    0x27d4_eb2f,
    0x1656_67b1,
    0xd3a2_646c,
    0xfd70_46c5,
    0xb55a_4f09,
];
const SEED_STEP: u64 = 0x0001_0dcd;

/// Environment variable with the number of random seeds to run instead of the fixed ones.
const FRESH_SEEDS_VAR: &str = "CELERYTIDE_FRESH_SEEDS";

/// Runs `property` on `bytes` bytes of random input with `steps` seeds from each base seed, or with random seeds if
/// `CELERYTIDE_FRESH_SEEDS` is set. The panic message contains the failing seed.
pub fn each_seed(bytes: u32, steps: u64, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    let fresh = std::env::var(FRESH_SEEDS_VAR).ok().and_then(|n| n.parse::<u64>().ok());
    let Some(count) = fresh else {
        return each_fixed_seed(bytes, steps, property);
    };
    for _ in 0..count {
        let high = u64::from(rand::random::<u32>());
        arbtest(&mut property).seed((high << 32) | u64::from(bytes));
    }
}

/// Runs `property` as [`each_seed`] does, but always with the fixed seeds.
pub fn each_fixed_seed(bytes: u32, steps: u64, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for base in BASE_SEEDS {
        for step in 0..steps {
            let high = (base + step * SEED_STEP) & 0xffff_ffff;
            arbtest(&mut property).seed((high << 32) | u64::from(bytes));
        }
    }
}
