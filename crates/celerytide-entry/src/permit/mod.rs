//! Permits: requests one from the pool's owner, and reports progress and the end of the request to the owner.
//!
//! The entry keeps a granted permit as a [`Lease`]: one task and its exchange with the owner, for the life of the
//! request. If the owner is lost or replaced, the task re-registers the permit with the new owner, so that the new
//! owner rebuilds its count of work per endpoint from the entries, which know it. The running request isn't interrupted.

mod client;
mod lease;
mod registry;

pub use client::{PermitClient, PermitError, PermitSpec};
pub use lease::Lease;
pub use registry::LeaseRegistry;
