//! Load generator and experiments with stand-in endpoints.
//!
//! [`fleet`] starts a whole deployment on loopback: the configuration service, the endpoints and the daemons of each
//! instance, each as a separate process. [`caller`] sends single requests. [`demo`] demonstrates a deployment, [`run`]
//! runs a scenario open loop, and [`compare`] measures the overhead against direct calls.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod caller;
pub mod compare;
pub mod demo;
pub mod fleet;
pub mod histogram;
pub mod machine;
pub mod open_loop;
pub mod report;
pub mod run;
pub mod scenario;
pub mod signals;
