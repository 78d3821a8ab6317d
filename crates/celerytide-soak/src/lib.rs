//! Soak test: random faults on routers as real processes, checked against the guarantees to callers and endpoints.
//!
//! A seed draws a plan of overlapping faults: routers are paused, killed, stopped, restarted or told to reload their settings;
//! connections are cut, silenced or reset; runners and the store misbehave; runners leave; configurations and zones change.
//! Callers send requests throughout and reuse their connections. The guarantees are checked over what was seen on sockets.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod check;
pub mod plan;
pub mod run;
pub mod testbed;
