//! A small fleet that owns one pool with one cold endpoint: real views, ownership and guards; faked network and time.

pub mod fleet;
pub mod node;
mod trouble;

use celerytide_membership::ownership::{Former, MusterCall, Term};
use celerytide_types::BootTime;

/// Instances of the fleet.
pub const NODES: usize = 4;
/// The pool.
pub const POOL: &str = "llm/0";
/// What the endpoint bears at once.
pub const BOUND: u32 = 2;

/// What may go wrong.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Instances start leaving and come back; reads lag by a few seconds.
    pub list_changes: bool,
    /// Instances die with what they know, and are replaced.
    pub deaths: bool,
    /// Processes sleep and wake.
    pub pauses: bool,
    /// Processes restart and forget.
    pub restarts: bool,
    /// Messages between two nodes, or between a node and the service, stand still.
    pub partitions: bool,
    /// Musters and handovers are lost or arrive twice.
    pub losses: bool,
    /// The service answers some nodes with an old list as if it were the present one.
    pub stale_service: bool,
    /// The list drops instances that still work.
    pub false_removals: bool,
    /// Entries take permits however late they come.
    pub late_permits: bool,
    /// Messages take many seconds.
    pub slow_network: bool,
    /// The endpoint publishes no report.
    pub no_report: bool,
}

/// A deliberate break of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Entries take permits of any term.
    NoGuard,
    /// An owner counts every entry as mustered at once, without adopting its permits.
    NoMuster,
    /// An owner trusts its views for ever.
    AlwaysFresh,
    /// The endpoint's reports are not looked at.
    NoReports,
    /// An owner grants to entries that don't follow it.
    ToAnyone,
    /// Entries are mustered by owners that have not seen their first list.
    AnyList,
    /// Permits in flight are not adopted.
    NoAdoption,
}

/// A permit: its number is unique in a history.
pub type Number = usize;

/// A message between two nodes.
#[derive(Debug, Clone)]
pub struct Message {
    pub from: usize,
    pub to: usize,
    /// Lives of the receiving processes when it was sent; a connection ends with either.
    pub to_life: (u64, u64),
    pub what: What,
}

/// Its content.
#[derive(Debug, Clone)]
pub enum What {
    Muster(MusterCall),
    Follows {
        call: MusterCall,
        former: Former,
        in_flight: Vec<Number>,
    },
    Refused {
        highest: Term,
    },
    Ask {
        asked: BootTime,
    },
    Grant {
        number: Number,
        term: Term,
        asked: BootTime,
    },
    Settle {
        number: Number,
    },
    Handover {
        term: Term,
        in_flight: Vec<Number>,
    },
}
