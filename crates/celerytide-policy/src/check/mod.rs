//! Rules that always hold for a pool, checked on a recorded history.
//!
//! [`Recorder`] wraps a pool and records its inputs and outputs. [`check`] replays that history in independent models,
//! which read none of the pool's state, and lists every violated rule.

mod endpoints;
mod permits;
mod queue;
mod recorder;
mod share;

use celerytide_types::{BootTime, EndpointId, PermitId};

use crate::options::Options;
use crate::plan::PoolPlan;
use crate::request::{Ended, Grant, LoadReport, PermitRequest, PermitRequestId, Refused, Trust, WarmLimit};
use crate::status::PoolStatus;
pub use recorder::Recorder;

/// A rule that always holds for a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// After a grant, an endpoint never has more permits in flight than its limit allows, in particular while it is
    /// cold.
    ColdLimit,
    /// No request is shed while a lower tier has queued requests beyond its guaranteed share, and no request within its
    /// class's share is shed.
    ShedOrder,
    /// A class with queued requests gets its guaranteed share of slot time before a class that already has its own.
    GuaranteedShare,
    /// A closed endpoint gets no grant.
    ClosedEndpoint,
    /// Each request gets exactly one of grant, refusal and withdrawal.
    SingleAnswer,
    /// Permits in flight are those granted and adopted less those settled and released.
    Counts,
    /// An endpoint that a request avoids is used only if no other accepts requests.
    Avoid,
    /// Preemption takes work of a lower tier beyond its class's share, and only for an urgent request of a higher tier.
    Preemption,
    /// No request is granted at or after its deadline.
    Deadline,
}

/// An input or output of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A plan was applied.
    Applied(PoolPlan),
    /// The trust in the owner's view was set.
    Trusted(Trust),
    /// A request was offered.
    Offered(PermitRequestId, PermitRequest),
    /// A permit was granted.
    Granted(Grant),
    /// A request was refused.
    Refused(Refused),
    /// A request was withdrawn.
    Withdrawn(PermitRequestId),
    /// The response under a permit reached this total number of tokens.
    Progressed(PermitId, u32),
    /// A permit was settled.
    Settled(PermitId, Ended),
    /// The connection of a permit's holder was lost.
    Orphaned(PermitId),
    /// A permit of a previous owner was adopted, with its endpoint and class.
    Adopted(PermitId, EndpointId, String),
    /// An endpoint reported its load.
    Reported(EndpointId, LoadReport),
    /// The limit that a previous owner had established was restored.
    WarmLimitRestored(WarmLimit),
    /// A permit was preempted while the pool had this capacity.
    Preempted(PermitId, u64),
    /// The pool's status was read.
    StatusRead(PoolStatus),
    /// The pool was closed; every request must have been granted, refused or withdrawn.
    Closed,
}

/// A recorded event.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Time of the event.
    pub at: BootTime,
    /// The event.
    pub event: Event,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the event that violates it.
    pub at: BootTime,
    /// Description of the violation.
    pub detail: String,
}

/// Replays a history and lists every violated rule.
pub fn check(history: &[Entry], opts: &Options) -> Vec<Violation> {
    let mut endpoints = endpoints::Model::new(opts);
    let mut queue = queue::Model::new(opts);
    let mut permits = permits::Model::new(opts);
    let mut share = share::Model::new(opts);
    let mut found = Vec::new();
    for entry in history {
        let mut report = |rule, detail| {
            found.push(Violation {
                rule,
                at: entry.at,
                detail,
            });
        };
        endpoints.step(entry, &mut report);
        permits.step(entry, &queue, &mut report);
        share.step(entry, &queue, &mut report);
        queue.step(entry, &mut report);
    }
    found
}
