//! What a view makes of a whole list: the first one, one of the era that is known, or one of a copy that was restored.

use std::collections::BTreeSet;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ZoneId};

use super::{Endpoint, Position, Restored, Snapshot, Update, Via, View};

/// Time for which an availability zone stays out that a restored list lacks: longer than it takes an operator's tool to
/// write it again.
const STILL_OUT: Duration = Duration::from_secs(30);

impl View {
    /// Takes a whole list. Endpoints absent from it stay for `hold`, since entries that lapsed while the store was
    /// away come back shortly after it; with a `hold` of zero they go at once. A snapshot that is older than the view
    /// changes nothing.
    pub fn replace(&mut self, snapshot: Snapshot, hold: Duration, now: BootTime) -> Update {
        let mut update = Update::default();
        if self.is_past(snapshot.position) {
            return update;
        }
        let via = match self.position {
            Position { revision: 0, .. } => Via::First,
            before if before.era < snapshot.position.era => Via::Restored,
            _ => Via::List,
        };
        if via == Via::Restored {
            update.restored = Some(Restored {
                from: self.position,
                to: snapshot.position,
                ..Restored::default()
            });
        }
        self.position = snapshot.position;
        self.read_to = snapshot.read_to;
        self.batches.clear();
        if let Some(config) = snapshot.config {
            self.set_config(config, &mut update);
        }
        self.replace_endpoints(snapshot.endpoints, via, hold, now, &mut update);
        self.replace_zones(snapshot.zones_out, via, now, &mut update);
        update
    }

    fn replace_endpoints(
        &mut self,
        listed: Vec<Endpoint>,
        via: Via,
        hold: Duration,
        now: BootTime,
        update: &mut Update,
    ) {
        let mut absent: BTreeSet<EndpointId> = self.endpoints.keys().cloned().collect();
        for endpoint in listed {
            if via == Via::Restored && self.knows_later_start(&endpoint) {
                continue;
            }
            absent.remove(&endpoint.id);
            self.set_endpoint(endpoint, via, now, update);
        }
        for id in &absent {
            self.miss(id, hold, now, update);
        }
        if let Some(restored) = &mut update.restored {
            restored.missing = absent.into_iter().collect();
        }
    }

    fn knows_later_start(&self, listed: &Endpoint) -> bool {
        let known = self.endpoints.get(&listed.id);
        known.is_some_and(|k| listed.start < k.endpoint.start)
    }

    fn replace_zones(&mut self, zones: Vec<ZoneId>, via: Via, now: BootTime, update: &mut Update) {
        let out: BTreeSet<ZoneId> = zones.into_iter().collect();
        let absent: Vec<ZoneId> = self.zones_out.difference(&out).cloned().collect();
        for zone in absent {
            if via == Via::Restored {
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
