//! Links of a cluster; each is a route of its relay.

use std::net::SocketAddr;

use celerytide_standin::relay::{self, Mode, RouteState};

use super::{Cluster, ENGINES, INSTANCES};

/// A link into which faults are injected, named after its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Callers to an entry.
    Caller(usize),
    /// Daemons to an entry.
    EntryPeer(usize),
    /// Daemons to a dispatch.
    DispatchPeer(usize),
    /// Daemons of an instance to the configuration service.
    Config(usize),
    /// Entries and dispatches to an engine.
    Engine(usize),
    /// Entries to a plain service.
    Plain(usize),
}

impl Link {
    pub(crate) fn index(self) -> usize {
        match self {
            Link::Caller(index) => index,
            Link::EntryPeer(index) => INSTANCES + index,
            Link::DispatchPeer(index) => 2 * INSTANCES + index,
            Link::Config(index) => 3 * INSTANCES + index,
            Link::Engine(index) => 4 * INSTANCES + index,
            Link::Plain(index) => 4 * INSTANCES + ENGINES + index,
        }
    }

    /// The links of a kind, one for each instance.
    pub fn all_of_kind(kind: impl Fn(usize) -> Link) -> Vec<Link> {
        (0..INSTANCES).map(kind).collect()
    }

    /// Every link to an endpoint.
    pub fn endpoints() -> Vec<Link> {
        let mut all = Link::all_of_kind(Link::Engine);
        all.extend(Link::all_of_kind(Link::Plain));
        all
    }
}

impl Cluster {
    /// Address of the relay at which the link's callers connect.
    pub fn link_addr(&self, link: Link) -> SocketAddr {
        self.routes[link.index()]
    }

    /// Sets how the relay treats bytes on `links`.
    pub fn set_link_mode(&self, links: &[Link], mode: Mode) {
        for link in links {
            let result = relay::set_mode(self.relay.addr(), link.index(), &mode);
            result.expect("the relay of a cluster always answers");
        }
    }

    /// State of every link.
    pub fn link_states(&self) -> Vec<RouteState> {
        relay::routes(self.relay.addr()).expect("the relay of a cluster always answers")
    }

    /// State of one link.
    pub fn link_state(&self, link: Link) -> RouteState {
        self.link_states()[link.index()].clone()
    }

    /// Lets all bytes pass on every link.
    pub fn restore_links(&self) {
        for (index, _) in self.routes.iter().enumerate() {
            let result = relay::set_mode(self.relay.addr(), index, &Mode::Pass);
            result.expect("the relay of a cluster always answers");
        }
    }
}
