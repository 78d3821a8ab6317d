//! Mixes of the comparison: classes, rates and engines.
//!
//! `fondo-andino` and `peachline` follow the two users' scenarios in scenarios/, with the engines that remain at the
//! start of the event. `office` has slower engines and short targets.

use std::collections::BTreeMap;
use std::time::Duration;

use celerytide_policy::{ClassPlan, EndpointPlan, PoolPlan};

use crate::engine::Spec;

pub struct Class {
    pub name: &'static str,
    pub tier: u8,
    /// Latency target for the first token in seconds.
    pub target: f64,
    pub share: f64,
    /// Arrivals per second at the start of the event in the scenario.
    pub rate: f64,
    /// Prompt tokens of its own, and those shared with other requests of its group.
    pub prompt: f64,
    pub shared: f64,
    /// Upper bound on the response in tokens.
    pub max_tokens: f64,
    pub preemptible: bool,
}

pub struct Mix {
    pub name: &'static str,
    pub engines: usize,
    pub spec: Spec,
    pub classes: &'static [Class],
    /// Median length of a response and the standard deviation of the logarithm of the length.
    pub length: (f64, f64),
    /// Weights of the customers, which are also their parts of the load.
    pub weights: &'static [u32],
}

const USERS: Spec = Spec {
    slots: 16,
    cold_slots: 2,
    prefill_bound: 0,
    prefill_seconds_per_token: 20e-6,
    decode_seconds: 0.015,
    batch_slowdown: 0.02,
    cold_seconds: 5.0,
};

pub const MIXES: [Mix; 3] = [
    Mix {
        name: "fondo-andino",
        engines: 12,
        spec: USERS,
        classes: &[
            class("draft", 1, 2.0, 0.30, 50.0, (300.0, 512.0), 300.0),
            class("lookup", 2, 1.0, 0.15, 80.0, (60.0, 512.0), 40.0),
            class("review", 3, 8.0, 0.10, 25.0, (3000.0, 0.0), 200.0),
            class("summary", 5, 30.0, 0.05, 40.0, (800.0, 0.0), 200.0),
        ],
        length: (120.0, 0.8),
        weights: &[30, 25, 20, 5, 5, 3, 3, 3, 3, 3],
    },
    Mix {
        name: "peachline",
        engines: 12,
        spec: Spec { slots: 12, ..USERS },
        classes: &[
            class("policy", 1, 1.5, 0.30, 55.0, (80.0, 4096.0), 120.0),
            class("clause", 2, 2.0, 0.15, 35.0, (200.0, 2048.0), 200.0),
            class("summary", 4, 20.0, 0.05, 35.0, (1500.0, 0.0), 300.0),
        ],
        length: (120.0, 0.8),
        weights: &[30, 25, 20, 5, 5, 3, 3, 3, 3, 3],
    },
    Mix {
        name: "office",
        engines: 12,
        spec: Spec {
            slots: 8,
            cold_slots: 2,
            prefill_bound: 6000,
            prefill_seconds_per_token: 125e-6,
            decode_seconds: 1.0 / 60.0,
            batch_slowdown: 0.08,
            cold_seconds: 8.0,
        },
        classes: &[
            class("draft", 1, 1.5, 0.10, 3.0, (170.0, 1330.0), 800.0),
            class("lookup", 2, 1.0, 0.10, 9.0, (50.0, 350.0), 100.0),
            class("review", 3, 4.0, 0.08, 5.0, (600.0, 4400.0), 900.0),
            class("summary", 5, 8.0, 0.05, 3.0, (300.0, 2200.0), 900.0),
        ],
        length: (160.0, 0.9),
        weights: &[20, 20, 20, 20, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2],
    },
];

const fn class(
    name: &'static str,
    tier: u8,
    target: f64,
    share: f64,
    rate: f64,
    (prompt, shared): (f64, f64),
    max_tokens: f64,
) -> Class {
    Class {
        name,
        tier,
        target,
        share,
        rate,
        prompt,
        shared,
        max_tokens,
        preemptible: tier > 3,
    }
}

impl Mix {
    /// Engine time of one second of the scenario's arrivals with cached prefixes, as a multiple of the available engine
    /// time.
    pub fn demand(&self) -> f64 {
        let of = |class: &Class| class.rate * self.spec.engine_seconds(class.prompt, self.mean_length(class));
        self.classes.iter().map(of).sum::<f64>() / self.engines as f64
    }

    /// Mean of the bounded lengths over evenly spaced quantiles of the normal distribution.
    fn mean_length(&self, class: &Class) -> f64 {
        let draws = 400;
        let at = |step: usize| {
            let z = normal((step as f64 + 0.5) / draws as f64);
            (self.length.0 * (self.length.1 * z).exp()).min(class.max_tokens)
        };
        (0..draws).map(at).sum::<f64>() / draws as f64
    }

    pub fn plan(&self) -> PoolPlan {
        let endpoints = (0..self.engines).map(|at| EndpointPlan {
            id: format!("engine-{at}"),
            zone: "a".to_owned(),
            slots: self.spec.slots as u32,
            cold_slots: self.spec.cold_slots as u32,
            prefill_tokens: self.spec.prefill_bound,
            resumes: true,
            open: true,
        });
        let classes = self.classes.iter().map(|class| ClassPlan {
            name: class.name.to_owned(),
            tier: class.tier,
            priority: 0,
            first_token: Duration::from_secs_f64(class.target),
            guaranteed_share: class.share,
            preemptible: class.preemptible,
        });
        let customers = self.weights.iter().enumerate();
        PoolPlan {
            endpoints: endpoints.collect(),
            classes: classes.collect(),
            customers: customers
                .map(|(at, &weight)| celerytide_policy::CustomerPlan {
                    id: format!("customer-{at}"),
                    weight,
                })
                .collect(),
        }
    }
}

/// Quantile of the normal distribution, approximated to one hundredth by the scaled logistic distribution.
pub fn normal(p: f64) -> f64 {
    (p / (1.0 - p)).ln() / 1.702
}

/// Largest number of returns in 100 ms as a multiple of the mean over the time in which callers return, and that mean.
pub fn wave(returns: &[f64]) -> (f64, f64) {
    let mut windows: BTreeMap<u64, f64> = BTreeMap::new();
    for at in returns {
        *windows.entry((at * 10.0) as u64).or_default() += 1.0;
    }
    let (Some(first), Some(last)) = (windows.keys().next(), windows.keys().next_back()) else {
        return (0.0, 0.0);
    };
    let mean = returns.len() as f64 / (last - first + 1) as f64;
    (windows.values().copied().fold(0.0, f64::max) / mean, mean)
}
