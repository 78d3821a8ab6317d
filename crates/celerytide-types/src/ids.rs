//! Aliases for ids and the few functions that make or compare them.

use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One machine of ours, stable across restarts.
pub type InstanceId = String;
/// One life of one process; drawn at start, never zero.
pub type Incarnation = u64;
/// Availability zone.
pub type ZoneId = String;
/// Region; holds availability zones.
pub type RegionId = String;
/// A back end: one model engine or one replica of a plain service.
pub type EndpointId = String;
/// A named group of equal endpoints, as callers know it.
pub type ServiceId = String;
/// A share of a service's endpoints with exactly one owner: `service/index`.
pub type PoolId = String;
/// A class of requests, as the manifest names it.
pub type ClassName = String;
/// A customer, as the manifest names it.
pub type CustomerId = String;
/// A request as callers and logs know it.
pub type RequestId = String;
/// A permit; unique within one dispatch incarnation.
pub type PermitId = u64;
/// A ticket for an at-most-once action.
pub type TicketId = String;
/// Service tier: 1 is the highest.
pub type Tier = u8;
/// A version that only grows.
pub type Version = u64;
/// Hex SHA-256 of a published document.
pub type Digest = String;
/// Milliseconds, where a message carries a time span.
pub type Millis = u64;

/// Draws an incarnation for a starting process.
pub fn new_incarnation() -> Incarnation {
    rand::rng().random_range(1..=u64::MAX)
}

/// Draws a request id: `req-` and 24 hex digits.
pub fn new_request_id() -> RequestId {
    let high: u64 = rand::rng().random();
    let low: u32 = rand::rng().random();
    format!("req-{high:016x}{low:08x}")
}

/// Rendezvous weight of `node` for `key`: the node with the highest weight owns the key.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Whole milliseconds of a time span; the most there are if it is longer.
pub fn millis(span: Duration) -> Millis {
    span.as_millis().try_into().unwrap_or(Millis::MAX)
}
