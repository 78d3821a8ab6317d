//! The dispatch daemon: owns pools of endpoints and grants permits.
//!
//! A pool's owner holds the queue in front of the pool's endpoints and the one counter of work on each. It answers entries' asks,
//! takes over pools from owners that stopped or were lost, and hands its own over when it stops.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod daemon;
pub mod dispatch;
pub mod handover;
pub mod metrics;
pub mod muster;
pub mod orders;
pub mod permit;
pub mod plan;
pub mod pools;
pub mod report;
pub mod slot;
pub mod status;
