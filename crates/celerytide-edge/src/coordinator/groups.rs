//! Groups of engines and their coordinators, computed alike by all instances with the same view.

use std::net::SocketAddr;

use celerytide_types::rendezvous_weight;

/// Number of a group within its service.
pub type GroupIndex = u16;

/// Mean number of engines in a group. More engines even out the load better; fewer keep a decision cheap and divide the
/// coordination of a large service among more instances.
pub const ENGINES_PER_GROUP: usize = 16;
/// Most instances that are ranked for a group: the first one coordinates it, the others replace it in this order.
const MAX_RANKED: usize = 4;

/// Number of groups of a service with this many engines.
pub fn group_count(engines: usize) -> GroupIndex {
    let count = engines.div_ceil(ENGINES_PER_GROUP).max(1);
    count.try_into().unwrap_or(GroupIndex::MAX)
}

/// Group of an endpoint. A change of `count` by one moves few endpoints.
pub fn group_of(endpoint: &str, count: GroupIndex) -> GroupIndex {
    let weight = |group: &GroupIndex| rendezvous_weight(endpoint, &group.to_string());
    (0..count.max(1)).max_by_key(weight).unwrap_or_default()
}

/// The endpoint at which prompts with this key are expected to be cached.
pub fn home<'a>(key: &str, endpoints: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    endpoints.max_by_key(|id| rendezvous_weight(key, id))
}

/// The first of `instances` in the order in which they coordinate the group.
pub fn coordinators(service: &str, group: GroupIndex, instances: &[SocketAddr]) -> Vec<SocketAddr> {
    let key = format!("{service}/{group}");
    let weight = |addr: &SocketAddr| rendezvous_weight(&key, &addr.to_string());
    let mut ranked: Vec<(u64, SocketAddr)> = instances.iter().map(|addr| (weight(addr), *addr)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(MAX_RANKED).map(|(_, addr)| addr).collect()
}
