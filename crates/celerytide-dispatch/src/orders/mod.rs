//! Orders to endpoints: load a model, an adapter or a version, or take a role.
//!
//! The orders of an endpoint are a pure function of the manifest, so that two owners send the same ones, and each
//! carries the manifest's version as its fencing number. Only a settled owner sends orders; for an endpoint that
//! doesn't refuse old numbers, only after `UNFENCED_WAIT`. An order is repeated only if it failed, if the manifest
//! changed it, or if the endpoint restarted. Loads are sent one after the other, because the weight store is limited in
//! rate.

mod endpoint_orders;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_http::client::Call;
use celerytide_kernel::audit::Kind;
use celerytide_manifest::{Manifest, Order, OrderKind};
use celerytide_membership::ownership::OwnershipState;
use celerytide_types::{BootTime, EndpointId, InstanceId, PoolId, Version, data, now_boot};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, StatusCode};
use monoio::time::sleep;

use crate::dispatch::Dispatch;
use crate::owned_pool::{EndpointAddress, OwnedPool};
use endpoint_orders::{EndpointOrders, SendOutcome};

/// Time between two checks for due orders.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two orders of one process to load something.
const LOAD_GAP: Duration = Duration::from_millis(500);
/// Time for which an owner has to be settled before it sends orders to an endpoint that doesn't refuse old numbers.
const UNFENCED_WAIT: Duration = Duration::from_secs(5);
/// Largest response to an order in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
const ORDERS_PATH: &str = "/orders";

data! {
    /// Body of an order.
    struct Message {
        kind: OrderKind,
        name: String,
        number: Version,
        sender: InstanceId,
    }
}

/// Orders sent by this process.
#[derive(Default)]
pub struct Orders {
    by_endpoint: RefCell<HashMap<EndpointId, EndpointOrders>>,
    /// Time since which this process has been the settled owner of each pool.
    settled: RefCell<HashMap<PoolId, BootTime>>,
}

/// Orders to be sent to an endpoint.
struct DueOrders {
    endpoint: EndpointId,
    addr: SocketAddr,
    orders: Vec<Order>,
    number: Version,
}

impl Orders {
    /// Records the start time of an endpoint's process. A new start time makes its orders due again.
    pub fn record_start(&self, endpoint: &str, started_unix_ms: u64) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        by_endpoint
            .entry(endpoint.to_owned())
            .or_default()
            .record_start(started_unix_ms);
    }

    fn settled_since(&self, owned_pool: &OwnedPool, ownership_state: OwnershipState) -> Option<BootTime> {
        let mut settled = self.settled.borrow_mut();
        if ownership_state != OwnershipState::Settled {
            settled.remove(&owned_pool.id);
            return None;
        }
        Some(*settled.entry(owned_pool.id.clone()).or_insert_with(now_boot))
    }
}

/// Sends every due order until the process stops.
pub async fn run(dispatch: Rc<Dispatch>) {
    while !dispatch.node.stop.is_cancelled() {
        for due in all_due(&dispatch) {
            send_due(&dispatch, due).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn all_due(dispatch: &Dispatch) -> Vec<DueOrders> {
    let view = dispatch.node.membership.view();
    let Some(manifest) = &view.manifest else {
        return Vec::new();
    };
    let owned_pools = dispatch.pools.all();
    owned_pools
        .iter()
        .flat_map(|owned_pool| due_in_pool(dispatch, manifest, owned_pool))
        .collect()
}

fn due_in_pool(dispatch: &Dispatch, manifest: &Manifest, owned_pool: &OwnedPool) -> Vec<DueOrders> {
    let ownership_state = dispatch.pools.ownership_state(&owned_pool.id);
    let Some(since) = dispatch.orders.settled_since(owned_pool, ownership_state) else {
        return Vec::new();
    };
    let settled_for = now_boot().since(since);
    let addresses = owned_pool.endpoint_addresses().into_iter();
    let due = addresses.filter_map(|address| due_for_endpoint(dispatch, manifest, address, settled_for));
    due.collect()
}

fn due_for_endpoint(
    dispatch: &Dispatch,
    manifest: &Manifest,
    address: EndpointAddress,
    settled_for: Duration,
) -> Option<DueOrders> {
    let EndpointAddress { endpoint, addr } = address;
    let orders: Vec<Order> = manifest
        .orders
        .iter()
        .filter(|o| o.endpoint == endpoint)
        .cloned()
        .collect();
    if orders.is_empty() {
        return None;
    }
    let specs = manifest.services.iter().flat_map(|s| &s.endpoints);
    let fenced = specs.into_iter().find(|e| e.id == endpoint).is_some_and(|e| e.fenced);
    if !fenced && settled_for < UNFENCED_WAIT {
        return None;
    }
    let mut by_endpoint = dispatch.orders.by_endpoint.borrow_mut();
    let is_due = by_endpoint
        .entry(endpoint.clone())
        .or_default()
        .is_due(&orders, now_boot());
    let number = manifest.version;
    is_due.then_some(DueOrders {
        endpoint,
        addr,
        orders,
        number,
    })
}

async fn send_due(dispatch: &Dispatch, due: DueOrders) {
    let mut outcome = SendOutcome::Accepted;
    for order in &due.orders {
        outcome = send_order(dispatch, &due, order).await;
        let detail = format!("{} {}: {}", kind_name(order.kind), order.name, outcome.as_str());
        dispatch
            .node
            .audit
            .record(Kind::Order, &due.endpoint, &detail, due.number);
        if outcome != SendOutcome::Accepted {
            break;
        }
        if order.kind != OrderKind::SetRole {
            sleep(LOAD_GAP).await;
        }
    }
    let mut by_endpoint = dispatch.orders.by_endpoint.borrow_mut();
    by_endpoint
        .entry(due.endpoint)
        .or_default()
        .record(due.orders, outcome, now_boot());
}

async fn send_order(dispatch: &Dispatch, due: &DueOrders, order: &Order) -> SendOutcome {
    let message = Message {
        kind: order.kind,
        name: order.name.clone(),
        number: due.number,
        sender: dispatch.node.instance.clone(),
    };
    let body = Bytes::from(serde_json::to_vec(&message).unwrap_or_default());
    let mut call = Call {
        body: body.into(),
        fresh: true,
        ..Call::new(due.addr, Method::POST, ORDERS_PATH)
    };
    call.headers
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match dispatch
        .node
        .client
        .send_buffered(call, MAX_ANSWER_BYTES, &dispatch.node.abort)
        .await
    {
        Ok(response) if response.status.is_success() => SendOutcome::Accepted,
        Ok(response) if response.status == StatusCode::CONFLICT => SendOutcome::RefusedAsOld,
        Ok(_) | Err(_) => SendOutcome::Failed,
    }
}

fn kind_name(kind: OrderKind) -> &'static str {
    match kind {
        OrderKind::LoadModel => "load-model",
        OrderKind::LoadAdapter => "load-adapter",
        OrderKind::LoadVersion => "load-version",
        OrderKind::SetRole => "set-role",
    }
}
