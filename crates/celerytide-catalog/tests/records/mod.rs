//! Records of endpoints, and a view to which they come.
#![allow(dead_code)]

use std::time::Duration;

use celerytide_catalog::{CallerLimits, Change, Config, Endpoint, Position, Service, Snapshot, View};
use celerytide_types::BootTime;

/// Time for which missing records are kept after an outage of the store.
pub const REMOVAL_DELAY: Duration = Duration::from_millis(1800);
/// Time after which the store drops the record of a dead endpoint.
pub const RECORD_TTL: Duration = Duration::from_millis(4800);
/// Revision of the first list.
pub const FIRST_REVISION: u64 = 100;
/// Port of an endpoint's first start; a later start listens on the next one.
pub const FIRST_PORT: u16 = 80;

pub fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

pub fn pos(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

pub fn config(version: u64) -> Config {
    Config {
        version,
        routes: Vec::new(),
        services: vec![Service {
            id: "s".to_owned(),
            cold_period: Duration::from_secs(3),
            cold_rate: 18.0,
            engine_slots: None,
            engine_tokens: None,
            max_connections: None,
            health_path: None,
        }],
        customers: None,
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(1),
        },
    }
}

pub fn record(start: u64, sequence: Option<u64>, leaving: bool) -> Endpoint {
    Endpoint {
        id: "a".to_owned(),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], FIRST_PORT + start as u16).into(),
        zone: "z".to_owned(),
        slots: 6,
        leaving,
        cold_remaining: Duration::ZERO,
        start: Some(start),
        version: String::new(),
        sequence,
    }
}

pub fn ready(start: u64, sequence: u64) -> Endpoint {
    record(start, Some(sequence), false)
}

pub fn leaving(start: u64, sequence: u64) -> Endpoint {
    record(start, Some(sequence), true)
}

/// A record in a message of an earlier release.
pub fn untold(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        sequence: None,
        ..endpoint
    }
}

/// The record of another endpoint.
pub fn other(id: &str, endpoint: Endpoint) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        ..endpoint
    }
}

pub fn written(endpoint: Endpoint) -> Vec<Change> {
    vec![Change::Endpoint(endpoint)]
}

pub fn gone() -> Vec<Change> {
    vec![Change::EndpointGone("a".to_owned())]
}

/// A list with these records of an endpoint, and one of another endpoint of its service.
pub fn list(position: Position, mut endpoints: Vec<Endpoint>) -> Snapshot {
    endpoints.push(other("b", ready(1, 1)));
    Snapshot {
        read_to: position.revision,
        position,
        config: Some(config(7)),
        endpoints,
        zones_out: Vec::new(),
    }
}

/// What reaches the view.
#[derive(Clone, Copy)]
pub enum Event {
    /// Changes of a watch or a relay; none if the store says that nothing has changed.
    Changes(fn() -> Vec<Change>),
    /// Changes in the first response after an outage of the store.
    AfterOutage(fn() -> Vec<Change>),
    /// A list of the same era, from the store or from a peer.
    List(fn() -> Vec<Endpoint>),
    /// A list of a store that was restored from a backup.
    RestoredList(fn() -> Vec<Endpoint>),
    /// Nothing: the store is silent.
    Silence,
}

/// An event, and the start that is used after it.
pub struct Step {
    pub at_ms: u64,
    pub event: Event,
    pub used: Option<u64>,
}

pub const fn step(at_ms: u64, event: Event, used: Option<u64>) -> Step {
    Step { at_ms, event, used }
}

/// The store says that nothing has changed.
pub const UNCHANGED: Event = Event::Changes(Vec::new);

pub fn used(view: &View, ms: u64) -> Option<u64> {
    let mut usable = view.usable("s", at(ms));
    usable.find(|known| known.endpoint.id == "a")?.endpoint.start
}

/// Applies events to a view as they come from the store.
pub struct Feed {
    pub view: View,
    pub position: Position,
}

impl Feed {
    pub fn new(known: Endpoint) -> Feed {
        let position = pos(1, FIRST_REVISION);
        let mut view = View::new(RECORD_TTL);
        view.replace(list(position, vec![known]), Duration::ZERO, at(0));
        Feed { view, position }
    }

    pub fn changes(&mut self, changes: Vec<Change>, removal_delay: Duration, ms: u64) {
        self.position.revision += changes.len() as u64;
        self.view.apply(changes, self.position, removal_delay, at(ms));
    }

    pub fn play(&mut self, event: Event, ms: u64) {
        match event {
            Event::Changes(changes) => self.changes(changes(), Duration::ZERO, ms),
            Event::AfterOutage(changes) => self.changes(changes(), REMOVAL_DELAY, ms),
            Event::List(endpoints) => {
                self.position.revision += 1;
                let listed = list(self.position, endpoints());
                self.view.replace(listed, Duration::ZERO, at(ms));
            }
            Event::RestoredList(endpoints) => {
                self.position = pos(self.position.era + 1, self.position.revision - 50);
                let listed = list(self.position, endpoints());
                self.view.replace(listed, REMOVAL_DELAY, at(ms));
            }
            Event::Silence => {}
        }
        self.view.expire(at(ms));
    }
}
