//! The micro-kernel of a celerytide process.
//!
//! A daemon is a handful of services on one thread. They are registered under a name and find each other by it when
//! the process starts; afterwards each holds concrete handles, so that no request pays for a look-up or a virtual call.
//! The kernel itself gives what every service needs: cancellation, the audit trail, readiness, logs, signals and metrics.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod audit;
pub mod logs;
pub mod metrics;
pub mod readiness;
mod registry;
pub mod signals;
pub mod trace;

pub use registry::{Error, Kernel};
