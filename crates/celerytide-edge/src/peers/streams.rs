//! Asks other instances what they know of a stream that a caller takes up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{Millis, ServiceId, data, millis, now_boot, rendezvous_weight};
use celerytide_wire::Exchange;
use celerytide_wire::messages::Method;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use monoio::time::timeout;
use tracing::debug;

use super::members::is_large;
use crate::edge::Edge;
use crate::protocol::Protocol;
use crate::software::{Knowledge, Replies, StreamName};

/// Instances to which a stream is told in a large fleet.
const HOLDERS: usize = 3;
/// Instances that are asked in a large fleet: more than are told, since instances differ for a while on who lives.
const ASKED: usize = 5;
/// Longest wait for replies; a live instance replies within milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

data! {
    /// Asks what an instance knows of a stream.
    pub struct StreamRequest {
        /// The stream, if the caller names it.
        pub stream: Option<StreamName>,
        /// Services that may have begun it.
        pub services: Vec<ServiceId>,
        /// Time before now within which it can have begun.
        pub window_ms: Millis,
    }
}

/// The instances among `live` to which a stream is told in a large fleet.
pub fn holders(stream: StreamName, live: &[SocketAddr]) -> Vec<SocketAddr> {
    highest(stream, live, HOLDERS)
}

fn highest(stream: StreamName, live: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let key = stream.to_string();
    let mut ranked: Vec<(u64, SocketAddr)> = live
        .iter()
        .map(|addr| (rendezvous_weight(&key, &addr.to_string()), *addr))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, addr)| addr).collect()
}

/// What others know of a stream; ends early if one of them knows where it began. In a small fleet all are asked.
pub async fn ask<P: Protocol>(edge: &Edge<P>, request: &StreamRequest) -> Replies {
    let live = edge.members.borrow().live_peers(now_boot());
    let count = if is_large(live.len()) { ASKED } else { live.len() };
    let asked = highest(request.stream.unwrap_or_default(), &live, count);
    let mut replies: FuturesUnordered<_> = asked.into_iter().map(|peer| call(edge, peer, request)).collect();
    let mut all = Replies::default();
    while let Some(reply) = replies.next().await {
        match reply {
            Reply::Known(known) => all.known.push(known),
            Reply::Silent => all.silent += 1,
            Reply::Gone => {}
        }
        if matches!(reply, Reply::Known(Knowledge::Begun(_))) {
            break;
        }
    }
    all
}

/// What came of a question to one instance.
#[derive(Clone, Copy)]
enum Reply {
    Known(Knowledge),
    Silent,
    /// Its machine refuses connections: the instance has ended.
    Gone,
}

async fn call<P: Protocol>(edge: &Edge<P>, peer: SocketAddr, request: &StreamRequest) -> Reply {
    let call = edge
        .connections
        .call::<StreamRequest, Knowledge>(peer, Method::Streams, request);
    match timeout(REPLY_TIMEOUT, call).await {
        Ok(Ok(known)) => Reply::Known(known),
        Ok(Err(error)) => {
            debug!(%peer, %error, "peers: a question about a stream failed");
            if error.is_refused() { Reply::Gone } else { Reply::Silent }
        }
        Err(_) => {
            debug!(%peer, "peers: no reply about a stream in time");
            Reply::Silent
        }
    }
}

/// Replies to such a question.
pub async fn serve<P: Protocol>(edge: &Rc<Edge<P>>, mut ex: Exchange) {
    let Ok(request) = ex.recv_required::<StreamRequest>().await else {
        return;
    };
    let window = Duration::from_millis(request.window_ms);
    let known = edge.knowledge(request.stream, &request.services, window, now_boot());
    if let Err(error) = ex.send_last(&known).await {
        debug!(%error, "peers: reply about a stream not sent");
    }
}

impl StreamRequest {
    /// Asks for a stream of `services` that began within `window`, if at all.
    pub fn new(stream: Option<StreamName>, services: Vec<ServiceId>, window: Duration) -> StreamRequest {
        StreamRequest {
            stream,
            services,
            window_ms: millis(window),
        }
    }
}
