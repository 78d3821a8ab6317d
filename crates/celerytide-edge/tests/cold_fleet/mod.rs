//! Instances and a store in simulated time: what each instance knows, and what all start at cold endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::Result;
use celerytide_catalog::{CallerLimits, Change, Config, Endpoint, Position, Service, Snapshot, View};
use celerytide_edge::peers::Members;
use celerytide_edge::rate_limit::{RateLimiter, usable_rate};
use celerytide_types::BootTime;

/// Step of the simulation.
pub const STEP_MS: u64 = 100;
/// Interval at which an instance exchanges members with another one.
const GOSSIP_MS: u64 = 1000;
/// Longest time after which an instance reads changes of the store that it can reach.
pub const MAX_READ_MS: u64 = 2000;
/// Interval at which an endpoint writes its record.
const BEAT_MS: u64 = 1200;
/// Time after an outage for which an instance keeps endpoints without a record.
const REMOVAL_DELAY: Duration = Duration::from_millis(1800);
/// Requests that an instance sends in a step where nothing binds it.
const DEMAND: usize = 3;
/// Instances that the settings of all name.
const SEEDS: usize = 3;
pub const ENDPOINTS: usize = 3;
/// Window of the bound, and what it allows beyond one and a half times the cold rate.
const WINDOW_MS: u64 = 1000;
const SLACK: f64 = 5.0;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(10_000) + Duration::from_millis(ms))
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n as u8 + 1], 8229))
}

/// A change that makes an endpoint cold.
#[derive(Debug)]
pub struct Cause {
    kind: Kind,
    endpoint: usize,
    revision: u64,
    /// Revision at which its record expired, where it comes back after silence.
    gone_at: u64,
    from_ms: u64,
    until_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// It started; its record states how long it is cold.
    Started,
    /// The same start says that it is cold once more.
    ColdAgain,
    /// Its record is back after it had expired.
    BackAfterSilence,
    /// Its zone was taken back into service.
    ZoneBack,
}

/// An endpoint as it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct State {
    start: u64,
    /// Until when its record states that it is cold.
    stated_until_ms: u64,
    pub is_silent: bool,
    gone_at: u64,
}

pub struct Store {
    pub service: Service,
    pub endpoints: [State; ENDPOINTS],
    zones_out: [bool; 2],
    log: Vec<Change>,
    causes: Vec<Cause>,
}

fn zone(n: usize) -> String {
    format!("z{}", n % 2)
}

impl Store {
    pub fn new(cold_rate: f64, cold_period_ms: u64) -> Store {
        Store {
            service: Service {
                id: "s".to_owned(),
                cold_period: Duration::from_millis(cold_period_ms),
                cold_rate,
                engine_slots: None,
                engine_tokens: None,
                max_connections: None,
                health_path: None,
            },
            endpoints: [State::default(); ENDPOINTS],
            zones_out: [false; 2],
            log: Vec::new(),
            causes: Vec::new(),
        }
    }

    pub fn revision(&self) -> u64 {
        self.log.len() as u64
    }

    pub fn record(&self, n: usize, ms: u64) -> Endpoint {
        let state = self.endpoints[n];
        Endpoint {
            id: format!("e{n}"),
            service: self.service.id.clone(),
            address: ([10, 2, 0, n as u8], 80).into(),
            zone: zone(n),
            slots: 8,
            leaving: false,
            cold_remaining: Duration::from_millis(state.stated_until_ms.saturating_sub(ms)),
            start: Some(state.start),
            version: String::new(),
            sequence: None,
        }
    }

    pub fn beat(&mut self, ms: u64) {
        for n in (0..ENDPOINTS).filter(|n| !self.endpoints[*n].is_silent) {
            self.log.push(Change::Endpoint(self.record(n, ms)));
        }
    }

    pub fn add_cause(&mut self, kind: Kind, endpoint: usize, ms: u64) {
        self.causes.push(Cause {
            kind,
            endpoint,
            revision: self.revision(),
            gone_at: self.endpoints[endpoint].gone_at,
            from_ms: ms,
            until_ms: ms + self.service.cold_period.as_millis() as u64,
        });
    }

    /// Writes the record of an endpoint that starts, comes back or is cold again.
    pub fn write(&mut self, n: usize, kind: Kind, ms: u64) {
        let state = &mut self.endpoints[n];
        state.is_silent = false;
        if kind == Kind::Started {
            state.start += 1;
        }
        if kind != Kind::BackAfterSilence {
            state.stated_until_ms = ms + self.service.cold_period.as_millis() as u64;
        }
        self.log.push(Change::Endpoint(self.record(n, ms)));
        self.add_cause(kind, n, ms);
    }

    pub fn silence(&mut self, n: usize) {
        self.endpoints[n].is_silent = true;
        self.log.push(Change::EndpointGone(format!("e{n}")));
        self.endpoints[n].gone_at = self.revision();
    }

    pub fn turn_zone(&mut self, n: usize, ms: u64) {
        self.zones_out[n] = !self.zones_out[n];
        if self.zones_out[n] {
            self.log.push(Change::ZoneOut(zone(n)));
            return;
        }
        self.log.push(Change::ZoneBack(zone(n)));
        for endpoint in (0..ENDPOINTS).filter(|e| zone(*e) == zone(n)) {
            self.add_cause(Kind::ZoneBack, endpoint, ms);
        }
    }

    pub fn position(&self) -> Position {
        Position {
            era: 1,
            revision: self.revision() + 1,
        }
    }

    pub fn list(&self, ms: u64) -> Snapshot {
        let listed = (0..ENDPOINTS).filter(|n| !self.endpoints[*n].is_silent);
        let out = (0..2).filter(|n| self.zones_out[*n]);
        Snapshot {
            position: self.position(),
            read_to: self.position().revision,
            config: Some(config(&self.service)),
            endpoints: listed.map(|n| self.record(n, ms)).collect(),
            zones_out: out.map(zone).collect(),
        }
    }
}

fn config(service: &Service) -> Config {
    Config {
        version: 1,
        routes: Vec::new(),
        services: vec![service.clone()],
        customers: None,
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_time: Duration::ZERO,
            idle_time: Duration::ZERO,
        },
    }
}

pub struct Instance {
    own: SocketAddr,
    view: View,
    members: Members,
    limiter: RateLimiter,
    /// Ranks of its next requests in turn: in a third of the instances all are most urgent, in a third all are least urgent.
    ranks: [f64; 2],
    /// Group of the instances that hear each other.
    pub group: usize,
    pub sees_store: bool,
    pub started_ms: u64,
    read_interval_ms: u64,
    last_read_ms: u64,
    /// Changes that this process knows only from its first list, or read after an outage.
    unwatched: Vec<(u64, u64)>,
    revision: u64,
}

impl Instance {
    pub fn new(n: usize, seeds: &[SocketAddr], read_interval_ms: u64, ms: u64) -> Instance {
        let own = address(n);
        Instance {
            own,
            view: View::new(Duration::from_millis(BEAT_MS * 4)),
            members: Members::new(own, seeds, at(ms)),
            limiter: RateLimiter::new(own, at(ms)),
            ranks: [[0.0, 0.0], [1.0, 0.0], [1.0, 1.0]][n % 3],
            group: 0,
            sees_store: true,
            started_ms: ms,
            read_interval_ms,
            last_read_ms: ms,
            unwatched: Vec::new(),
            revision: 0,
        }
    }

    pub fn read(&mut self, store: &Store, ms: u64) {
        let is_first = self.view.position().revision == 0;
        let due = is_first || ms >= self.last_read_ms + self.read_interval_ms;
        if !self.sees_store || !due {
            return;
        }
        let was_away = ms >= self.last_read_ms + MAX_READ_MS + STEP_MS;
        let read = (self.revision, store.revision());
        if is_first {
            self.view.replace(store.list(ms), Duration::ZERO, at(ms));
        } else {
            let changes = store.log[self.revision as usize..].to_vec();
            let delay = if was_away { REMOVAL_DELAY } else { Duration::ZERO };
            self.view.apply(changes, store.position(), delay, at(ms));
            self.view.expire(at(ms));
        }
        if is_first || was_away {
            self.unwatched.push(read);
        }
        let is_cold = |id: &str| {
            let until = self.view.endpoint(id).and_then(|known| known.cold_until);
            until.is_some_and(|until| at(ms) < until)
        };
        self.limiter.sweep(is_cold, at(ms));
        (self.revision, self.last_read_ms) = (read.1, ms);
    }

    /// Whether this process can know that an endpoint is cold. A list shows no zone that was taken back before, and an
    /// endpoint that has been silent only while the store was away isn't taken for a new one.
    pub fn can_know(&self, cause: &Cause) -> bool {
        let was_watched = |revision| {
            let is_in = |(from, to): &(u64, u64)| (*from + 1..=*to).contains(&revision);
            !self.unwatched.iter().any(is_in)
        };
        let is_shown = match cause.kind {
            Kind::Started | Kind::ColdAgain => true,
            Kind::BackAfterSilence => was_watched(cause.gone_at) && was_watched(cause.revision),
            Kind::ZoneBack => was_watched(cause.revision),
        };
        cause.revision <= self.revision && is_shown
    }

    /// Sends what the instance may send to an endpoint in this step, as `Edge::available`, `Edge::rate_allows` and `Edge::reserve` do.
    pub fn send(&mut self, endpoint: &str, service: &Service, ms: u64) -> usize {
        let now = at(ms);
        let Some(known) = self.view.usable(&service.id, now).find(|k| k.endpoint.id == endpoint) else {
            return 0;
        };
        let is_cold = known.cold_until.is_some_and(|until| now < until);
        let Some(per_s) = usable_rate(is_cold.then_some(service.cold_rate), None) else {
            return DEMAND;
        };
        let per_s = per_s * self.members.rate_share(now);
        let sharing = self.members.sharing_limits(now);
        if !self.limiter.has_begun(endpoint) && self.members.rate_share(now) < 1.0 {
            self.limiter.begin_apart(endpoint, per_s, &sharing, now);
        }
        let mut sent = 0;
        while sent < DEMAND && self.limiter.allows_rank(endpoint, per_s, &sharing, self.ranks[0], now) {
            self.limiter.record_rank(endpoint, per_s, &sharing, self.ranks[0], now);
            self.ranks.swap(0, 1);
            sent += 1;
        }
        sent
    }
}

/// Instances that run for long before anything happens.
pub fn fleet(count: usize, mut read_interval_ms: impl FnMut(usize) -> Result<u64>) -> Result<Vec<Instance>> {
    let mut all = Vec::new();
    let seeds: Vec<SocketAddr> = (0..count.min(SEEDS)).map(address).collect();
    for n in 0..count {
        let mut instance = Instance::new(n, &seeds, read_interval_ms(n)?, 0);
        (0..count).for_each(|other| instance.members.record_contact(address(other), at(0)));
        all.push(instance);
    }
    Ok(all)
}

/// Each instance exchanges members with another one, as far as they hear each other.
fn gossip(all: &mut [Instance], ms: u64) {
    let now = at(ms);
    for n in 0..all.len() {
        let own = &all[n];
        let mut others = own.members.live_peers(now);
        others.extend(own.members.seeds());
        let round = (ms / GOSSIP_MS) as usize;
        let Some(chosen) = others.get((round + n) % others.len().max(1)).copied() else {
            continue;
        };
        let peer = all.iter().position(|i| i.own == chosen).expect("an instance");
        if peer == n || all[peer].group != all[n].group {
            continue;
        }
        let (request, reply) = (
            all[n].members.entries_for_peer(now),
            all[peer].members.entries_for_peer(now),
        );
        let own = all[n].own;
        all[peer].members.merge(&request, now);
        all[peer].members.record_contact(own, now);
        all[n].members.merge(&reply, now);
        all[n].members.record_contact(chosen, now);
    }
}

/// The process starts again at its address; it has the links of the one before.
pub fn restart(all: &mut [Instance], n: usize, ms: u64) {
    let seeds: Vec<SocketAddr> = all.iter().take(SEEDS).map(|i| i.own).collect();
    let before = &all[n];
    all[n] = Instance {
        group: before.group,
        sees_store: before.sees_store,
        ..Instance::new(n, &seeds, before.read_interval_ms, ms)
    };
}

/// Starts at each endpoint that were known to be cold, by time.
pub type Starts = BTreeMap<usize, Vec<u64>>;

/// One step of all instances.
pub fn step(all: &mut [Instance], store: &mut Store, ms: u64, starts: &mut Starts) {
    if ms.is_multiple_of(BEAT_MS) {
        store.beat(ms);
    }
    if ms.is_multiple_of(GOSSIP_MS) {
        gossip(all, ms);
    }
    for instance in all.iter_mut() {
        instance.read(store, ms);
        for n in 0..ENDPOINTS {
            let is_cold = |c: &&Cause| c.endpoint == n && (c.from_ms..c.until_ms).contains(&ms);
            let causes: Vec<&Cause> = store.causes.iter().filter(is_cold).collect();
            if causes.is_empty() {
                continue;
            }
            let count = instance.send(&format!("e{n}"), &store.service, ms);
            if causes.iter().any(|cause| instance.can_know(cause)) {
                starts.entry(n).or_default().extend(std::iter::repeat_n(ms, count));
            }
        }
    }
}

/// What broke the bound, if anything did.
pub fn violation(starts: &Starts, store: &Store) -> Option<String> {
    let allowed = store.service.cold_rate * 1.5 + SLACK;
    let broken = |(n, starts): (&usize, &Vec<u64>)| {
        let (from, most) = most_in_window(starts);
        (most as f64 > allowed).then(|| {
            let causes = store.causes.iter().filter(|c| c.endpoint == *n);
            let causes: Vec<&Cause> = causes.collect();
            format!("e{n}: {most} in the second from {from} ms, {allowed} allowed: {causes:?}")
        })
    };
    starts.iter().find_map(broken)
}

/// The window with the most starts, and their number.
fn most_in_window(starts: &[u64]) -> (u64, usize) {
    let in_window = |from: &u64| {
        let within = starts.iter().filter(|ms| (*from..*from + WINDOW_MS).contains(*ms));
        (*from, within.count())
    };
    starts
        .iter()
        .map(in_window)
        .max_by_key(|(_, count)| *count)
        .unwrap_or_default()
}
