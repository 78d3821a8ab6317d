//! State that all exchanges of the daemon share, and their routing by method.

use std::rc::Rc;

use celerytide_manifest::DispatchSettings;
use celerytide_node::Node;
use celerytide_wire::messages::Method;
use celerytide_wire::{Exchange, Service};

use crate::metrics::DispatchMetrics;
use crate::orders::Orders;
use crate::pools::Pools;
use crate::{handover, permit};

/// Shared state of the daemon, one per process.
pub struct Dispatch {
    /// Membership, connections and services that every process kind has.
    pub node: Rc<Node>,
    /// Settings of the process.
    pub settings: DispatchSettings,
    /// Pools that this process owns.
    pub pools: Rc<Pools>,
    /// Orders to endpoints.
    pub orders: Orders,
    /// Metrics of the daemon.
    pub metrics: DispatchMetrics,
}

impl Dispatch {
    /// Creates the state and registers its metrics.
    pub fn new(node: Rc<Node>, settings: DispatchSettings) -> Dispatch {
        let metrics = DispatchMetrics::default();
        node.metrics.register(|registry| metrics.register(registry));
        let pools = Rc::new(Pools::new(node.clone(), &settings));
        Dispatch {
            node,
            settings,
            pools,
            orders: Orders::default(),
            metrics,
        }
    }
}

/// Serves exchanges with entry processes and other dispatch processes.
pub struct Peers(pub Rc<Dispatch>);

impl Service for Peers {
    async fn serve(&self, method: Method, ex: Exchange) {
        let dispatch = &self.0;
        match method {
            Method::Permit => permit::serve_permit(dispatch, ex).await,
            Method::Adopt => permit::serve_adopt(dispatch, ex).await,
            Method::Handover => handover::serve(&dispatch.pools, ex).await,
            Method::Gossip | Method::Manifest | Method::Section | Method::Lists => {
                dispatch.node.serve(method, ex).await
            }
            Method::Muster
            | Method::Relay
            | Method::Look
            | Method::Outcomes
            | Method::Peers
            | Method::Follow
            | Method::Streams
            | Method::Proxy => {
                tracing::warn!(?method, "dispatch: unexpected method, meant for another program");
            }
        }
    }
}
