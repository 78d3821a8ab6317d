//! Ids, versions, final words and clocks shared by every celerytide crate.
//!
//! Nothing here does I/O. Every type that crosses a process boundary is declared through [`data!`], so that
//! all of them carry the same derives.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
mod ids;
mod macros;
mod term;
mod word;

pub use clock::{BootTime, now_boot, now_unix_ms};
pub use ids::{
    ClassName, CustomerId, Digest, EndpointId, Incarnation, InstanceId, Millis, PermitId, PoolId, RegionId, RequestId,
    ServiceId, TicketId, Tier, Version, ZoneId, millis, new_incarnation, new_request_id, rendezvous_weight,
};
pub use term::Term;
pub use word::{ExecutionStatus, RequestOutcome};
