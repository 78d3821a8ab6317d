//! Rates that endpoints take from all instances together.

mod named;

pub use named::{Change, NamedLimits, StatedLimit};
