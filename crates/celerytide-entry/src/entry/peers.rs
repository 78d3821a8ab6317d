//! Exchanges that our other processes open with this entry.

use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::ownership::Admitted;
use celerytide_types::Term;
use celerytide_wire::messages::{Ack, Method, Muster, MusterReply};
use celerytide_wire::{Exchange, Service};
use monoio::time::timeout;

use super::Entry;
use crate::ticket;

/// Time for a new owner to adopt all permits of a pool.
const MOVE_TIME: Duration = Duration::from_secs(2);

/// Serves our other processes.
pub struct Peers(pub Rc<Entry>);

impl Service for Peers {
    async fn serve(&self, method: Method, ex: Exchange) {
        let entry = &self.0;
        match method {
            Method::Muster => muster(entry, ex).await,
            Method::Relay => ticket::serve_relay(entry, ex).await,
            Method::Look => ticket::serve_look(entry, ex).await,
            Method::Outcomes => ticket::take_in_outcomes(entry, ex).await,
            Method::Gossip | Method::Manifest | Method::Section | Method::Lists => entry.node.serve(method, ex).await,
            Method::Permit | Method::Adopt | Method::Handover | Method::Peers | Method::Follow => {
                tracing::warn!(?method, "entry: a method for another program came here");
            }
        }
    }
}

async fn muster(entry: &Entry, mut ex: Exchange) {
    let Ok(muster) = ex.recv_required::<Muster>().await else {
        return;
    };
    let former = entry.acquire.followed(&muster.pool);
    let mustered = match entry.acquire.mustered(&muster) {
        Admitted::Yes => adopted(entry, &muster, former).await,
        Admitted::Older { highest } => refused(Some(highest)),
        Admitted::OtherLife | Admitted::Behind => refused(None),
    };
    let follows = mustered.followed && mustered.complete;
    let sent = match follows {
        true => ex.send(&mustered).await,
        // Ended properly: a reset could overtake the answer.
        false => ex.send_last(&mustered).await,
    };
    if sent.is_err() {
        tracing::debug!(pool = muster.pool, "entry: the mustering owner is gone");
        return;
    }
    if follows {
        ex.set_background();
        // Open for as long as the owner lives: its end tells the owner that this entry may have restarted.
        let _ = ex.recv::<Ack>().await;
    }
}

async fn adopted(entry: &Entry, muster: &Muster, other: Option<Term>) -> MusterReply {
    let view = entry.node.membership.view();
    let Some(owner) = view.instance(&muster.owner).map(|i| i.dispatch_peer) else {
        return unlisted(other);
    };
    entry.acquire.go_to(&muster.pool, owner);
    let moved = timeout(MOVE_TIME, entry.acquire.leases().move_all(&muster.pool, owner)).await;
    let adopted = moved.ok().flatten();
    MusterReply {
        followed: true,
        complete: adopted.is_some(),
        other,
        adopted: adopted.unwrap_or(0),
    }
}

/// The owner is not in this entry's list yet: it has to call again.
fn unlisted(other: Option<Term>) -> MusterReply {
    MusterReply {
        followed: true,
        complete: false,
        other,
        adopted: 0,
    }
}

fn refused(other: Option<Term>) -> MusterReply {
    MusterReply {
        followed: false,
        complete: false,
        other,
        adopted: 0,
    }
}
