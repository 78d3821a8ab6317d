//! Orders to endpoints: load a model, an adapter or a version, take a role.
//!
//! What an endpoint is ordered is a pure function of the manifest, so that two owners want the same thing, and each order bears
//! the manifest's version as its fencing number. Only a settled owner orders; an endpoint that doesn't refuse old numbers
//! has to wait until the owner has been settled for longer. An order is repeated only if it failed, if the
//! manifest changed it, or if the endpoint started anew. Loads take turns, because the weight store has a rate.

mod given;

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
use crate::slot::{Address, Slot};
use given::{Given, Told};

/// Time between looks at what is due.
const LOOK: Duration = Duration::from_millis(250);
/// Time between two orders of one process to load something.
const LOAD_GAP: Duration = Duration::from_millis(500);
/// A settled owner waits this much longer before it orders an endpoint that doesn't refuse old numbers.
const UNFENCED_WAIT: Duration = Duration::from_secs(5);
/// Largest answer to an order in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
const ORDERS_PATH: &str = "/orders";

data! {
    /// An order as endpoints take it.
    struct Message {
        kind: OrderKind,
        name: String,
        number: Version,
        sender: InstanceId,
    }
}

/// Orders of one process.
#[derive(Default)]
pub struct Orders {
    given: RefCell<HashMap<EndpointId, Given>>,
    settled: RefCell<HashMap<PoolId, BootTime>>,
}

/// What an endpoint shall be told next.
struct Due {
    endpoint: EndpointId,
    addr: SocketAddr,
    orders: Vec<Order>,
    number: Version,
}

impl Orders {
    /// Notes when an endpoint's process started; a new start makes its orders due again.
    pub fn started(&self, endpoint: &str, started_unix_ms: u64) {
        let mut given = self.given.borrow_mut();
        given.entry(endpoint.to_owned()).or_default().started(started_unix_ms);
    }

    fn settled_since(&self, slot: &Slot, standing: OwnershipState) -> Option<BootTime> {
        let mut settled = self.settled.borrow_mut();
        if standing != OwnershipState::Settled {
            settled.remove(&slot.id);
            return None;
        }
        Some(*settled.entry(slot.id.clone()).or_insert_with(now_boot))
    }
}

/// Gives every order that is due, until the process stops.
pub async fn run(dispatch: Rc<Dispatch>) {
    while !dispatch.node.stop.is_cancelled() {
        for due in all_due(&dispatch) {
            give(&dispatch, due).await;
        }
        sleep(LOOK).await;
    }
}

fn all_due(dispatch: &Dispatch) -> Vec<Due> {
    let view = dispatch.node.membership.view();
    let Some(manifest) = &view.manifest else {
        return Vec::new();
    };
    let slots = dispatch.pools.all();
    slots.iter().flat_map(|slot| due_in(dispatch, manifest, slot)).collect()
}

fn due_in(dispatch: &Dispatch, manifest: &Manifest, slot: &Slot) -> Vec<Due> {
    let standing = dispatch.pools.standing(&slot.id);
    let Some(since) = dispatch.orders.settled_since(slot, standing) else {
        return Vec::new();
    };
    let settled_for = now_boot().since(since);
    let addresses = slot.addresses().into_iter();
    let due = addresses.filter_map(|at| due_at(dispatch, manifest, at, settled_for));
    due.collect()
}

fn due_at(dispatch: &Dispatch, manifest: &Manifest, at: Address, settled_for: Duration) -> Option<Due> {
    let Address { endpoint, addr } = at;
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
    let mut given = dispatch.orders.given.borrow_mut();
    let is_due = given.entry(endpoint.clone()).or_default().is_due(&orders, now_boot());
    let number = manifest.version;
    is_due.then_some(Due {
        endpoint,
        addr,
        orders,
        number,
    })
}

async fn give(dispatch: &Dispatch, due: Due) {
    let mut told = Told::All;
    for order in &due.orders {
        told = send(dispatch, &due, order).await;
        let what = format!("{} {}: {}", kind_name(order.kind), order.name, told.as_str());
        dispatch
            .node
            .audit
            .record(Kind::Order, &due.endpoint, &what, due.number);
        if told != Told::All {
            break;
        }
        if order.kind != OrderKind::SetRole {
            sleep(LOAD_GAP).await;
        }
    }
    let mut given = dispatch.orders.given.borrow_mut();
    given
        .entry(due.endpoint)
        .or_default()
        .told(due.orders, told, now_boot());
}

async fn send(dispatch: &Dispatch, due: &Due, order: &Order) -> Told {
    let message = Message {
        kind: order.kind,
        name: order.name.clone(),
        number: due.number,
        sender: dispatch.node.instance.clone(),
    };
    let body = Bytes::from(serde_json::to_vec(&message).unwrap_or_default());
    let mut call = Call {
        body,
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
        Ok(answer) if answer.status.is_success() => Told::All,
        Ok(answer) if answer.status == StatusCode::CONFLICT => Told::RefusedAsOld,
        Ok(_) | Err(_) => Told::Failed,
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
