//! State of an instance that asks coordinators: its requests, replies that it waits for, and what it has to tell them.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_types::BootTime;
use tokio::sync::Notify;

use super::messages::{Event, FlightEntry, GroupKey, PlacementId, Reply, Report, Verdict, wire_ms};

/// Time for which an instance that gave no reply in time isn't asked again; doubles if it gives none after that either.
const SUSPECT_FOR: Duration = Duration::from_secs(2);
/// Longest such time: membership forgets an instance after a similar one.
const MAX_SUSPECT_FOR: Duration = Duration::from_secs(32);
/// Requests in one report: its size stays well below that of a datagram.
const MAX_REPORTED: usize = 256;
/// Time for which an instance that is stopping isn't asked.
const STOPPING_FOR: Duration = Duration::from_secs(10);

/// Reply that a request waits for.
#[derive(Debug, Default)]
pub struct Pending {
    verdict: Cell<Option<Verdict>>,
    news: Notify,
}

impl Pending {
    /// The next reply.
    pub async fn next(&self) -> Verdict {
        loop {
            if let Some(verdict) = self.verdict.take() {
                return verdict;
            }
            self.news.notified().await;
        }
    }
}

/// An instance that isn't asked for some time.
#[derive(Debug, Clone, Copy)]
struct Avoidance {
    until: BootTime,
    length: Duration,
}

/// A request of this instance that is in flight at an engine.
#[derive(Debug, Clone)]
pub struct OwnFlight {
    /// Group of the engine.
    pub key: GroupKey,
    /// The coordinator that was told.
    pub coordinator: SocketAddr,
    /// The request as it was told first.
    pub entry: FlightEntry,
    /// When its caller stops waiting.
    pub deadline: BootTime,
}

/// State of an instance that asks coordinators.
#[derive(Debug, Default)]
pub struct Client {
    last_id: PlacementId,
    pending: HashMap<PlacementId, Rc<Pending>>,
    asked: HashMap<PlacementId, SocketAddr>,
    flights: BTreeMap<PlacementId, OwnFlight>,
    reported: BTreeSet<GroupKey>,
    avoided: HashMap<SocketAddr, Avoidance>,
    outbox: BTreeMap<SocketAddr, Vec<Event>>,
}

/// Reports of a group's requests, which are in the order of their numbers. Their ranges cover all numbers, so that a
/// request that none of them lists has ended.
fn split_report(key: GroupKey, flights: &[FlightEntry]) -> Vec<Report> {
    let mut first = 0;
    let mut reports = Vec::new();
    let mut parts = flights.chunks(MAX_REPORTED).peekable();
    while let Some(part) = parts.next() {
        let end = parts.peek().and(part.last()).map_or(PlacementId::MAX, |entry| entry.id);
        reports.push(Report {
            key,
            ids: (first, end),
            flights: part.to_vec(),
        });
        first = end.wrapping_add(1);
    }
    if reports.is_empty() {
        reports.push(Report {
            key,
            ids: (0, PlacementId::MAX),
            flights: Vec::new(),
        });
    }
    reports
}

impl Client {
    /// Creates the state of an instance that has asked nothing; its numbers follow `last_id`, which differs between starts
    /// of the same instance, since coordinators remember its requests for some seconds.
    pub fn new(last_id: PlacementId) -> Client {
        Client {
            last_id,
            ..Client::default()
        }
    }

    /// A number for the next request.
    pub fn next_id(&mut self) -> PlacementId {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    /// Adds an event to what is sent to `to` next.
    pub fn tell(&mut self, to: SocketAddr, event: Event) {
        self.outbox.entry(to).or_default().push(event);
    }

    /// Whether there are events to send.
    pub fn has_outgoing(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Takes the events to send.
    pub fn take_outgoing(&mut self) -> BTreeMap<SocketAddr, Vec<Event>> {
        std::mem::take(&mut self.outbox)
    }

    /// Expects replies to a request that `coordinator` is asked about.
    pub fn expect(&mut self, id: PlacementId, coordinator: SocketAddr) -> Rc<Pending> {
        self.asked.insert(id, coordinator);
        self.pending.entry(id).or_default().clone()
    }

    /// Applies a reply. A request that is no longer expected was placed otherwise: its coordinator is told so.
    pub fn apply_reply(&mut self, from: SocketAddr, reply: Reply) {
        let Some(pending) = self.pending.get(&reply.id) else {
            let is_counted = matches!(reply.verdict, Verdict::Placed(_) | Verdict::Queued { .. });
            if is_counted && !self.flights.contains_key(&reply.id) {
                self.tell(from, Event::Ended { id: reply.id });
            }
            return;
        };
        // A coordinator may be asked again after a reply in time. A late reply doesn't count, since a slow coordinator would
        // delay each request.
        self.avoided.remove(&from);
        let earlier = pending.verdict.take();
        let only_waits = matches!(reply.verdict, Verdict::Queued { .. });
        pending
            .verdict
            .set(earlier.filter(|_| only_waits).or(Some(reply.verdict)));
        pending.news.notify_one();
    }

    /// Records that a request is in flight.
    pub fn begin(&mut self, id: PlacementId, flight: OwnFlight) {
        self.pending.remove(&id);
        self.asked.remove(&id);
        self.flights.insert(id, flight);
    }

    /// Records the first byte of a response.
    pub fn start(&mut self, id: PlacementId, took: Duration) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.entry.queued_tokens = 0;
        let to = flight.coordinator;
        let took_ms = wire_ms(took);
        self.tell(to, Event::Started { id, took_ms });
    }

    /// Ends a request, or gives up asking for it.
    pub fn end(&mut self, id: PlacementId) {
        self.pending.remove(&id);
        let told = self.flights.remove(&id).map(|flight| flight.coordinator);
        let asked = self.asked.remove(&id);
        if let Some(to) = told.or(asked) {
            self.tell(to, Event::Ended { id });
        }
    }

    /// Records that `coordinator` gave no reply in time. Has no effect while it isn't
    /// asked anyway, since several requests may miss their replies at once.
    pub fn suspect(&mut self, coordinator: SocketAddr, now: BootTime) {
        if !self.trusts(coordinator, now) {
            return;
        }
        let previous = self.avoided.get(&coordinator).map(|suspicion| suspicion.length);
        let length = previous.map_or(SUSPECT_FOR, |length| (length * 2).min(MAX_SUSPECT_FOR));
        self.avoid(coordinator, length, now);
    }

    /// Records that `coordinator` is stopping.
    pub fn note_stopping(&mut self, coordinator: SocketAddr, now: BootTime) {
        self.avoid(coordinator, STOPPING_FOR, now);
    }

    fn avoid(&mut self, coordinator: SocketAddr, length: Duration, now: BootTime) {
        let until = now.after(length);
        self.avoided.insert(coordinator, Avoidance { until, length });
    }

    /// Whether an instance may be asked.
    pub fn trusts(&self, coordinator: SocketAddr, now: BootTime) -> bool {
        self.avoided
            .get(&coordinator)
            .is_none_or(|suspicion| suspicion.until <= now)
    }

    /// All requests in flight by group, for the coordinators; a group without any is reported once more, since the last
    /// event may have been lost.
    pub fn reports(&mut self, now: BootTime) -> Vec<Report> {
        self.avoided
            .retain(|_, suspicion| now.since(suspicion.until) < MAX_SUSPECT_FOR);
        let mut reports: BTreeMap<GroupKey, Vec<FlightEntry>> = BTreeMap::new();
        for key in std::mem::take(&mut self.reported) {
            reports.insert(key, Vec::new());
        }
        for flight in self.flights.values() {
            let entry = FlightEntry {
                left_ms: wire_ms(flight.deadline.since(now)),
                ..flight.entry
            };
            reports.entry(flight.key).or_default().push(entry);
            self.reported.insert(flight.key);
        }
        reports
            .into_iter()
            .flat_map(|(key, flights)| split_report(key, &flights))
            .collect()
    }

    /// Sends later events about the requests of a group to another coordinator.
    pub fn redirect(&mut self, key: GroupKey, coordinator: SocketAddr) {
        for flight in self.flights.values_mut().filter(|flight| flight.key == key) {
            flight.coordinator = coordinator;
        }
    }

    /// Requests in flight.
    pub fn flight_count(&self) -> usize {
        self.flights.len()
    }
}
