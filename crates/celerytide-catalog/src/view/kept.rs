//! What a view keeps although a restored store says otherwise, for instances that don't know it.
//!
//! A process that starts after a restore has only the restored list, and would use endpoints that leave or are gone and
//! zones that are out of service. Its peers saw the lost writes.
//!
//! What a peer keeps is taken over as of the peer's position: later writes end it here as they do there. If the peer is
//! behind this view, a write that ended it may be known here already, so it is taken over for a short time only. Times
//! count from before the peer was asked, so that they don't grow when instances repeat them to each other.

use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ZoneId, data};

use super::replace::STILL_OUT;
use super::{KnownEndpoint, Position, Update, View};

/// Time for which the word of a peer counts that is behind this view: longer than a peer takes to catch up.
const BEHIND_TIME: Duration = Duration::from_secs(2);

data! {
    /// One start of an endpoint.
    pub struct EndpointStart {
        /// Id of the endpoint.
        pub id: EndpointId,
        /// Its start.
        pub start: Option<u64>,
    }

    /// An endpoint that isn't used for some time.
    pub struct Unproven {
        /// The endpoint.
        pub endpoint: EndpointStart,
        /// Rest of that time.
        pub remaining: Duration,
    }

    /// A zone that stays out of service for some time.
    pub struct StillOut {
        /// The zone.
        pub zone: ZoneId,
        /// Rest of that time.
        pub remaining: Duration,
    }

    /// What a view keeps although the restored store says otherwise.
    #[derive(Default)]
    pub struct Kept {
        /// Position of the view.
        pub position: Position,
        /// Endpoints that keep leaving.
        pub leaving: Vec<EndpointStart>,
        /// Endpoints that had been removed.
        pub unproven: Vec<Unproven>,
        /// Zones that stay out.
        pub zones_out: Vec<StillOut>,
    }
}

impl View {
    /// What this view keeps although the restored store says otherwise.
    pub fn kept(&self, now: BootTime) -> Kept {
        let leaving = self.endpoints.values().filter(|k| k.still_leaving);
        let unproven = self.endpoints.values().filter_map(|k| {
            let endpoint = endpoint_start(k);
            remaining(k.unproven_until?, now).map(|remaining| Unproven { endpoint, remaining })
        });
        let zones_out = self.still_out.iter().filter_map(|(zone, until)| {
            let zone = zone.clone();
            remaining(*until, now).map(|remaining| StillOut { zone, remaining })
        });
        Kept {
            position: self.position,
            leaving: leaving.map(endpoint_start).collect(),
            unproven: unproven.collect(),
            zones_out: zones_out.collect(),
        }
    }

    /// Takes over what a peer keeps that was asked at `asked_at`; ignored unless both know the same era.
    pub fn learn_kept(&mut self, kept: Kept, asked_at: BootTime) -> Update {
        let mut update = Update::default();
        if kept.position.era != self.position.era {
            return update;
        }
        let is_behind = kept.position < self.position;
        for endpoint in kept.leaving {
            if is_behind {
                self.learn_unproven(&endpoint, asked_at.after(BEHIND_TIME), &mut update);
            } else {
                self.learn_leaving(&endpoint, &mut update);
            }
        }
        let most = if is_behind { BEHIND_TIME } else { STILL_OUT };
        for Unproven { endpoint, remaining } in kept.unproven {
            self.learn_unproven(&endpoint, asked_at.after(remaining.min(most)), &mut update);
        }
        for StillOut { zone, remaining } in kept.zones_out {
            self.learn_zone_out(zone, asked_at.after(remaining.min(most)), &mut update);
        }
        update
    }

    fn learn_leaving(&mut self, start: &EndpointStart, update: &mut Update) {
        let known = self.known_start(start);
        if let Some(known) = known.filter(|k| !k.endpoint.leaving && !k.still_leaving) {
            known.still_leaving = true;
            update.leaving.push(start.id.clone());
        }
    }

    fn learn_unproven(&mut self, start: &EndpointStart, until: BootTime, update: &mut Update) {
        let known = self.known_start(start);
        if let Some(known) = known.filter(|k| k.unproven_until.is_none_or(|own| own < until)) {
            if known.unproven_until.is_none() {
                update.unproven.push(start.id.clone());
            }
            known.unproven_until = Some(until);
        }
    }

    fn learn_zone_out(&mut self, zone: ZoneId, until: BootTime, update: &mut Update) {
        if self.zones_out.insert(zone.clone()) {
            self.still_out.insert(zone.clone(), until);
            update.zones_out.push(zone);
        } else if let Some(own) = self.still_out.get_mut(&zone) {
            *own = until.max(*own);
        }
    }

    fn known_start(&mut self, start: &EndpointStart) -> Option<&mut KnownEndpoint> {
        let known = self.endpoints.get_mut(&start.id);
        known.filter(|k| k.endpoint.start == start.start)
    }
}

fn endpoint_start(known: &KnownEndpoint) -> EndpointStart {
    EndpointStart {
        id: known.endpoint.id.clone(),
        start: known.endpoint.start,
    }
}

/// Time until `until`; `None` once it has passed.
fn remaining(until: BootTime, now: BootTime) -> Option<Duration> {
    let remaining = until.since_start().checked_sub(now.since_start());
    remaining.filter(|remaining| !remaining.is_zero())
}
