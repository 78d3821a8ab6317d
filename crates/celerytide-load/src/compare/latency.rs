//! Measures latencies open loop, counted from the scheduled send time of each request.

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

/// Requests sent within this time from the start are not counted.
const WARM_UP: Duration = Duration::from_secs(1);
const PROMPT: &str = "May unused leave be carried over to the next year?";

celerytide_types::data! {
    /// Latency of direct calls and of calls through an entry.
    pub struct Latency {
        /// Directly to the stand-in.
        pub direct: Quantiles,
        /// Through an entry.
        pub through: Quantiles,
        /// Requests without a complete response, direct and through an entry.
        pub failed: [u64; 2],
        /// Status and cause of the first failure through an entry; empty without a failure.
        pub first_failure: String,
    }
}

pub(super) struct LatencyPair {
    pub first_token: Latency,
    pub between_tokens: Latency,
}

struct Samples {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    failed: u64,
    first_failure: String,
}

impl Samples {
    fn new() -> Self {
        Self {
            first: new_histogram(),
            gaps: new_histogram(),
            failed: 0,
            first_failure: String::new(),
        }
    }

    fn add(&mut self, scheduled_at: Instant, outcome: &CallOutcome) {
        let Some(first) = outcome.first_token_at.filter(|_| outcome.is_done()) else {
            self.failed += 1;
            if self.first_failure.is_empty() {
                self.first_failure = format!("status {}: {}", outcome.status, outcome.cause);
            }
            return;
        };
        record_latency(&mut self.first, first.saturating_duration_since(scheduled_at));
        for gap in &outcome.gaps {
            record_latency(&mut self.gaps, *gap);
        }
    }
}

/// Sends requests for `tokens` tokens directly and through the entries.
pub(super) fn measure(fleet: &Fleet, options: &Options, tokens: usize) -> Result<LatencyPair, Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let [direct, through] = runtime.block_on(send_both(fleet, options, tokens));
    let (direct, through) = (direct.borrow(), through.borrow());
    let latency = |direct_values: &Histogram<u64>, through_values: &Histogram<u64>| Latency {
        direct: Quantiles::of(direct_values),
        through: Quantiles::of(through_values),
        failed: [direct.failed, through.failed],
        first_failure: through.first_failure.clone(),
    };
    Ok(LatencyPair {
        first_token: latency(&direct.first, &through.first),
        between_tokens: latency(&direct.gaps, &through.gaps),
    })
}

async fn send_both(fleet: &Fleet, options: &Options, tokens: usize) -> [Rc<RefCell<Samples>>; 2] {
    let both = [
        Rc::new(RefCell::new(Samples::new())),
        Rc::new(RefCell::new(Samples::new())),
    ];
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
        let scheduled_at = start + at;
        open_loop::sleep_until(scheduled_at).await;
        let req = CallerRequest::chat(
            addr,
            &key,
            &new_request_id(),
            &fleet.deployment.engines.model,
            PROMPT,
            Some(tokens),
        );
        let (client, samples) = (client.clone(), (at >= WARM_UP).then(|| both[side].clone()));
        tasks.push(monoio::spawn(async move {
            let outcome = caller::send(&client, &req, &CancellationToken::new(), |_| {}).await;
            if let Some(samples) = samples {
                samples.borrow_mut().add(scheduled_at, &outcome);
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    both
}

/// Arrivals of both sides, ordered by time; side 0 is direct.
fn schedule(options: &Options) -> Vec<(Duration, usize)> {
    let duration = WARM_UP + options.duration();
    let times_for = |side: usize| {
        let times = open_loop::poisson_arrivals(options.rate, duration, options.seed.wrapping_add(side as u64));
        times.into_iter().map(move |at| (at, side))
    };
    let mut all: Vec<(Duration, usize)> = times_for(0).chain(times_for(1)).collect();
    all.sort_unstable();
    all
}
