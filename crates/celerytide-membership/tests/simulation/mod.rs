//! Simulation of a small fleet with one pool of one cold endpoint.
//!
//! Views, ownership and term guards are real; the network, the list service, the endpoint and the time are simulated.

mod fault_injection;
pub mod fleet;
pub mod node;

use celerytide_membership::ownership::{PreviousOwner, TakeoverCall, Term};
use celerytide_types::BootTime;

/// Number of instances.
pub const NODES: usize = 4;
/// Id of the pool.
pub const POOL: &str = "llm/0";
/// Number of permits that the cold endpoint can serve at once.
pub const COLD_SLOTS: u32 = 2;

/// Faults that a history may contain.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Instances start leaving and return; reads lag by a few seconds.
    pub list_changes: bool,
    /// Instances crash, lose their state and are replaced.
    pub deaths: bool,
    /// Processes are suspended and resumed.
    pub pauses: bool,
    /// Processes restart and lose their state.
    pub restarts: bool,
    /// Messages between two nodes, or between a node and the service, are held back.
    pub partitions: bool,
    /// Messages of takeovers and handovers are lost or duplicated.
    pub losses: bool,
    /// The service returns an old list to some nodes as if it were the current one.
    pub stale_service: bool,
    /// The list drops instances that still run.
    pub false_removals: bool,
    /// Entries accept permits however late they arrive.
    pub late_permits: bool,
    /// Messages take many seconds.
    pub slow_network: bool,
    /// The endpoint publishes no load report.
    pub no_report: bool,
}

/// A rule that is deliberately broken, to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Entries accept permits of any term.
    NoGuard,
    /// An owner counts every entry as following at once, without adopting its permits.
    NoTakeover,
    /// An owner always trusts its views.
    AlwaysFresh,
    /// The endpoint's reports are ignored.
    NoReports,
    /// An owner grants permits to entries that don't follow it.
    GrantsToAnyEntry,
    /// Entries accept takeovers by owners that have not seen the entry's first list.
    IgnoresLatestListVersion,
    /// Permits in flight are not adopted.
    NoAdoption,
}

/// Number of a permit, unique in a history.
pub type PermitNumber = usize;

/// A message between two nodes.
#[derive(Debug, Clone)]
pub struct Message {
    pub from: usize,
    pub to: usize,
    /// Incarnations of the receiver's dispatch and entry processes at sending; the message is lost if either has
    /// changed.
    pub to_incarnations: (u64, u64),
    pub payload: Payload,
}

/// Content of a message.
#[derive(Debug, Clone)]
pub enum Payload {
    TakeoverRequest(TakeoverCall),
    TakeoverReply {
        call: TakeoverCall,
        previous: PreviousOwner,
        in_flight: Vec<PermitNumber>,
    },
    Refused {
        highest: Term,
    },
    PermitRequest {
        sent_at: BootTime,
    },
    Grant {
        number: PermitNumber,
        term: Term,
        sent_at: BootTime,
    },
    PermitEnded {
        number: PermitNumber,
    },
    Handover {
        term: Term,
        in_flight: Vec<PermitNumber>,
    },
}
