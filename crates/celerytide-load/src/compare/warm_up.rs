//! Sends calls through the entries until the pool owner considers every engine as warm.
//!
//! The pool owner sees direct calls as load from other sources, and a cold endpoint with such load gets no requests.
//! Latencies are compared on warm engines, so the engines are warmed up before the direct calls begin.

use std::time::{Duration, Instant};

use celerytide_http::client::{self, Client};
use celerytide_standin::probe;
use celerytide_types::new_request_id;
use futures::future::join_all;
use monoio::{LegacyDriver, RuntimeBuilder};
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::{Error, NotWarmSnafu};
use crate::{
    caller::{self, CallerRequest},
    fleet::Fleet,
};

/// Time for the engines to become warm.
const WARM_TIMEOUT: Duration = Duration::from_secs(60);
/// Concurrent calls per engine and entry.
const CALLS_PER_ENGINE: usize = 4;
const TOKENS: usize = 4;
const PROMPT: &str = "Is the call to warm up over?";
const COLD_STATE: &str = "cold";

#[derive(Deserialize)]
struct Status {
    pools: Vec<PoolStatus>,
}

#[derive(Deserialize)]
struct PoolStatus {
    pool: String,
    status: Endpoints,
}

#[derive(Deserialize)]
struct Endpoints {
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Endpoint {
    state: String,
}

/// Warms up every engine; fails if one stays cold for too long.
pub(super) fn warm_engines(fleet: &Fleet) -> Result<(), Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let deadline = Instant::now() + WARM_TIMEOUT;
    while !all_warm(fleet) {
        if Instant::now() > deadline {
            return NotWarmSnafu.fail();
        }
        runtime.block_on(send_warm_up_calls(fleet));
    }
    Ok(())
}

fn all_warm(fleet: &Fleet) -> bool {
    let service = format!("{}/", fleet.deployment.engines.service);
    let status = |addr| probe::get_json::<Status>(addr, "/status").ok();
    let addrs = fleet.instances.iter().map(|i| i.addresses.dispatch_operator);
    let pools = addrs.filter_map(status).flat_map(|s| s.pools);
    let mut own = pools.filter(|p| p.pool.starts_with(&service)).peekable();
    own.peek().is_some() && own.all(|p| p.status.endpoints.iter().all(|e| e.state != COLD_STATE))
}

async fn send_warm_up_calls(fleet: &Fleet) {
    let client = Client::new(client::Options::default());
    let key = fleet.deployment.customers.first().map(|c| c.key()).unwrap_or_default();
    let cx = CancellationToken::new();
    let entries = fleet.instances.iter().map(|i| i.addresses.caller);
    let requests: Vec<CallerRequest> = entries
        .flat_map(|entry| std::iter::repeat_n(entry, CALLS_PER_ENGINE * fleet.engines.len()))
        .map(|entry| {
            CallerRequest::chat(
                entry,
                &key,
                &new_request_id(),
                &fleet.deployment.engines.model,
                PROMPT,
                Some(TOKENS),
            )
        })
        .collect();
    join_all(requests.iter().map(|req| caller::send(&client, req, &cx, |_| {}))).await;
}
