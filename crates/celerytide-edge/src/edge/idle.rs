//! Idle connections to endpoints that state how many connections they accept.
//!
//! An endpoint resets connections beyond that number, whichever instance opens them. The instances together keep at most a
//! share of it idle, each an equal part, so that the rest is left for requests. Where a part is less than one connection,
//! some of the instances keep one.

use celerytide_catalog::KnownEndpoint;
use celerytide_types::{BootTime, rendezvous_weight};

use super::{Edge, IDLE_PER_ENDPOINT};
use crate::protocol::Protocol;

/// Share of the connections that an endpoint accepts that may be idle.
const KEPT_SHARE: f64 = 0.5;

impl<P: Protocol> Edge<P> {
    /// Applies this instance's part of the idle connections by the size of the fleet; closes those beyond it.
    pub fn limit_idle(&self, now: BootTime) {
        let (own, instances) = {
            let members = self.members.borrow();
            (members.own().to_string(), members.assumed_size(now))
        };
        let view = self.view.borrow();
        let limit = |known: &KnownEndpoint| {
            let endpoint = &known.endpoint;
            let accepted = view.catalog().service(&endpoint.service)?.max_connections?;
            let weight = rendezvous_weight(&own, &endpoint.id);
            Some((endpoint.address, idle_part(accepted, instances, weight)))
        };
        self.client
            .set_idle_limits(view.endpoints().filter_map(limit).collect());
    }
}

/// Idle connections of one instance to an endpoint that accepts `accepted` from all; `weight` decides whether it keeps the
/// fraction of one.
fn idle_part(accepted: u32, instances: usize, weight: u64) -> usize {
    let part = f64::from(accepted) * KEPT_SHARE / instances.max(1) as f64;
    let rounded = (part + weight as f64 / u64::MAX as f64).floor();
    (rounded as usize).min(IDLE_PER_ENDPOINT)
}
