//! Faults at every step, on real processes over the stand-ins.
//!
//! A [`Harness`] is a whole deployment on loopback, with callers that note what they were told. A [`cluster::Cluster`] is one whose every
//! link goes through a relay and whose bounds are short; [`run`] brings requests and changes to a step of the [`matrix`], lets
//! faults strike there, and hands the recorded [`history`] to the invariants of [`check`]. [`load`] does the same to daemons and
//! links while a steady load goes on.

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
