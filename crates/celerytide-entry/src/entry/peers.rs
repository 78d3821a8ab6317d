//! Serves exchanges that other celerytide processes open with this entry.

use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::ownership::Admission;
use celerytide_types::Term;
use celerytide_wire::messages::{Ack, Method, TakeoverReply, TakeoverRequest};
use celerytide_wire::{Exchange, Service};
use monoio::time::timeout;

use super::Entry;
use crate::ticket;

/// Longest time for a new owner to adopt all permits of a pool.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Handler of the peer address.
pub struct PeerHandler(pub Rc<Entry>);

impl Service for PeerHandler {
    async fn serve(&self, method: Method, ex: Exchange) {
        let entry = &self.0;
        match method {
            Method::Muster => serve_takeover(entry, ex).await,
            Method::Relay => ticket::serve_relay(entry, ex).await,
            Method::Look => ticket::serve_lookup(entry, ex).await,
            Method::Outcomes => ticket::import_outcomes(entry, ex).await,
            Method::Gossip | Method::Manifest | Method::Section | Method::Lists => entry.node.serve(method, ex).await,
            Method::Permit
            | Method::Adopt
            | Method::Handover
            | Method::Peers
            | Method::Follow
            | Method::Streams
            | Method::Proxy => {
                tracing::warn!(?method, "entry: received a method that only the dispatch serves");
            }
        }
    }
}

/// Serves a takeover: a pool's new owner asks this entry to re-register the pool's permits with it.
async fn serve_takeover(entry: &Entry, mut ex: Exchange) {
    let Ok(takeover) = ex.recv_required::<TakeoverRequest>().await else {
        return;
    };
    let previous_term = entry.permits.highest_term(&takeover.pool);
    let reply = match entry.permits.admit_takeover(&takeover) {
        Admission::Accepted => adopt_all(entry, &takeover, previous_term).await,
        Admission::Older { highest } => refused(Some(highest)),
        Admission::OtherEpoch | Admission::OwnerBehind => refused(None),
    };
    let is_adopted = reply.followed && reply.complete;
    let sent = match is_adopted {
        true => ex.send(&reply).await,
        // The exchange is ended properly, because a reset could overtake the reply.
        false => ex.send_last(&reply).await,
    };
    if sent.is_err() {
        tracing::debug!(pool = takeover.pool, "entry: the owner that takes over is gone");
        return;
    }
    if is_adopted {
        ex.set_background();
        // The exchange stays open while both live; when it breaks, the owner knows that this entry may have restarted.
        let _ = ex.recv::<Ack>().await;
    }
}

async fn adopt_all(entry: &Entry, takeover: &TakeoverRequest, other: Option<Term>) -> TakeoverReply {
    let view = entry.node.membership.view();
    let Some(owner) = view.instance(&takeover.owner).map(|i| i.dispatch_peer) else {
        return owner_unlisted(other);
    };
    entry.permits.set_owner(&takeover.pool, owner);
    let moved = timeout(ADOPT_TIMEOUT, entry.permits.leases().move_all(&takeover.pool, owner)).await;
    let adopted = moved.ok().flatten();
    TakeoverReply {
        followed: true,
        complete: adopted.is_some(),
        other,
        adopted: adopted.unwrap_or(0),
    }
}

/// Reply when the owner isn't in this entry's instance list yet; the owner has to repeat the takeover.
fn owner_unlisted(other: Option<Term>) -> TakeoverReply {
    TakeoverReply {
        followed: true,
        complete: false,
        other,
        adopted: 0,
    }
}

fn refused(other: Option<Term>) -> TakeoverReply {
    TakeoverReply {
        followed: false,
        complete: false,
        other,
        adopted: 0,
    }
}
