//! A router in one process: it reads what the platform publishes, and decides alone about each request.
//!
//! Decisions take facts and times as arguments and do no I/O: [`admit`], [`budget`], [`cold`], [`health`], [`intake`], [`notice`],
//! [`place`], [`split`].
//! The tasks around them: [`follow`] reads the store, [`peers`] talks to other instances, [`forward`] serves callers,
//! [`stop`] ends the process. What callers, endpoints and the store speak is the adapter's: [`names::Wire`] and
//! [`source::Source`].

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admit;
pub mod budget;
pub mod cold;
pub mod daemon;
pub mod edge;
pub mod events;
pub mod follow;
pub mod forward;
pub mod health;
pub mod intake;
pub mod metrics;
pub mod names;
pub mod notice;
pub mod peers;
pub mod place;
pub mod settings;
pub mod source;
pub mod split;
pub mod stop;
