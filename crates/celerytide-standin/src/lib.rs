//! Small stand-ins for engines, plain services, the configuration service and the published lists.
//!
//! Each stand-in is one process of the binary `celerytide-standin`. It fakes an interface, not a cluster: it answers
//! real sockets, keeps its own small state, and obeys faults that the test side sends to its control paths (all of
//! them start with `/__`). [`launch`] starts the processes and [`probe`] talks to their control paths.

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
