//! The instance that received the request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_http::Payload;
use celerytide_http::server::{Request, ResponsePart};
use celerytide_types::{BootTime, Version, millis, now_boot};
use celerytide_wire::messages::Method;
use celerytide_wire::{Error, Exchange};
use monoio::time::timeout;
use tracing::info;

use super::{BodyPart, PART_BYTES, ProxyReply, ProxyRequest, encode_headers};
use crate::edge::Edge;
use crate::metrics::OutcomeLabel;
use crate::protocol::Protocol;

/// Peers that are asked for one request.
const MAX_ASKED: usize = 3;
/// Longest time for a peer to accept.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the time left that it may take.
const ACCEPT_SHARE: f64 = 0.2;

/// A request that a peer has completely.
pub struct HandedOver {
    /// The peer.
    pub peer: SocketAddr,
    /// The first part of the response; `None` if it didn't come in time or at all, and the request may have run.
    pub first: Option<ResponsePart>,
    ex: Exchange,
    deadline: BootTime,
}

impl HandedOver {
    /// The next part of the response; `None` if none came in time.
    pub async fn next(&mut self) -> Option<ResponsePart> {
        next_part(&mut self.ex, self.deadline).await
    }
}

/// A request that is offered to peers.
pub struct Offer<'a> {
    /// The request.
    pub req: &'a Request,
    /// Its id, for logs.
    pub id: &'a str,
    /// Service for which this instance reaches no endpoint.
    pub service: &'a str,
    /// Attempts that may have run.
    pub attempts: u32,
    /// When it must have its response.
    pub deadline: BootTime,
}

/// Hands the request to a peer; `None` if none takes it, and the request has not run.
pub async fn hand_over<P: Protocol>(edge: &Rc<Edge<P>>, offer: &Offer<'_>) -> Option<HandedOver> {
    for _ in 0..MAX_ASKED {
        let now = now_boot();
        let live = edge.members.borrow().live_peers(now);
        let config = edge.view.borrow().catalog().version();
        let up_to_date = edge.told_configs.borrow().with_version(&live, config);
        let peer = edge.with_reach(offer.service, |reach| {
            reach
                .peers
                .choose(&up_to_date, now)
                .or_else(|| reach.peers.choose(&live, now))
        })?;
        if let Some(handed) = ask(edge, offer, config, peer).await {
            count(edge, "handed-over");
            return Some(handed);
        }
        count(edge, "declined");
        edge.with_reach(offer.service, |reach| reach.peers.note_declined(peer, now_boot()));
    }
    None
}

fn count<P: Protocol>(edge: &Edge<P>, outcome: &'static str) {
    edge.counters.handovers.get_or_create(&OutcomeLabel { outcome }).inc();
}

/// Offers the request to one peer; `None` if the peer doesn't take it, and the request has not run.
async fn ask<P: Protocol>(
    edge: &Rc<Edge<P>>,
    offer: &Offer<'_>,
    config: Version,
    peer: SocketAddr,
) -> Option<HandedOver> {
    match try_ask(edge, offer, config, peer).await {
        Ok(handed) => handed,
        Err(error) => {
            info!(request = offer.id, %peer, %error, "handover: not accepted");
            None
        }
    }
}

/// Offers the request to one peer; `None` if it declined. After an error the request has not run either.
async fn try_ask<P: Protocol>(
    edge: &Rc<Edge<P>>,
    offer: &Offer<'_>,
    config: Version,
    peer: SocketAddr,
) -> Result<Option<HandedOver>, Error> {
    let left = offer.deadline.since(now_boot());
    let accepting = accept(edge, offer, config, peer, left);
    let accepted = timeout(ACCEPT_TIMEOUT.min(left.mul_f64(ACCEPT_SHARE)), accepting).await;
    let Some(mut ex) = accepted.unwrap_or(Err(Error::ConnectTimeout { addr: peer }))? else {
        return Ok(None);
    };
    let mut parts = parts(&offer.req.body).peekable();
    while let Some(part) = parts.next() {
        let is_last = parts.peek().is_none();
        let sent = ex.send(&BodyPart { bytes: part.to_vec() }).await;
        // The peer may have the last part in spite of an error.
        if !is_last {
            sent?;
        }
    }
    let first = next_part(&mut ex, offer.deadline).await;
    Ok(Some(HandedOver {
        peer,
        first,
        ex,
        deadline: offer.deadline,
    }))
}

async fn accept<P: Protocol>(
    edge: &Rc<Edge<P>>,
    offer: &Offer<'_>,
    config: Version,
    peer: SocketAddr,
    left: Duration,
) -> Result<Option<Exchange>, Error> {
    let req = offer.req;
    let head = ProxyRequest {
        method: req.method.to_string(),
        target: req.uri.to_string(),
        headers: encode_headers(&req.headers),
        service: offer.service.to_owned(),
        caller: req.peer,
        left_ms: millis(left),
        attempts: offer.attempts,
        body_bytes: req.body.len() as u64,
        config,
    };
    let mut ex = edge.connections.open(peer, Method::Proxy, &head).await?;
    // An instance of an older version ends the exchange without a reply.
    let reply = ex.recv::<ProxyReply>().await?;
    let is_accepted = match reply {
        Some(ProxyReply::AcceptedAt(version)) => version >= config,
        Some(ProxyReply::Accepted) => edge.told_configs.borrow().has(peer, config),
        _ => false,
    };
    if !is_accepted {
        info!(request = offer.id, %peer, config, ?reply, "handover: the peer doesn't take it by this configuration");
    }
    Ok(is_accepted.then_some(ex))
}

/// Parts of a body, at least one.
fn parts(body: &Payload) -> impl Iterator<Item = Bytes> {
    let split = |segment: &Bytes| {
        let segment = segment.clone();
        let starts = (0..segment.len().max(1)).step_by(PART_BYTES);
        starts.map(move |from| segment.slice(from..segment.len().min(from + PART_BYTES)))
    };
    body.segments().iter().flat_map(split)
}

async fn next_part(ex: &mut Exchange, deadline: BootTime) -> Option<ResponsePart> {
    let received = timeout(deadline.since(now_boot()), ex.recv::<ProxyReply>()).await;
    let part = received.ok()?.ok()??.into_part();
    if part.is_none() {
        info!("handover: a peer's reply is no part of a response");
    }
    part
}
