//! Measures throughput closed loop: a fixed number of callers, each of which sends one call after the other.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use celerytide_http::client::{self, Client};
use celerytide_types::new_request_id;
use hdrhistogram::Histogram;
use http::Method;
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

use super::{Error, Options};
use crate::{
    caller::{self, CallerRequest},
    fleet::Fleet,
    histogram::{Quantiles, new_histogram, record_latency},
    machine::Usage,
};

const PROMPT: &str = "Summarise the clause on parental leave.";
const NANOS_PER_MICRO: f64 = 1e3;

celerytide_types::data! {
    /// Load served directly or through an instance.
    #[derive(Default)]
    pub struct Load {
        /// Requests with a complete response.
        pub requests: u64,
        /// Requests without a complete response.
        pub failed: u64,
        /// Requests per second.
        pub requests_per_second: f64,
        /// Tokens per second.
        pub tokens_per_second: f64,
        /// Time from sending a request to the end of its response.
        pub total: Quantiles,
        /// Status and cause of the first failure; empty without a failure.
        pub first_failure: String,
    }

    /// Throughput of direct calls and of calls through one instance, with the resources that the instance used.
    pub struct Throughput {
        /// Directly to the stand-ins.
        pub direct: Load,
        /// Through one instance.
        pub through: Load,
        /// Processor time of the entry process per request, in microseconds.
        pub entry_us_per_request: f64,
        /// Processor time of the dispatch process per request, in microseconds.
        pub dispatch_us_per_request: f64,
        /// Fraction of a core that the entry process used.
        pub entry_core_share: f64,
        /// Fraction of a core that the dispatch process used.
        pub dispatch_core_share: f64,
        /// Resident memory of the entry process at the end, in bytes.
        pub entry_resident_bytes: u64,
        /// Resident memory of the dispatch process at the end, in bytes.
        pub dispatch_resident_bytes: u64,
    }
}

#[derive(Clone)]
struct Workload {
    targets: Vec<SocketAddr>,
    key: String,
    model: String,
    path: String,
    tokens: Option<usize>,
    callers: usize,
    duration: Duration,
}

impl Workload {
    fn build_request(&self, caller: usize) -> Option<CallerRequest> {
        let addr = *self.targets.get(caller % self.targets.len().max(1))?;
        let id = new_request_id();
        Some(match self.tokens {
            Some(tokens) => CallerRequest::chat(addr, &self.key, &id, &self.model, PROMPT, Some(tokens)),
            None => CallerRequest::plain(addr, &self.key, &id, Method::GET, &self.path),
        })
    }
}

struct ThreadStats {
    served: u64,
    failed: u64,
    tokens: u64,
    total: Histogram<u64>,
    first_failure: String,
}

/// Measures plain calls.
pub(super) fn plain(fleet: &Fleet, options: &Options) -> Result<Throughput, Error> {
    let direct = Workload {
        targets: fleet.plain_endpoints.iter().map(|plain| plain.info.addr).collect(),
        key: first_key(fleet),
        model: String::new(),
        path: "/ping".to_owned(),
        tokens: None,
        callers: options.callers,
        duration: options.duration(),
    };
    let through = Workload {
        targets: entry_addresses(fleet),
        path: format!("/services/{}/ping", fleet.deployment.plain.service),
        ..direct.clone()
    };
    measure_both(fleet, options, &direct, &through)
}

/// Measures streams of `tokens` tokens.
pub(super) fn streamed(fleet: &Fleet, options: &Options, tokens: usize) -> Result<Throughput, Error> {
    let direct = Workload {
        targets: fleet.engines.iter().map(|engine| engine.info.addr).collect(),
        key: first_key(fleet),
        model: fleet.deployment.engines.model.clone(),
        path: String::new(),
        tokens: Some(tokens),
        callers: options.streams,
        duration: options.duration(),
    };
    let through = Workload {
        targets: entry_addresses(fleet),
        ..direct.clone()
    };
    measure_both(fleet, options, &direct, &through)
}

fn first_key(fleet: &Fleet) -> String {
    fleet
        .deployment
        .customers
        .first()
        .map(|customer| customer.key())
        .unwrap_or_default()
}

fn entry_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet
        .instances
        .iter()
        .map(|instance| instance.addresses.caller)
        .collect()
}

fn measure_both(fleet: &Fleet, options: &Options, direct: &Workload, through: &Workload) -> Result<Throughput, Error> {
    let direct = run_threads(direct, options.threads)?;
    let pids: Vec<[u32; 2]> = fleet
        .instances
        .iter()
        .map(|i| [i.entry.pid(), i.dispatch.pid()])
        .collect();
    let usage = |daemon: usize| -> Vec<Usage> { pids.iter().map(|pids| Usage::read(pids[daemon])).collect() };
    let before = [usage(0), usage(1)];
    let start = Instant::now();
    let through = run_threads(through, options.threads)?;
    let seconds = start.elapsed().as_secs_f64();
    let after = [usage(0), usage(1)];
    let used = |daemon: usize| -> Duration {
        after[daemon]
            .iter()
            .zip(&before[daemon])
            .map(|(after, before)| after.since(before))
            .sum()
    };
    let resident = |daemon: usize| after[daemon].iter().map(|usage| usage.resident_bytes).sum();
    let per_request = |used: Duration| used.as_nanos() as f64 / NANOS_PER_MICRO / through.requests.max(1) as f64;
    Ok(Throughput {
        entry_us_per_request: per_request(used(0)),
        dispatch_us_per_request: per_request(used(1)),
        entry_core_share: used(0).as_secs_f64() / seconds,
        dispatch_core_share: used(1).as_secs_f64() / seconds,
        entry_resident_bytes: resident(0),
        dispatch_resident_bytes: resident(1),
        direct,
        through,
    })
}

/// Distributes the callers over threads, each with its own runtime, and sums up their results.
fn run_threads(workload: &Workload, threads: usize) -> Result<Load, Error> {
    let threads = threads.max(1);
    let start = Instant::now();
    let spawn = |thread: usize| {
        let workload = Workload {
            callers: split_evenly(workload.callers, threads, thread),
            ..workload.clone()
        };
        thread::spawn(move || run_thread(&workload))
    };
    let running: Vec<_> = (0..threads).map(spawn).collect();
    let mut load = Load::default();
    let mut total = new_histogram();
    let mut tokens = 0;
    for thread in running {
        let stats = thread.join().map_err(|_| Error::Thread)??;
        load.requests += stats.served;
        load.failed += stats.failed;
        tokens += stats.tokens;
        // Both histograms have the same bounds.
        let _ = total.add(&stats.total);
        if load.first_failure.is_empty() {
            load.first_failure = stats.first_failure;
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    load.requests_per_second = load.requests as f64 / seconds;
    load.tokens_per_second = tokens as f64 / seconds;
    load.total = Quantiles::of(&total);
    Ok(load)
}

fn split_evenly(total: usize, parts: usize, part: usize) -> usize {
    total / parts + usize::from(part < total % parts)
}

fn run_thread(workload: &Workload) -> Result<ThreadStats, Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let stats = Rc::new(RefCell::new(ThreadStats {
        served: 0,
        failed: 0,
        tokens: 0,
        total: new_histogram(),
        first_failure: String::new(),
    }));
    runtime.block_on(async {
        let client = Client::new(client::Options::default());
        let deadline = Instant::now() + workload.duration;
        let callers = (0..workload.callers).map(|caller| {
            monoio::spawn(run_caller(
                deadline,
                caller,
                workload.clone(),
                client.clone(),
                stats.clone(),
            ))
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await;
        }
    });
    Rc::into_inner(stats).map(RefCell::into_inner).ok_or(Error::Thread)
}

async fn run_caller(
    deadline: Instant,
    caller: usize,
    workload: Workload,
    client: Client,
    stats: Rc<RefCell<ThreadStats>>,
) {
    while Instant::now() < deadline {
        let Some(req) = workload.build_request(caller) else {
            return;
        };
        let start = Instant::now();
        let outcome = caller::send(&client, &req, &CancellationToken::new(), |_| {}).await;
        let mut stats = stats.borrow_mut();
        stats.tokens += outcome.tokens as u64;
        if outcome.is_done() {
            stats.served += 1;
            record_latency(&mut stats.total, start.elapsed());
            continue;
        }
        stats.failed += 1;
        if stats.first_failure.is_empty() {
            stats.first_failure = format!("status {}: {}", outcome.status, outcome.cause);
        }
    }
}
