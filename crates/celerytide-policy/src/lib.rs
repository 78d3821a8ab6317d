//! Scheduling policy of a pool of model endpoints: queueing, tiers, guaranteed shares, cold start and placement.
//!
//! [`Pool`] queues requests for permits in front of a group of interchangeable endpoints and counts the work on each of
//! them. It reads no clock and does no I/O: the caller passes the time, reports events, and delivers grants and
//! refusals.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod class;
mod endpoint;
mod options;
mod plan;
mod pool;
mod quarantine;
mod request;
mod status;

pub mod budget;
pub mod check;
pub mod drain;
pub mod fair;
pub mod lengths;
pub mod limits;
pub mod placement;
pub mod ramp;

pub use options::{Baseline, DeliberateFault, Options};
pub use plan::{ClassPlan, CustomerPlan, EndpointPlan, PoolPlan, effective_share, reserved_places};
pub use pool::Pool;
pub use quarantine::{Content, Quarantine};
pub use request::{
    Ended, Grant, LoadReport, Offer, PermitRequest, PermitRequestId, Refusal, Refused, Trust, WarmLimit,
};
pub use status::{ClassStatus, EndpointState, EndpointStatus, PoolStatus, RefusalCount, TierStatus};
