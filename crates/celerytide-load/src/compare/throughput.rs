//! Throughput closed loop: as many calls as so many callers can make, one after the other each.

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
    /// What one way carried.
    #[derive(Default)]
    pub struct Load {
        /// Requests that were served whole.
        pub requests: u64,
        /// Requests that were not.
        pub failed: u64,
        /// Requests a second.
        pub requests_per_second: f64,
        /// Tokens a second.
        pub tokens_per_second: f64,
        /// Time from the call to its end.
        pub total: Quantiles,
        /// Cause of the first failure.
        pub first_failure: String,
    }

    /// Throughput both ways, and what one instance used for it.
    pub struct Throughput {
        /// Straight to the stand-ins.
        pub direct: Load,
        /// Through one instance.
        pub through: Load,
        /// Processor time of the entry for each request, in microseconds.
        pub entry_us_per_request: f64,
        /// Processor time of the dispatch process for each request, in microseconds.
        pub dispatch_us_per_request: f64,
        /// Part of a core that the entry used.
        pub entry_core_share: f64,
        /// Part of a core that the dispatch process used.
        pub dispatch_core_share: f64,
        /// Resident memory of the entry at the end, in bytes.
        pub entry_resident_bytes: u64,
        /// Resident memory of the dispatch process at the end, in bytes.
        pub dispatch_resident_bytes: u64,
    }
}

#[derive(Clone)]
struct Work {
    targets: Vec<SocketAddr>,
    key: String,
    model: String,
    path: String,
    tokens: Option<usize>,
    callers: usize,
    span: Duration,
}

impl Work {
    fn ask(&self, caller: usize) -> Option<CallerRequest> {
        let addr = *self.targets.get(caller % self.targets.len().max(1))?;
        let id = new_request_id();
        Some(match self.tokens {
            Some(tokens) => CallerRequest::chat(addr, &self.key, &id, &self.model, PROMPT, Some(tokens)),
            None => CallerRequest::plain(addr, &self.key, &id, Method::GET, &self.path),
        })
    }
}

struct Tally {
    served: u64,
    failed: u64,
    tokens: u64,
    total: Histogram<u64>,
    first_failure: String,
}

/// Plain calls.
pub(super) fn plain(fleet: &Fleet, options: &Options) -> Result<Throughput, Error> {
    let direct = Work {
        targets: fleet.plain_endpoints.iter().map(|plain| plain.info.addr).collect(),
        key: key(fleet),
        model: String::new(),
        path: "/ping".to_owned(),
        tokens: None,
        callers: options.callers,
        span: options.duration(),
    };
    let through = Work {
        targets: entries(fleet),
        path: format!("/services/{}/ping", fleet.deployment.plain.service),
        ..direct.clone()
    };
    both_ways(fleet, options, &direct, &through)
}

/// Streams of so many tokens.
pub(super) fn streamed(fleet: &Fleet, options: &Options, tokens: usize) -> Result<Throughput, Error> {
    let direct = Work {
        targets: fleet.engines.iter().map(|engine| engine.info.addr).collect(),
        key: key(fleet),
        model: fleet.deployment.engines.model.clone(),
        path: String::new(),
        tokens: Some(tokens),
        callers: options.streams,
        span: options.duration(),
    };
    let through = Work {
        targets: entries(fleet),
        ..direct.clone()
    };
    both_ways(fleet, options, &direct, &through)
}

fn key(fleet: &Fleet) -> String {
    fleet
        .deployment
        .customers
        .first()
        .map(|customer| customer.key())
        .unwrap_or_default()
}

fn entries(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet
        .instances
        .iter()
        .map(|instance| instance.addresses.caller)
        .collect()
}

fn both_ways(fleet: &Fleet, options: &Options, direct: &Work, through: &Work) -> Result<Throughput, Error> {
    let direct = drive(direct, options.threads)?;
    let pids: Vec<[u32; 2]> = fleet
        .instances
        .iter()
        .map(|i| [i.entry.pid(), i.dispatch.pid()])
        .collect();
    let usage = |daemon: usize| -> Vec<Usage> { pids.iter().map(|pids| Usage::read(pids[daemon])).collect() };
    let before = [usage(0), usage(1)];
    let start = Instant::now();
    let through = drive(through, options.threads)?;
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

/// Spreads the callers over threads, each with a runtime of its own.
fn drive(work: &Work, threads: usize) -> Result<Load, Error> {
    let threads = threads.max(1);
    let start = Instant::now();
    let spawn = |thread: usize| {
        let work = Work {
            callers: share(work.callers, threads, thread),
            ..work.clone()
        };
        thread::spawn(move || one_thread(&work))
    };
    let running: Vec<_> = (0..threads).map(spawn).collect();
    let mut load = Load::default();
    let mut total = new_histogram();
    let mut tokens = 0;
    for thread in running {
        let tally = thread.join().map_err(|_| Error::Thread)??;
        load.requests += tally.served;
        load.failed += tally.failed;
        tokens += tally.tokens;
        // Both histograms have the same bounds.
        let _ = total.add(&tally.total);
        if load.first_failure.is_empty() {
            load.first_failure = tally.first_failure;
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    load.requests_per_second = load.requests as f64 / seconds;
    load.tokens_per_second = tokens as f64 / seconds;
    load.total = Quantiles::of(&total);
    Ok(load)
}

fn share(all: usize, parts: usize, part: usize) -> usize {
    all / parts + usize::from(part < all % parts)
}

fn one_thread(work: &Work) -> Result<Tally, Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let tally = Rc::new(RefCell::new(Tally {
        served: 0,
        failed: 0,
        tokens: 0,
        total: new_histogram(),
        first_failure: String::new(),
    }));
    runtime.block_on(async {
        let client = Client::new(client::Options::default());
        let until = Instant::now() + work.span;
        let callers = (0..work.callers)
            .map(|caller| monoio::spawn(call_until(until, caller, work.clone(), client.clone(), tally.clone())));
        for caller in callers.collect::<Vec<_>>() {
            caller.await;
        }
    });
    Rc::into_inner(tally).map(RefCell::into_inner).ok_or(Error::Thread)
}

async fn call_until(until: Instant, caller: usize, work: Work, client: Client, tally: Rc<RefCell<Tally>>) {
    while Instant::now() < until {
        let Some(ask) = work.ask(caller) else {
            return;
        };
        let start = Instant::now();
        let outcome = caller::send(&client, &ask, &CancellationToken::new(), |_| {}).await;
        let mut tally = tally.borrow_mut();
        tally.tokens += outcome.tokens as u64;
        if outcome.is_done() {
            tally.served += 1;
            record_latency(&mut tally.total, start.elapsed());
            continue;
        }
        tally.failed += 1;
        if tally.first_failure.is_empty() {
            tally.first_failure = format!("status {}: {}", outcome.status, outcome.cause);
        }
    }
}
