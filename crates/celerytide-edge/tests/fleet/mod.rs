//! Instances, coordinators and engines in simulated time, with a network that delays, loses and reorders messages.
//!
//! Engines prefill prompts one after the other in order of arrival, at a fixed rate, and then need a fixed time for the
//! response.

mod asker;
mod network;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Endpoint, KnownEndpoint, Service};
use celerytide_edge::coordinator::groups::{GroupIndex, coordinators, group_count, group_of};
use celerytide_edge::coordinator::messages::{Block, Demand, GroupKey, PlaceRequest, Sign};
use celerytide_edge::coordinator::{Client, Group, Pending};
use celerytide_edge::peers::digest::id_hash;
use celerytide_edge::placement::{EndpointLoads, Reservation};
use celerytide_edge::protocol::{Prompt, PromptBlock};
use celerytide_types::BootTime;
use rand::SeedableRng;
use rand::rngs::StdRng;

use network::Action;

pub const SERVICE: &str = "llm";
/// Prefill rate of an engine, in tokens per millisecond.
const PREFILL_RATE: f64 = 39.3;
/// Interval between two ticks, which also sample the engines.
const TICK_MS: f64 = 10.0;
/// Time of prefill that waits at an overloaded engine.
const OVERLOAD_MS: f64 = 1_000.0;

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Tokens of the document and of the request itself.
    pub tokens: (u32, u32),
    pub target_ms: u32,
    pub max_gap_ms: u32,
    pub deadline_ms: u32,
    pub urgency: u16,
    /// Time that the response takes after its first event.
    pub response_ms: u32,
}

/// A request that arrives at an instance.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: f64,
    pub asker: usize,
    pub class: Class,
    pub document: u64,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    Open,
    Refused,
    Failed,
    /// First event after this time, in milliseconds.
    Started(f64),
}

pub struct Request {
    pub arrival: Arrival,
    pub fate: Fate,
    /// Endpoints that it was sent to.
    pub sent_to: Vec<usize>,
    number: u64,
    /// Counts what was sent for it, so that later timers are ignored.
    step: u32,
    id: u32,
    asked: Option<(SocketAddr, PlaceRequest, Rc<Pending>)>,
    unanswered: usize,
    is_queued: bool,
    sent_at_ms: f64,
    reservation: Option<Reservation>,
}

pub struct EngineModel {
    pub known: KnownEndpoint,
    pub group: GroupIndex,
    pub is_crashed: bool,
    /// Requests that were sent to it after it had crashed.
    pub unreached: usize,
    free_at: f64,
    cached: HashSet<u64>,
    running: Vec<usize>,
}

struct Asker {
    addr: SocketAddr,
    client: Client,
    loads: EndpointLoads,
}

/// Who places prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placing {
    Coordinators,
    /// Each instance, based on its own sends only.
    EachInstance,
}

#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub askers: usize,
    pub engines: usize,
    pub placing: Placing,
    /// Share of messages that are lost.
    pub loss: f64,
    pub seed: u64,
}

pub struct Fleet {
    pub requests: Vec<Request>,
    pub engines: Vec<EngineModel>,
    pub groups: BTreeMap<GroupIndex, Group>,
    /// Samples in which an engine was overloaded while another one of its group had nothing waiting.
    pub uneven_samples: usize,
    setup: Setup,
    service: Service,
    askers: Vec<Asker>,
    coordinators: BTreeMap<GroupIndex, SocketAddr>,
    actions: BTreeMap<(u64, u64), Action>,
    last_action: u64,
    now_ms: f64,
    rng: StdRng,
}

fn service() -> Service {
    Service {
        id: SERVICE.to_owned(),
        cold_period: Duration::ZERO,
        cold_rate: 0.0,
        engine_slots: Some(32),
        engine_tokens: Some(171_003),
        max_connections: None,
        health_path: None,
    }
}

fn engine(n: usize, count: GroupIndex) -> EngineModel {
    let id = format!("e{n}");
    let group = group_of(&id, count);
    let known = KnownEndpoint::new(Rc::new(Endpoint {
        id,
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([10, 1, 0, n as u8], 8000)),
        zone: "z".to_owned(),
        slots: 32,
        leaving: false,
        cold_remaining: Duration::ZERO,
        start: None,
        version: String::new(),
        sequence: None,
    }));
    EngineModel {
        known,
        group,
        is_crashed: false,
        unreached: 0,
        free_at: 0.0,
        cached: HashSet::new(),
        running: Vec::new(),
    }
}

fn key(group: GroupIndex) -> GroupKey {
    GroupKey {
        service: id_hash(SERVICE),
        group,
    }
}

impl Fleet {
    pub fn new(setup: Setup) -> Fleet {
        let count = group_count(setup.engines);
        let addrs: Vec<SocketAddr> = (0..setup.askers)
            .map(|n| SocketAddr::from(([10, 0, 0, n as u8], 8229)))
            .collect();
        let coordinator = |group| coordinators(SERVICE, group, &addrs)[0];
        let asker = |addr: &SocketAddr| Asker {
            addr: *addr,
            client: Client::default(),
            loads: EndpointLoads::default(),
        };
        Fleet {
            requests: Vec::new(),
            engines: (0..setup.engines).map(|n| engine(n, count)).collect(),
            groups: (0..count).map(|group| (group, Group::default())).collect(),
            uneven_samples: 0,
            service: service(),
            askers: addrs.iter().map(asker).collect(),
            coordinators: (0..count).map(|group| (group, coordinator(group))).collect(),
            actions: BTreeMap::new(),
            last_action: 0,
            now_ms: 0.0,
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
        }
    }

    /// Runs the arrivals and crashes of engines at these times, until `end_ms`.
    pub fn run(&mut self, arrivals: &[Arrival], crashes: &[(f64, usize)], end_ms: f64) {
        for (number, arrival) in arrivals.iter().enumerate() {
            self.requests.push(Request {
                arrival: *arrival,
                fate: Fate::Open,
                sent_to: Vec::new(),
                number: number as u64,
                step: 0,
                id: 0,
                asked: None,
                unanswered: 0,
                is_queued: false,
                sent_at_ms: 0.0,
                reservation: None,
            });
            self.schedule(arrival.at_ms, Action::Place(number));
        }
        for (at_ms, engine) in crashes {
            self.schedule(*at_ms, Action::Crash(*engine));
        }
        self.schedule(0.0, Action::Tick(0));
        while let Some(((at_us, _), action)) = self.actions.pop_first() {
            self.now_ms = at_us as f64 / 1000.0;
            if self.now_ms > end_ms {
                return;
            }
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Place(request) => self.place(request),
            Action::Timeout(request, step) if self.requests[request].step == step => self.time_out(request),
            Action::FirstByte(request, step) if self.requests[request].step == step => self.start(request),
            Action::End(request, step) if self.requests[request].step == step => self.end(request, Sign::Good),
            Action::Unreached(request, step) if self.requests[request].step == step => {
                self.end(request, Sign::Unreached);
            }
            Action::Timeout(..) | Action::FirstByte(..) | Action::End(..) | Action::Unreached(..) => {}
            Action::Deliver(from, to, packet) => self.deliver(from, to, packet),
            Action::Crash(engine) => self.crash(engine),
            Action::Tick(n) => self.tick(n),
        }
    }

    fn now(&self) -> BootTime {
        BootTime::from_start(Duration::from_secs_f64(1000.0 + self.now_ms / 1000.0))
    }

    fn prompt(&self, request: usize) -> Prompt {
        let Request { arrival, number, .. } = &self.requests[request];
        let (shared, own) = arrival.class.tokens;
        let block = |id, tokens| PromptBlock { id, tokens };
        Prompt {
            blocks: vec![block(arrival.document, shared), block(1_000_000 + number, own)],
            tokens: shared + own,
            max_output_tokens: 50,
        }
    }

    fn demand(&self, request: usize) -> Demand {
        let prompt = self.prompt(request);
        let Arrival { class, at_ms, .. } = self.requests[request].arrival;
        let left_ms = (at_ms + f64::from(class.deadline_ms) - self.now_ms).max(0.0);
        Demand {
            blocks: prompt
                .blocks
                .iter()
                .map(|b| Block {
                    id: b.id,
                    tokens: b.tokens,
                })
                .collect(),
            tokens: prompt.tokens,
            max_output_tokens: prompt.max_output_tokens,
            max_gap_ms: class.max_gap_ms,
            left_ms: left_ms as u32,
        }
    }
}
