//! Which peers are asked to serve a request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::BootTime;
use rand::seq::IteratorRandom;

/// Time for which a peer isn't asked again after it declined or wasn't reached.
const DECLINED_TIME: Duration = Duration::from_millis(500);

/// Peers that declined of late.
#[derive(Debug, Default)]
pub struct PeerChoice {
    declined: HashMap<SocketAddr, BootTime>,
}

impl PeerChoice {
    /// A random one of `live` that didn't decline of late.
    pub fn choose(&mut self, live: &[SocketAddr], now: BootTime) -> Option<SocketAddr> {
        self.declined.retain(|_, at| now.since(*at) < DECLINED_TIME);
        let willing = live.iter().filter(|peer| !self.declined.contains_key(peer));
        willing.copied().choose(&mut rand::rng())
    }

    /// Records that a peer declined, or wasn't reached.
    pub fn note_declined(&mut self, peer: SocketAddr, now: BootTime) {
        self.declined.insert(peer, now);
    }
}
