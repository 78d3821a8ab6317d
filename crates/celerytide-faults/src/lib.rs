//! Fault injection into real processes that run against the stand-ins.
//!
//! A [`Harness`] starts a complete deployment on loopback and sends requests to it. A [`cluster::Cluster`] is a deployment with
//! short timeouts whose every link passes through a relay, so that links can be cut, stalled or reset. [`run`] holds requests or a
//! configuration change at a step of the [`matrix`], injects faults there, and checks the recorded [`history`] against the
//! invariants of [`check`]. [`load`] disrupts daemons and links under a steady load and checks the same invariants.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod batch;
pub mod check;
pub mod cluster;
mod harness;
pub mod history;
pub mod load;
pub mod matrix;
pub mod render;
pub mod run;

pub use celerytide_load::caller::CallOutcome;
pub use harness::{Harness, HarnessOptions, wait_until};
