//! Calls through an entry until the owner of the pool counts every engine as warm.
//!
//! Direct calls are foreign work to the owner, and a cold endpoint with foreign work gets nothing. Latencies are compared on
//! warm engines, so they are warmed before the direct calls begin.

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

/// How long engines may take to be warm.
const WARM_TIMEOUT: Duration = Duration::from_secs(60);
/// Calls at once for each engine.
const CALLS: usize = 4;
const TOKENS: usize = 4;
const PROMPT: &str = "Is the call to warm up over?";
const COLD: &str = "cold";

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

/// Warms every engine up.
pub(super) fn engines(fleet: &Fleet) -> Result<(), Error> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let until = Instant::now() + WARM_TIMEOUT;
    while !are_warm(fleet) {
        if Instant::now() > until {
            return NotWarmSnafu.fail();
        }
        runtime.block_on(call_all(fleet));
    }
    Ok(())
}

fn are_warm(fleet: &Fleet) -> bool {
    let service = format!("{}/", fleet.deployment.engines.service);
    let status = |addr| probe::get_json::<Status>(addr, "/status").ok();
    let addrs = fleet.instances.iter().map(|i| i.addresses.dispatch_operator);
    let pools = addrs.filter_map(status).flat_map(|s| s.pools);
    let mut own = pools.filter(|p| p.pool.starts_with(&service)).peekable();
    own.peek().is_some() && own.all(|p| p.status.endpoints.iter().all(|e| e.state != COLD))
}

async fn call_all(fleet: &Fleet) {
    let client = Client::new(client::Options::default());
    let key = fleet.deployment.customers.first().map(|c| c.key()).unwrap_or_default();
    let cx = CancellationToken::new();
    let entries = fleet.instances.iter().map(|i| i.addresses.caller);
    let asks: Vec<CallerRequest> = entries
        .flat_map(|entry| std::iter::repeat_n(entry, CALLS * fleet.engines.len()))
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
    join_all(asks.iter().map(|ask| caller::send(&client, ask, &cx, |_| {}))).await;
}
