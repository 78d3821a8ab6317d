//! Talks to other instances: one call a second to one of them.
//!
//! A call tells who lives and how new this instance's view is. The answer carries the peer's whole view if it is newer
//! and the caller can't read the store itself. It also tells the version of the peer's configuration, and carries that if it
//! is higher and the caller can't tell whether its own is the newest: a store that came back from a copy may list an
//! older one. A view that is behind, or of an earlier era, teaches nothing else.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Config, Position, Snapshot};
use celerytide_types::{BootTime, Millis, Version, data, millis, now_boot};
use celerytide_wire::messages::Method;
use celerytide_wire::{Exchange, Options};
use monoio::time::{sleep, timeout};
use rand::Rng;
use tracing::{debug, info};

use super::members::Heard;
use super::relay;
use crate::edge::{Edge, Reading};
use crate::names::Wire;

/// Pause between two calls while the store answers.
const CALM: Duration = Duration::from_millis(1000);
/// Pause between two calls while it doesn't, or while the instance is new.
const ANXIOUS: Duration = Duration::from_millis(250);
/// Pause while it can't be told whether the configuration is the newest.
const UNSURE: Duration = Duration::from_millis(100);
/// Time after the start in which an instance looks for others.
const YOUNG: Duration = Duration::from_secs(3);
/// Silence of the store after which peers are asked for their view.
const STORE_SILENCE: Duration = Duration::from_millis(1500);
/// Time for one call.
const CALL: Duration = Duration::from_millis(800);
/// Parts of a pause by which it varies.
const SPREAD: f64 = 0.3;

data! {
    /// What one instance tells another.
    pub struct Ask {
        /// Who lives; the sender first.
        pub heard: Vec<Heard>,
        /// Position of the sender's view.
        pub position: Position,
        /// Version of its configuration; 0 if it knows none.
        pub config: Version,
        /// The sender can't read the store and wants a newer view.
        pub wants_view: bool,
        /// The sender can't tell whether its configuration is the newest.
        pub is_unsure: bool,
    }

    /// The answer to [`Ask`].
    pub struct Reply {
        /// Who lives; the answering instance first.
        pub heard: Vec<Heard>,
        /// Its view, if it is newer and wanted.
        pub view: Option<Snapshot>,
        /// For how long endpoints whose entries are gone are still kept.
        pub keep_ms: Millis,
        /// Version of its configuration; 0 if it knows none, or has just started and can't tell.
        pub config: Version,
        /// Its configuration, if that is newer and the asker is unsure.
        pub newer_config: Option<Config>,
    }
}

/// Bounds of connections between instances.
pub fn options() -> Options {
    Options {
        connect: Duration::from_millis(500),
        ping: Duration::from_millis(700),
        silence: Duration::from_millis(1500),
    }
}

/// Talks to other instances until the process ends; at the start to all seeds at once, since some may be down.
pub async fn run<W: Wire>(edge: Rc<Edge<W>>) {
    for seed in edge.members.borrow().seeds() {
        let edge = edge.clone();
        monoio::spawn(async move { call(&edge, seed).await });
    }
    loop {
        sleep(pause(&edge, now_boot()).mul_f64(rand::rng().random_range(1.0 - SPREAD..1.0 + SPREAD))).await;
        let drawn = edge.members.borrow().draw(now_boot());
        if let Some(peer) = drawn {
            call(&edge, peer).await;
        }
    }
}

fn pause<W: Wire>(edge: &Edge<W>, now: BootTime) -> Duration {
    let young = edge.members.borrow().age(now) < YOUNG;
    match () {
        () if !edge.is_sure(now) => UNSURE,
        () if young || store_is_silent(edge, now) => ANXIOUS,
        () => CALM,
    }
}

async fn call<W: Wire>(edge: &Edge<W>, peer: SocketAddr) {
    let now = now_boot();
    let ask = Ask {
        heard: edge.members.borrow().digest(now),
        position: edge.view.borrow().position(),
        config: edge.view.borrow().catalog().version(),
        wants_view: store_is_silent(edge, now),
        is_unsure: !edge.is_sure(now),
    };
    match timeout(CALL, edge.links.call::<Ask, Reply>(peer, Method::Peers, &ask)).await {
        Ok(Ok(reply)) => take(edge, reply),
        Ok(Err(error)) => debug!(%peer, %error, "peers: call failed"),
        Err(_) => debug!(%peer, "peers: no answer in time"),
    }
}

/// Whether the store gives nothing; one that follows a reader hears less often, and finds out by itself when it ends.
fn store_is_silent<W: Wire>(edge: &Edge<W>, now: BootTime) -> bool {
    if edge.reading.get() == Reading::Follows {
        return false;
    }
    edge.store_at.get().is_none_or(|at| now.since(at) > STORE_SILENCE)
}

fn take<W: Wire>(edge: &Edge<W>, reply: Reply) {
    let now = now_boot();
    edge.members.borrow_mut().merge(&reply.heard, now);
    if let Some(config) = reply.newer_config {
        info!(version = config.version, "peers: took the configuration of a peer");
        let update = edge.view.borrow_mut().learn_config(config);
        edge.follow_update(&update, "peer");
    }
    if let Some(view) = reply.view {
        take_view(edge, view, Duration::from_millis(reply.keep_ms), now);
    }
    edge.compare_config(reply.config, now);
}

fn take_view<W: Wire>(edge: &Edge<W>, view: Snapshot, hold: Duration, now: BootTime) {
    // The store may have answered since the question was sent.
    if view.position <= edge.view.borrow().position() {
        return;
    }
    let (era, revision) = (view.position.era, view.position.revision);
    info!(era, revision, "peers: took the view of a peer");
    let update = edge.view.borrow_mut().replace(view, hold, now);
    edge.follow_update(&update, "peer");
}

/// Answers other instances.
pub struct Service<W: Wire>(pub Rc<Edge<W>>);

impl<W: Wire> celerytide_wire::Service for Service<W> {
    async fn serve(&self, method: Method, mut ex: Exchange) {
        match method {
            Method::Peers => {}
            Method::Follow => return relay::serve(&self.0, ex).await,
            _ => return debug!(?method, "peers: method not served here"),
        }
        let Ok(ask) = ex.recv_required::<Ask>().await else {
            return;
        };
        let reply = self.answer(&ask);
        if let Err(error) = ex.send_last(&reply).await {
            debug!(%error, "peers: answer not sent");
        }
    }
}

impl<W: Wire> Service<W> {
    fn answer(&self, ask: &Ask) -> Reply {
        let edge = &self.0;
        let now = now_boot();
        let heard = self.hear(&ask.heard, now);
        let view = edge.view.borrow();
        let version = view.catalog().version();
        let newer = ask.wants_view && view.position() > ask.position;
        let newer_config = view.config().filter(|_| ask.is_unsure && version > ask.config);
        Reply {
            heard,
            view: newer.then(|| view.snapshot()),
            keep_ms: millis(edge.hold(now)),
            config: if edge.serves(now) { version } else { 0 },
            newer_config: newer_config.cloned(),
        }
    }

    /// Takes in who lives by another instance's word; returns this one's.
    fn hear(&self, heard: &[Heard], now: BootTime) -> Vec<Heard> {
        let mut members = self.0.members.borrow_mut();
        members.merge(heard, now);
        if let Some(sender) = heard.first() {
            members.note(sender.address, now);
        }
        members.digest(now)
    }
}
