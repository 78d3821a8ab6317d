//! Simulates instances that read one store and inform each other, under random schedules of writes, restores of the store
//! from backups, lost connections, new processes and changing readers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_catalog::{CallerLimits, Change, Config, Endpoint, Position, Snapshot, View};
use celerytide_edge::follow::sync::{NextRead, SyncState};
use celerytide_edge::source::{Changes, Page, SourceError, StatedEra, StoreResponse};
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

const INSTANCE_COUNT: usize = 4;
/// Random actions of one schedule.
const ACTIONS: usize = 120;
/// Records in one page.
const PAGE_SIZE: usize = 2;
/// Time for which a view keeps an endpoint without a record after a restore.
const REMOVAL_DELAY: Duration = Duration::from_millis(1800);
/// Time after which the store drops the record of a dead endpoint.
const RECORD_TTL: Duration = Duration::from_millis(4800);
/// Time after a restore until lost writes are repeated.
const REPEAT_WRITES_AFTER_MS: u64 = 3000;
/// Calls to the store within which an instance must have caught up with an unchanging store.
const CATCH_UP_STEPS: usize = 24;

/// The last write of each key, without deleted keys.
type Items = BTreeMap<String, Change>;

fn config(version: u64) -> Config {
    Config {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        customers: None,
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_time: Duration::ZERO,
            idle_time: Duration::ZERO,
        },
    }
}

fn endpoint(n: usize, start: u64, leaving: bool) -> Endpoint {
    Endpoint {
        id: format!("e{n}"),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: format!("z{}", n % 2),
        slots: 1,
        leaving,
        cold_remaining: Duration::ZERO,
        start: Some(start),
        version: String::new(),
        sequence: None,
    }
}

#[derive(Clone)]
struct Store {
    era: u64,
    revision: u64,
    items: Items,
    log: Vec<(u64, Change)>,
    /// Changes up to this revision are no longer available.
    compacted_to: u64,
}

impl Store {
    fn write(&mut self, key: &str, change: Change) {
        self.revision += 1;
        self.items.insert(key.to_owned(), change.clone());
        self.log.push((self.revision, change));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, deletion(key)));
        }
    }

    fn respond<T>(&self, result: std::result::Result<T, SourceError>) -> StoreResponse<T> {
        StoreResponse {
            era: Some(StatedEra::Count(self.era)),
            result,
        }
    }

    fn page(&self, after: Option<&str>) -> StoreResponse<Page> {
        let following = self
            .items
            .iter()
            .filter(|(key, _)| after.is_none_or(|a| key.as_str() > a));
        let mut rest: Vec<(&String, &Change)> = following.collect();
        let more = rest.len() > PAGE_SIZE;
        rest.truncate(PAGE_SIZE);
        self.respond(Ok(Page {
            changes: rest.iter().map(|(_, change)| (*change).clone()).collect(),
            revision: self.revision,
            next: rest.last().map(|(key, _)| (*key).clone()).filter(|_| more),
        }))
    }

    fn watch(&self, revision: u64) -> StoreResponse<Changes> {
        if revision > self.revision || revision < self.compacted_to {
            return self.respond(Err(SourceError::Compacted));
        }
        let newer = self.log.iter().filter(|(at, _)| *at > revision);
        self.respond(Ok(Changes {
            list: newer.map(|(_, change)| change.clone()).collect(),
            revision: self.revision,
        }))
    }
}

fn deletion(key: &str) -> Change {
    match key.strip_prefix("out/") {
        Some(zone) => Change::ZoneBack(zone.to_owned()),
        None => Change::EndpointGone(key.to_owned()),
    }
}

struct Instance {
    view: View,
    sync: SyncState,
    is_disconnected: bool,
    /// Whole lists read.
    lists_read: usize,
    /// Most lists that may have been read: one at the start, and one after each restore and each loss of changes.
    max_lists: usize,
    /// Start of each endpoint (its run under the id) that was last known to leave.
    leaving_starts: BTreeMap<String, u64>,
}

impl Instance {
    fn new() -> Instance {
        Instance {
            view: View::new(RECORD_TTL),
            sync: SyncState::default(),
            is_disconnected: false,
            lists_read: 0,
            max_lists: 1,
            leaving_starts: BTreeMap::new(),
        }
    }

    /// Makes one call to the store.
    fn step(&mut self, store: &Store, now: BootTime) {
        let known = self.view.position();
        let done = match self.sync.next(known) {
            NextRead::Page(after) => self.sync.apply_page(store.page(after.as_deref()), known).map(|whole| {
                if let Some(snapshot) = whole {
                    self.lists_read += 1;
                    let removal_delay = if self.sync.restored {
                        REMOVAL_DELAY
                    } else {
                        Duration::ZERO
                    };
                    self.sync.restored = false;
                    self.view.replace(snapshot, removal_delay, now);
                }
            }),
            NextRead::Watch(revision) => {
                self.sync
                    .apply_changes(store.watch(revision), known)
                    .map(|(changes, position)| {
                        self.view.apply(changes, position, Duration::ZERO, now);
                    })
            }
        };
        if let Err(error) = done {
            self.sync.record_failure(&error);
        }
        self.view.expire(now);
    }

    /// Applies newer data of a reader, as a follower does.
    fn follow(&mut self, reader: &View, now: BootTime) {
        let position = reader.position().max(self.view.position());
        match reader.changes_after(self.view.position()) {
            Some(list) => self.view.apply(list, position, REMOVAL_DELAY, now),
            None => self.view.replace(reader.snapshot(), REMOVAL_DELAY, now),
        };
    }

    fn record_leaving(&mut self) {
        let view = &self.view;
        self.leaving_starts
            .retain(|id, start| view.endpoint(id).is_some_and(|k| k.endpoint.start == Some(*start)));
        for n in 0..ENDPOINT_COUNT {
            let leaving = view.endpoint(&format!("e{n}")).filter(|k| k.endpoint.leaving);
            if let Some(known) = leaving {
                self.leaving_starts
                    .insert(known.endpoint.id.clone(), known.endpoint.start.unwrap_or_default());
            }
        }
    }
}

const ENDPOINT_COUNT: usize = 5;

struct Simulation {
    store: Store,
    /// States of the store that it may be restored from.
    backups: Vec<Store>,
    /// The records that the operator and the endpoints want in the store.
    desired: Items,
    /// When writes lost by a restore are repeated.
    repeat_writes_at: Option<u64>,
    instances: Vec<Instance>,
    now: u64,
    /// The latest start (run of a process under an endpoint's id) of any endpoint.
    latest_start: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let store = Store {
            era: 1,
            revision: 5,
            items: Items::new(),
            log: Vec::new(),
            compacted_to: 0,
        };
        let mut sim = Simulation {
            backups: vec![store.clone()],
            store,
            desired: Items::new(),
            repeat_writes_at: None,
            instances: (0..INSTANCE_COUNT).map(|_| Instance::new()).collect(),
            now: 1_000_000,
            latest_start: 1,
        };
        sim.set_desired("config", Some(Change::Config(config(1))));
        for n in 0..ENDPOINT_COUNT {
            sim.set_desired(&format!("e{n}"), Some(Change::Endpoint(endpoint(n, 1, false))));
        }
        // The only backup is one with the first records.
        sim.backups = vec![sim.store.clone()];
        sim
    }

    fn set_desired(&mut self, key: &str, change: Option<Change>) {
        match change {
            Some(change) => {
                self.desired.insert(key.to_owned(), change.clone());
                self.store.write(key, change);
            }
            None => {
                self.desired.remove(key);
                self.store.delete(key);
            }
        }
    }

    fn now(&self) -> BootTime {
        BootTime::from_start(Duration::from_millis(self.now))
    }

    fn next_start(&mut self) -> u64 {
        self.latest_start += 1;
        self.latest_start
    }

    fn desired_version(&self) -> u64 {
        match self.desired.get("config") {
            Some(Change::Config(config)) => config.version,
            _ => 0,
        }
    }

    fn repeat_lost_writes(&mut self) {
        let missing: Vec<(String, Change)> = self
            .desired
            .iter()
            .filter(|(key, change)| self.store.items.get(*key) != Some(*change))
            .map(|(key, change)| (key.clone(), change.clone()))
            .collect();
        for (key, change) in missing {
            self.store.write(&key, change);
        }
        let extra: BTreeSet<String> = self
            .store
            .items
            .keys()
            .filter(|k| !self.desired.contains_key(*k))
            .cloned()
            .collect();
        extra.iter().for_each(|key| self.store.delete(key));
        self.repeat_writes_at = None;
    }

    fn write(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = u.int_in_range(0..=ENDPOINT_COUNT - 1)?;
        let id = format!("e{n}");
        let start = match self.desired.get(&id) {
            Some(Change::Endpoint(e)) => e.start.unwrap_or_default(),
            _ => self.next_start(),
        };
        match u.int_in_range(0..=6)? {
            0 => self.set_desired("config", Some(Change::Config(config(self.desired_version() + 2)))),
            1 => self.set_desired(&id, Some(Change::Endpoint(endpoint(n, start, true)))),
            2 => {
                let start = self.next_start();
                self.set_desired(&id, Some(Change::Endpoint(endpoint(n, start, false))));
            }
            3 => self.set_desired(&id, None),
            4 => {
                let zone = format!("z{}", n % 2);
                self.set_desired(&format!("out/{zone}"), Some(Change::ZoneOut(zone)));
            }
            5 => self.set_desired(&format!("out/z{}", n % 2), None),
            _ => self.backups.push(self.store.clone()),
        }
        Ok(())
    }

    fn restore(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let copy = u.choose(&self.backups)?.clone();
        let era = self.store.era + 1;
        self.store = Store { era, ..copy };
        // Only the first backup remains.
        self.backups.truncate(1);
        self.repeat_writes_at = Some(self.now + REPEAT_WRITES_AFTER_MS);
        self.instances.iter_mut().for_each(|i| i.max_lists += 1);
        Ok(())
    }

    /// Performs one random action; returns the instance that a new process replaced, if any.
    fn step_random(&mut self, u: &mut Unstructured<'_>) -> Result<Option<usize>> {
        self.now += u.int_in_range(0..=400)?;
        if self.repeat_writes_at.is_some_and(|at| at <= self.now) {
            self.repeat_lost_writes();
        }
        let now = self.now();
        let n = u.int_in_range(0..=INSTANCE_COUNT - 1)?;
        match u.int_in_range(0..=19)? {
            0..=3 => self.write(u)?,
            4 => self.restore(u)?,
            5 => self.instances[n].is_disconnected ^= true,
            6 => {
                self.instances[n] = Instance::new();
                return Ok(Some(n));
            }
            7 => {
                self.store.compacted_to = self.store.revision;
                self.instances.iter_mut().for_each(|i| i.max_lists += 1);
            }
            8..=10 => {
                let m = u.int_in_range(0..=INSTANCE_COUNT - 1)?;
                self.send_view(n, m, now);
            }
            _ if self.instances[n].is_disconnected => {}
            _ => self.instances[n].step(&self.store, now),
        }
        Ok(None)
    }

    /// Passes the configuration and the view of instance `n` to instance `m`.
    fn send_view(&mut self, n: usize, m: usize, now: BootTime) {
        if n == m || !self.instances[m].sync.listed {
            return;
        }
        let [from, to] = self.instances.get_disjoint_mut([n, m]).expect("two instances");
        if let Some(config) = from.view.config().cloned() {
            to.view.learn_config(config);
        }
        to.follow(&from.view, now);
    }

    /// Checks for each instance that its configuration and its position didn't go back (unless a new process replaced
    /// it), that no start known to leave is usable, and that it read no list without a reason.
    fn check_invariants(&mut self, before: &[(u64, Position)], replaced: Option<usize>) {
        let now = self.now();
        for (n, instance) in self.instances.iter_mut().enumerate() {
            let (version, position) = before[n];
            if replaced != Some(n) {
                assert!(
                    instance.view.catalog().version() >= version,
                    "instance {n}: the configuration went back"
                );
                assert!(
                    instance.view.position() >= position,
                    "instance {n}: the position went back"
                );
            }
            for known in instance.view.usable("s", now) {
                let leaving_start = instance.leaving_starts.get(&known.endpoint.id);
                let is_leaving = leaving_start.is_some() && leaving_start == known.endpoint.start.as_ref();
                assert!(!is_leaving, "instance {n}: {} is leaving but usable", known.endpoint.id);
            }
            assert!(
                instance.lists_read <= instance.max_lists,
                "instance {n}: {} lists",
                instance.lists_read
            );
            instance.record_leaving();
        }
    }

    fn positions(&self) -> Vec<(u64, Position)> {
        let position_of = |i: &Instance| (i.view.catalog().version(), i.view.position());
        self.instances.iter().map(position_of).collect()
    }

    /// Checks that each instance, once connected to the unchanging store, has its desired records.
    fn check_settled(&mut self) {
        self.repeat_lost_writes();
        for n in 0..INSTANCE_COUNT {
            for _ in 0..CATCH_UP_STEPS {
                self.now += 50;
                self.instances[n].step(&self.store, BootTime::from_start(Duration::from_millis(self.now)));
            }
        }
        self.now += 60_000;
        let now = self.now();
        let out = |n: usize| self.desired.contains_key(&format!("out/z{}", n % 2));
        let desired =
            (0..ENDPOINT_COUNT)
                .filter(|n| !out(*n))
                .filter_map(|n| match self.desired.get(&format!("e{n}")) {
                    Some(Change::Endpoint(e)) if !e.leaving => Some(e.id.clone()),
                    _ => None,
                });
        let desired: Vec<String> = desired.collect();
        let version = self.desired_version();
        for (n, instance) in self.instances.iter_mut().enumerate() {
            instance.view.expire(now);
            let usable: Vec<String> = instance.view.usable("s", now).map(|k| k.endpoint.id.clone()).collect();
            assert_eq!(usable, desired, "instance {n}");
            assert_eq!(instance.view.catalog().version(), version, "instance {n}");
            assert!(
                instance.lists_read <= instance.max_lists,
                "instance {n}: {} lists",
                instance.lists_read
            );
        }
    }
}

#[test]
fn no_instance_goes_back_or_stays_behind_after_restores_of_the_store() {
    each_seed(1200, 30, |u| {
        let mut sim = Simulation::new();
        for _ in 0..ACTIONS {
            let before = sim.positions();
            let replaced = sim.step_random(u)?;
            sim.check_invariants(&before, replaced);
        }
        sim.check_settled();
        Ok(())
    });
}

/// Changes of a later era can't be applied to the view, so the reader has to send a snapshot.
#[test]
fn a_follower_of_an_earlier_era_gets_the_whole_view() {
    let mut reader = View::new(RECORD_TTL);
    let snapshot = |era, revision| Snapshot {
        position: Position { era, revision },
        read_to: revision,
        config: Some(config(1)),
        endpoints: vec![endpoint(0, 1, false)],
        zones_out: Vec::new(),
    };
    let now = BootTime::from_start(Duration::from_secs(9));
    reader.replace(snapshot(1, 90), Duration::ZERO, now);
    let mut follower = Instance::new();
    follower.follow(&reader, now);
    reader.replace(snapshot(2, 40), REMOVAL_DELAY, now);
    follower.follow(&reader, now);
    assert_eq!(follower.view.position(), Position { era: 2, revision: 40 });
    let mut behind = View::new(RECORD_TTL);
    behind.replace(snapshot(1, 95), Duration::ZERO, now);
    follower.follow(&behind, now);
    assert_eq!(
        follower.view.position(),
        Position { era: 2, revision: 40 },
        "data of an earlier era changes nothing"
    );
}

/// Guards against an outage that counts again later: a follower whose reader fell silent for 2.9 s kept an endpoint that had
/// left meanwhile, since it had failed to read the store seconds before.
#[test]
fn failures_of_an_outage_that_is_over_keep_no_endpoint() {
    let heartbeat = Duration::from_millis(1200);
    let silence = Duration::from_millis(2900);
    let mut sync = SyncState::default();
    assert!(!sync.may_have_expired(silence, heartbeat), "no failure");
    sync.record_failure(&SourceError::Refused { status: 503 });
    assert!(!sync.may_have_expired(heartbeat, heartbeat), "too short");
    assert!(sync.may_have_expired(silence, heartbeat));
    sync.record_followed();
    assert!(
        !sync.may_have_expired(silence, heartbeat),
        "a reader had the store since"
    );
}
