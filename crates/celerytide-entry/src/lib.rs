//! The entry daemon: callers' HTTP in, answers out.
//!
//! A request is accepted, classified by the manifest, limited by its customer's share, and given a permit by the owner of a pool of
//! endpoints. The entry then talks to the endpoint itself and owns the request until its final word.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod answer;
pub mod call;
pub mod caller;
pub mod chunk;
pub mod daemon;
pub mod entry;
pub mod facts;
pub mod headers;
pub mod limit;
pub mod metrics;
pub mod model;
pub mod owner;
pub mod permit;
pub mod plain;
pub mod route;
pub mod status;
pub mod ticket;
