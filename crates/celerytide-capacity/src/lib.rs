//! Slopes of state, messages, processor time and memory, measured on real processes.
//!
//! Each subcommand of `celerytide-capacity` runs stand-ins and daemons at several sizes, prints one line of JSON and one
//! Markdown table, and fits a straight line through each column.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod change;
pub mod customers;
pub mod cut;
pub mod endpoints;
mod error;
pub mod fit;
pub mod idle;
pub mod proc;
pub mod report;
pub mod requests;
pub mod sample;

pub use error::Error;
