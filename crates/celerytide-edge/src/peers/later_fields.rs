//! Fields of endpoints and configurations that a message carries behind all others.
//!
//! Earlier releases read an endpoint and a configuration without them, and ignore what follows the last field that they
//! know. Their messages end before these fields, which are unknown then.

use celerytide_catalog::{Change, Config, EndpointStart, Kept, Sequence, Snapshot};
use celerytide_types::{EndpointId, data};
use serde::{Deserialize, Deserializer};

use super::relay::FollowResult;

data! {
    /// Fields of the endpoints and configurations in a message, in its order.
    #[derive(Default)]
    pub struct LaterFields {
        /// Sequence of each endpoint or start.
        pub sequences: Vec<Option<Sequence>>,
        /// Connections that an endpoint accepts, for each service of each configuration.
        pub max_connections: Vec<Option<u32>>,
        /// Starts that were removed, for an instance that is new.
        pub removed: Vec<RemovedStart>,
        /// Path of the health check, for each service of each configuration; the release before doesn't send it.
        #[serde(deserialize_with = "or_default")]
        pub health_paths: Vec<Option<String>>,
    }

    /// A start that was removed, with its highest known sequence.
    pub struct RemovedStart {
        /// Id of the endpoint.
        pub id: EndpointId,
        /// Its start.
        pub start: Option<u64>,
        /// Highest known sequence.
        pub newest: Option<Sequence>,
    }
}

impl From<EndpointStart> for RemovedStart {
    fn from(removed: EndpointStart) -> RemovedStart {
        let EndpointStart { id, start, newest } = removed;
        RemovedStart { id, start, newest }
    }
}

impl From<RemovedStart> for EndpointStart {
    fn from(removed: RemovedStart) -> EndpointStart {
        let RemovedStart { id, start, newest } = removed;
        EndpointStart { id, start, newest }
    }
}

/// Reads a last field, which earlier releases don't send.
pub(super) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(decoder: D) -> Result<T, D::Error> {
    Ok(T::deserialize(decoder).unwrap_or_default())
}

/// Where a message has such fields.
#[derive(Default)]
pub struct Slots<'a> {
    sequences: Vec<&'a mut Option<Sequence>>,
    max_connections: Vec<&'a mut Option<u32>>,
    health_paths: Vec<&'a mut Option<String>>,
}

impl<'a> Slots<'a> {
    /// Those of a reader's reply.
    pub fn of_result(result: &'a mut FollowResult) -> Slots<'a> {
        let mut slots = Slots::default();
        match result {
            FollowResult::NotYet | FollowResult::Lost => {}
            FollowResult::Changes { changes, .. } => changes.iter_mut().for_each(|change| slots.add_change(change)),
            FollowResult::Whole(snapshot) => slots.add_snapshot(snapshot),
        }
        slots
    }

    /// Those of a reply to an exchange.
    pub fn of_reply(
        view: Option<&'a mut Snapshot>,
        newer_config: Option<&'a mut Config>,
        kept: &'a mut Kept,
    ) -> Slots<'a> {
        let mut slots = Slots::default();
        if let Some(view) = view {
            slots.add_snapshot(view);
        }
        if let Some(config) = newer_config {
            slots.add_config(config);
        }
        let unproven = kept.unproven.iter_mut().map(|unproven| &mut unproven.endpoint);
        let starts = kept.leaving.iter_mut().chain(unproven);
        slots.sequences.extend(starts.map(|start| &mut start.newest));
        slots
    }

    fn add_snapshot(&mut self, snapshot: &'a mut Snapshot) {
        if let Some(config) = &mut snapshot.config {
            self.add_config(config);
        }
        let endpoints = snapshot.endpoints.iter_mut();
        self.sequences.extend(endpoints.map(|endpoint| &mut endpoint.sequence));
    }

    fn add_config(&mut self, config: &'a mut Config) {
        for service in &mut config.services {
            self.max_connections.push(&mut service.max_connections);
            self.health_paths.push(&mut service.health_path);
        }
    }

    fn add_change(&mut self, change: &'a mut Change) {
        match change {
            Change::Config(config) => self.add_config(config),
            Change::Endpoint(endpoint) => self.sequences.push(&mut endpoint.sequence),
            Change::EndpointGone(_) | Change::ZoneOut(_) | Change::ZoneBack(_) => {}
        }
    }

    /// The fields.
    pub fn read(&self) -> LaterFields {
        LaterFields {
            sequences: self.sequences.iter().map(|slot| **slot).collect(),
            max_connections: self.max_connections.iter().map(|slot| **slot).collect(),
            removed: Vec::new(),
            health_paths: self.health_paths.iter().map(|slot| (**slot).clone()).collect(),
        }
    }

    /// Sets the fields of a message that was received.
    pub fn restore(self, fields: LaterFields) {
        for (slot, sequence) in self.sequences.into_iter().zip(fields.sequences) {
            *slot = sequence;
        }
        for (slot, max_connections) in self.max_connections.into_iter().zip(fields.max_connections) {
            *slot = max_connections;
        }
        for (slot, health_path) in self.health_paths.into_iter().zip(fields.health_paths) {
            *slot = health_path;
        }
    }
}
