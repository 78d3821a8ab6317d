//! Takes changes of the store from an instance that reads it, and hands them on to others.
//!
//! One call waits at the reader until it has something newer, or for a moment; its answer says how old the reader's word
//! is, so that a follower never takes silence for calm. An instance that follows a reader hands on what it hears while
//! that is fresh; the age grows with each step, so that instances that follow each other in a ring find out.

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

use crate::edge::{Edge, Reading};
use crate::names::Wire;

/// Age up to which a follower hands on what it heard, as a share of the time in which a change has to be in force.
const RELAYED_SHARE: f64 = 0.75;
/// Time beyond its wait for the answer of a reader.
const ANSWER: Duration = Duration::from_millis(400);

data! {
    /// What a follower asks a reader.
    pub struct Follow {
        /// Position of its view.
        pub position: Position,
        /// How long the reader may wait for something newer.
        pub patience_ms: Millis,
    }

    /// What a reader tells.
    pub struct Told {
        /// News, or none.
        pub news: News,
        /// Time since the store last answered the reader.
        pub age_ms: Millis,
        /// For how long endpoints whose entries are gone are still kept.
        pub keep_ms: Millis,
    }

    /// What is newer than the follower's view.
    pub enum News {
        /// The instance follows another one and heard nothing of late; it reads from now on.
        NotYet,
        /// The instance has lost the store.
        Lost,
        /// Changes in their order.
        Changes {
            /// The changes; none if nothing is newer.
            list: Vec<Change>,
            /// The store's position after them.
            position: Position,
        },
        /// Everything: the reader no longer keeps the changes after the follower's view, or that is of an earlier era.
        Whole(Snapshot),
    }
}

/// A reader gave nothing.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call failed.
    #[snafu(display("the call failed: {source}"), context(false))]
    Call {
        /// Why.
        source: celerytide_wire::Error,
    },
    /// No answer in time.
    #[snafu(display("no answer within {after:?}"))]
    Silent {
        /// The time.
        after: Duration,
    },
    /// It follows another one.
    #[snafu(display("it did not read the store yet"))]
    NotYet,
    /// It can't read the store.
    #[snafu(display("it has lost the store"))]
    Lost,
}

/// Waits at `reader` for up to `wait` for something newer than `position`.
pub async fn follow(
    links: &ConnectionPool,
    reader: SocketAddr,
    position: Position,
    wait: Duration,
) -> Result<Told, Error> {
    let ask = Follow {
        position,
        patience_ms: millis(wait),
    };
    let after = wait + ANSWER;
    let called = timeout(after, links.call::<Follow, Told>(reader, Method::Follow, &ask)).await;
    let told = called.map_err(|_| Error::Silent { after })??;
    match told.news {
        News::NotYet => Err(Error::NotYet),
        News::Lost => Err(Error::Lost),
        News::Changes { .. } | News::Whole(_) => Ok(told),
    }
}

/// Answers a follower.
pub async fn serve<W: Wire>(edge: &Rc<Edge<W>>, mut ex: Exchange) {
    let Ok(ask) = ex.recv_required::<Follow>().await else {
        return;
    };
    let tells = tells(edge, now_boot());
    if !tells || edge.reading.get() == Reading::Reads {
        edge.readers.borrow_mut().asked(now_boot());
    }
    let woken = edge.changed.notified();
    if tells && edge.view.borrow().position() <= ask.position {
        // Without a change the answer says just that.
        let _ = timeout(Duration::from_millis(ask.patience_ms), woken).await;
    }
    if let Err(error) = ex.send_last(&told(edge, ask.position)).await {
        debug!(%error, "peers: changes not sent");
    }
}

/// Whether this instance has something fresh to tell: it reads, or follows one that does.
fn tells<W: Wire>(edge: &Edge<W>, now: BootTime) -> bool {
    let most = edge.settings.bounds.apply().mul_f64(RELAYED_SHARE);
    match edge.reading.get() {
        Reading::Reads => true,
        Reading::Lost => false,
        Reading::Follows => edge.store_at.get().is_some_and(|at| now.since(at) < most),
    }
}

fn told<W: Wire>(edge: &Edge<W>, position: Position) -> Told {
    let now = now_boot();
    let view = edge.view.borrow();
    let news = match edge.reading.get() {
        Reading::Lost => News::Lost,
        Reading::Follows if !tells(edge, now) => News::NotYet,
        Reading::Follows | Reading::Reads => match view.changes_after(position) {
            Some(list) => News::Changes {
                list,
                position: view.position().max(position),
            },
            None => News::Whole(view.snapshot()),
        },
    };
    Told {
        news,
        age_ms: edge.store_at.get().map_or(0, |at| millis(now.since(at))),
        keep_ms: millis(edge.hold(now)),
    }
}
