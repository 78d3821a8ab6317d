//! Asks endpoints whose records returned after a removal whether they live and stay.
//!
//! The record of an endpoint that left may come back by a late heartbeat, and that of a live one after the store had lost
//! it. The store tells them apart only with time, in which the service's other endpoints serve. Where more than half of a
//! service's endpoints wait for that, they are asked themselves: a health check answers 200 with the endpoint's id only
//! while the endpoint is healthy and doesn't leave. Half is enough, so that the endpoints are drawn at random, and the
//! instances of a large fleet don't ask them all.

use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::Endpoint;
use celerytide_http::client::{Bounds, Call};
use celerytide_types::now_boot;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Method, StatusCode};
use monoio::time::sleep;
use rand::seq::SliceRandom;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::Edge;
use crate::metrics::OutcomeLabel;
use crate::protocol::Protocol;

/// Endpoints that are asked at a time.
const MAX_ASKED: usize = 8;
/// Time between two rounds of questions; an endpoint that has no slot free refuses the first one.
const INTERVAL: Duration = Duration::from_millis(400);
/// Longest time for the answer, which waits for a slot.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Longest body of an answer, in bytes.
const MAX_BODY: usize = 4096;

/// Asks endpoints that wait for a proof until the process ends.
pub async fn ask_returned<P: Protocol>(edge: Rc<Edge<P>>) {
    loop {
        let asked = edge.view.borrow().to_be_asked(now_boot());
        if !asked.is_empty() {
            ask_all(&edge, asked).await;
            sleep(INTERVAL).await;
            continue;
        }
        let has_doubted = edge.view.borrow().has_doubted(now_boot());
        if has_doubted {
            monoio::select! {
                () = edge.returned.notified() => {}
                () = sleep(INTERVAL) => {}
            }
        } else {
            edge.returned.notified().await;
        }
    }
}

/// Asks the endpoints in a random order until all have been asked, or enough are used again.
async fn ask_all<P: Protocol>(edge: &Rc<Edge<P>>, mut asked: Vec<Rc<Endpoint>>) {
    asked.shuffle(&mut rand::rng());
    let mut asked = asked.into_iter();
    let mut running: FuturesUnordered<_> = asked.by_ref().take(MAX_ASKED).map(|e| ask(edge, e)).collect();
    while let Some((endpoint, is_alive)) = running.next().await {
        if is_alive {
            let update = edge.view.borrow_mut().learn_alive(&endpoint.id, endpoint.start);
            edge.apply_update(&update, "endpoint");
        }
        let now = now_boot();
        let next = asked.by_ref().find(|next| {
            let wanted = edge.view.borrow().to_be_asked(now);
            wanted.iter().any(|known| known.id == next.id)
        });
        running.extend(next.map(|next| ask(edge, next)));
    }
}

/// Whether the endpoint says that it is healthy and doesn't leave.
async fn ask<P: Protocol>(edge: &Rc<Edge<P>>, endpoint: Rc<Endpoint>) -> (Rc<Endpoint>, bool) {
    let service = edge.view.borrow().catalog().service(&endpoint.service).cloned();
    let Some(path) = service.as_ref().and_then(|service| service.health_path.as_deref()) else {
        return (endpoint, false);
    };
    let mut call = Call::new(endpoint.address, Method::GET, path);
    // On a used connection the answer to another request could be taken for this one.
    call.fresh = true;
    call.bounds = Bounds {
        connect_timeout: TIMEOUT,
        first_byte_timeout: TIMEOUT,
        between_bytes_timeout: TIMEOUT,
        head_timeout: TIMEOUT,
        total_timeout: TIMEOUT,
        ..Bounds::default()
    };
    let answer = edge
        .client
        .send_buffered(call, MAX_BODY, &CancellationToken::new())
        .await;
    let id_header = &edge.protocol.header_names().endpoint_id;
    let is_alive = answer.as_ref().is_ok_and(|answer| {
        let id = answer.headers.get(id_header).map(|id| id.as_bytes());
        answer.status == StatusCode::OK && id == Some(endpoint.id.as_bytes())
    });
    let outcome = if is_alive { "alive" } else { "unproven" };
    let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
    info!(
        endpoint = endpoint.id,
        status, outcome, "returned: the endpoint was asked"
    );
    edge.counters
        .asked_endpoints
        .get_or_create(&OutcomeLabel { outcome })
        .inc();
    (endpoint, is_alive)
}
