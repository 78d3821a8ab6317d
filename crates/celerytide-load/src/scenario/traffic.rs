//! From rates to single requests.

use std::time::Duration;

use celerytide_manifest::{Class, ServiceKind};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{Scenario, Traffic};
use crate::open_loop;

/// Bytes of text that a stand-in engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Spread of the logarithm of a prompt's length.
const PROMPT_SPREAD: f64 = 0.5;
const FILLER: &str = "the quick brown fox jumps over the lazy dog and ";

/// One request that is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the run began.
    pub at: Duration,
    /// Index of the phase.
    pub phase: usize,
    /// Index of the class in the deployment.
    pub class: usize,
    /// Index of the customer in the deployment.
    pub customer: usize,
    /// Number of the instance to ask, to be taken modulo their count.
    pub instance: usize,
    /// What its service speaks.
    pub kind: ServiceKind,
    /// Prompt; empty for a plain service.
    pub prompt: String,
}

/// All requests of a scenario in the order of their time, the same for the same seed.
pub fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut all = Vec::new();
    let mut start = Duration::ZERO;
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    for (phase_index, phase) in scenario.phases.iter().enumerate() {
        for (class_index, class) in scenario.deployment.classes.iter().enumerate() {
            let Some(traffic) = scenario.traffic.iter().find(|traffic| traffic.class == class.name) else {
                continue;
            };
            let rate = phase.rates.get(&class.name).copied().unwrap_or(0.0);
            for at in open_loop::poisson_arrivals(rate, phase.duration(), rng.random()) {
                let kind = kind(scenario, class);
                all.push(Arrival {
                    at: start + at,
                    phase: phase_index,
                    class: class_index,
                    customer: pick_customer(scenario, &mut rng),
                    instance: rng.random_range(0..scenario.deployment.instances.max(1)),
                    kind,
                    prompt: if kind == ServiceKind::Model {
                        prompt(traffic, &mut rng)
                    } else {
                        String::new()
                    },
                });
            }
        }
        start += phase.duration();
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn kind(scenario: &Scenario, class: &Class) -> ServiceKind {
    if class.service == scenario.deployment.engines.service {
        ServiceKind::Model
    } else {
        ServiceKind::Plain
    }
}

/// Customers come as often as their weights say.
fn pick_customer(scenario: &Scenario, rng: &mut StdRng) -> usize {
    let customers = &scenario.deployment.customers;
    let all: u32 = customers.iter().map(|customer| customer.weight).sum();
    let mut left = rng.random_range(0..all.max(1));
    for (i, customer) in customers.iter().enumerate() {
        if left < customer.weight {
            return i;
        }
        left -= customer.weight;
    }
    0
}

/// The start that a group shares, then a part of its own.
fn prompt(traffic: &Traffic, rng: &mut StdRng) -> String {
    let group = rng.random_range(0..traffic.groups.max(1));
    let mut text = filled(
        &format!("{} {group}: ", traffic.class),
        traffic.shared_tokens * BYTES_PER_TOKEN,
    );
    let factor = (PROMPT_SPREAD * (rng.random::<f64>() - 0.5) * 4.0).exp();
    let own = (traffic.prompt_tokens as f64 * factor) as usize;
    text.push_str(&filled(
        &format!("{:016x} ", rng.random::<u64>()),
        own * BYTES_PER_TOKEN,
    ));
    text
}

fn filled(start: &str, bytes: usize) -> String {
    start.chars().chain(FILLER.chars().cycle()).take(bytes).collect()
}
