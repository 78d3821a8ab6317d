//! Orders the records of an endpoint by what the endpoint itself wrote.
//!
//! Handles this fault: the store performs a write late, after later writes of the same endpoint, or after the endpoint
//! left and its record was deleted. The store's revision then says that the record is new. Its start and sequence say
//! when the endpoint wrote it.
//!
//! An older record doesn't change what is known. A record that brings back a removed endpoint may be a late one too, and
//! its sequence doesn't tell: a heartbeat that changes nothing else isn't published, so the newest known sequence lags
//! behind. In both cases the store drops the record after a time unless a live endpoint renews it. If the store still has
//! it after that time, it holds: then the endpoint lives, and its clock or its counter was set back.
//!
//! Where nobody remembers the removal, a record looks like the first one of an endpoint, except for its sequence: one that is
//! higher than an endpoint's first records have waits for the proof too. It doesn't after an outage of the store, in which
//! records of live endpoints lapse.
//!
//! However many endpoints return, none is used before that: several may leave at a time. Where more than half of a
//! service's endpoints wait, the store may have lost them, and the rest can't carry the service. Then the endpoints
//! themselves are asked, and one that says that it is healthy and doesn't leave is used at once.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::BootTime;

use super::{Change, Endpoint, KnownEndpoint, RecordSource, Sequence, Update, View};

/// Highest sequence of a first record: the first writes of an endpoint may be lost.
const FIRST_SEQUENCES: Sequence = 3;

/// How a record relates to the newest known one of the same endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// It is of an earlier start, or was written before.
    Older,
    /// It is of the same start, and at least one of the two has no sequence.
    Unordered,
    /// It has the same sequence.
    Same,
    /// It was written later by the same start.
    Newer,
    /// It is of another start, which isn't earlier.
    OtherStart,
}

/// A time during which an endpoint isn't used since it may be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Doubt {
    /// Ends at this time.
    Until(BootTime),
    /// Ends with the first response of the store after this time that still has the record.
    Unproven(BootTime),
}

impl Doubt {
    /// End of the doubt, or the earliest time of a proof.
    pub(super) fn until(self) -> BootTime {
        match self {
            Doubt::Until(until) | Doubt::Unproven(until) => until,
        }
    }

    pub(super) fn is_over(self, now: BootTime) -> bool {
        matches!(self, Doubt::Until(until) if until <= now)
    }
}

/// A record that the store holds although a newer one is known.
#[derive(Debug, Clone)]
pub(super) struct Outdated {
    /// The record.
    pub(super) endpoint: Rc<Endpoint>,
    /// Time from which it holds if the store still has it.
    pub(super) proven_at: BootTime,
}

fn order(known: &KnownEndpoint, record: &Endpoint) -> Order {
    let (known_start, start) = (known.endpoint.start, record.start);
    if known_start.zip(start).is_some_and(|(known, start)| start < known) {
        return Order::Older;
    }
    if known_start != start {
        return Order::OtherStart;
    }
    match (known.newest, record.sequence) {
        // Nothing but the order of the store is known.
        (None, None) => Order::Newer,
        (Some(known), Some(sequence)) if sequence < known => Order::Older,
        (Some(known), Some(sequence)) if sequence == known => Order::Same,
        (Some(_), Some(_)) => Order::Newer,
        _ => Order::Unordered,
    }
}

impl KnownEndpoint {
    pub(super) fn is_leaving(&self) -> bool {
        self.endpoint.leaving || self.still_leaving
    }

    fn is_doubted(&self, now: BootTime) -> bool {
        self.doubt.is_some_and(|doubt| !doubt.is_over(now))
    }

    /// Whether `record` must not replace what is known. Only a record that is surely newer ends a departure that the
    /// endpoint itself reported.
    pub(super) fn outlasts(&self, record: &Endpoint) -> bool {
        match order(self, record) {
            Order::Older => true,
            Order::Unordered => self.endpoint.leaving && !record.leaving,
            Order::Same => self.is_leaving() && !record.leaving,
            Order::Newer | Order::OtherStart => false,
        }
    }

    /// Whether the endpoint keeps leaving although its `record`, which doesn't have to be older, says that it isn't.
    pub(super) fn keeps_leaving(&self, record: &Endpoint, source: RecordSource) -> bool {
        let was_leaving = match source {
            RecordSource::RestoredList => self.is_leaving(),
            RecordSource::List => self.still_leaving,
            RecordSource::FirstList | RecordSource::Write => false,
        };
        let is_newer = record.sequence.is_some() && order(self, record) == Order::Newer;
        was_leaving && !record.leaving && !is_newer
    }

    /// Notes that the store holds an older `record`. If the endpoint's own one was deleted, an older one of the same start
    /// doesn't prove that it lives, but hides its next heartbeats.
    fn set_outdated(&mut self, record: Endpoint, proven_at: BootTime) {
        if record.start == self.endpoint.start && self.missing_until.take().is_some() {
            self.doubt = Some(Doubt::Unproven(proven_at));
        }
        let is_same =
            |held: &Outdated| held.endpoint.start == record.start && held.endpoint.sequence == record.sequence;
        let held = self.outdated.as_ref().filter(|held| is_same(held));
        self.outdated = Some(Outdated {
            proven_at: held.map_or(proven_at, |held| held.proven_at),
            endpoint: Rc::new(record),
        });
    }

    fn proven_at(&self) -> Option<BootTime> {
        if self.missing_until.is_some() {
            return None;
        }
        let outdated = self.outdated.as_ref().map(|outdated| outdated.proven_at);
        let doubt = match self.doubt {
            Some(Doubt::Unproven(until)) => Some(until),
            Some(Doubt::Until(_)) | None => None,
        };
        outdated.into_iter().chain(doubt).min()
    }

    /// The store's records may outlast an outage, so that a proof takes the whole time again.
    fn restart_proof(&mut self, proven_at: BootTime) {
        if let Some(Doubt::Unproven(until)) = &mut self.doubt {
            *until = proven_at;
        }
        if let Some(outdated) = &mut self.outdated {
            outdated.proven_at = proven_at;
        }
    }

    /// Ends what the store's response at `now` disproves; returns the record that holds from now on, if another one does.
    fn prove(&mut self, now: BootTime) -> Option<Rc<Endpoint>> {
        if self.missing_until.is_some() {
            return None;
        }
        if self.doubt.is_some_and(|doubt| doubt.until() <= now) {
            self.is_proven = matches!(self.doubt.take(), Some(Doubt::Unproven(_)));
        }
        let proven = self.outdated.take_if(|outdated| outdated.proven_at <= now);
        proven.map(|outdated| outdated.endpoint)
    }
}

impl View {
    /// Whether a record that the store has just written, of an endpoint that isn't known, may be a late one of an endpoint
    /// whose removal nobody remembers.
    pub(super) fn may_be_unremembered(&self, record: &Endpoint, source: RecordSource) -> bool {
        let is_first = record.sequence.is_none_or(|sequence| sequence <= FIRST_SEQUENCES);
        source == RecordSource::Write && !is_first && !self.is_after_outage
    }

    /// Whether an endpoint waits for a proof.
    pub fn has_doubted(&self, now: BootTime) -> bool {
        self.endpoints.values().any(|known| known.is_doubted(now))
    }

    /// Endpoints that wait for a proof, of services of which more than half do: they are to be asked.
    pub fn to_be_asked(&self, now: BootTime) -> Vec<Rc<Endpoint>> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for known in self.endpoints.values().filter(|known| !known.is_leaving()) {
            let (all, doubted) = counts.entry(&known.endpoint.service).or_default();
            *all += 1;
            *doubted += usize::from(known.is_doubted(now));
        }
        let is_short = |service: &str| counts.get(service).is_some_and(|(all, doubted)| doubted * 2 > *all);
        let doubted = self.endpoints.values().filter(|known| known.is_doubted(now));
        let doubted = doubted.filter(|known| !known.is_leaving() && is_short(&known.endpoint.service));
        doubted.map(|known| known.endpoint.clone()).collect()
    }

    /// Applies that an endpoint said of itself that it is healthy and doesn't leave.
    pub fn learn_alive(&mut self, id: &str, start: Option<u64>) -> Update {
        let mut update = Update::default();
        let known = self.endpoints.get_mut(id).filter(|known| known.endpoint.start == start);
        if let Some(known) = known.filter(|known| known.doubt.is_some()) {
            known.doubt = None;
            known.is_proven = true;
            update.alive.push(id.to_owned());
        }
        update
    }

    /// Earliest time from which a response of the store may prove something.
    pub fn next_proof(&self) -> Option<BootTime> {
        self.endpoints.values().filter_map(KnownEndpoint::proven_at).min()
    }

    /// Keeps what is known of an endpoint for which the store holds an older record.
    pub(super) fn keep_newer(&mut self, record: Endpoint, source: RecordSource, now: BootTime, update: &mut Update) {
        let proven_at = now.after(self.record_ttl);
        let Some(known) = self.endpoints.get_mut(&record.id) else {
            return;
        };
        update.outdated.push(record.id.clone());
        if let Some(restored) = update.restored.as_mut().filter(|_| known.is_leaving()) {
            restored.still_leaving.push(record.id.clone());
        }
        known.still_leaving |= source == RecordSource::RestoredList && known.is_leaving();
        known.set_outdated(record, proven_at);
    }

    /// Applies what a response of the store at `now` proves. After an outage (`removal_delay` isn't zero), it proves
    /// nothing yet.
    pub(super) fn apply_proofs(&mut self, removal_delay: Duration, now: BootTime, update: &mut Update) {
        if !removal_delay.is_zero() {
            let proven_at = now.after(self.record_ttl);
            self.endpoints
                .values_mut()
                .for_each(|known| known.restart_proof(proven_at));
            return;
        }
        let proven: Vec<Rc<Endpoint>> = self
            .endpoints
            .values_mut()
            .filter_map(|known| known.prove(now))
            .collect();
        for endpoint in proven {
            self.endpoints.remove(&endpoint.id);
            // Followers that got the newer record in a snapshot don't know this one.
            self.unrelayed.push(Change::Endpoint((*endpoint).clone()));
            self.set_endpoint((*endpoint).clone(), RecordSource::List, now, update);
            if let Some(known) = self.endpoints.get_mut(&endpoint.id) {
                known.is_proven = true;
            }
        }
    }
}
