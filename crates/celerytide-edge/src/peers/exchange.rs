//! Exchanges views with other instances: one call per second, to one of them.
//!
//! A call reports the sender's live peers and the position of its view. The reply includes the peer's whole view if
//! that is newer and the sender can't read the store itself. It also states the version of the peer's configuration,
//! and includes the configuration if it is newer and the sender doesn't know whether its own is current: a restored
//! store may list an older one. Each reply says what the peer keeps in spite of such a list or of a late write. A view that
//! is behind, or of an earlier era, changes nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Config, EndpointStart, Kept, Position, Snapshot};
use celerytide_types::{BootTime, Millis, Version, data, millis, now_boot};
use celerytide_wire::messages::Method;
use celerytide_wire::{Exchange, Options};
use monoio::time::{sleep, timeout};
use rand::Rng;
use rand::seq::IteratorRandom;
use tracing::{debug, info};

use super::later_fields::{LaterFields, RemovedStart, Slots, or_default};
use super::members::PeerEntry;
use super::{handover, relay, streams};
use crate::edge::{Edge, StoreAccess};
use crate::memory::AccountedHandler;
use crate::protocol::Protocol;

/// Interval between calls while the store responds.
const INTERVAL: Duration = Duration::from_millis(1000);
/// Interval while the store doesn't respond, or while the instance is new.
const FAST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval while it isn't known whether the configuration is the newest.
const UNCERTAIN_INTERVAL: Duration = Duration::from_millis(100);
/// Time after startup during which an instance looks for others.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Silence of the store after which peers are asked for their view.
const STORE_SILENCE: Duration = Duration::from_millis(1500);
/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Random variation of an interval, as a share of it.
const JITTER: f64 = 0.3;

data! {
    /// Request from one instance to another.
    pub struct ExchangeRequest {
        /// Live instances; the sender comes first.
        pub live: Vec<PeerEntry>,
        /// Position of the sender's view.
        pub position: Position,
        /// Version of its configuration; 0 if it has none.
        pub config: Version,
        /// Whether the sender can't read the store and wants a newer view.
        pub wants_view: bool,
        /// Whether the sender wants a newer configuration: it doesn't know if its own is the newest, or it has known for long
        /// that it isn't.
        pub is_config_uncertain: bool,
    }

    /// Reply to [`ExchangeRequest`].
    pub struct ExchangeReply {
        /// Live instances; the replying instance comes first.
        pub live: Vec<PeerEntry>,
        /// Its view, if newer and wanted.
        pub view: Option<Snapshot>,
        /// How long endpoints without a record are still kept.
        pub removal_delay_ms: Millis,
        /// Version of its configuration; 0 if it has none, or has just started and can't tell whether it is current.
        pub config: Version,
        /// Its configuration, if newer and the sender is uncertain of its own.
        pub newer_config: Option<Config>,
        /// What its view keeps although the store says otherwise; earlier releases don't send it.
        #[serde(deserialize_with = "or_default")]
        pub kept: Kept,
        /// Later fields of what is above; earlier releases don't send them.
        #[serde(deserialize_with = "or_default")]
        pub later: LaterFields,
    }
}

impl ExchangeReply {
    fn slots(&mut self) -> Slots<'_> {
        Slots::of_reply(self.view.as_mut(), self.newer_config.as_mut(), &mut self.kept)
    }

    /// Adds the later fields, for sending it.
    pub fn with_later_fields(mut self) -> ExchangeReply {
        self.later = self.slots().read();
        self
    }

    /// Sets the later fields of a received reply.
    pub fn restore_later_fields(&mut self) {
        let fields = std::mem::take(&mut self.later);
        self.slots().restore(fields);
    }
}

/// Timeouts of connections between instances.
pub fn options() -> Options {
    Options {
        connect: Duration::from_millis(500),
        ping: Duration::from_millis(700),
        ping_timeout: Duration::from_millis(1500),
    }
}

/// Calls other instances until the process ends; at startup it calls all seeds at once, since some may be down.
pub async fn run<P: Protocol>(edge: Rc<Edge<P>>) {
    for seed in edge.members.borrow().seeds() {
        let edge = edge.clone();
        monoio::spawn(async move { call(&edge, seed).await });
    }
    loop {
        let pause = interval(&edge, now_boot()).mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER));
        monoio::select! {
            () = sleep(pause) => {}
            () = edge.config_wanted.notified() => {}
        }
        if let Some(peer) = next_peer(&edge, now_boot()) {
            call(&edge, peer).await;
        }
        edge.limit_idle(now_boot());
    }
}

/// The next instance to call: one that has told a newer configuration if that is wanted.
fn next_peer<P: Protocol>(edge: &Edge<P>, now: BootTime) -> Option<SocketAddr> {
    let members = edge.members.borrow();
    if edge.is_config_behind(now) && edge.wants_config(now) {
        let newer = edge.view.borrow().catalog().version() + 1;
        let told = edge.told_configs.borrow().with_version(&members.live_peers(now), newer);
        if let Some(peer) = told.into_iter().choose(&mut rand::rng()) {
            return Some(peer);
        }
    }
    members.choose_peer(now)
}

fn interval<P: Protocol>(edge: &Edge<P>, now: BootTime) -> Duration {
    let is_new = edge.members.borrow().age(now) < STARTUP_TIME;
    match () {
        () if !edge.is_config_current(now) => UNCERTAIN_INTERVAL,
        () if is_new || store_is_silent(edge, now) || edge.wants_config(now) => FAST_INTERVAL,
        () => INTERVAL,
    }
}

async fn call<P: Protocol>(edge: &Edge<P>, peer: SocketAddr) {
    let now = now_boot();
    let request = ExchangeRequest {
        live: edge.members.borrow().entries_for_peer(now),
        position: edge.view.borrow().position(),
        config: edge.view.borrow().catalog().version(),
        wants_view: store_is_silent(edge, now),
        is_config_uncertain: edge.wants_config(now),
    };
    match timeout(
        CALL_TIMEOUT,
        edge.connections
            .call::<ExchangeRequest, ExchangeReply>(peer, Method::Peers, &request),
    )
    .await
    {
        Ok(Ok(reply)) => {
            edge.note_told_config(peer, reply.config, now);
            apply_reply(edge, reply, now);
        }
        Ok(Err(error)) => debug!(%peer, %error, "peers: call failed"),
        Err(_) => debug!(%peer, "peers: no reply in time"),
    }
}

/// Whether the store is silent. Never true for a follower, which hears of the store less often and notices itself that
/// its reader fails.
fn store_is_silent<P: Protocol>(edge: &Edge<P>, now: BootTime) -> bool {
    if edge.store_access.get() == StoreAccess::Following {
        return false;
    }
    edge.store_responded_at
        .get()
        .is_none_or(|at| now.since(at) > STORE_SILENCE)
}

fn apply_reply<P: Protocol>(edge: &Edge<P>, mut reply: ExchangeReply, asked_at: BootTime) {
    let now = now_boot();
    let removed = std::mem::take(&mut reply.later.removed);
    reply.restore_later_fields();
    edge.members.borrow_mut().merge(&reply.live, now);
    if let Some(config) = reply.newer_config {
        info!(
            version = config.version,
            "peers: applied a newer configuration of a peer"
        );
        let update = edge.view.borrow_mut().learn_config(config);
        edge.apply_update(&update, "peer");
    }
    if let Some(view) = reply.view {
        apply_view(edge, view, Duration::from_millis(reply.removal_delay_ms), now);
    }
    let removed = removed.into_iter().map(EndpointStart::from).collect();
    edge.view.borrow_mut().learn_removed(removed, now);
    let update = edge.view.borrow_mut().learn_kept(reply.kept, asked_at);
    edge.apply_update(&update, "peer");
    edge.compare_config(reply.config, now);
}

fn apply_view<P: Protocol>(edge: &Edge<P>, view: Snapshot, removal_delay: Duration, now: BootTime) {
    // The store may have responded since the request was sent.
    if view.position <= edge.view.borrow().position() {
        return;
    }
    let (era, revision) = (view.position.era, view.position.revision);
    info!(era, revision, "peers: applied a newer view of a peer");
    let update = edge.view.borrow_mut().replace(view, removal_delay, now);
    edge.apply_update(&update, "peer");
}

/// Serves calls of other instances.
pub struct Service<P: Protocol> {
    /// State of the process.
    pub edge: Rc<Edge<P>>,
    /// Handler of requests that are handed over.
    pub callers: Rc<AccountedHandler<P>>,
}

impl<P: Protocol> celerytide_wire::Service for Service<P> {
    async fn serve(&self, method: Method, mut ex: Exchange) {
        match method {
            Method::Peers => {}
            Method::Follow => return relay::serve(&self.edge, ex).await,
            Method::Streams => return streams::serve(&self.edge, ex).await,
            Method::Proxy => return handover::serve(&self.callers, ex).await,
            _ => return debug!(?method, "peers: unsupported method"),
        }
        let Ok(request) = ex.recv_required::<ExchangeRequest>().await else {
            return;
        };
        let reply = self.build_reply(&request);
        if let Err(error) = ex.send_last(&reply).await {
            debug!(%error, "peers: reply not sent");
        }
    }
}

impl<P: Protocol> Service<P> {
    fn build_reply(&self, request: &ExchangeRequest) -> ExchangeReply {
        let edge = &self.edge;
        let now = now_boot();
        let live = self.merge_live(&request.live, now);
        if let Some(sender) = request.live.first() {
            edge.note_told_config(sender.address, request.config, now);
        }
        let view = edge.view.borrow();
        let version = view.catalog().version();
        let sends_view = request.wants_view && view.position() > request.position;
        let newer_config = view
            .config()
            .filter(|_| request.is_config_uncertain && version > request.config);
        let removed = request.is_config_uncertain.then(|| view.recently_removed(now));
        let reply = ExchangeReply {
            live,
            view: sends_view.then(|| view.snapshot()),
            removal_delay_ms: millis(edge.removal_delay(now)),
            config: if edge.may_serve(now) { version } else { 0 },
            newer_config: newer_config.cloned(),
            kept: view.kept(now),
            later: LaterFields::default(),
        };
        let mut reply = reply.with_later_fields();
        reply.later.removed = removed.into_iter().flatten().map(RemovedStart::from).collect();
        reply
    }

    /// Merges the sender's entries; returns this instance's own.
    fn merge_live(&self, live: &[PeerEntry], now: BootTime) -> Vec<PeerEntry> {
        let mut members = self.edge.members.borrow_mut();
        members.merge(live, now);
        if let Some(sender) = live.first() {
            members.record_contact(sender.address, now);
        }
        members.entries_for_peer(now)
    }
}
