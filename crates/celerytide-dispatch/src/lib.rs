//! The dispatch daemon: owns pools of endpoints and grants permits.
//!
//! The owner of a pool queues permit requests in front of the pool's endpoints and counts the permits in flight on each
//! of them. Each pool has one owner, so that endpoints aren't overloaded by senders that don't know of each other. The
//! daemon grants permits to entry processes, takes over pools from owners that stopped or were lost, and hands its own
//! pools over when it stops.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod daemon;
pub mod dispatch;
pub mod handover;
pub mod metrics;
pub mod orders;
pub mod owned_pool;
pub mod permit;
pub mod pool_config;
pub mod pools;
pub mod report;
pub mod status;
pub mod takeover;
