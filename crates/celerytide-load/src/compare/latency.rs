//! Latencies open loop, counted from the time at which each request was to be sent.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use celerytide_http::client::{self, Client};
use celerytide_types::new_request_id;
use hdrhistogram::Histogram;
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio_util::sync::CancellationToken;

use super::{Error, Options};
use crate::{
    caller::{self, CallOutcome, CallerRequest},
    fleet::Fleet,
    histogram::{Quantiles, new_histogram, record_latency},
    open_loop,
};

/// Requests before this time are sent but not counted.
const WARM_UP: Duration = Duration::from_secs(1);
const PROMPT: &str = "May unused leave be carried over to the next year?";

celerytide_types::data! {
    /// One kind of latency both ways.
    pub struct Latency {
        /// Straight to the stand-in.
        pub direct: Quantiles,
        /// Through an entry.
        pub through: Quantiles,
        /// Requests that were not served whole, direct and through.
        pub failed: [u64; 2],
        /// Causes of the first failure through the entry.
        pub first_failure: String,
    }
}

pub(super) struct Both {
    pub first_token: Latency,
    pub between_tokens: Latency,
}

struct Side {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    failed: u64,
    first_failure: String,
}

impl Side {
    fn new() -> Self {
        Self {
            first: new_histogram(),
            gaps: new_histogram(),
            failed: 0,
            first_failure: String::new(),
        }
    }

    fn add(&mut self, due: Instant, outcome: &CallOutcome) {
        let Some(first) = outcome.first_token_at.filter(|_| outcome.is_done()) else {
            self.failed += 1;
            if self.first_failure.is_empty() {
                self.first_failure = format!("status {}: {}", outcome.status, outcome.cause);
            }
            return;
        };
        record_latency(&mut self.first, first.saturating_duration_since(due));
        for gap in &outcome.gaps {
            record_latency(&mut self.gaps, *gap);
        }
    }
}

/// Sends requests of so many tokens both ways.
pub(super) fn measure(fleet: &Fleet, options: &Options, tokens: usize) -> Result<Both, Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let [direct, through] = runtime.block_on(both_ways(fleet, options, tokens));
    let (direct, through) = (direct.borrow(), through.borrow());
    let latency = |direct_values: &Histogram<u64>, through_values: &Histogram<u64>| Latency {
        direct: Quantiles::of(direct_values),
        through: Quantiles::of(through_values),
        failed: [direct.failed, through.failed],
        first_failure: through.first_failure.clone(),
    };
    Ok(Both {
        first_token: latency(&direct.first, &through.first),
        between_tokens: latency(&direct.gaps, &through.gaps),
    })
}

async fn both_ways(fleet: &Fleet, options: &Options, tokens: usize) -> [Rc<RefCell<Side>>; 2] {
    let sides = [Rc::new(RefCell::new(Side::new())), Rc::new(RefCell::new(Side::new()))];
    let client = Client::new(client::Options::default());
    let key = fleet
        .deployment
        .customers
        .first()
        .map(|customer| customer.key())
        .unwrap_or_default();
    let engines: Vec<SocketAddr> = fleet.engines.iter().map(|engine| engine.info.addr).collect();
    let entries: Vec<SocketAddr> = fleet
        .instances
        .iter()
        .map(|instance| instance.addresses.caller)
        .collect();
    let targets = [engines, entries];
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (i, (at, side)) in schedule(options).into_iter().enumerate() {
        let Some(addr) = targets[side].get(i % targets[side].len().max(1)).copied() else {
            continue;
        };
        let due = start + at;
        open_loop::sleep_until(due).await;
        let ask = CallerRequest::chat(
            addr,
            &key,
            &new_request_id(),
            &fleet.deployment.engines.model,
            PROMPT,
            Some(tokens),
        );
        let (client, counted) = (client.clone(), (at >= WARM_UP).then(|| sides[side].clone()));
        tasks.push(monoio::spawn(async move {
            let outcome = caller::send(&client, &ask, &CancellationToken::new(), |_| {}).await;
            if let Some(side) = counted {
                side.borrow_mut().add(due, &outcome);
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    sides
}

/// Arrivals both ways in one order of time; side 0 is direct.
fn schedule(options: &Options) -> Vec<(Duration, usize)> {
    let span = WARM_UP + options.duration();
    let of = |side: usize| {
        let times = open_loop::poisson_arrivals(options.rate, span, options.seed.wrapping_add(side as u64));
        times.into_iter().map(move |at| (at, side))
    };
    let mut all: Vec<(Duration, usize)> = of(0).chain(of(1)).collect();
    all.sort_unstable();
    all
}
