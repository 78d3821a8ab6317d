//! Immutable views of the published documents, and the messages that peers exchange about them.

use std::net::SocketAddr;
use std::rc::Rc;

use celerytide_manifest::Manifest;
use celerytide_types::{Digest, EndpointId, Incarnation, InstanceId, Millis, RegionId, Version, ZoneId, data};

data! {
    /// An instance (a machine with an entry process and a dispatch process) as listed by the configuration service.
    #[derive(Eq)]
    pub struct Instance {
        /// Id, unique in the list.
        pub id: InstanceId,
        /// Availability zone of the instance.
        pub zone: ZoneId,
        /// Region of the zone.
        pub region: RegionId,
        /// False if the instance is leaving.
        pub live: bool,
        /// Address of its entry process for callers.
        pub caller: SocketAddr,
        /// Address of its entry process for peers.
        pub entry_peer: SocketAddr,
        /// Address of its dispatch process for peers.
        pub dispatch_peer: SocketAddr,
    }

    /// An endpoint as listed by the configuration service.
    #[derive(Eq)]
    pub struct EndpointEntry {
        /// Id, unique in the list.
        pub id: EndpointId,
        /// False if the endpoint is leaving.
        pub live: bool,
    }

    /// Summary of the versions that a process has; peers exchange it.
    #[derive(Eq)]
    pub struct ViewDigest {
        /// Version of the manifest in force; 0 without one.
        pub manifest_version: Version,
        /// Content hash of the manifest in force; empty without one.
        pub manifest_digest: Digest,
        /// Version of the instance list.
        pub list_version: Version,
        /// Version of the endpoint list.
        pub endpoints_version: Version,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Time since the configuration service confirmed all documents of the sender; absent if it never did.
        pub confirmed_ms_ago: Option<Millis>,
    }

    /// The lists of one process, for a peer that can't read the configuration service.
    #[derive(Eq)]
    pub struct PeerLists {
        /// Router instances.
        pub instances: Vec<Instance>,
        /// Version of the instance list.
        pub list_version: Version,
        /// Endpoints.
        pub endpoints: Vec<EndpointEntry>,
        /// Version of the endpoint list.
        pub endpoints_version: Version,
    }

    /// A document published by the configuration service.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub enum Document {
        /// The manifest.
        Manifest,
        /// The instance list.
        Instances,
        /// The endpoint list.
        Endpoints,
    }
}

/// A consistent snapshot of the documents that a process has in force.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Increases with each change of any part; local to the process.
    pub generation: u64,
    /// The manifest in force.
    pub manifest: Option<Rc<Manifest>>,
    /// Version of the manifest; 0 without one.
    pub manifest_version: Version,
    /// Content hash of the manifest; empty without one.
    pub manifest_digest: Digest,
    /// Instances, sorted by id.
    pub instances: Rc<Vec<Instance>>,
    /// Version of the instance list; 0 before the first read.
    pub list_version: Version,
    /// Number of rebuilds of the list service accepted so far; local to the process.
    pub list_epoch: u64,
    /// Highest list version of earlier epochs of the list service, until the current epoch exceeds it. Terms with this
    /// list version or a higher one count as terms of an earlier epoch.
    pub list_ceiling: Option<Version>,
    /// Endpoints, sorted by id.
    pub endpoints: Rc<Vec<EndpointEntry>>,
    /// Version of the endpoint list; 0 before the first read.
    pub endpoints_version: Version,
}

impl View {
    /// The instance with this id.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        let at = self.instances.binary_search_by(|i| i.id.as_str().cmp(id)).ok()?;
        self.instances.get(at)
    }

    /// The list entry of this endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&EndpointEntry> {
        let at = self.endpoints.binary_search_by(|e| e.id.as_str().cmp(id)).ok()?;
        self.endpoints.get(at)
    }
}
