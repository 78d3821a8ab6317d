//! Whether endpoints are reached: records attempts, and probes while none of a service is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{ServiceId, now_boot};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use rand::seq::IteratorRandom;
use tracing::{debug, info, warn};

use super::Edge;
use crate::peers::digest::id_hash;
use crate::protocol::Protocol;
use crate::reach::{Change, Failure, Reach};

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Protocol> Edge<P> {
    /// Whether no endpoint of the service is reached.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.reach.borrow().get(service).is_some_and(Reach::is_cut_off)
    }

    /// Whether connections to endpoints of the service may have been ended by a cut.
    pub fn may_be_cut_off(&self, service: &str) -> bool {
        let now = now_boot();
        let known = self.view.borrow().usable(service, now).count();
        let reach = self.reach.borrow();
        reach.get(service).is_some_and(|reach| reach.may_be_cut_off(known, now))
    }

    /// Reads or changes what is known of the way to the endpoints of a service.
    pub fn with_reach<T>(&self, service: &str, change: impl FnOnce(&mut Reach) -> T) -> T {
        let mut reach = self.reach.borrow_mut();
        match reach.get_mut(service) {
            Some(known) => change(known),
            None => change(reach.entry(service.to_owned()).or_default()),
        }
    }

    /// Records the head of a response.
    pub fn note_heard(self: &Rc<Self>, service: &str, is_new_connection: bool) {
        let change = match self.reach.borrow_mut().get_mut(service) {
            Some(reach) => reach.note_heard(is_new_connection),
            None => None,
        };
        self.apply_reach(service, change);
    }

    /// Records an attempt that failed without the head of a response.
    pub fn note_unheard(self: &Rc<Self>, service: &str, endpoint: &str, failure: Failure) {
        let now = now_boot();
        let known = self.view.borrow().usable(service, now).count();
        let endpoint = id_hash(endpoint);
        let change = self.with_reach(service, |reach| reach.note_failed(endpoint, failure, known, now));
        self.apply_reach(service, change);
    }

    fn apply_reach(self: &Rc<Self>, service: &str, change: Option<Change>) {
        match change {
            None => return,
            Some(Change::CutOff) => warn!(service, "reach: no endpoint is reached; requests are handed to peers"),
            Some(Change::StillCutOff) => debug!(service, "reach: still no endpoint is reached"),
            Some(Change::Trial) => debug!(service, "reach: an endpoint accepts connections"),
            Some(Change::Open) => info!(service, "reach: endpoints are reached"),
        }
        let is_new = matches!(change, Some(Change::CutOff | Change::StillCutOff));
        if is_new && self.with_reach(service, Reach::begin_probe) {
            monoio::spawn(probe(self.clone(), service.to_owned()));
        }
        let cut_off = self.reach.borrow().values().filter(|reach| reach.is_cut_off()).count();
        self.counters.cut_off.set(cut_off as i64);
    }

    /// Address of a random endpoint of the service that may get requests.
    fn any_endpoint(&self, service: &str) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let usable = view.usable(service, now_boot());
        usable.map(|known| known.endpoint.address).choose(&mut rand::rng())
    }
}

/// Connects to endpoints until one accepts, or a response shows that they are reached.
async fn probe<P: Protocol>(edge: Rc<Edge<P>>, service: ServiceId) {
    let is_connected = connects(&edge, &service).await;
    edge.with_reach(&service, Reach::end_probe);
    if is_connected {
        let change = edge.with_reach(&service, Reach::note_connected);
        edge.apply_reach(&service, change);
    }
}

/// Whether an endpoint accepted a connection before a response showed that they are reached.
async fn connects<P: Protocol>(edge: &Rc<Edge<P>>, service: &str) -> bool {
    loop {
        sleep(PROBE_INTERVAL).await;
        if !edge.is_cut_off(service) {
            return false;
        }
        let Some(endpoint) = edge.any_endpoint(service) else {
            continue;
        };
        if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, TcpStream::connect(endpoint)).await {
            return true;
        }
    }
}
