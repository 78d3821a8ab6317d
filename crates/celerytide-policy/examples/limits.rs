//! Error of three ways to split a customer's limit among entries: `limits [SECONDS]`.
//!
//! Customers send at several times their limit through 8 or 360 entries, evenly or mostly through a few. Peers tell
//! each other what they saw once a second, and the word arrives a second later. The error is the admitted rate against
//! the lesser of what was sent and the limit, after a first stretch.

use std::time::Duration;

use celerytide_policy::limits::{CustomerRate, EvenSplit, Limit, Limits, ObservedSplit, OwnerSplit, Split, Verdict};
use celerytide_types::BootTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Length of a step of simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two exchanges.
const STEPS_PER_TELL: usize = 100;
/// Exchanges that a word is late.
const TELLS_LATE: usize = 1;
/// Part of the run that isn't counted.
const WARM_UP: f64 = 0.2;
/// Customers of a run.
const CUSTOMERS: usize = 40;
/// Customers that an entry tells about.
const TOLD: usize = 64;

#[derive(Clone, Copy)]
struct Scene {
    name: &'static str,
    entries: usize,
    per_second: f64,
    /// Requests sent for each one that the limit lets through.
    load: f64,
    /// Entries that nine in ten of a customer's requests go through; all if zero.
    favourites: usize,
    /// Whether the favourites change in the middle.
    moves: bool,
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
        ObservedSplit::busiest(self, now, TOLD)
    }
    fn update_peers(&mut self, entries: u32, others: Vec<CustomerRate>) {
        ObservedSplit::update_peers(self, entries, others);
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(30.0);
    println!("scene                         entries   even              observed          owner (forwarded)");
    for scene in scenes() {
        let names: Vec<String> = (0..scene.entries).map(|at| format!("entry-{at}")).collect();
        let even = run(scene, seconds, |_| EvenSplit {
            entries: scene.entries as u32,
        });
        let observed = run(scene, seconds, |_| ObservedSplit::new(scene.entries as u32));
        let owner = run(scene, seconds, |at| OwnerSplit {
            own: names[at].clone(),
            entries: names.clone(),
        });
        let forwarded = owner.iter().map(|count| count.forwarded).sum::<u64>() as f64;
        let sent = owner.iter().map(|count| count.sent).sum::<u64>() as f64;
        println!(
            "{:<30}{:<10}{:<18}{:<18}{} ({:.0}%)",
            scene.name,
            scene.entries,
            error(scene, seconds, &even),
            error(scene, seconds, &observed),
            error(scene, seconds, &owner),
            100.0 * forwarded / sent
        );
    }
}

fn scenes() -> Vec<Scene> {
    let mut scenes = Vec::new();
    for entries in [8, 360] {
        let base = Scene {
            name: "",
            entries,
            per_second: 50.0,
            load: 3.0,
            favourites: 0,
            moves: false,
        };
        scenes.push(Scene {
            name: "even, 3x limit",
            ..base
        });
        scenes.push(Scene {
            name: "two favourites, 3x limit",
            favourites: 2,
            ..base
        });
        scenes.push(Scene {
            name: "two favourites, 0.8x limit",
            favourites: 2,
            load: 0.8,
            ..base
        });
        scenes.push(Scene {
            name: "favourites move, 3x limit",
            favourites: 2,
            moves: true,
            ..base
        });
        scenes.push(Scene {
            name: "small customer, 3x limit",
            per_second: 2.0,
            ..base
        });
    }
    scenes
}

fn run<S: Exchange>(scene: Scene, seconds: f64, make: impl Fn(usize) -> S) -> Vec<Count> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut entries: Vec<Limits<S>> = (0..scene.entries).map(|at| Limits::new(make(at))).collect();
    let mut told: Vec<Vec<Vec<CustomerRate>>> = Vec::new();
    let mut counts = vec![Count::default(); CUSTOMERS];
    let steps = (seconds / STEP.as_secs_f64()) as usize;
    for step in 0..steps {
        let now = BootTime::from_start(STEP * (step as u32 + 1_000));
        if step % STEPS_PER_TELL == 0 {
            exchange(now, &mut entries, &mut told);
        }
        let counted = step as f64 > WARM_UP * steps as f64;
        for (customer, count) in counts.iter_mut().enumerate() {
            let mean = scene.per_second * scene.load * STEP.as_secs_f64();
            for _ in 0..poisson(mean, &mut rng) {
                let at = pick(scene, customer, step > steps / 2, &mut rng);
                send(
                    now,
                    &mut entries,
                    at,
                    customer,
                    scene,
                    if counted { Some(&mut *count) } else { None },
                );
            }
        }
    }
    counts
}

fn exchange<S: Exchange>(now: BootTime, entries: &mut [Limits<S>], told: &mut Vec<Vec<Vec<CustomerRate>>>) {
    told.push(entries.iter_mut().map(|entry| entry.split_mut().busiest(now)).collect());
    if told.len() <= TELLS_LATE {
        return;
    }
    let late = told.remove(0);
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

fn sum(told: &[Vec<CustomerRate>]) -> Vec<CustomerRate> {
    let mut total: Vec<CustomerRate> = Vec::new();
    for seen in told.iter().flatten() {
        match total.iter_mut().find(|entry| entry.customer == seen.customer) {
            Some(entry) => entry.per_second += seen.per_second,
            None => total.push(seen.clone()),
        }
    }
    total
}

fn rate_of(told: &[CustomerRate], customer: &str) -> f64 {
    let own = told.iter().find(|seen| seen.customer == customer);
    own.map_or(0.0, |seen| seen.per_second)
}

fn send<S: Exchange>(
    now: BootTime,
    entries: &mut [Limits<S>],
    at: usize,
    customer: usize,
    scene: Scene,
    count: Option<&mut Count>,
) {
    let name = format!("customer-{customer}");
    let limit = Limit {
        per_second: scene.per_second,
        burst: scene.per_second,
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

fn pick(scene: Scene, customer: usize, late: bool, rng: &mut SmallRng) -> usize {
    let shift = if scene.moves && late { scene.entries / 2 } else { 0 };
    if scene.favourites > 0 && rng.random_bool(0.9) {
        return (customer * 3 + shift + rng.random_range(0..scene.favourites)) % scene.entries;
    }
    rng.random_range(0..scene.entries)
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

/// Mean and worst deviation of the admitted rate over customers.
fn error(scene: Scene, seconds: f64, counts: &[Count]) -> String {
    let span = seconds * (1.0 - WARM_UP);
    let deviations = counts.iter().map(|count| {
        let due = (scene.per_second * span).min(count.sent as f64);
        count.admitted as f64 / due - 1.0
    });
    let deviations: Vec<f64> = deviations.collect();
    let mean = deviations.iter().sum::<f64>() / deviations.len() as f64;
    let worst = deviations.iter().copied().max_by(|a, b| a.abs().total_cmp(&b.abs()));
    format!("{:+.1}% ({:+.1}%)", 100.0 * mean, 100.0 * worst.unwrap_or(0.0))
}
