//! Faults at every step, on real processes over the stand-ins.
//!
//! A [`Rig`] is a whole deployment on loopback, with short bounds, and callers that note what they were told. Checks compare what
//! callers were told with what the stand-ins recorded.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod rig;

pub use rig::{Rig, RigOptions, Told, until};
