//! Searches for a history that violates a rule, with fresh seeds: `search [SECONDS]`. A failure prints its seed.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/history.rs"]
mod history;

use std::time::Duration;

use arbtest::arbtest;
use celerytide_policy::Options;
use history::{Shape, violations};

/// Bytes of entropy for one history.
const ENTROPY: u32 = 32 * 1024;

fn main() {
    let seconds = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(10);
    let mut histories = 0_u64;
    arbtest(|u| {
        let shape = Shape {
            steps: 600,
            restricted: u.arbitrary()?,
            reconfigures: u.arbitrary()?,
        };
        let opts = Options {
            max_queued: u.int_in_range(1..=40)?,
            backoff_floor: Duration::from_millis(u.int_in_range(0..=100)?),
            backoff_ceiling: Duration::from_millis(400),
            cold_min: Duration::from_millis(u.int_in_range(0..=400)?),
            ..Options::default()
        };
        let found = violations(u, opts, shape)?;
        assert!(found.is_empty(), "{found:#?}");
        histories += 1;
        Ok(())
    })
    .size_min(ENTROPY)
    .size_max(ENTROPY)
    .budget(Duration::from_secs(seconds));
    println!("{histories} histories of 600 steps, no rule broken");
}
