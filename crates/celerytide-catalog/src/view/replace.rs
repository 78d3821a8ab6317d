//! Applies a whole list to a view: the first list, one of the known era, or one of a restored store.

use std::collections::BTreeSet;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ZoneId};

use super::{Endpoint, Position, RecordSource, Restored, Snapshot, Update, View};

/// Time for which an availability zone stays out although a restored list omits it: longer than an operator's tool
/// needs to write it again.
pub(super) const STILL_OUT: Duration = Duration::from_secs(30);

impl View {
    /// Applies a whole list. Endpoints absent from it stay for `removal_delay`, since records that expired while the
    /// store was unavailable return shortly after the outage; with a delay of zero they are removed at once. A snapshot
    /// older than the view changes nothing.
    pub fn replace(&mut self, snapshot: Snapshot, removal_delay: Duration, now: BootTime) -> Update {
        let mut update = Update::default();
        if self.is_stale(snapshot.position) {
            return update;
        }
        let source = match self.position {
            Position { revision: 0, .. } => RecordSource::FirstList,
            previous if previous.era < snapshot.position.era => RecordSource::RestoredList,
            _ => RecordSource::List,
        };
        if source == RecordSource::RestoredList {
            update.restored = Some(Restored {
                from: self.position,
                to: snapshot.position,
                ..Restored::default()
            });
        }
        self.position = snapshot.position;
        self.is_after_outage = !removal_delay.is_zero();
        self.read_to = snapshot.read_to;
        self.batches.clear();
        if let Some(config) = snapshot.config {
            self.set_config(config, &mut update);
        }
        self.replace_endpoints(snapshot.endpoints, source, removal_delay, now, &mut update);
        self.replace_zones(snapshot.zones_out, source, now, &mut update);
        self.apply_proofs(removal_delay, now, &mut update);
        update
    }

    fn replace_endpoints(
        &mut self,
        listed: Vec<Endpoint>,
        source: RecordSource,
        removal_delay: Duration,
        now: BootTime,
        update: &mut Update,
    ) {
        let mut absent: BTreeSet<EndpointId> = self.endpoints.keys().cloned().collect();
        for endpoint in listed {
            if source == RecordSource::RestoredList && self.knows_later_start(&endpoint) {
                continue;
            }
            absent.remove(&endpoint.id);
            self.set_endpoint(endpoint, source, now, update);
        }
        for id in &absent {
            self.mark_missing(id, removal_delay, now, update);
        }
        if let Some(restored) = &mut update.restored {
            restored.missing = absent.into_iter().collect();
        }
    }

    fn knows_later_start(&self, listed: &Endpoint) -> bool {
        let known = self.endpoints.get(&listed.id);
        known.is_some_and(|k| listed.start < k.endpoint.start)
    }

    fn replace_zones(&mut self, zones: Vec<ZoneId>, source: RecordSource, now: BootTime, update: &mut Update) {
        let out: BTreeSet<ZoneId> = zones.into_iter().collect();
        let absent: Vec<ZoneId> = self.zones_out.difference(&out).cloned().collect();
        for zone in absent {
            if source == RecordSource::RestoredList {
                self.still_out.insert(zone.clone(), now.after(STILL_OUT));
            }
            match &mut update.restored {
                Some(restored) => restored.still_out.push(zone),
                None if self.still_out.contains_key(&zone) => {}
                None => self.zone_back(&zone, now, update),
            }
        }
        for zone in out {
            self.zone_out(zone, update);
        }
    }
}
