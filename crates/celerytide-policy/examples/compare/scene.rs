//! The classes and engines of the comparison.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_policy::{ClassPlan, EndpointPlan, PoolPlan};

use crate::engine::{COLD_SLOTS, Engine, PREFILL_BOUND, SLOTS};

pub const ENGINES: usize = 12;

pub struct Class {
    pub name: &'static str,
    pub tier: u8,
    pub target: f64,
    pub share: f64,
    /// Fraction of the arrivals.
    pub mix: f64,
    pub prompt: f64,
    pub length: f64,
}

pub const CLASSES: [Class; 4] = [
    class("draft", 1, 1.5, 0.10, 0.15, 1500.0, 220.0),
    class("lookup", 2, 1.0, 0.10, 0.45, 400.0, 80.0),
    class("review", 3, 4.0, 0.08, 0.25, 5000.0, 350.0),
    class("summary", 5, 8.0, 0.05, 0.15, 2500.0, 300.0),
];

const fn class(name: &'static str, tier: u8, target: f64, share: f64, mix: f64, prompt: f64, length: f64) -> Class {
    Class {
        name,
        tier,
        target,
        share,
        mix,
        prompt,
        length,
    }
}

/// Requests a second that full engines finish.
pub fn capacity_per_second() -> f64 {
    let hold: f64 = CLASSES
        .iter()
        .map(|class| class.mix * Engine::hold_seconds(class.prompt, class.length))
        .sum();
    (ENGINES * SLOTS) as f64 / hold
}

pub fn plan() -> PoolPlan {
    let endpoints = (0..ENGINES).map(|at| EndpointPlan {
        id: format!("engine-{at}"),
        zone: "a".to_owned(),
        slots: SLOTS as u32,
        cold_slots: COLD_SLOTS as u32,
        prefill_tokens: PREFILL_BOUND,
        resumes: true,
        open: true,
    });
    let classes = CLASSES.iter().map(|class| ClassPlan {
        name: class.name.to_owned(),
        tier: class.tier,
        priority: 0,
        first_token: Duration::from_secs_f64(class.target),
        guaranteed_share: class.share,
        preemptible: class.tier > 2,
    });
    PoolPlan {
        endpoints: endpoints.collect(),
        classes: classes.collect(),
        customers: Vec::new(),
    }
}

/// Most returns in 100 ms as a multiple of the mean over the time in which callers return.
pub fn wave(returns: &[f64]) -> f64 {
    let mut windows: BTreeMap<u64, f64> = BTreeMap::new();
    for at in returns {
        *windows.entry((at * 10.0) as u64).or_default() += 1.0;
    }
    let (Some(first), Some(last)) = (windows.keys().next(), windows.keys().next_back()) else {
        return 0.0;
    };
    let mean = returns.len() as f64 / (last - first + 1) as f64;
    windows.values().copied().fold(0.0, f64::max) / mean
}
