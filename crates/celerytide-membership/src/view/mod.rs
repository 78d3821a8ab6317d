//! What a process believes about the fleet, as values.

use std::net::SocketAddr;
use std::rc::Rc;

use celerytide_manifest::Manifest;
use celerytide_types::{Digest, EndpointId, Incarnation, InstanceId, Millis, RegionId, Version, ZoneId, data};

data! {
    /// One of our instances, as the list shows it.
    #[derive(Eq)]
    pub struct Instance {
        /// Instance id.
        pub id: InstanceId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its region.
        pub region: RegionId,
        /// False once it is leaving.
        pub live: bool,
        /// Where callers reach its entry.
        pub caller: SocketAddr,
        /// Where peers reach its entry.
        pub entry_peer: SocketAddr,
        /// Where peers reach its dispatch.
        pub dispatch_peer: SocketAddr,
    }

    /// One endpoint, as the list shows it.
    #[derive(Eq)]
    pub struct EndpointEntry {
        /// Endpoint id.
        pub id: EndpointId,
        /// False once it is leaving.
        pub live: bool,
    }

    /// Versions that a process holds; peers exchange it.
    #[derive(Eq)]
    pub struct ViewDigest {
        /// Version of the manifest in force; 0 without one.
        pub manifest_version: Version,
        /// Its digest.
        pub manifest_digest: Digest,
        /// Version of the instance list.
        pub list_version: Version,
        /// Version of the endpoint list.
        pub endpoints_version: Version,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// Time since the service last confirmed all the sender's views; absent if it never did.
        pub confirmed_ms_ago: Option<Millis>,
    }

    /// The lists as one process holds them, for a peer that can't read the service.
    #[derive(Eq)]
    pub struct PeerLists {
        /// Our instances.
        pub instances: Vec<Instance>,
        /// Their index.
        pub list_version: Version,
        /// Endpoints.
        pub endpoints: Vec<EndpointEntry>,
        /// Their index.
        pub endpoints_version: Version,
    }

    /// The three published documents.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub enum Document {
        /// The manifest.
        Manifest,
        /// The list of our instances.
        Instances,
        /// The list of endpoints.
        Endpoints,
    }
}

/// One consistent state of a process's beliefs.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Grows with each change of any part; local to the process.
    pub generation: u64,
    /// The manifest in force.
    pub manifest: Option<Rc<Manifest>>,
    /// Its version; 0 without one.
    pub manifest_version: Version,
    /// Its digest; empty without one.
    pub manifest_digest: Digest,
    /// Our instances, sorted by id.
    pub instances: Rc<Vec<Instance>>,
    /// Index of the instance list; 0 before the first read.
    pub list_version: Version,
    /// How often a restarted list service was accepted; local to the process.
    pub list_epoch: u64,
    /// The index that an earlier life of the list service had reached, until the present life has passed it.
    pub list_ceiling: Option<Version>,
    /// Endpoints, sorted by id.
    pub endpoints: Rc<Vec<EndpointEntry>>,
    /// Index of the endpoint list; 0 before the first read.
    pub endpoints_version: Version,
}

impl View {
    /// The instance of that id.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        let at = self.instances.binary_search_by(|i| i.id.as_str().cmp(id)).ok()?;
        self.instances.get(at)
    }

    /// The list's entry for that endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&EndpointEntry> {
        let at = self.endpoints.binary_search_by(|e| e.id.as_str().cmp(id)).ok()?;
        self.endpoints.get(at)
    }
}
