//! Measures the time of a decision and the memory of a pool: `decide [DECISIONS]`. Run it in release mode.
//!
//! For each pool size, six tiers and 42,000 customers keep the queue full while every slot is in use. One decision
//! consists of an offer (with the refusals that follow), the settlement of the longest running permit, and the
//! resulting grant. Each of these and the whole decision are timed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use celerytide_policy::{ClassPlan, CustomerPlan, Ended, EndpointPlan, Grant, Options, PermitRequest, Pool, PoolPlan};
use celerytide_types::{BootTime, PermitId};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CUSTOMERS: usize = 42_000;
const TIERS: u8 = 6;
const SLOTS: u32 = 16;
const QUEUE: usize = 8192;
const SIZES: [u32; 4] = [12, 64, 250, 750];
/// Number of blocks of a prompt, and how many of them it shares with other prompts.
const BLOCKS: u64 = 16;
const SHARED_BLOCKS: u64 = 12;
/// Number of distinct shared prefixes.
const SHARED_PREFIXES: u64 = 500;
/// Simulated time between two decisions.
const STEP: Duration = Duration::from_micros(250);
/// Number of permits that wait for their first token at the same time.
const IN_PREFILL: usize = 8;
/// Longest time that the histograms tell apart, in nanoseconds.
const NANOS_MAX: u64 = 10_000_000_000;
const PAGE_BYTES: u64 = 4096;

struct Bench {
    pool: Pool,
    rng: SmallRng,
    now: BootTime,
    running: VecDeque<PermitId>,
    in_prefill: VecDeque<PermitId>,
    names: Vec<String>,
}

struct Times {
    offer: Histogram<u64>,
    settle: Histogram<u64>,
    next: Histogram<u64>,
    whole: Histogram<u64>,
}

fn main() {
    let decisions = std::env::args()
        .nth(1)
        .and_then(|arg| arg.parse().ok())
        .unwrap_or(300_000);
    print_memory();
    println!(
        "{CUSTOMERS} customers, {TIERS} tiers, {QUEUE} queued, {SLOTS} slots a runner; microseconds, p50/p99/p99.9"
    );
    println!(
        "{:>8}{:>20}{:>20}{:>20}{:>20}",
        "runners", "offer", "settle", "next", "decision"
    );
    for size in SIZES {
        let mut bench = Bench::new(size);
        bench.warm_up(size);
        let times = bench.measure(decisions);
        println!(
            "{:>8}{:>20}{:>20}{:>20}{:>20}",
            size,
            format_quantiles(&times.offer),
            format_quantiles(&times.settle),
            format_quantiles(&times.next),
            format_quantiles(&times.whole)
        );
    }
}

impl Bench {
    fn new(size: u32) -> Bench {
        let opts = Options {
            max_queued: QUEUE,
            ..Options::default()
        };
        let mut pool = Pool::new(opts);
        let now = BootTime::from_start(Duration::from_secs(1000));
        pool.apply(now, plan(size));
        Bench {
            pool,
            rng: SmallRng::seed_from_u64(1),
            now,
            running: VecDeque::new(),
            in_prefill: VecDeque::new(),
            names: (0..CUSTOMERS).map(customer).collect(),
        }
    }

    /// Runs until every endpoint uses all its slots and the queue is full except for the reserved places of unused
    /// shares.
    fn warm_up(&mut self, size: u32) {
        let slots = (size * SLOTS) as usize;
        let mut steps = 0;
        while self.running.len() < slots || self.pool.queued() < QUEUE * 3 / 4 {
            self.step(None);
            steps += 1;
            assert!(
                steps < 3_000_000,
                "{} of {slots} slots in use: {:?}",
                self.running.len(),
                self.pool.status().classes
            );
        }
    }

    fn measure(&mut self, decisions: u32) -> Times {
        let histogram = || Histogram::new_with_bounds(1, NANOS_MAX, 3).expect("the bounds are valid");
        let mut times = Times {
            offer: histogram(),
            settle: histogram(),
            next: histogram(),
            whole: histogram(),
        };
        for _ in 0..decisions {
            self.step(Some(&mut times));
        }
        times
    }

    fn step(&mut self, times: Option<&mut Times>) {
        self.now = self.now.after(STEP);
        let req = self.draw_request();
        // More requests arrive than end, so that the queue stays full and sheds.
        let ends = self.pool.queued() > QUEUE / 2 && self.rng.random_ratio(7, 8);
        let permit = if ends { self.running.pop_front() } else { None };
        if self.in_prefill.len() > IN_PREFILL {
            let begun = self.in_prefill.pop_front();
            begun
                .into_iter()
                .for_each(|begun| self.pool.progress(self.now, begun, 1));
        }
        let start = Instant::now();
        self.pool.offer(self.now, req);
        self.pool.expire(self.now);
        let offered = Instant::now();
        if let Some(permit) = permit {
            self.pool.settle(self.now, permit, Ended::Whole { tokens: 200 });
        }
        let settled = Instant::now();
        let granted = self.pool.next_grant(self.now);
        let done = Instant::now();
        if let (Some(times), Some(_)) = (times, &granted) {
            record(&mut times.offer, offered - start);
            record(&mut times.settle, settled - offered);
            record(&mut times.next, done - settled);
            record(&mut times.whole, done - start);
        }
        self.run(granted);
        while let Some(grant) = self.pool.next_grant(self.now) {
            self.run(Some(grant));
        }
    }

    fn run(&mut self, granted: Option<Grant>) {
        self.in_prefill.extend(granted.iter().map(|grant| grant.permit));
        self.running.extend(granted.map(|grant| grant.permit));
    }

    fn draw_request(&mut self) -> PermitRequest {
        // The cube gives a few large customers among many small ones.
        let draw: f64 = self.rng.random();
        let customer = (draw * draw * draw * CUSTOMERS as f64) as usize;
        let start = self.rng.random_range(0..SHARED_PREFIXES);
        let unique: u64 = self.rng.random();
        let shared = (0..SHARED_BLOCKS).map(|block| start * BLOCKS + block);
        PermitRequest {
            request: "req-0123456789abcdef01234567".to_owned(),
            class: format!("tier-{}", self.rng.random_range(1..=TIERS)),
            customer: self.names[customer].clone(),
            deadline: self.now.after(Duration::from_secs(self.rng.random_range(3600..7200))),
            arrived: self.now,
            prompt_tokens: self.rng.random_range(50..4000),
            max_tokens: None,
            prefix: shared
                .chain((SHARED_BLOCKS..BLOCKS).map(|block| unique ^ block))
                .collect(),
            avoid: Vec::new(),
            content: None,
        }
    }
}

fn plan(size: u32) -> PoolPlan {
    let endpoints = (0..size).map(|at| EndpointPlan {
        id: format!("runner-{at}"),
        zone: format!("zone-{}", at % 7),
        slots: SLOTS,
        cold_slots: 2,
        prefill_tokens: 32_000,
        resumes: true,
        open: true,
    });
    let classes = (1..=TIERS).map(|tier| ClassPlan {
        name: format!("tier-{tier}"),
        tier,
        priority: 0,
        first_token: Duration::from_secs(7200),
        guaranteed_share: 0.05,
        preemptible: tier > 2,
    });
    let customers = (0..CUSTOMERS).map(|at| CustomerPlan {
        id: customer(at),
        weight: 1 + (at % 3) as u32,
    });
    PoolPlan {
        endpoints: endpoints.collect(),
        classes: classes.collect(),
        customers: customers.collect(),
    }
}

fn customer(at: usize) -> String {
    format!("customer-{at:06}")
}

fn record(histogram: &mut Histogram<u64>, took: Duration) {
    histogram.saturating_record(u64::try_from(took.as_nanos()).unwrap_or(u64::MAX));
}

fn format_quantiles(histogram: &Histogram<u64>) -> String {
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    format!("{:.1}/{:.1}/{:.1}", at(0.5), at(0.99), at(0.999))
}

/// Prints the memory of an empty pool with all weights, and of each queued request, from the resident pages of the
/// process.
fn print_memory() {
    let before = resident_bytes();
    let opts = Options {
        max_queued: 200_000,
        ..Options::default()
    };
    let mut pool = Pool::new(opts);
    let now = BootTime::from_start(Duration::from_secs(1000));
    pool.apply(now, plan(64));
    let planned = resident_bytes();
    let mut bench = Bench::new(1);
    let base = resident_bytes();
    let requests = 100_000;
    for at in 0..requests {
        let mut req = bench.draw_request();
        req.customer = customer(at % CUSTOMERS);
        pool.offer(now, req);
    }
    let queued = resident_bytes();
    println!(
        "memory: {} KiB for 64 runners and {CUSTOMERS} weights",
        (planned - before) / 1024
    );
    println!(
        "memory: {} bytes a queued ask ({requests} of {CUSTOMERS} customers)",
        (queued - base) / requests as u64
    );
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
