//! What must always hold of a pool, stated as checks over a recorded history.
//!
//! [`Recorder`] wraps a pool and writes down what went in and what came out. [`check`] replays that history in models
//! of its own, which read nothing of the pool's state, and lists every broken rule.

mod cold;
mod flight;
mod queue;
mod record;
mod share;

use celerytide_types::{BootTime, EndpointId, PermitId};

use crate::ask::{Ask, AskId, Ended, Grant, LoadReport, Refused, Trust, Warmth};
use crate::options::Options;
use crate::plan::PoolPlan;
use crate::status::PoolStatus;
pub use record::Recorder;

/// A rule that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A cold endpoint never has more in flight after a grant than it bears.
    ColdBound,
    /// No ask is shed while work of a lower tier beyond its guaranteed share is queued, and no share is shed.
    ShedOrder,
    /// Each class with queued work gets its guaranteed share of slot time before a class that has it.
    GuaranteedShare,
    /// A closed endpoint gets no grant.
    ClosedEndpoint,
    /// Each ask gets exactly one of grant, refusal and withdrawal.
    OneAnswer,
    /// In flight is granted and adopted less settled and released.
    Counts,
    /// An endpoint to avoid is used only if no other is open.
    Avoid,
    /// Preemption takes lower work beyond its share for an urgent ask of a higher tier.
    Preemption,
    /// No ask is granted at or after its deadline.
    Deadline,
}

/// One thing that happened to a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A plan was applied.
    Applied(PoolPlan),
    /// Trust was set.
    Trusted(Trust),
    /// An ask was offered.
    Offered(AskId, Ask),
    /// A permit was granted.
    Granted(Grant),
    /// An ask was refused.
    Refused(Refused),
    /// An ask was withdrawn.
    Withdrawn(AskId),
    /// A permit made progress.
    Progressed(PermitId, u32),
    /// A permit was settled.
    Settled(PermitId, Ended),
    /// A permit's connection was lost.
    Orphaned(PermitId),
    /// Work of a former owner was adopted: endpoint and class.
    Adopted(PermitId, EndpointId, String),
    /// An endpoint reported its load.
    Reported(EndpointId, LoadReport),
    /// A former owner's word on an endpoint was taken over.
    TakenOver(Warmth),
    /// A permit was named for preemption, at this capacity of the pool.
    Preempted(PermitId, u64),
    /// The pool's status was read.
    Counted(PoolStatus),
    /// The pool was closed: every ask must have its answer.
    Closed,
}

/// An event and its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// When it happened.
    pub at: BootTime,
    /// What happened.
    pub event: Event,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: BootTime,
    /// What was seen.
    pub what: String,
}

/// Replays a history and lists every broken rule.
pub fn check(history: &[Entry], opts: &Options) -> Vec<Violation> {
    let mut cold = cold::Model::new(opts);
    let mut queue = queue::Model::new(opts);
    let mut flight = flight::Model::new(opts);
    let mut share = share::Model::new(opts);
    let mut found = Vec::new();
    for entry in history {
        let mut report = |rule, what| {
            found.push(Violation {
                rule,
                at: entry.at,
                what,
            });
        };
        cold.step(entry, &mut report);
        flight.step(entry, &queue, &mut report);
        share.step(entry, &queue, &mut report);
        queue.step(entry, &mut report);
    }
    found
}
