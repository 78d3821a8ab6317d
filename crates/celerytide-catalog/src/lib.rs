//! What a process knows of routes, customers, endpoints and zones, each with its version and age.
//!
//! A [`View`] is fed with whole [`Snapshot`]s and single [`Change`]s, from the platform's store or from peers. It never
//! goes back: an older position or configuration version is ignored, whoever brings it. Nothing here does I/O.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;
mod view;

pub use config::{Backend, CallerLimits, Catalog, Config, Customer, Kind, Lookup, Route, Service, Urgency};
pub use view::{Change, Endpoint, Era, Known, Position, Restored, Revision, Snapshot, Update, View};
