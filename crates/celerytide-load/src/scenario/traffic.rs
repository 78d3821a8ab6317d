//! Generates the single requests of a scenario from its rates.

use std::time::Duration;

use celerytide_manifest::{Class, ServiceKind};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{Scenario, Traffic};
use crate::open_loop;

/// Bytes of text that a stand-in engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Spread of the logarithm of a prompt's length, around its median.
const PROMPT_LENGTH_SPREAD: f64 = 0.5;
const FILLER_TEXT: &str = "the quick brown fox jumps over the lazy dog and ";

/// Request to be sent at a scheduled time.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the phase.
    pub phase: usize,
    /// Index of the class in the deployment.
    pub class: usize,
    /// Index of the customer in the deployment.
    pub customer: usize,
    /// Index of the instance to send it to, modulo the number of instances.
    pub instance: usize,
    /// Kind of its service.
    pub kind: ServiceKind,
    /// Prompt text; empty for a plain service.
    pub prompt: String,
}

/// All requests of a scenario, ordered by time. The same seed gives the same requests.
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
                let kind = service_kind(scenario, class);
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

fn service_kind(scenario: &Scenario, class: &Class) -> ServiceKind {
    if class.service == scenario.deployment.engines.service {
        ServiceKind::Model
    } else {
        ServiceKind::Plain
    }
}

/// Picks a customer with a probability proportional to its weight.
fn pick_customer(scenario: &Scenario, rng: &mut StdRng) -> usize {
    let customers = &scenario.deployment.customers;
    let total: u32 = customers.iter().map(|customer| customer.weight).sum();
    let mut remaining = rng.random_range(0..total.max(1));
    for (i, customer) in customers.iter().enumerate() {
        if remaining < customer.weight {
            return i;
        }
        remaining -= customer.weight;
    }
    0
}

/// Generates a prompt: the prefix shared by a random group, then a unique part of random length.
fn prompt(traffic: &Traffic, rng: &mut StdRng) -> String {
    let group = rng.random_range(0..traffic.groups.max(1));
    let mut text = repeat_filler(
        &format!("{} {group}: ", traffic.class),
        traffic.shared_tokens * BYTES_PER_TOKEN,
    );
    let factor = (PROMPT_LENGTH_SPREAD * (rng.random::<f64>() - 0.5) * 4.0).exp();
    let own_tokens = (traffic.prompt_tokens as f64 * factor) as usize;
    text.push_str(&repeat_filler(
        &format!("{:016x} ", rng.random::<u64>()),
        own_tokens * BYTES_PER_TOKEN,
    ));
    text
}

fn repeat_filler(start: &str, bytes: usize) -> String {
    start.chars().chain(FILLER_TEXT.chars().cycle()).take(bytes).collect()
}
