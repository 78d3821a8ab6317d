//! Data that the platform publishes, and results of updating a view.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_types::{EndpointId, ServiceId, Version, ZoneId, data};

use crate::Config;

/// Counter of the changes in the platform's store.
pub type Revision = u64;
/// Counter of the store's restores from a backup; after each, revisions are assigned a second time.
pub type Era = u64;
/// Counter of the records that one start of an endpoint has written.
pub type Sequence = u64;

data! {
    /// Position in the history of the platform's store. Positions are ordered; revisions compare within one era only.
    #[derive(Copy, Eq, Default, PartialOrd, Ord)]
    pub struct Position {
        /// Era, compared first.
        pub era: Era,
        /// Revision; 0 before the first list.
        pub revision: Revision,
    }

    /// A back end as the platform publishes it.
    pub struct Endpoint {
        /// Id; an endpoint that restarts usually gets a new one.
        pub id: EndpointId,
        /// Id of its service.
        pub service: ServiceId,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it accepts no new work and will end.
        pub leaving: bool,
        /// How much longer it is cold, counted from the write of its record.
        pub cold_remaining: Duration,
        /// Distinguishes starts under the same id; `None` if unknown.
        pub start: Option<u64>,
        /// Version of its software; what two versions write doesn't fit together.
        pub version: String,
        /// Orders the records of one start; `None` if unknown. Messages carry it in a field of their own: processes of
        /// other releases couldn't read it here.
        #[serde(skip)]
        pub sequence: Option<Sequence>,
    }

    /// One change of what the platform publishes.
    pub enum Change {
        /// A configuration came into force.
        Config(Config),
        /// An endpoint's record was written.
        Endpoint(Endpoint),
        /// An endpoint's record was deleted or can't be decoded.
        EndpointGone(EndpointId),
        /// An availability zone was taken out of service.
        ZoneOut(ZoneId),
        /// An availability zone was taken back into service.
        ZoneBack(ZoneId),
    }

    /// Everything that the platform publishes, as of one position.
    pub struct Snapshot {
        /// Position of the first page; a watch from here reports all later changes.
        pub position: Position,
        /// Revision of the last page: changes after `position` up to this revision may be included already.
        pub read_to: Revision,
        /// The configuration, if any.
        pub config: Option<Config>,
        /// All endpoints.
        pub endpoints: Vec<Endpoint>,
        /// Availability zones that are out of service.
        pub zones_out: Vec<ZoneId>,
    }
}

/// Effects of an update on a view.
#[derive(Debug, Default, PartialEq)]
pub struct Update {
    /// Version of the configuration, if it is new.
    pub config: Option<Version>,
    /// Endpoints that are new or have restarted.
    pub appeared: Vec<EndpointId>,
    /// Endpoints that started leaving.
    pub leaving: Vec<EndpointId>,
    /// Endpoints that aren't used before they prove to be alive, by the word of a peer.
    pub unproven: Vec<EndpointId>,
    /// Endpoints that said of themselves that they are alive, and are used again.
    pub alive: Vec<EndpointId>,
    /// Endpoints that were removed.
    pub gone: Vec<EndpointId>,
    /// Endpoints of which the store holds an older record than the view.
    pub outdated: Vec<EndpointId>,
    /// Availability zones taken out of service.
    pub zones_out: Vec<ZoneId>,
    /// Availability zones taken back into service.
    pub zones_back: Vec<ZoneId>,
    /// Set if the list came from a restored store.
    pub restored: Option<Restored>,
}

/// What a list of a new era omits or contradicts, and what the view keeps in spite of it.
#[derive(Debug, Default, PartialEq)]
pub struct Restored {
    /// Position of the view before.
    pub from: Position,
    /// Position of the list.
    pub to: Position,
    /// Version of the list's configuration, if a higher one stays in force.
    pub older_config: Option<Version>,
    /// Endpoints that keep leaving although the list says otherwise.
    pub still_leaving: Vec<EndpointId>,
    /// Availability zones that stay out although the list says otherwise.
    pub still_out: Vec<ZoneId>,
    /// Endpoints that are kept for a removal delay although the list omits them or has an earlier start of them.
    pub missing: Vec<EndpointId>,
    /// Endpoints of the list that had been removed; they are used once they prove to be alive.
    pub unproven: Vec<EndpointId>,
}
