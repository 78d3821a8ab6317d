//! What entry and dispatch processes share: kernel services, membership, gossip, detection of unreachable owners, start
//! and stop.
//!
//! A [`Node`] is one process among its peers. It keeps its views of the manifest, the instances and the endpoints up to
//! date from the configuration service and from peers, serves them to peers, and records every change in the audit
//! trail.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod failure_detector;
mod gossip;
mod start;
mod tick;

pub use start::{Error, HttpSnafu, Identity, Node, Role, ViewTiming, listen, run_process};

use celerytide_membership::Instance;
use std::net::SocketAddr;

/// Peer address of the process with that role on `instance`.
pub fn peer_address(role: Role, instance: &Instance) -> SocketAddr {
    match role {
        Role::Entry => instance.entry_peer,
        Role::Dispatch => instance.dispatch_peer,
    }
}
