//! Queues, tiers, shares, cold start and placement. Knows no sockets.
//!
//! [`Pool`] is the queue in front of a group of equal endpoints and the one counter of the work on each of them. It
//! reads no clock and does no I/O: the caller passes the time, feeds events in, and carries grants and refusals out.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod ask;
mod class;
mod endpoint;
mod options;
mod plan;
mod pool;
mod status;

pub mod budget;
pub mod check;
pub mod drain;
pub mod fair;
pub mod lengths;
pub mod limits;
pub mod place;
pub mod ramp;

pub use ask::{Ask, AskId, Ended, Grant, LoadReport, Offer, Refusal, Refused, Trust, Warmth};
pub use options::{Baseline, DeliberateFault, Options};
pub use plan::{ClassPlan, CustomerPlan, EndpointPlan, PoolPlan, effective_share, reserved_seats};
pub use pool::Pool;
pub use status::{ClassStatus, EndpointState, EndpointStatus, PoolStatus, RefusalCount, TierStatus};
