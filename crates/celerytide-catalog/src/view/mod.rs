//! Current view of the configuration, endpoints and zones.
//!
//! The platform's store holds a record for each endpoint, for each zone that is out of service, and for the
//! configuration. The era counts restores of the store from a backup. A list of a higher era shows the store as it was
//! some seconds before: writes since the backup are missing until they are repeated. Such a list may add to the view, but
//! undoes nothing that lost writes may have set. Endpoints that it omits are kept for a removal delay, a leaving endpoint
//! keeps leaving, a zone that was out stays out, and a removed endpoint is used only once it proves to be alive. A write
//! of the new era overrides all of these, unless it is a late one ([`order`]).

mod kept;
mod model;
mod order;
mod removed;
mod replace;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ZoneId};

pub use kept::{EndpointStart, Kept, StillOut, Unproven};
pub use model::{Change, Endpoint, Era, Position, Restored, Revision, Sequence, Snapshot, Update};

use crate::{Catalog, Config};
use order::{Doubt, Outdated};
use removed::{RemovedEndpoints, Return};

/// An endpoint with state derived from the history of its record.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// The endpoint as published in its record.
    pub endpoint: Rc<Endpoint>,
    /// Until when it is cold.
    pub cold_until: Option<BootTime>,
    /// Set while its record is absent: the endpoint is removed at this time unless the record returns.
    pub missing_until: Option<BootTime>,
    /// It was leaving before a restore whose list says that it isn't, or by the word of a peer.
    still_leaving: bool,
    /// Set if its record returned after its removal: it isn't used until the record proves to be renewed.
    doubt: Option<Doubt>,
    /// Highest known sequence of this start.
    newest: Option<Sequence>,
    /// The older record that the store holds instead.
    outdated: Option<Outdated>,
    /// The store kept this record for as long as only a live endpoint's stays: the word of peers that doubt it doesn't count.
    is_proven: bool,
}

impl KnownEndpoint {
    /// Creates an endpoint of which only the record is known.
    pub fn new(endpoint: Rc<Endpoint>) -> KnownEndpoint {
        KnownEndpoint {
            cold_until: None,
            missing_until: None,
            still_leaving: false,
            doubt: None,
            newest: endpoint.sequence,
            outdated: None,
            is_proven: false,
            endpoint,
        }
    }

    fn is_usable(&self, now: BootTime) -> bool {
        let is_kept = self.missing_until.is_none_or(|until| now < until);
        let is_proven = self.doubt.is_none_or(|doubt| doubt.is_over(now));
        is_kept && is_proven && !self.is_leaving()
    }

    /// Reports what is kept in spite of a restored list, and a return that isn't proven.
    fn report(&self, update: &mut Update) {
        let id = &self.endpoint.id;
        match &mut update.restored {
            Some(restored) => {
                if self.still_leaving {
                    restored.still_leaving.push(id.clone());
                }
                if self.doubt.is_some() {
                    restored.unproven.push(id.clone());
                }
            }
            None if self.doubt.is_some() => update.unproven.push(id.clone()),
            None => {}
        }
    }
}

/// Source of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordSource {
    /// The first list of this process.
    FirstList,
    /// A list of the known era.
    List,
    /// A list of a higher era, read after a restore of the store.
    RestoredList,
    /// A single write.
    Write,
}

/// Most batches of changes that are kept for followers.
const MAX_BATCHES: usize = 16;

/// Changes that arrived together.
#[derive(Debug)]
struct Batch {
    /// Revision of the view before the changes.
    from: Revision,
    changes: Vec<Change>,
}

/// Configuration, endpoints and zones known to this process.
#[derive(Debug, Default)]
pub struct View {
    batches: VecDeque<Batch>,
    position: Position,
    /// The list was read page by page; later pages may contain changes after the position, up to this revision.
    read_to: Revision,
    config: Option<Rc<Config>>,
    catalog: Rc<Catalog>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    zones_out: BTreeSet<ZoneId>,
    /// Zones that stay out until this time although a restored list omits them.
    still_out: BTreeMap<ZoneId, BootTime>,
    removed: RemovedEndpoints,
    /// Changes that followers get with the next ones.
    unrelayed: Vec<Change>,
    /// Time after which the record of a dead endpoint has expired.
    record_ttl: Duration,
    /// Records of live endpoints may have lapsed in an outage of the store of late.
    is_after_outage: bool,
}

impl View {
    /// Creates an empty view; the store drops the record of a dead endpoint within `record_ttl`.
    pub fn new(record_ttl: Duration) -> View {
        View {
            record_ttl,
            ..View::default()
        }
    }

    /// Position in the store's history; revision 0 before the first snapshot.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The newest configuration, indexed.
    pub fn catalog(&self) -> &Rc<Catalog> {
        &self.catalog
    }

    /// The newest configuration; `None` before one is known.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_deref()
    }

    /// Whether a configuration is known.
    pub fn has_config(&self) -> bool {
        self.config.is_some()
    }

    /// Endpoints of `service` that may get new work.
    pub fn usable<'a>(&'a self, service: &'a str, now: BootTime) -> impl Iterator<Item = &'a KnownEndpoint> + 'a {
        self.endpoints.values().filter(move |known| {
            let endpoint = &known.endpoint;
            endpoint.service == service && known.is_usable(now) && !self.zones_out.contains(&endpoint.zone)
        })
    }

    /// All known endpoints, usable or not.
    pub fn endpoints(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.endpoints.values()
    }

    /// Number of known endpoints, usable or not.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The endpoint with this id.
    pub fn endpoint(&self, id: &str) -> Option<&KnownEndpoint> {
        self.endpoints.get(id)
    }

    /// What the store published, for a peer. Endpoints and zones that are kept only for the removal delay or after a
    /// restore are omitted, since the peer would not learn of their removal.
    pub fn snapshot(&self) -> Snapshot {
        let published = self.endpoints.values().filter(|k| k.missing_until.is_none());
        let out = self.zones_out.iter().filter(|zone| !self.still_out.contains_key(*zone));
        Snapshot {
            position: self.position,
            read_to: self.read_to.max(self.position.revision),
            config: self.config.as_deref().cloned(),
            endpoints: published.map(|k| (*k.endpoint).clone()).collect(),
            zones_out: out.cloned().collect(),
        }
    }

    /// Whether data as of `position` may lack a known change: it is behind the view, or behind the last pages of the list
    /// that the view was built from.
    fn is_stale(&self, position: Position) -> bool {
        let same_era = position.era == self.position.era;
        position < self.position || same_era && position.revision < self.read_to
    }

    /// Applies changes, oldest first; `position` is that of the store after them. An endpoint whose record was deleted is
    /// removed after `removal_delay`. Known changes are ignored, and so are those of another era, which can't be applied
    /// to this view.
    pub fn apply(
        &mut self,
        changes: Vec<Change>,
        position: Position,
        removal_delay: Duration,
        now: BootTime,
    ) -> Update {
        let mut update = Update::default();
        if self.is_stale(position) || position.era != self.position.era {
            return update;
        }
        self.keep_batch(&changes, position.revision);
        self.position = position;
        self.is_after_outage = !removal_delay.is_zero();
        for change in changes {
            match change {
                Change::Config(config) => self.set_config(config, &mut update),
                Change::Endpoint(endpoint) => self.set_endpoint(endpoint, RecordSource::Write, now, &mut update),
                Change::EndpointGone(id) => self.mark_missing(&id, removal_delay, now, &mut update),
                Change::ZoneOut(zone) => self.zone_out(zone, &mut update),
                Change::ZoneBack(zone) => self.zone_back(&zone, now, &mut update),
            }
        }
        self.apply_proofs(removal_delay, now, &mut update);
        update
    }

    /// Applies a peer's configuration if it is newer: versions increase independently of the store's era.
    pub fn learn_config(&mut self, config: Config) -> Update {
        let mut update = Update::default();
        self.set_config(config, &mut update);
        update
    }

    /// Changes after `position`, oldest first; `None` if they are no longer kept or the position is of an earlier era.
    /// They may include some already contained at `position`. Empty if `position` is ahead of this view.
    pub fn changes_after(&self, position: Position) -> Option<Vec<Change>> {
        if position >= self.position {
            return Some(Vec::new());
        }
        if position.era < self.position.era {
            return None;
        }
        let start = self.batches.iter().rposition(|batch| batch.from <= position.revision)?;
        let behind = self.batches.iter().skip(start);
        Some(behind.flat_map(|batch| batch.changes.iter().cloned()).collect())
    }

    fn keep_batch(&mut self, changes: &[Change], revision: Revision) {
        if revision == self.position.revision {
            return;
        }
        if self.batches.len() == MAX_BATCHES {
            self.batches.pop_front();
        }
        let mut all = std::mem::take(&mut self.unrelayed);
        all.extend_from_slice(changes);
        self.batches.push_back(Batch {
            from: self.position.revision,
            changes: all,
        });
    }

    /// Removes the endpoints whose records did not return in time, and puts back into use the zones that were not taken
    /// out again.
    pub fn expire(&mut self, now: BootTime) -> Update {
        let mut update = Update::default();
        let is_expired = |k: &KnownEndpoint| k.missing_until.is_some_and(|until| until <= now);
        let gone = self.endpoints.iter().filter(|(_, k)| is_expired(k));
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            let outdated = self.endpoints.get_mut(&id).and_then(|k| k.outdated.take());
            self.remove(&id, now, &mut update);
            if let Some(Outdated { endpoint, .. }) = outdated {
                self.set_endpoint((*endpoint).clone(), RecordSource::List, now, &mut update);
            }
        }
        let back = self.still_out.iter().filter(|(_, until)| **until <= now);
        let back: Vec<ZoneId> = back.map(|(zone, _)| zone.clone()).collect();
        for zone in back {
            self.zone_back(&zone, now, &mut update);
        }
        update
    }

    /// Adds what a peer's configuration didn't tell, from another one of the same version.
    fn complete_config(&mut self, other: &Config) {
        let known = self
            .config
            .as_deref()
            .filter(|known| known.lacks_later_fields_of(other));
        if let Some(mut config) = known.cloned() {
            config.fill_later_fields(other);
            self.catalog = Rc::new(Catalog::new(&config));
            self.config = Some(Rc::new(config));
        }
    }

    fn set_config(&mut self, mut config: Config, update: &mut Update) {
        if self.config.is_some() && config.version <= self.catalog.version() {
            let is_older = config.version < self.catalog.version();
            if !is_older {
                self.complete_config(&config);
            }
            if let Some(restored) = update.restored.as_mut().filter(|_| is_older) {
                restored.older_config = Some(config.version);
            }
            return;
        }
        update.config = Some(config.version);
        if let Some(known) = &self.config {
            config.fill_later_fields(known);
        }
        self.catalog = Rc::new(Catalog::new(&config));
        self.config = Some(Rc::new(config));
    }

    fn set_endpoint(&mut self, endpoint: Endpoint, source: RecordSource, now: BootTime, update: &mut Update) {
        let previous = self.endpoints.get(&endpoint.id);
        if previous.is_some_and(|known| known.outlasts(&endpoint)) {
            return self.keep_newer(endpoint, source, now, update);
        }
        let returned = self.removed.take(&endpoint, now);
        if let Some(Return::Repeated(known)) = returned {
            update.gone.retain(|id| *id != endpoint.id);
            self.endpoints.insert(endpoint.id, known);
            return;
        }
        let is_unknown = previous.is_none();
        let same_start = previous.filter(|k| k.endpoint.start == endpoint.start);
        let is_proof = source == RecordSource::Write && endpoint.sequence.is_none();
        let mut known = KnownEndpoint {
            cold_until: (!endpoint.cold_remaining.is_zero()).then(|| now.after(endpoint.cold_remaining)),
            still_leaving: same_start.is_some_and(|k| k.keeps_leaving(&endpoint, source)),
            doubt: same_start.and_then(|k| k.doubt).filter(|_| !is_proof),
            ..KnownEndpoint::new(Rc::new(endpoint))
        };
        let endpoint = &known.endpoint;
        if let Some(same_start) = same_start {
            known.cold_until = known.cold_until.max(same_start.cold_until);
            // A record without a sequence may be newer than all known ones.
            known.newest = known
                .newest
                .map(|sequence| same_start.newest.unwrap_or_default().max(sequence));
        } else {
            update.appeared.push(endpoint.id.clone());
            if source != RecordSource::FirstList {
                let cold_period = self.catalog.service(&endpoint.service).map(|s| s.cold_period);
                known.cold_until = known.cold_until.max(cold_period.map(|time| now.after(time)));
            }
        }
        let proven_at = now.after(self.record_ttl);
        match returned {
            Some(Return::Older { newest }) => {
                known.doubt = Some(Doubt::Unproven(proven_at));
                known.newest = newest;
            }
            Some(Return::Unclear) => known.doubt = Some(Doubt::Unproven(proven_at)),
            None if is_unknown && self.may_be_unremembered(endpoint, source) => {
                known.doubt = Some(Doubt::Unproven(proven_at));
            }
            Some(Return::Unordered) if source == RecordSource::RestoredList => {
                known.doubt = Some(Doubt::Unproven(proven_at));
            }
            _ => {}
        }
        if endpoint.leaving && !same_start.is_some_and(|k| k.endpoint.leaving) {
            update.leaving.push(endpoint.id.clone());
        }
        known.report(update);
        self.endpoints.insert(known.endpoint.id.clone(), known);
    }

    fn mark_missing(&mut self, id: &str, removal_delay: Duration, now: BootTime, update: &mut Update) {
        if removal_delay.is_zero() {
            self.remove(id, now, update);
        } else if let Some(known) = self.endpoints.get_mut(id) {
            known.missing_until.get_or_insert(now.after(removal_delay));
            known.outdated = None;
        }
    }

    fn remove(&mut self, id: &str, now: BootTime, update: &mut Update) {
        if let Some(known) = self.endpoints.remove(id) {
            self.removed.insert(known, now);
            update.gone.push(id.to_owned());
        }
    }

    fn zone_out(&mut self, zone: ZoneId, update: &mut Update) {
        self.still_out.remove(&zone);
        if self.zones_out.insert(zone.clone()) {
            update.zones_out.push(zone);
        }
    }

    fn zone_back(&mut self, zone: &str, now: BootTime, update: &mut Update) {
        self.still_out.remove(zone);
        if !self.zones_out.remove(zone) {
            return;
        }
        let catalog = self.catalog.clone();
        for known in self.endpoints.values_mut().filter(|k| k.endpoint.zone == zone) {
            let cold_period = catalog.service(&known.endpoint.service).map(|s| s.cold_period);
            known.cold_until = known.cold_until.max(cold_period.map(|time| now.after(time)));
        }
        update.zones_back.push(zone.to_owned());
    }
}
