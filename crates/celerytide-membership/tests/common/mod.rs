//! What the tests of this crate share.
#![allow(dead_code, unused_imports)]

pub mod manifest;

pub use celerytide_seeds::{each_fixed_seed, each_seed};
