//! What is known now, and since when.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{Boot, EndpointId, ServiceId, Version, ZoneId, data};

use crate::{Catalog, Config};

/// Counts the changes of the platform's store.
pub type Revision = u64;

data! {
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

    /// Everything that the platform publishes, as of one revision.
    pub struct Snapshot {
        /// The revision.
        pub revision: Revision,
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
}

/// An endpoint and what follows from the history of its entry.
#[derive(Debug, Clone)]
pub struct Known {
    /// Its entry.
    pub endpoint: Rc<Endpoint>,
    /// Until when it is cold.
    pub cold_until: Option<Boot>,
    /// Its entry was absent from the newest list; the endpoint is dropped at this time unless the entry returns.
    pub missing_until: Option<Boot>,
}

/// Changes that came together are kept for others up to this count of times.
const KEPT_BATCHES: usize = 16;

/// Changes that came together.
#[derive(Debug)]
struct Batch {
    /// Revision of the view before.
    from: Revision,
    changes: Vec<Change>,
}

/// What this process knows.
#[derive(Debug, Default)]
pub struct View {
    batches: VecDeque<Batch>,
    revision: Revision,
    config: Option<Rc<Config>>,
    catalog: Rc<Catalog>,
    endpoints: BTreeMap<EndpointId, Known>,
    zones_out: BTreeSet<ZoneId>,
}

impl View {
    /// The store's revision that the view rests on; 0 before the first snapshot.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The newest configuration with its indexes.
    pub fn catalog(&self) -> &Rc<Catalog> {
        &self.catalog
    }

    /// Whether a configuration is known.
    pub fn has_config(&self) -> bool {
        self.config.is_some()
    }

    /// Endpoints of `service` that may get new work.
    pub fn usable<'a>(&'a self, service: &'a str, now: Boot) -> impl Iterator<Item = &'a Known> + 'a {
        self.endpoints.values().filter(move |known| {
            let endpoint = &known.endpoint;
            let held = known.missing_until.is_none_or(|until| now < until);
            held && endpoint.service == service && !endpoint.leaving && !self.zones_out.contains(&endpoint.zone)
        })
    }

    /// Endpoints known, usable or not.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The endpoint with that id.
    pub fn endpoint(&self, id: &str) -> Option<&Known> {
        self.endpoints.get(id)
    }

    /// Everything that is known, for a peer.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            config: self.config.as_deref().cloned(),
            endpoints: self.endpoints.values().map(|k| (*k.endpoint).clone()).collect(),
            zones_out: self.zones_out.iter().cloned().collect(),
        }
    }

    /// Takes a whole list. Endpoints absent from it stay for `hold`, since entries that lapsed while the store was
    /// away come back shortly after it; with a `hold` of zero they go at once. A snapshot that is older than the view
    /// changes nothing.
    pub fn replace(&mut self, snapshot: Snapshot, hold: Duration, now: Boot) -> Update {
        let mut update = Update::default();
        if snapshot.revision < self.revision {
            return update;
        }
        let first = self.revision == 0;
        self.revision = snapshot.revision;
        self.batches.clear();
        if let Some(config) = snapshot.config {
            self.set_config(config, &mut update);
        }
        let listed: BTreeSet<EndpointId> = snapshot.endpoints.iter().map(|e| e.id.clone()).collect();
        for endpoint in snapshot.endpoints {
            self.set_endpoint(endpoint, first, now, &mut update);
        }
        let absent: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in absent {
            self.miss(&id, hold, now, &mut update);
        }
        self.replace_zones(snapshot.zones_out, now, &mut update);
        update
    }

    /// Takes changes in their order; `revision` is the store's after them. Changes that the view already has are
    /// ignored.
    pub fn apply(&mut self, changes: Vec<Change>, revision: Revision, hold: Duration, now: Boot) -> Update {
        let mut update = Update::default();
        if revision < self.revision {
            return update;
        }
        self.keep(&changes, revision);
        self.revision = revision;
        for change in changes {
            match change {
                Change::Config(config) => self.set_config(config, &mut update),
                Change::Endpoint(endpoint) => self.set_endpoint(endpoint, false, now, &mut update),
                Change::EndpointGone(id) => self.miss(&id, hold, now, &mut update),
                Change::ZoneOut(zone) => self.zone_out(zone, &mut update),
                Change::ZoneBack(zone) => self.zone_back(&zone, now, &mut update),
            }
        }
        update
    }

    /// Changes after `revision` in their order, for a view of that revision; `None` if they are no longer kept. The first
    /// ones may be such that it has already.
    pub fn changes_after(&self, revision: Revision) -> Option<Vec<Change>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        let start = self.batches.iter().rposition(|batch| batch.from <= revision)?;
        let behind = self.batches.iter().skip(start);
        Some(behind.flat_map(|batch| batch.changes.iter().cloned()).collect())
    }

    fn keep(&mut self, changes: &[Change], revision: Revision) {
        if revision == self.revision {
            return;
        }
        if self.batches.len() == KEPT_BATCHES {
            self.batches.pop_front();
        }
        self.batches.push_back(Batch {
            from: self.revision,
            changes: changes.to_vec(),
        });
    }

    /// Drops the endpoints whose entries stayed away.
    pub fn expire(&mut self, now: Boot) -> Update {
        let mut update = Update::default();
        let over = |k: &Known| k.missing_until.is_some_and(|until| until <= now);
        let gone: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, k)| over(k))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.endpoints.remove(&id);
            update.gone.push(id);
        }
        update
    }

    fn set_config(&mut self, config: Config, update: &mut Update) {
        if self.config.is_some() && config.version <= self.catalog.version() {
            return;
        }
        update.config = Some(config.version);
        self.catalog = Rc::new(Catalog::new(&config));
        self.config = Some(Rc::new(config));
    }

    fn set_endpoint(&mut self, endpoint: Endpoint, first: bool, now: Boot, update: &mut Update) {
        let before = self.endpoints.get(&endpoint.id);
        let same_start = before.is_some_and(|k| k.endpoint.start == endpoint.start);
        let mut cold_until = (!endpoint.cold_for.is_zero()).then(|| now.after(endpoint.cold_for));
        if same_start {
            cold_until = cold_until.max(before.and_then(|k| k.cold_until));
        } else {
            update.appeared.push(endpoint.id.clone());
            if !first {
                let cold_time = self.catalog.service(&endpoint.service).map(|s| s.cold_time);
                cold_until = cold_until.max(cold_time.map(|time| now.after(time)));
            }
        }
        let began_leaving = endpoint.leaving && !before.is_some_and(|k| same_start && k.endpoint.leaving);
        if began_leaving {
            update.leaving.push(endpoint.id.clone());
        }
        let known = Known {
            endpoint: Rc::new(endpoint),
            cold_until,
            missing_until: None,
        };
        self.endpoints.insert(known.endpoint.id.clone(), known);
    }

    fn miss(&mut self, id: &str, hold: Duration, now: Boot, update: &mut Update) {
        if hold.is_zero() {
            if self.endpoints.remove(id).is_some() {
                update.gone.push(id.to_owned());
            }
        } else if let Some(known) = self.endpoints.get_mut(id) {
            known.missing_until.get_or_insert(now.after(hold));
        }
    }

    fn replace_zones(&mut self, zones: Vec<ZoneId>, now: Boot, update: &mut Update) {
        let out: BTreeSet<ZoneId> = zones.into_iter().collect();
        let back: Vec<ZoneId> = self.zones_out.difference(&out).cloned().collect();
        for zone in back {
            self.zone_back(&zone, now, update);
        }
        for zone in out {
            self.zone_out(zone, update);
        }
    }

    fn zone_out(&mut self, zone: ZoneId, update: &mut Update) {
        if self.zones_out.insert(zone.clone()) {
            update.zones_out.push(zone);
        }
    }

    fn zone_back(&mut self, zone: &str, now: Boot, update: &mut Update) {
        if !self.zones_out.remove(zone) {
            return;
        }
        let catalog = self.catalog.clone();
        for known in self.endpoints.values_mut().filter(|k| k.endpoint.zone == zone) {
            let cold_time = catalog.service(&known.endpoint.service).map(|s| s.cold_time);
            known.cold_until = known.cold_until.max(cold_time.map(|time| now.after(time)));
        }
        update.zones_back.push(zone.to_owned());
    }
}
