//! Versions of the configuration that other instances tell in exchanges.
//!
//! What an instance told last counts, also if it is less than before: a process that has started again may have an older
//! configuration than the one before it.

use std::collections::HashMap;
use std::net::SocketAddr;

use celerytide_types::Version;

use super::members::Instances;

/// The version that each instance told last.
#[derive(Debug, Default)]
pub struct ToldConfigs {
    by_peer: HashMap<SocketAddr, Version>,
}

impl ToldConfigs {
    /// Records what `peer` tells, and forgets all others that aren't `live`.
    pub fn record(&mut self, peer: SocketAddr, version: Version, live: &[SocketAddr]) {
        self.by_peer.retain(|known, _| live.contains(known));
        self.by_peer.insert(peer, version);
    }

    /// Whether `peer` has told this version or a newer one.
    pub fn has(&self, peer: SocketAddr, version: Version) -> bool {
        self.by_peer.get(&peer).is_some_and(|told| *told >= version)
    }

    /// Those of `live` that have told this version or a newer one.
    pub fn with_version(&self, live: &[SocketAddr], version: Version) -> Instances {
        live.iter().copied().filter(|peer| self.has(*peer, version)).collect()
    }

    /// The newest version that one of `live` has told; 0 if none has.
    pub fn newest(&self, live: &[SocketAddr]) -> Version {
        let told = live.iter().filter_map(|peer| self.by_peer.get(peer));
        told.copied().max().unwrap_or_default()
    }
}
