//! Ids, versions, request outcomes and clocks shared by all celerytide crates.
//!
//! Nothing here does network or file I/O. Types that are sent between processes are declared with [`data!`], so that
//! all of them have the same derives.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
mod ids;
mod macros;
mod outcome;
mod term;

pub use clock::{BootTime, now_boot, now_unix_ms};
pub use ids::{
    ClassName, CustomerId, Digest, EndpointId, Incarnation, InstanceId, Millis, PermitId, PoolId, RegionId, RequestId,
    ServiceId, TicketId, Tier, Version, ZoneId, millis, new_incarnation, new_request_id, rendezvous_weight,
};
pub use outcome::{ExecutionStatus, RequestOutcome};
pub use term::Term;
