//! Fixed seeds for property tests.
#![allow(dead_code)]

pub mod manifest;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// First seeds; each is stepped [`STEPS`] times.
const BASES: [u64; 8] = [
    0x9e37_79b9,
    0x85eb_ca6b,
    0xc2b2_ae35,
    0x27d4_eb2f,
    0x1656_67b1,
    0xd3a2_646c,
    0xfd70_46c5,
    0xb55a_4f09,
];
const STEPS: u64 = 50;
const STEP: u64 = 0x0001_0dcd;

/// Environment variable: run this many fresh seeds instead of the fixed ones.
const FRESH_SEEDS: &str = "CELERYTIDE_FRESH_SEEDS";

/// Runs `property` with each seed on `bytes` bytes of randomness. The panic message names the failing seed.
pub fn each_seed(bytes: u32, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    let fresh = std::env::var(FRESH_SEEDS).ok().and_then(|n| n.parse::<u64>().ok());
    let highs: Vec<u64> = match fresh {
        Some(count) => (0..count).map(|_| u64::from(rand::random::<u32>())).collect(),
        None => fixed().collect(),
    };
    for high in highs {
        let seed = (high << 32) | u64::from(bytes);
        arbtest(&mut property).seed(seed);
    }
}

/// Runs `property` on the fixed seeds only, whatever the environment says.
pub fn each_fixed_seed(bytes: u32, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for high in fixed() {
        arbtest(&mut property).seed((high << 32) | u64::from(bytes));
    }
}

fn fixed() -> impl Iterator<Item = u64> {
    let steps = |base: u64| (0..STEPS).map(move |n| (base + n * STEP) & 0xffff_ffff);
    BASES.into_iter().flat_map(steps)
}
