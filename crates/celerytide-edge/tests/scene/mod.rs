//! A group with its engines, and requests that arrive there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint, Service};
use celerytide_edge::coordinator::messages::{
    Block, Demand, FlightEntry, GroupKey, PlaceRequest, Reply, Report, Sign, Verdict,
};
use celerytide_edge::coordinator::{Engines, FlightKey, Group, Rooms};
use celerytide_edge::peers::digest::id_hash;
use celerytide_types::BootTime;

const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 1_000;
const SLOTS: u32 = 32;
const KEY: GroupKey = GroupKey { service: 1, group: 0 };

/// A request that asks for an engine.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Its number; 0 for the next one.
    pub id: u32,
    pub document: u64,
    /// Tokens of the document and of the request itself.
    pub shared: u32,
    pub own: u32,
    /// Blocks of the document.
    pub copies: u64,
    pub max_output_tokens: u32,
    pub max_gap_ms: u32,
    pub target_ms: u32,
    pub left_ms: u32,
    pub urgency: u16,
    pub customer: u32,
    pub tried: &'static [usize],
}

impl Ask {
    pub const SHORT: Ask = Ask {
        id: 0,
        document: 1,
        shared: 0,
        own: 500,
        copies: 1,
        max_output_tokens: 50,
        max_gap_ms: 0,
        target_ms: 500,
        left_ms: 4_000,
        urgency: 1,
        customer: 0,
        tried: &[],
    };
}

/// Kind of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    Placed,
    Queued,
    Refused,
    Unable,
}

fn seen(verdict: Verdict) -> Seen {
    match verdict {
        Verdict::Placed(_) => Seen::Placed,
        Verdict::Queued { .. } => Seen::Queued,
        Verdict::Refused { .. } => Seen::Refused,
        Verdict::Unable | Verdict::Stopping => Seen::Unable,
    }
}

pub struct Scene {
    /// Replies in order.
    pub seen: Vec<(u32, Seen)>,
    /// Whether the instance sends no reports.
    pub is_silent: bool,
    group: Group,
    service: Service,
    engines: Vec<KnownEndpoint>,
    from: SocketAddr,
    last_id: u32,
    now_ms: u64,
    /// Requests in flight.
    flights: BTreeMap<u32, FlightEntry>,
    placed: BTreeMap<u32, usize>,
}

fn known(id: &str) -> KnownEndpoint {
    KnownEndpoint::new(Rc::new(Endpoint {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: SocketAddr::from(([10, 1, 0, 1], 8000)),
        zone: "z".to_owned(),
        slots: SLOTS,
        leaving: false,
        cold_remaining: Duration::ZERO,
        start: None,
        version: String::new(),
        sequence: None,
    }))
}

impl Scene {
    pub fn new(engines: usize) -> Scene {
        Scene {
            seen: Vec::new(),
            is_silent: false,
            group: Group::default(),
            service: Service {
                id: "llm".to_owned(),
                cold_period: Duration::ZERO,
                cold_rate: 0.0,
                engine_slots: Some(SLOTS),
                engine_tokens: Some(171_003),
                max_connections: None,
                health_path: None,
            },
            engines: (0..engines).map(|n| known(&format!("e{n}"))).collect(),
            from: SocketAddr::from(([10, 0, 0, 1], 8229)),
            last_id: 0,
            now_ms: 0,
            flights: BTreeMap::new(),
            placed: BTreeMap::new(),
        }
    }

    /// A group in which all slots are in use, and prompts of `waiting` tokens wait at each engine.
    pub fn busy(engines: usize, waiting: u32) -> Scene {
        let mut scene = Scene::new(engines);
        for engine in 0..engines {
            scene.occupy(engine, SLOTS);
            scene.wait_at(engine, waiting);
        }
        scene
    }

    fn now(&self) -> BootTime {
        BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(self.now_ms))
    }

    pub fn last_id(&self) -> u32 {
        self.last_id
    }

    /// Asks for an engine and returns the number of the request.
    pub fn place(&mut self, ask: Ask) -> u32 {
        self.verdict(ask);
        if ask.id == 0 { self.last_id } else { ask.id }
    }

    pub fn verdict(&mut self, ask: Ask) -> Verdict {
        let id = if ask.id == 0 { self.next_id() } else { ask.id };
        let document = (0..ask.copies).filter(|_| ask.shared > 0).map(|n| Block {
            id: ask.document * 100 + n,
            tokens: ask.shared,
        });
        let own = Block {
            id: 1_000_000 + u64::from(id),
            tokens: ask.own,
        };
        let request = PlaceRequest {
            id,
            key: KEY,
            demand: Demand {
                blocks: document.chain([own]).collect(),
                tokens: ask.shared.saturating_add(ask.own),
                max_output_tokens: ask.max_output_tokens,
                max_gap_ms: ask.max_gap_ms,
                left_ms: ask.left_ms,
            },
            urgency: ask.urgency,
            customer: ask.customer,
            target_ms: ask.target_ms,
            is_idempotent: true,
            tried: ask.tried.iter().map(|engine| self.hash(*engine)).collect(),
        };
        let (from, now) = (self.from, self.now());
        let usable: Vec<&KnownEndpoint> = self.engines.iter().collect();
        let engines = Engines {
            service: &self.service,
            usable: &usable,
            rooms: &Rooms::new(),
        };
        let verdict = self.group.place(&request, from, None, engines, now);
        self.note(Reply { id, verdict });
        verdict
    }

    fn next_id(&mut self) -> u32 {
        self.last_id += 1;
        self.last_id
    }

    fn hash(&self, engine: usize) -> u32 {
        id_hash(&self.engines[engine].endpoint.id)
    }

    fn note(&mut self, reply: Reply) {
        self.seen.push((reply.id, seen(reply.verdict)));
        let Verdict::Placed(advice) = reply.verdict else { return };
        let engine = (0..self.engines.len()).find(|n| self.hash(*n) == advice.endpoint);
        self.placed.insert(reply.id, engine.expect("an engine"));
        let entry = FlightEntry {
            id: reply.id,
            endpoint: advice.endpoint,
            queued_tokens: advice.uncached,
            urgency: 0,
            tokens: 0,
            max_gap_ms: 0,
            left_ms: 600_000,
        };
        self.flights.insert(reply.id, entry);
    }

    /// The engine at which a request was placed.
    pub fn placed_at(&self, id: u32) -> Option<usize> {
        self.placed.get(&id).copied()
    }

    /// The last reply to a request that isn't `Queued`.
    pub fn answer(&self, id: u32) -> Option<Seen> {
        let mut answers = self.seen.iter().filter(|(of, seen)| *of == id && *seen != Seen::Queued);
        answers.next_back().map(|(_, seen)| *seen)
    }

    fn send(&mut self, endpoint: u32, queued_tokens: u32, tokens: u32, max_gap_ms: u32) -> u32 {
        let id = self.next_id();
        let entry = FlightEntry {
            id,
            endpoint,
            queued_tokens,
            urgency: 0,
            tokens,
            max_gap_ms,
            left_ms: 600_000,
        };
        self.flights.insert(id, entry);
        let now = self.now();
        self.group.note_sent(self.from, entry, &[], &self.service, now);
        id
    }

    /// Has an engine run requests whose first event has come.
    pub fn occupy(&mut self, engine: usize, count: u32) {
        for _ in 0..count {
            self.send(self.hash(engine), 0, 100, 0);
        }
    }

    /// Has a prompt wait at an engine.
    pub fn wait_at(&mut self, engine: usize, tokens: u32) {
        if tokens > 0 {
            self.send(self.hash(engine), tokens, 100, 0);
        }
    }

    /// Has an engine run a stream whose first event has come.
    pub fn stream_at(&mut self, engine: usize, ask: Ask) -> u32 {
        self.send(self.hash(engine), 0, ask.own, ask.max_gap_ms)
    }

    /// Sends a request to an endpoint that the group doesn't have, and ends it.
    pub fn note_unknown(&mut self, endpoint: u32) {
        let id = self.send(endpoint, 10, 10, 0);
        self.end(id);
    }

    pub fn end(&mut self, id: u32) {
        self.flights.remove(&id);
        let key = FlightKey { from: self.from, id };
        self.group.note_ended(key);
    }

    /// Ends a request although the coordinator isn't told.
    pub fn lose_end(&mut self, id: u32) {
        self.flights.remove(&id);
    }

    pub fn end_all(&mut self) {
        for id in 1..=self.last_id {
            self.end(id);
        }
    }

    pub fn outcome(&mut self, engine: usize, sign: Sign) {
        let (endpoint, now) = (self.hash(engine), self.now());
        let usable: Vec<&KnownEndpoint> = self.engines.iter().collect();
        let engines = Engines {
            service: &self.service,
            usable: &usable,
            rooms: &Rooms::new(),
        };
        self.group.note_outcome(endpoint, sign, engines, now);
    }

    /// Lets time pass, with ticks and reports.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        // Nothing changes between two reports once nothing waits.
        while self.now_ms < end {
            let step = if self.waiting() == 0 { REPORT_MS } else { TICK_MS };
            let reported = self.now_ms / REPORT_MS;
            self.now_ms = (self.now_ms + step).min(end);
            let now = self.now();
            if self.now_ms / REPORT_MS > reported && !self.is_silent {
                let report = Report {
                    key: KEY,
                    ids: (0, u32::MAX),
                    flights: self.flights.values().copied().collect(),
                };
                self.group.apply_report(self.from, &report, &self.service, now);
            }
            self.group.sweep(now);
            let usable: Vec<&KnownEndpoint> = self.engines.iter().collect();
            let engines = Engines {
                service: &self.service,
                usable: &usable,
                rooms: &Rooms::new(),
            };
            for (_, reply) in self.group.retry_waiting(|_| None, engines, now) {
                self.note(reply);
            }
        }
    }

    pub fn waiting(&self) -> usize {
        self.group.waiting()
    }

    pub fn waiting_at(&self, engine: usize) -> u64 {
        let state = self.group.ledger().engine(self.hash(engine));
        state.map_or(0, |engine| engine.queued_tokens())
    }

    /// How many of these endpoints the group knows.
    pub fn known_engines(&self, endpoints: Range<u32>) -> usize {
        endpoints.filter(|id| self.group.ledger().engine(*id).is_some()).count()
    }

    /// Requests that wait and that are in flight, and tokens that wait at all engines.
    pub fn totals(&self) -> (usize, usize, u64) {
        let ledger = self.group.ledger();
        (self.waiting(), ledger.flight_count(), ledger.queued_tokens())
    }
}
