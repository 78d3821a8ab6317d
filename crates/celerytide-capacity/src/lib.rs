//! Capacity measurements: growth of state, messages, processor time and memory with the size, on real processes.
//!
//! Each subcommand of `celerytide-capacity` runs stand-ins and daemons at several sizes, fits a straight line through
//! each measured column, and prints one line of JSON and one Markdown table.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod change;
pub mod customers;
pub mod endpoints;
mod error;
pub mod idle;
pub mod linear_fit;
pub mod mixed_fleet;
pub mod proc;
pub mod report;
pub mod requests;
pub mod sample;

pub use error::Error;
