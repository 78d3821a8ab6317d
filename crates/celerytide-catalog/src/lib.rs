//! View of routes, customers, endpoints and zones as the platform publishes them.
//!
//! A [`View`] is updated with whole [`Snapshot`]s and single [`Change`]s, from the platform's store or from peers. It
//! never goes back: an older position or configuration version is ignored, wherever it comes from. This crate does no
//! I/O.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;
mod view;

pub use config::{Backend, CallerLimits, Catalog, Config, Customer, KeyLookup, Route, RouteKind, Service, Urgency};
pub use view::{
    Change, Endpoint, EndpointStart, Era, Kept, KnownEndpoint, Position, Restored, Revision, Sequence, Snapshot,
    StillOut, Unproven, Update, View,
};
