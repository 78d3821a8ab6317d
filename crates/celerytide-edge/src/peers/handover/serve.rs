//! The peer that serves the request.

use std::rc::Rc;
use std::time::Duration;

use celerytide_http::Payload;
use celerytide_http::server::{HandedBody, HandedPlace, Request, ResponsePart, ResponseParts, responder_in_parts};
use celerytide_types::{Version, millis, now_boot};
use celerytide_wire::{Error, Exchange};
use futures::StreamExt;
use http::header::HeaderValue;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use super::{BodyPart, ProxyReply, ProxyRequest, decode_headers};
use crate::edge::Edge;
use crate::memory::AccountedHandler;
use crate::protocol::Protocol;

/// A request that a peer handed over, with its body.
struct Handed {
    req: Request,
    /// Attempts that may have run before.
    attempts: u32,
    place: HandedPlace,
}

/// What came of a body.
enum Received {
    /// All of it.
    Whole,
    /// There is no memory for the rest.
    NoRoom,
}

/// Serves one request that a peer hands over.
pub async fn serve<P: Protocol>(callers: &Rc<AccountedHandler<P>>, mut ex: Exchange) {
    let Ok(head) = ex.recv_required::<ProxyRequest>().await else {
        return;
    };
    let (body_bytes, attempts, config) = (head.body_bytes, head.attempts, head.config);
    let deadline = now_boot().after(Duration::from_millis(head.left_ms));
    let max_body = callers.edge().limits.get().max_body_bytes as u64;
    let is_taken = body_bytes <= max_body && may_serve(callers.edge(), &head.service, config);
    let request = request(head).filter(|_| is_taken);
    let Some(mut req) = request else {
        return decline(ex).await;
    };
    let Ok(mut body) = callers.open_handed(&req) else {
        return decline(ex).await;
    };
    let accepted = accepted(callers.edge(), config);
    match receive(&mut ex, &mut body, body_bytes, accepted).await {
        Ok(Received::Whole) => {}
        Ok(Received::NoRoom) => return refuse(ex).await,
        Err(error) => return debug!(%error, "handover: the body didn't come"),
    }
    let (payload, place): (Payload, HandedPlace) = body.finish();
    req.body = payload;
    let left = millis(deadline.since(now_boot()));
    let name = &callers.edge().protocol.header_names().deadline_ms;
    req.headers.insert(name.clone(), HeaderValue::from(left));
    respond(callers, ex, Handed { req, attempts, place }).await;
}

/// Whether this instance can serve a request that another one can't, and has the version of the configuration that this
/// takes.
fn may_serve<P: Protocol>(edge: &Edge<P>, service: &str, config: Version) -> bool {
    let now = now_boot();
    let needed = match config {
        0 => edge.newest_told_config(now),
        named => named,
    };
    let own = edge.view.borrow().catalog().version();
    if own < needed {
        info!(own, needed, "handover: declined; the own configuration is older");
        edge.note_newer_config(now);
        return false;
    }
    edge.is_ready() && edge.may_serve(now) && !edge.is_cut_off(service)
}

/// The reply to a request that is taken; earlier releases name no version, and don't know the newer reply.
fn accepted<P: Protocol>(edge: &Edge<P>, config: Version) -> ProxyReply {
    if config == 0 {
        ProxyReply::Accepted
    } else {
        ProxyReply::AcceptedAt(edge.view.borrow().catalog().version())
    }
}

async fn decline(mut ex: Exchange) {
    if let Err(error) = ex.send_last(&ProxyReply::Declined).await {
        debug!(%error, "handover: reply not sent");
    }
}

/// The request without its body; `None` if it isn't valid.
fn request(head: ProxyRequest) -> Option<Request> {
    let headers = decode_headers(head.headers)?;
    Some(Request {
        method: head.method.parse().ok()?,
        uri: head.target.parse().ok()?,
        headers,
        body: Payload::default(),
        peer: head.caller,
    })
}

/// Accepts the request and receives its body.
async fn receive(
    ex: &mut Exchange,
    body: &mut HandedBody,
    body_bytes: u64,
    accepted: ProxyReply,
) -> Result<Received, Error> {
    ex.send(&accepted).await?;
    let mut left = body_bytes;
    loop {
        let part = ex.recv_required::<BodyPart>().await?;
        left = left.checked_sub(part.bytes.len() as u64).ok_or(Error::Ended)?;
        if body.push(&part.bytes).await.is_err() {
            return Ok(Received::NoRoom);
        }
        if left == 0 {
            return Ok(Received::Whole);
        }
    }
}

/// Refuses the request, which has not run, for lack of memory.
async fn refuse(mut ex: Exchange) {
    let (out, parts) = responder_in_parts();
    let refusing = out.refuse_for_memory();
    let (_, sent) = futures::join!(refusing, send(&mut ex, parts));
    if let Err(error) = sent {
        debug!(%error, "handover: refusal not sent");
    }
}

/// Handles the request and sends its response; ends both if the other instance drops the exchange.
async fn respond<P: Protocol>(callers: &Rc<AccountedHandler<P>>, mut ex: Exchange, handed: Handed) {
    let Handed { req, attempts, place } = handed;
    callers.edge().counters.served_for_peers.inc();
    let names = callers.edge().protocol.header_names();
    let id = req.headers.get(&names.request_id).and_then(|id| id.to_str().ok());
    info!(request = id, caller = %req.peer, "handover: serves a request of a peer");
    let (out, parts) = responder_in_parts();
    let gone = CancellationToken::new();
    let handling = place.run(callers.handle_handed(req, attempts, out, gone.clone()));
    let sending = async {
        if let Err(error) = send(&mut ex, parts).await {
            debug!(%error, "handover: response not sent");
        }
        gone.cancel();
    };
    futures::join!(handling, sending);
}

/// Sends the response; fails as soon as the other instance drops the exchange.
async fn send(ex: &mut Exchange, mut parts: ResponseParts) -> Result<(), Error> {
    loop {
        let part = monoio::select! {
            part = parts.next() => part.ok_or(Error::Ended)?,
            // Nothing follows the body: only the end of the exchange ends this wait.
            _ = ex.recv::<BodyPart>() => return Err(Error::Ended),
        };
        let is_last = matches!(part, ResponsePart::Whole { .. } | ResponsePart::End);
        let reply = ProxyReply::from(part);
        if is_last {
            return ex.send_last(&reply).await;
        }
        ex.send(&reply).await?;
    }
}
