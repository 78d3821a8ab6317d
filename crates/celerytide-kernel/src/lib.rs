//! The micro-kernel of a celerytide process: a service registry and the facilities that every service uses.
//!
//! A daemon consists of a few services on one thread. They are registered by name and looked up when the process
//! starts; afterwards each holds concrete handles, so that requests need no look-up and no virtual call. The kernel
//! provides cancellation, the audit log, request traces, readiness, logging, signal handling and metrics.

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
