//! What is known now, and since when.
//!
//! A list of a higher era comes from a copy of the store that is some seconds old: what was written since is missing in
//! it until it is written again. Such a list may add to the view; it undoes nothing that may have been lost with the
//! writes. The endpoints that it lacks are kept for a while, an endpoint that left goes on leaving, an availability zone
//! that was out stays out, and an endpoint that was gone is used only once it proves to live. A write of the new era goes
//! before all of these.

mod facts;
mod gone;
mod list;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ZoneId};

pub use facts::{Change, Endpoint, Era, Position, Restored, Revision, Snapshot, Update};

use crate::{Catalog, Config};
use gone::Gone;

/// An endpoint and what follows from the history of its entry.
#[derive(Debug, Clone)]
pub struct Known {
    /// Its entry.
    pub endpoint: Rc<Endpoint>,
    /// Until when it is cold.
    pub cold_until: Option<BootTime>,
    /// Its entry was absent from the newest list; the endpoint is dropped at this time unless the entry returns.
    pub missing_until: Option<BootTime>,
    /// It left before the store came back from a copy in which it does not.
    still_leaving: bool,
    /// It was gone before the store came back with its entry; an entry that stays that long is renewed by a living one.
    unproven_until: Option<BootTime>,
}

impl Known {
    /// An endpoint of which only its entry is known.
    pub fn new(endpoint: Rc<Endpoint>) -> Known {
        Known {
            endpoint,
            cold_until: None,
            missing_until: None,
            still_leaving: false,
            unproven_until: None,
        }
    }

    fn may_get_work(&self, now: BootTime) -> bool {
        let held = self.missing_until.is_none_or(|until| now < until);
        let proven = self.unproven_until.is_none_or(|until| until <= now);
        held && proven && !self.endpoint.leaving && !self.still_leaving
    }
}

/// Where an entry comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Via {
    /// The first list of this process.
    First,
    /// A list of the era that is known.
    List,
    /// A list of a higher era.
    Restored,
    /// A write of its own.
    Write,
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
    position: Position,
    /// Revision up to which the list may have held changes that come after the position.
    read_to: Revision,
    config: Option<Rc<Config>>,
    catalog: Rc<Catalog>,
    endpoints: BTreeMap<EndpointId, Known>,
    zones_out: BTreeSet<ZoneId>,
    /// Zones that are out though a restored list lacks them, until then.
    still_out: BTreeMap<ZoneId, BootTime>,
    gone: Gone,
    /// Time after which the entry of a dead endpoint has lapsed.
    lapse: Duration,
}

impl View {
    /// A view that knows nothing; the store drops the entry of a dead endpoint within `lapse`.
    pub fn new(lapse: Duration) -> View {
        View {
            lapse,
            ..View::default()
        }
    }

    /// The store's position that the view rests on; revision 0 before the first snapshot.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The newest configuration with its indexes.
    pub fn catalog(&self) -> &Rc<Catalog> {
        &self.catalog
    }

    /// The newest configuration, once one is known.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_deref()
    }

    /// Whether a configuration is known.
    pub fn has_config(&self) -> bool {
        self.config.is_some()
    }

    /// Endpoints of `service` that may get new work.
    pub fn usable<'a>(&'a self, service: &'a str, now: BootTime) -> impl Iterator<Item = &'a Known> + 'a {
        self.endpoints.values().filter(move |known| {
            let endpoint = &known.endpoint;
            endpoint.service == service && known.may_get_work(now) && !self.zones_out.contains(&endpoint.zone)
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

    /// What the store published, for a peer; what is only kept here is left out, since the peer would not learn of its end.
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

    /// Whether what ends at `position` may lack a change that is known: one behind the view, or such that the last pages
    /// of the list were read later.
    fn is_past(&self, position: Position) -> bool {
        let same_era = position.era == self.position.era;
        position < self.position || same_era && position.revision < self.read_to
    }

    /// Takes changes in their order; `position` is the store's after them. Changes that the view already has are
    /// ignored, and so are those of another era: they don't follow the view.
    pub fn apply(&mut self, changes: Vec<Change>, position: Position, hold: Duration, now: BootTime) -> Update {
        let mut update = Update::default();
        if self.is_past(position) || position.era != self.position.era {
            return update;
        }
        self.keep(&changes, position.revision);
        self.position = position;
        for change in changes {
            match change {
                Change::Config(config) => self.set_config(config, &mut update),
                Change::Endpoint(endpoint) => self.set_endpoint(endpoint, Via::Write, now, &mut update),
                Change::EndpointGone(id) => self.miss(&id, hold, now, &mut update),
                Change::ZoneOut(zone) => self.zone_out(zone, &mut update),
                Change::ZoneBack(zone) => self.zone_back(&zone, now, &mut update),
            }
        }
        update
    }

    /// Takes a configuration that a peer knows, if it is newer: versions grow whatever the store's era is.
    pub fn learn_config(&mut self, config: Config) -> Update {
        let mut update = Update::default();
        self.set_config(config, &mut update);
        update
    }

    /// Changes after `position` in their order, for a view of that position; `None` if they are no longer kept, or the
    /// view is of an earlier era. The first ones may be such that it has already. A view that is ahead gets none.
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

    fn keep(&mut self, changes: &[Change], revision: Revision) {
        if revision == self.position.revision {
            return;
        }
        if self.batches.len() == KEPT_BATCHES {
            self.batches.pop_front();
        }
        self.batches.push_back(Batch {
            from: self.position.revision,
            changes: changes.to_vec(),
        });
    }

    /// Drops the endpoints whose entries stayed away, and takes back the zones that nobody took out again.
    pub fn expire(&mut self, now: BootTime) -> Update {
        let mut update = Update::default();
        let over = |k: &Known| k.missing_until.is_some_and(|until| until <= now);
        let gone = self.endpoints.iter().filter(|(_, k)| over(k));
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.remove(&id, now, &mut update);
        }
        let back = self.still_out.iter().filter(|(_, until)| **until <= now);
        let back: Vec<ZoneId> = back.map(|(zone, _)| zone.clone()).collect();
        for zone in back {
            self.zone_back(&zone, now, &mut update);
        }
        update
    }

    fn set_config(&mut self, config: Config, update: &mut Update) {
        if self.config.is_some() && config.version <= self.catalog.version() {
            let is_older = config.version < self.catalog.version();
            if let Some(restored) = update.restored.as_mut().filter(|_| is_older) {
                restored.older_config = Some(config.version);
            }
            return;
        }
        update.config = Some(config.version);
        self.catalog = Rc::new(Catalog::new(&config));
        self.config = Some(Rc::new(config));
    }

    fn set_endpoint(&mut self, endpoint: Endpoint, via: Via, now: BootTime, update: &mut Update) {
        let before = self.endpoints.get(&endpoint.id);
        let same = before.filter(|k| k.endpoint.start == endpoint.start);
        let mut known = Known {
            cold_until: (!endpoint.cold_for.is_zero()).then(|| now.after(endpoint.cold_for)),
            missing_until: None,
            still_leaving: same.is_some_and(|k| keeps_leaving(k, &endpoint, via)),
            unproven_until: same.and_then(|k| k.unproven_until).filter(|_| via != Via::Write),
            endpoint: Rc::new(endpoint),
        };
        let endpoint = &known.endpoint;
        if let Some(same) = same {
            known.cold_until = known.cold_until.max(same.cold_until);
        } else {
            update.appeared.push(endpoint.id.clone());
            if via != Via::First {
                let cold_time = self.catalog.service(&endpoint.service).map(|s| s.cold_time);
                known.cold_until = known.cold_until.max(cold_time.map(|time| now.after(time)));
            }
            if via == Via::Restored && self.gone.holds(endpoint, now) {
                known.unproven_until = Some(now.after(self.lapse));
            }
        }
        if endpoint.leaving && !same.is_some_and(|k| k.endpoint.leaving) {
            update.leaving.push(endpoint.id.clone());
        }
        if let Some(restored) = &mut update.restored {
            if known.still_leaving {
                restored.still_leaving.push(endpoint.id.clone());
            }
            if known.unproven_until.is_some() {
                restored.unproven.push(endpoint.id.clone());
            }
        }
        self.gone.forget(&endpoint.id);
        self.endpoints.insert(known.endpoint.id.clone(), known);
    }

    fn miss(&mut self, id: &str, hold: Duration, now: BootTime, update: &mut Update) {
        if hold.is_zero() {
            self.remove(id, now, update);
        } else if let Some(known) = self.endpoints.get_mut(id) {
            known.missing_until.get_or_insert(now.after(hold));
        }
    }

    fn remove(&mut self, id: &str, now: BootTime, update: &mut Update) {
        if let Some(known) = self.endpoints.remove(id) {
            self.gone.note(&known.endpoint, now);
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
            let cold_time = catalog.service(&known.endpoint.service).map(|s| s.cold_time);
            known.cold_until = known.cold_until.max(cold_time.map(|time| now.after(time)));
        }
        update.zones_back.push(zone.to_owned());
    }
}

/// Whether an endpoint that left goes on leaving though its `entry` says otherwise.
fn keeps_leaving(known: &Known, entry: &Endpoint, via: Via) -> bool {
    let left = match via {
        Via::Restored => known.endpoint.leaving || known.still_leaving,
        Via::List => known.still_leaving,
        Via::First | Via::Write => false,
    };
    left && !entry.leaving
}
