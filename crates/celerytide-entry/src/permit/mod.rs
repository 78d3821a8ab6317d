//! Permits: asks the pool's owner for one, and keeps the owner told while the request runs.
//!
//! A permit is an exchange with the owner. One task holds it for the life of the request. If the owner is lost or replaced the
//! task takes the permit to the new owner, so that the counter of work per endpoint is rebuilt from those who know it: the
//! entries. The request itself goes on undisturbed.

mod acquire;
mod lease;
mod leases;

pub use acquire::{Acquire, Denied, Wanted};
pub use lease::Lease;
pub use leases::Leases;
