//! Asks the model engines of owned pools for their load.

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
use crate::slot::{Address, Slot};

/// Largest report in bytes.
const MAX_REPORT_BYTES: usize = 16 * 1024;
const LOAD_PATH: &str = "/load";

data! {
    /// What an engine reports.
    struct Load {
        running: u32,
        waiting: u32,
        slots: u32,
        started_unix_ms: u64,
        observed_unix_ms: u64,
        cold: Option<bool>,
    }
}

type Asked = Rc<RefCell<HashSet<EndpointId>>>;

/// Asks every engine of every owned pool, until the process ends.
pub async fn run(dispatch: Rc<Dispatch>) {
    let asked = Asked::default();
    while !dispatch.node.abort.is_cancelled() {
        for slot in dispatch.pools.all() {
            if is_model_pool(&dispatch, &slot) {
                ask_all(&dispatch, &slot, &asked);
            }
        }
        sleep(dispatch.settings.timeouts.report_interval).await;
    }
}

fn is_model_pool(dispatch: &Dispatch, slot: &Slot) -> bool {
    let view = dispatch.node.membership.view();
    let service = slot
        .id
        .rsplit_once('/')
        .map_or(slot.id.as_str(), |(service, _)| service);
    let found = view.manifest.as_ref().and_then(|m| m.service(service).map(|s| s.kind));
    found == Some(ServiceKind::Model)
}

fn ask_all(dispatch: &Rc<Dispatch>, slot: &Rc<Slot>, asked: &Asked) {
    for Address { endpoint, addr } in slot.addresses() {
        if !asked.borrow_mut().insert(endpoint.clone()) {
            continue;
        }
        let (dispatch, slot, asked) = (dispatch.clone(), slot.clone(), asked.clone());
        monoio::spawn(async move {
            if let Some(load) = ask(&dispatch, addr).await {
                dispatch.orders.started(&endpoint, load.started_unix_ms);
                slot.report(&endpoint, load);
            }
            asked.borrow_mut().remove(&endpoint);
        });
    }
}

async fn ask(dispatch: &Dispatch, addr: SocketAddr) -> Option<LoadReport> {
    let within = dispatch.settings.timeouts.report_timeout;
    let bounds = Bounds {
        connect: within,
        first_byte: within,
        between_bytes: within,
        ..Bounds::default()
    };
    let call = Call {
        bounds,
        ..Call::new(addr, Method::GET, LOAD_PATH)
    };
    let asked = timeout(
        within,
        dispatch
            .node
            .client
            .send_buffered(call, MAX_REPORT_BYTES, &dispatch.node.abort),
    )
    .await;
    let whole = asked.ok()?.ok().filter(|w| w.status == StatusCode::OK)?;
    let load: Load = serde_json::from_slice(&whole.body).ok()?;
    Some(LoadReport {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        started_unix_ms: load.started_unix_ms,
        observed_unix_ms: load.observed_unix_ms,
        cold: load.cold,
    })
}
