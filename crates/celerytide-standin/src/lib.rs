//! Test doubles for engines, plain services, the configuration service, the service lists and the network.
//!
//! Each stand-in is one process of the binary `celerytide-standin`. It implements an interface, not a cluster: it
//! serves real sockets, keeps a small state of its own, and applies the faults that tests send to its control paths,
//! which all start with `/__`. [`launch`] starts the processes, [`probe`] sends requests to their control paths, and
//! [`platform`] has stand-ins that run inside the test process.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod config;
pub mod daemon;
pub mod engine;
pub mod fault;
pub mod launch;
pub mod plain;
pub mod platform;
pub mod probe;
pub mod relay;
mod respond;
mod sockets;
