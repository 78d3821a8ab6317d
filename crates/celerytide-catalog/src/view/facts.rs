//! What the platform publishes, and what an update of a view did.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{EndpointId, ServiceId, Version, ZoneId, data};

use crate::Config;

/// Counts the changes of the platform's store.
pub type Revision = u64;
/// Counts the restores of the platform's store from a copy; revisions are given out again after each.
pub type Era = u64;

data! {
    /// A place in the history of the platform's store, in order: revisions compare within one era only.
    #[derive(Copy, Eq, Default, PartialOrd, Ord)]
    pub struct Position {
        /// The era.
        pub era: Era,
        /// The revision; 0 before the first list.
        pub revision: Revision,
    }

    /// A back end as the platform publishes it.
    pub struct Endpoint {
        /// Its id; an endpoint that starts again mostly has another.
        pub id: EndpointId,
        /// The service that it is part of.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Requests that it runs at once.
        pub slots: u32,
        /// It takes no new work and will end.
        pub leaving: bool,
        /// For how much longer it is cold, as of the writing of its entry.
        pub cold_for: Duration,
        /// Tells two starts under one id apart; `None` if it isn't told.
        pub start: Option<u64>,
    }

    /// One change of what the platform publishes.
    pub enum Change {
        /// A configuration came into force.
        Config(Config),
        /// An endpoint's entry was written.
        Endpoint(Endpoint),
        /// An endpoint's entry is gone or names no endpoint that can be used.
        EndpointGone(EndpointId),
        /// An availability zone was taken out.
        ZoneOut(ZoneId),
        /// An availability zone was taken back.
        ZoneBack(ZoneId),
    }

    /// Everything that the platform publishes, as of one position.
    pub struct Snapshot {
        /// The position: later changes are all to come.
        pub position: Position,
        /// Revision up to which it may hold later changes already: that of its last page.
        pub read_to: Revision,
        /// The configuration, once there is one.
        pub config: Option<Config>,
        /// All endpoints.
        pub endpoints: Vec<Endpoint>,
        /// Availability zones that are out.
        pub zones_out: Vec<ZoneId>,
    }
}

/// What an update did.
#[derive(Debug, Default, PartialEq)]
pub struct Update {
    /// The configuration's version, if it is a new one.
    pub config: Option<Version>,
    /// Endpoints that appeared or started anew.
    pub appeared: Vec<EndpointId>,
    /// Endpoints that began to leave.
    pub leaving: Vec<EndpointId>,
    /// Endpoints that are gone.
    pub gone: Vec<EndpointId>,
    /// Availability zones taken out.
    pub zones_out: Vec<ZoneId>,
    /// Availability zones taken back.
    pub zones_back: Vec<ZoneId>,
    /// The store came back from a copy.
    pub restored: Option<Restored>,
}

/// What a list of a new era left out or said otherwise, and what the view made of that.
#[derive(Debug, Default, PartialEq)]
pub struct Restored {
    /// Position of the view before.
    pub from: Position,
    /// Position of the list.
    pub to: Position,
    /// Version of the list's configuration, if a higher one stays in force.
    pub older_config: Option<Version>,
    /// Endpoints that keep leaving though the list says otherwise.
    pub still_leaving: Vec<EndpointId>,
    /// Availability zones that stay out though the list says otherwise.
    pub still_out: Vec<ZoneId>,
    /// Endpoints that are kept for a while though the list lacks them, or has a former start of them.
    pub missing: Vec<EndpointId>,
    /// Endpoints of the list that were gone; they are used once they prove to live.
    pub unproven: Vec<EndpointId>,
}
