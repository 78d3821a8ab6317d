//! Which software wrote a stream.
//!
//! Designed for this fault: endpoints of several software versions serve side by side, and a stream that broke off goes on
//! at any of them, so that its caller gets the parts of two versions as one text. What two versions write doesn't fit
//! together, and endpoints don't check it.
//!
//! A [`Software`] stands for a service and a version. The first event of a stream binds it: what goes on, within one
//! response or at a caller's take-up, goes on at this software or not at all.

use celerytide_catalog::{Endpoint, KnownEndpoint};
use xxhash_rust::xxh3::xxh3_64;

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
