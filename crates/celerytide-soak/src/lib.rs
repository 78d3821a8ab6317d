//! Random faults against routers as real processes, and the checks of what callers and endpoints saw.
//!
//! A seed draws a plan: processes stopped, killed, ended and started again, settings read again, connections cut, silenced and
//! reset, runners and the store that misbehave, runners that leave, configurations and zones that change. Faults overlap.
//! Callers send all the while and keep using open connections. Promises are checked over what was seen on sockets.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod check;
pub mod plan;
pub mod run;
pub mod testbed;
