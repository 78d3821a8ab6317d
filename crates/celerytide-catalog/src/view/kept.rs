//! What a view keeps although the store says otherwise, for instances that don't know it.
//!
//! A process that starts after a restore has only the restored list, and would use endpoints that leave or are gone and
//! zones that are out of service. The same holds after a late write, which puts an older record of an endpoint into the
//! store. Its peers saw the writes that are lost or undone.
//!
//! What a peer keeps is taken over as of the peer's position: later writes end it here as they do there. If the peer is
//! behind this view, a write that ended it may be known here already, so it is taken over for a short time only. Times
//! count from before the peer was asked, so that they don't grow when instances repeat them to each other. What the store
//! has proved here, no peer undoes.

use std::cmp::Ordering;
use std::time::Duration;

use celerytide_types::{BootTime, EndpointId, ZoneId, data};

use super::order::{Doubt, Outdated};
use super::replace::STILL_OUT;
use super::{KnownEndpoint, Position, Sequence, Update, View};

/// Time for which the word of a peer counts that is behind this view: longer than a peer takes to catch up.
const BEHIND_TIME: Duration = Duration::from_secs(2);

/// Time after a removal for which new instances are told of it: longer than a write is late.
const LATE_WRITE_TIME: Duration = Duration::from_secs(15);

data! {
    /// One start of an endpoint.
    pub struct EndpointStart {
        /// Id of the endpoint.
        pub id: EndpointId,
        /// Its start.
        pub start: Option<u64>,
        /// Highest known sequence of that start. Messages carry it in a field of their own, as that of an endpoint.
        #[serde(skip)]
        pub newest: Option<Sequence>,
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

    /// What a view keeps although the store says otherwise.
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
    /// What this view keeps although the store says otherwise.
    pub fn kept(&self, now: BootTime) -> Kept {
        let leaving = self.endpoints.values().filter(|k| k.is_told_as_leaving());
        let unproven = self.endpoints.values().filter_map(|k| {
            let (endpoint, until) = k.unproven()?;
            remaining(until, now).map(|remaining| Unproven { endpoint, remaining })
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
            match self.compare_newest(&endpoint) {
                Some(Ordering::Greater) => {}
                None | Some(Ordering::Equal) if is_behind => {
                    self.learn_unproven(&endpoint, asked_at.after(BEHIND_TIME), &mut update);
                }
                _ => self.learn_leaving(&endpoint, asked_at, &mut update),
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

    /// Compares the newest record known here with the newest one that the peer knows.
    fn compare_newest(&mut self, start: &EndpointStart) -> Option<Ordering> {
        let own = self.known_start(start).and_then(|k| k.newest);
        own.zip(start.newest).map(|(own, newest)| own.cmp(&newest))
    }

    /// Starts that were removed so recently that a late write may bring them back.
    pub fn recently_removed(&self, now: BootTime) -> Vec<EndpointStart> {
        self.removed.since(LATE_WRITE_TIME, now).collect()
    }

    /// Takes over which starts a peer knows to be removed; those that are known here are not.
    pub fn learn_removed(&mut self, removed: Vec<EndpointStart>, now: BootTime) {
        for start in removed {
            if !self.endpoints.contains_key(&start.id) {
                self.removed.learn(start, now);
            }
        }
    }

    fn learn_leaving(&mut self, start: &EndpointStart, asked_at: BootTime, update: &mut Update) {
        let proven_at = asked_at.after(self.record_ttl);
        let known = self.known_start(start);
        if let Some(known) = known.filter(|k| !k.is_leaving()) {
            known.still_leaving = true;
            known.newest = known.newest.max(start.newest);
            let endpoint = known.endpoint.clone();
            known.outdated = start.newest.map(|_| Outdated { endpoint, proven_at });
            update.leaving.push(start.id.clone());
        }
    }

    fn learn_unproven(&mut self, start: &EndpointStart, until: BootTime, update: &mut Update) {
        let known = self.known_start(start);
        if let Some(known) = known.filter(|k| k.may_doubt(until)) {
            if known.doubt.is_none() {
                update.unproven.push(start.id.clone());
            }
            known.doubt = Some(Doubt::Until(until));
            known.newest = known.newest.max(start.newest);
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

    /// The endpoint of which a peer tells, unless the store has proved the record.
    fn known_start(&mut self, start: &EndpointStart) -> Option<&mut KnownEndpoint> {
        let known = self.endpoints.get_mut(&start.id);
        known.filter(|k| k.endpoint.start == start.start && !k.is_proven)
    }
}

impl KnownEndpoint {
    /// Whether peers that have only the store's record must learn that it leaves.
    fn is_told_as_leaving(&self) -> bool {
        let is_undone = self.outdated.as_ref().is_some_and(|held| self.is_of_start(held));
        self.still_leaving || self.endpoint.leaving && is_undone
    }

    /// The start that isn't used, and for how long: this one, or an earlier one whose record the store holds.
    fn unproven(&self) -> Option<(EndpointStart, BootTime)> {
        let earlier = self.outdated.as_ref().filter(|held| !self.is_of_start(held));
        if let Some(Outdated { endpoint, proven_at }) = earlier {
            let start = EndpointStart {
                id: endpoint.id.clone(),
                start: endpoint.start,
                newest: endpoint.sequence,
            };
            return Some((start, *proven_at));
        }
        self.doubt.map(|doubt| (endpoint_start(self), doubt.until()))
    }

    /// Whether the word of a peer adds to what is known. A doubt of one's own ends by a proof, and a peer's word doesn't put
    /// that off.
    fn may_doubt(&self, until: BootTime) -> bool {
        match self.doubt {
            None => true,
            Some(Doubt::Until(own)) => own < until,
            Some(Doubt::Unproven(_)) => false,
        }
    }

    fn is_of_start(&self, held: &Outdated) -> bool {
        held.endpoint.start == self.endpoint.start
    }
}

fn endpoint_start(known: &KnownEndpoint) -> EndpointStart {
    EndpointStart {
        id: known.endpoint.id.clone(),
        start: known.endpoint.start,
        newest: known.newest,
    }
}

/// Time until `until`; `None` once it has passed.
fn remaining(until: BootTime, now: BootTime) -> Option<Duration> {
    let remaining = until.since_start().checked_sub(now.since_start());
    remaining.filter(|remaining| !remaining.is_zero())
}
