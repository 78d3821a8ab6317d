//! Polls the engines (endpoints of a model service) of owned pools for load reports.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use celerytide_http::client::{Bounds, Call};
use celerytide_manifest::ServiceKind;
use celerytide_policy::LoadReport;
use celerytide_types::{EndpointId, data};
use http::{Method, StatusCode};
use monoio::time::{sleep, timeout};

use crate::dispatch::Dispatch;
use crate::owned_pool::{EndpointAddress, OwnedPool};

/// Largest load report in bytes.
const MAX_REPORT_BYTES: usize = 16 * 1024;
const LOAD_PATH: &str = "/load";

data! {
    /// Body of a load report.
    struct Load {
        running: u32,
        waiting: u32,
        slots: u32,
        started_unix_ms: u64,
        observed_unix_ms: u64,
        cold: Option<bool>,
    }
}

/// Endpoints with a poll under way, so that a slow one isn't polled twice at once.
type Pending = Rc<RefCell<HashSet<EndpointId>>>;

/// Polls every engine of every owned pool until the process ends.
pub async fn run(dispatch: Rc<Dispatch>) {
    let pending = Pending::default();
    while !dispatch.node.abort.is_cancelled() {
        for owned_pool in dispatch.pools.all() {
            if is_model_pool(&dispatch, &owned_pool) {
                fetch_all(&dispatch, &owned_pool, &pending);
            }
        }
        sleep(dispatch.settings.timeouts.report_interval).await;
    }
}

fn is_model_pool(dispatch: &Dispatch, owned_pool: &OwnedPool) -> bool {
    let view = dispatch.node.membership.view();
    let service = owned_pool
        .id
        .rsplit_once('/')
        .map_or(owned_pool.id.as_str(), |(service, _)| service);
    let found = view.manifest.as_ref().and_then(|m| m.service(service).map(|s| s.kind));
    found == Some(ServiceKind::Model)
}

fn fetch_all(dispatch: &Rc<Dispatch>, owned_pool: &Rc<OwnedPool>, pending: &Pending) {
    for EndpointAddress { endpoint, addr } in owned_pool.endpoint_addresses() {
        if !pending.borrow_mut().insert(endpoint.clone()) {
            continue;
        }
        let (dispatch, owned_pool, pending) = (dispatch.clone(), owned_pool.clone(), pending.clone());
        monoio::spawn(async move {
            if let Some(load) = fetch(&dispatch, addr).await {
                dispatch.orders.record_start(&endpoint, load.started_unix_ms);
                owned_pool.report(&endpoint, load);
            }
            pending.borrow_mut().remove(&endpoint);
        });
    }
}

async fn fetch(dispatch: &Dispatch, addr: SocketAddr) -> Option<LoadReport> {
    let limit = dispatch.settings.timeouts.report_timeout;
    let bounds = Bounds {
        connect_timeout: limit,
        first_byte_timeout: limit,
        between_bytes_timeout: limit,
        ..Bounds::default()
    };
    let call = Call {
        bounds,
        ..Call::new(addr, Method::GET, LOAD_PATH)
    };
    let result = timeout(
        limit,
        dispatch
            .node
            .client
            .send_buffered(call, MAX_REPORT_BYTES, &dispatch.node.abort),
    )
    .await;
    let response = result.ok()?.ok().filter(|r| r.status == StatusCode::OK)?;
    let load: Load = serde_json::from_slice(&response.body).ok()?;
    Some(LoadReport {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        started_unix_ms: load.started_unix_ms,
        observed_unix_ms: load.observed_unix_ms,
        cold: load.cold,
    })
}
