//! Open-loop load and experiments over stand-ins.
//!
//! [`fleet`] starts a whole deployment on loopback: the configuration service, endpoints, and every instance's daemons as
//! separate processes. [`caller`] sends requests as callers do. [`demo`] shows one; further modules measure.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod caller;
pub mod compare;
pub mod demo;
pub mod fleet;
pub mod machine;
pub mod measure;
pub mod pace;
pub mod report;
pub mod run;
pub mod scenario;
pub mod signals;
