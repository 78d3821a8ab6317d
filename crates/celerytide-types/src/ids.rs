//! Aliases for ids and scalar quantities, and functions that generate or compare them.

use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One machine that runs celerytide processes; stable across restarts.
pub type InstanceId = String;
/// One run of a process; chosen at random at its start, never zero.
pub type Incarnation = u64;
/// Availability zone.
pub type ZoneId = String;
/// Region, which contains availability zones.
pub type RegionId = String;
/// A server to which requests are sent: an engine (model server) or a replica of a plain HTTP service.
pub type EndpointId = String;
/// A group of equivalent endpoints, under the name that callers use.
pub type ServiceId = String;
/// A part of a service's endpoints with exactly one owner: `service/index`.
pub type PoolId = String;
/// A class of requests, as named in the manifest.
pub type ClassName = String;
/// A customer, as named in the manifest.
pub type CustomerId = String;
/// A request, as named to callers and in logs.
pub type RequestId = String;
/// A permit; unique within one incarnation of a dispatch process.
pub type PermitId = u64;
/// A ticket for an at-most-once action.
pub type TicketId = String;
/// Service tier: 1 is the highest.
pub type Tier = u8;
/// A version number, which only increases.
pub type Version = u64;
/// SHA-256 of a published document in hex.
pub type Digest = String;
/// A duration in milliseconds, as sent in messages.
pub type Millis = u64;

/// Generates an incarnation for a starting process.
pub fn new_incarnation() -> Incarnation {
    rand::rng().random_range(1..=u64::MAX)
}

/// Generates a request id: `req-` and 24 hex digits.
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

/// Converts a duration to whole milliseconds, saturating.
pub fn millis(duration: Duration) -> Millis {
    duration.as_millis().try_into().unwrap_or(Millis::MAX)
}
