//! Helpers shared by the tests of this crate.
#![allow(dead_code, unused_imports)]

pub mod manifest;

pub use celerytide_seeds::{each_fixed_seed, each_seed};
