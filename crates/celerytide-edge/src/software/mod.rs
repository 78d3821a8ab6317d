//! Which software wrote a stream.
//!
//! Designed for this fault: endpoints of several software versions serve side by side, and a stream that broke off goes on
//! at any of them, so that its caller gets the parts of two versions as one text. What two versions write doesn't fit
//! together, and endpoints don't check it.
//!
//! A [`Software`] stands for a service and a version. The first event of a stream binds it: what goes on, within one
//! response or at a caller's take-up, goes on at this software or not at all.
//!
//! A take-up comes at any instance, also after the death of the one that began the stream. [`Streams`] keeps what began
//! here and what others told: while more than one software of a service serves, or served within the life of a stream,
//! each stream is told to others. [`History`] knows when one software was alone, so that no single stream has to be known.
//! [`decide`] puts together what this instance and others know; in doubt the stream doesn't go on.

mod history;
mod streams;
mod take_up;

use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint, Route};
use xxhash_rust::xxh3::xxh3_64;

pub use history::History;
pub use streams::{StreamEntry, StreamName, Streams, stream_name};
pub use take_up::{Doubt, Knowledge, Replies, decide};

/// Multiple of a route's timeout within which a stream that broke off is taken up, over all tries of its caller.
const LIFE_TIMEOUTS: u32 = 2;
/// Time for which other instances may still begin streams at software that is gone here: they may be cut off.
const LAG: Duration = Duration::from_secs(10);

/// Hash of a service's id and a version of its software.
pub type Software = u32;

/// The software of an endpoint.
pub fn software(endpoint: &Endpoint) -> Software {
    xxh3_64(format!("{}/{}", endpoint.service, endpoint.version).as_bytes()) as Software
}

/// Whether a stream that is bound to `bound`, if any, may go on at an endpoint.
pub fn fits(known: &KnownEndpoint, bound: Option<Software>) -> bool {
    bound.is_none_or(|bound| software(&known.endpoint) == bound)
}

/// Time before now within which a stream of the route that is taken up can have begun, at software that was published.
pub fn window(route: &Route) -> Duration {
    route.timeout * LIFE_TIMEOUTS + LAG
}
