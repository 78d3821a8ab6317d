//! A router in one process: it reads what the platform publishes and decides about each request by itself.
//!
//! Decisions take facts and times as arguments and do no I/O: [`admission`], [`budget`], [`coordinator`], [`health`],
//! [`notice`], [`placement`], [`rate_limit`], [`reach`], [`request`], [`split`]. The tasks around them: [`follow`] reads the store, [`peers`]
//! talks to other instances, [`forward`] serves callers, [`stop`] ends the process. An adapter supplies
//! [`protocol::Protocol`] for callers and endpoints, and [`source::Source`] for the store.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission;
pub mod budget;
pub mod coordinator;
pub mod daemon;
pub mod edge;
pub mod events;
pub mod follow;
pub mod forward;
pub mod health;
pub mod memory;
pub mod metrics;
pub mod notice;
pub mod peers;
pub mod placement;
pub mod protocol;
pub mod quarantine;
pub mod rate_limit;
pub mod reach;
pub mod rejections;
pub mod request;
pub mod settings;
pub mod software;
pub mod source;
pub mod split;
pub mod stop;
