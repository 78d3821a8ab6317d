//! Measures the error of three ways to split a customer's limit among entries: `limits [SECONDS]`.
//!
//! Customers send several times their limit through 8 or 360 entries, evenly or mostly through a few. Peers exchange
//! their observed rates once a second, and each message arrives a second late. The error is the admitted rate compared
//! with the lower of the sent rate and the limit, after a warm-up.

use std::time::Duration;

use celerytide_policy::limits::{CustomerRate, EvenSplit, Limit, Limits, ObservedSplit, OwnerSplit, Split, Verdict};
use celerytide_types::BootTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two exchanges.
const STEPS_PER_EXCHANGE: usize = 100;
/// Delay of a message in exchanges.
const EXCHANGE_DELAY: usize = 1;
/// Fraction of the run that isn't counted.
const WARM_UP: f64 = 0.2;
/// Number of customers in a run.
const CUSTOMERS: usize = 40;
/// Number of customers whose rates an entry sends.
const RATES_SENT: usize = 64;

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    entries: usize,
    per_second: f64,
    /// Requests sent for each one that the limit admits.
    load: f64,
    /// Number of entries that receive nine in ten of a customer's requests; zero means all entries evenly.
    preferred_entries: usize,
    /// Whether the preferred entries change in the middle of the run.
    preference_changes: bool,
}

#[derive(Default, Clone, Copy)]
struct Count {
    sent: u64,
    admitted: u64,
    forwarded: u64,
}

trait Exchange: Split {
    fn busiest(&mut self, _now: BootTime) -> Vec<CustomerRate> {
        Vec::new()
    }
    fn update_peers(&mut self, _entries: u32, _others: Vec<CustomerRate>) {}
}

impl Exchange for EvenSplit {}
impl Exchange for OwnerSplit {}
impl Exchange for ObservedSplit {
    fn busiest(&mut self, now: BootTime) -> Vec<CustomerRate> {
        ObservedSplit::busiest(self, now, RATES_SENT)
    }
    fn update_peers(&mut self, entries: u32, others: Vec<CustomerRate>) {
        ObservedSplit::update_peers(self, entries, others);
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(30.0);
    println!("scene                         entries   even              observed          owner (forwarded)");
    for scenario in scenarios() {
        let names: Vec<String> = (0..scenario.entries).map(|at| format!("entry-{at}")).collect();
        let even = run(scenario, seconds, |_| EvenSplit {
            entries: scenario.entries as u32,
        });
        let observed = run(scenario, seconds, |_| ObservedSplit::new(scenario.entries as u32));
        let owner = run(scenario, seconds, |at| OwnerSplit {
            own: names[at].clone(),
            entries: names.clone(),
        });
        let forwarded = owner.iter().map(|count| count.forwarded).sum::<u64>() as f64;
        let sent = owner.iter().map(|count| count.sent).sum::<u64>() as f64;
        println!(
            "{:<30}{:<10}{:<18}{:<18}{} ({:.0}%)",
            scenario.name,
            scenario.entries,
            error(scenario, seconds, &even),
            error(scenario, seconds, &observed),
            error(scenario, seconds, &owner),
            100.0 * forwarded / sent
        );
    }
}

fn scenarios() -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for entries in [8, 360] {
        let base = Scenario {
            name: "",
            entries,
            per_second: 50.0,
            load: 3.0,
            preferred_entries: 0,
            preference_changes: false,
        };
        scenarios.push(Scenario {
            name: "even, 3x limit",
            ..base
        });
        scenarios.push(Scenario {
            name: "two favourites, 3x limit",
            preferred_entries: 2,
            ..base
        });
        scenarios.push(Scenario {
            name: "two favourites, 0.8x limit",
            preferred_entries: 2,
            load: 0.8,
            ..base
        });
        scenarios.push(Scenario {
            name: "favourites move, 3x limit",
            preferred_entries: 2,
            preference_changes: true,
            ..base
        });
        scenarios.push(Scenario {
            name: "small customer, 3x limit",
            per_second: 2.0,
            ..base
        });
    }
    scenarios
}

fn run<S: Exchange>(scenario: Scenario, seconds: f64, make: impl Fn(usize) -> S) -> Vec<Count> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut entries: Vec<Limits<S>> = (0..scenario.entries).map(|at| Limits::new(make(at))).collect();
    let mut sent_rates: Vec<Vec<Vec<CustomerRate>>> = Vec::new();
    let mut counts = vec![Count::default(); CUSTOMERS];
    let steps = (seconds / STEP.as_secs_f64()) as usize;
    for step in 0..steps {
        let now = BootTime::from_start(STEP * (step as u32 + 1_000));
        if step % STEPS_PER_EXCHANGE == 0 {
            exchange(now, &mut entries, &mut sent_rates);
        }
        let counted = step as f64 > WARM_UP * steps as f64;
        for (customer, count) in counts.iter_mut().enumerate() {
            let mean = scenario.per_second * scenario.load * STEP.as_secs_f64();
            for _ in 0..poisson(mean, &mut rng) {
                let at = pick(scenario, customer, step > steps / 2, &mut rng);
                send(
                    now,
                    &mut entries,
                    at,
                    customer,
                    scenario,
                    if counted { Some(&mut *count) } else { None },
                );
            }
        }
    }
    counts
}

fn exchange<S: Exchange>(now: BootTime, entries: &mut [Limits<S>], sent_rates: &mut Vec<Vec<Vec<CustomerRate>>>) {
    sent_rates.push(entries.iter_mut().map(|entry| entry.split_mut().busiest(now)).collect());
    if sent_rates.len() <= EXCHANGE_DELAY {
        return;
    }
    let late = sent_rates.remove(0);
    let total = sum(&late);
    let number = entries.len() as u32;
    for (at, entry) in entries.iter_mut().enumerate() {
        let own = &late[at];
        let others = total.iter().map(|seen| CustomerRate {
            customer: seen.customer.clone(),
            per_second: seen.per_second - rate_of(own, &seen.customer),
        });
        entry.split_mut().update_peers(number, others.collect());
    }
}

fn sum(sent_rates: &[Vec<CustomerRate>]) -> Vec<CustomerRate> {
    let mut total: Vec<CustomerRate> = Vec::new();
    for seen in sent_rates.iter().flatten() {
        match total.iter_mut().find(|entry| entry.customer == seen.customer) {
            Some(entry) => entry.per_second += seen.per_second,
            None => total.push(seen.clone()),
        }
    }
    total
}

fn rate_of(sent_rates: &[CustomerRate], customer: &str) -> f64 {
    let own = sent_rates.iter().find(|seen| seen.customer == customer);
    own.map_or(0.0, |seen| seen.per_second)
}

fn send<S: Exchange>(
    now: BootTime,
    entries: &mut [Limits<S>],
    at: usize,
    customer: usize,
    scenario: Scenario,
    count: Option<&mut Count>,
) {
    let name = format!("customer-{customer}");
    let limit = Limit {
        per_second: scenario.per_second,
        burst: scenario.per_second,
    };
    let mut forwarded = 0;
    let mut verdict = entries[at].check(now, &name, limit);
    if let Verdict::OwnedBy(owner) = &verdict {
        forwarded = 1;
        let owner = owner.trim_start_matches("entry-").parse().unwrap_or(0);
        let entry: &mut Limits<S> = &mut entries[owner];
        verdict = entry.check(now, &name, limit);
    }
    if let Some(count) = count {
        count.sent += 1;
        count.forwarded += forwarded;
        count.admitted += u64::from(verdict == Verdict::Admitted);
    }
}

fn pick(scenario: Scenario, customer: usize, late: bool, rng: &mut SmallRng) -> usize {
    let shift = if scenario.preference_changes && late {
        scenario.entries / 2
    } else {
        0
    };
    if scenario.preferred_entries > 0 && rng.random_bool(0.9) {
        return (customer * 3 + shift + rng.random_range(0..scenario.preferred_entries)) % scenario.entries;
    }
    rng.random_range(0..scenario.entries)
}

fn poisson(mean: f64, rng: &mut SmallRng) -> u32 {
    let bound = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > bound {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Mean and worst deviation of the admitted rate over all customers.
fn error(scenario: Scenario, seconds: f64, counts: &[Count]) -> String {
    let span = seconds * (1.0 - WARM_UP);
    let deviations = counts.iter().map(|count| {
        let due = (scenario.per_second * span).min(count.sent as f64);
        count.admitted as f64 / due - 1.0
    });
    let deviations: Vec<f64> = deviations.collect();
    let mean = deviations.iter().sum::<f64>() / deviations.len() as f64;
    let worst = deviations.iter().copied().max_by(|a, b| a.abs().total_cmp(&b.abs()));
    format!("{:+.1}% ({:+.1}%)", 100.0 * mean, 100.0 * worst.unwrap_or(0.0))
}
