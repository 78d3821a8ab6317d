//! Gets changes of the store from an instance that reads it, and passes them on to followers.
//!
//! A follower calls its reader, which waits briefly for a newer change before it replies. The reply states the age of the
//! reader's data, so that a follower doesn't mistake silence for the absence of changes. A follower passes on what it
//! hears while that is fresh. The age grows with each step, so that instances that follow each other in a cycle stop
//! counting as fresh.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Change, Position, Snapshot};
use celerytide_types::{BootTime, Millis, data, millis, now_boot};
use celerytide_wire::messages::Method;
use celerytide_wire::{ConnectionPool, Exchange};
use monoio::time::timeout;
use snafu::Snafu;
use tracing::debug;

use super::later_fields::{LaterFields, Slots, or_default};
use crate::edge::{Edge, StoreAccess};
use crate::protocol::Protocol;

/// Age up to which a follower passes on data, as a share of the time in which a change has to be in force.
const RELAYED_SHARE: f64 = 0.75;
/// Time for the reader's reply after its wait.
const REPLY_MARGIN: Duration = Duration::from_millis(400);

data! {
    /// Request from a follower to a reader.
    pub struct FollowRequest {
        /// Position of the follower's view.
        pub position: Position,
        /// How long the reader may wait for something newer.
        pub wait_ms: Millis,
    }

    /// Reply of a reader.
    pub struct FollowReply {
        /// Changes, or why there are none.
        pub result: FollowResult,
        /// Time since the store last responded to the reader.
        pub age_ms: Millis,
        /// How long endpoints without a record are still kept.
        pub removal_delay_ms: Millis,
        /// Later fields of the result; earlier releases don't send them.
        #[serde(deserialize_with = "or_default")]
        pub later: LaterFields,
    }

    /// What is newer than the follower's view.
    pub enum FollowResult {
        /// The instance follows another one and has no fresh data; it reads the store from now on.
        NotYet,
        /// The instance reads the store and can't reach it.
        Lost,
        /// Changes since the follower's position.
        Changes {
            /// Oldest first; empty if nothing is newer.
            changes: Vec<Change>,
            /// Position of the store after them.
            position: Position,
        },
        /// The whole view: the reader no longer has the changes after the follower's position, or that position is of
        /// an earlier era.
        Whole(Snapshot),
    }
}

impl FollowReply {
    /// Sets the later fields of a received reply.
    pub fn restore_later_fields(&mut self) {
        let fields = std::mem::take(&mut self.later);
        Slots::of_result(&mut self.result).restore(fields);
    }
}

/// Why a reader gave no changes.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call failed.
    #[snafu(display("the call failed: {source}"), context(false))]
    Call {
        /// Error of the call.
        source: celerytide_wire::Error,
    },
    /// The reader didn't reply in time.
    #[snafu(display("no reply within {timeout:?}"))]
    TimedOut {
        /// Time limit of the call.
        timeout: Duration,
    },
    /// The instance has no fresh data yet.
    #[snafu(display("the instance isn't reading the store yet"))]
    NotYet,
    /// The instance can't reach the store.
    #[snafu(display("the instance can't reach the store"))]
    Lost,
}

/// Waits at `reader` up to `wait` for something newer than `position`.
pub async fn follow(
    connections: &ConnectionPool,
    reader: SocketAddr,
    position: Position,
    wait: Duration,
) -> Result<FollowReply, Error> {
    let request = FollowRequest {
        position,
        wait_ms: millis(wait),
    };
    let call_timeout = wait + REPLY_MARGIN;
    let called = timeout(
        call_timeout,
        connections.call::<FollowRequest, FollowReply>(reader, Method::Follow, &request),
    )
    .await;
    let mut reply = called.map_err(|_| Error::TimedOut { timeout: call_timeout })??;
    reply.restore_later_fields();
    match reply.result {
        FollowResult::NotYet => Err(Error::NotYet),
        FollowResult::Lost => Err(Error::Lost),
        FollowResult::Changes { .. } | FollowResult::Whole(_) => Ok(reply),
    }
}

/// Serves a follower's call.
pub async fn serve<P: Protocol>(edge: &Rc<Edge<P>>, mut ex: Exchange) {
    let Ok(request) = ex.recv_required::<FollowRequest>().await else {
        return;
    };
    let has_fresh_data = has_fresh_data(edge, now_boot());
    if !has_fresh_data || edge.store_access.get() == StoreAccess::Direct {
        edge.readers.borrow_mut().note_follower(now_boot());
    }
    let changed = edge.changed.notified();
    if has_fresh_data && edge.view.borrow().position() <= request.position {
        // On a timeout the reply reports no change.
        let _ = timeout(Duration::from_millis(request.wait_ms), changed).await;
    }
    if let Err(error) = ex.send_last(&reply(edge, request.position)).await {
        debug!(%error, "peers: changes not sent");
    }
}

/// Whether this instance has fresh data: it reads the store, or follows one that does.
fn has_fresh_data<P: Protocol>(edge: &Edge<P>, now: BootTime) -> bool {
    let max_age = edge.settings.bounds.apply_time().mul_f64(RELAYED_SHARE);
    match edge.store_access.get() {
        StoreAccess::Direct => true,
        StoreAccess::Lost => false,
        StoreAccess::Following => edge.store_responded_at.get().is_some_and(|at| now.since(at) < max_age),
    }
}

fn reply<P: Protocol>(edge: &Edge<P>, position: Position) -> FollowReply {
    let now = now_boot();
    let view = edge.view.borrow();
    let mut result = match edge.store_access.get() {
        StoreAccess::Lost => FollowResult::Lost,
        StoreAccess::Following if !has_fresh_data(edge, now) => FollowResult::NotYet,
        StoreAccess::Following | StoreAccess::Direct => match view.changes_after(position) {
            Some(changes) => FollowResult::Changes {
                changes,
                position: view.position().max(position),
            },
            None => FollowResult::Whole(view.snapshot()),
        },
    };
    FollowReply {
        later: Slots::of_result(&mut result).read(),
        result,
        age_ms: edge.store_responded_at.get().map_or(0, |at| millis(now.since(at))),
        removal_delay_ms: millis(edge.removal_delay(now)),
    }
}
