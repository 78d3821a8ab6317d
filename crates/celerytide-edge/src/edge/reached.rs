//! Whether endpoints are reached: records attempts, and probes while none is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::now_boot;
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use rand::seq::IteratorRandom;
use tracing::{info, warn};

use super::Edge;
use crate::peers::digest::id_hash;
use crate::protocol::Protocol;
use crate::reach::{Change, Failure};

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Protocol> Edge<P> {
    /// Records the head of a response.
    pub fn note_heard(self: &Rc<Self>, is_new_connection: bool) {
        let change = self.reach.borrow_mut().note_heard(is_new_connection);
        self.apply_reach(change);
    }

    /// Records an attempt that failed without the head of a response.
    pub fn note_unheard(self: &Rc<Self>, endpoint: &str, failure: Failure) {
        let now = now_boot();
        let known = self.view.borrow().all_usable(now).count();
        let endpoint = id_hash(endpoint);
        let change = self.reach.borrow_mut().note_failed(endpoint, failure, known, now);
        self.apply_reach(change);
    }

    fn apply_reach(self: &Rc<Self>, change: Option<Change>) {
        match change {
            None => return,
            Some(Change::CutOff) => {
                warn!("reach: no endpoint is reached; requests are handed to peers");
                monoio::spawn(probe(self.clone()));
            }
            Some(Change::Trial) => info!("reach: an endpoint accepts connections; requests are tried here again"),
            Some(Change::Open) => info!("reach: endpoints are reached"),
        }
        let is_cut_off = self.reach.borrow().is_cut_off();
        self.counters.cut_off.set(i64::from(is_cut_off));
    }

    /// Address of a random endpoint that may get requests.
    fn any_endpoint(&self) -> Option<SocketAddr> {
        let now = now_boot();
        let view = self.view.borrow();
        view.all_usable(now)
            .map(|known| known.endpoint.address)
            .choose(&mut rand::rng())
    }
}

/// Connects to endpoints until one accepts, or a response shows that they are reached.
async fn probe<P: Protocol>(edge: Rc<Edge<P>>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        if !edge.reach.borrow().is_cut_off() {
            return;
        }
        let Some(endpoint) = edge.any_endpoint() else {
            continue;
        };
        if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, TcpStream::connect(endpoint)).await {
            let change = edge.reach.borrow_mut().note_connected();
            return edge.apply_reach(change);
        }
    }
}
