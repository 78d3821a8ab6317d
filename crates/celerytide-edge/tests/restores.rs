//! Random schedules of writes, restores of the store, cuts, new processes and readers that change, replayed on the
//! decisions of several instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_catalog::{CallerLimits, Change, Config, Endpoint, Position, Snapshot, View};
use celerytide_edge::follow::course::{Ask, Course};
use celerytide_edge::source::{Answer, Changes, EraWord, Page, SourceError};
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

const INSTANCES: usize = 4;
const ACTIONS: usize = 120;
/// Items in one page.
const PAGE: usize = 2;
const HOLD: Duration = Duration::from_millis(1800);
const LAPSE: Duration = Duration::from_millis(4800);
/// Time after a restore in which what was lost is written again.
const AGAIN_MS: u64 = 3000;
/// Steps within which an instance has caught up with a store that is quiet.
const CATCH_UP: usize = 24;

/// A key with what was last written under it; `None` if it was deleted.
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
        cold_for: Duration::ZERO,
        start: Some(start),
    }
}

#[derive(Clone)]
struct Store {
    era: u64,
    revision: u64,
    items: Items,
    log: Vec<(u64, Change)>,
    /// Changes up to this revision are no longer kept.
    forgotten: u64,
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

    fn answer<T>(&self, result: std::result::Result<T, SourceError>) -> Answer<T> {
        Answer {
            era: Some(EraWord::Count(self.era)),
            result,
        }
    }

    fn page(&self, after: Option<&str>) -> Answer<Page> {
        let behind = self
            .items
            .iter()
            .filter(|(key, _)| after.is_none_or(|a| key.as_str() > a));
        let mut rest: Vec<(&String, &Change)> = behind.collect();
        let more = rest.len() > PAGE;
        rest.truncate(PAGE);
        self.answer(Ok(Page {
            changes: rest.iter().map(|(_, change)| (*change).clone()).collect(),
            revision: self.revision,
            next: rest.last().map(|(key, _)| (*key).clone()).filter(|_| more),
        }))
    }

    fn watch(&self, revision: u64) -> Answer<Changes> {
        if revision > self.revision || revision < self.forgotten {
            return self.answer(Err(SourceError::Forgotten));
        }
        let newer = self.log.iter().filter(|(at, _)| *at > revision);
        self.answer(Ok(Changes {
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
    course: Course,
    is_cut: bool,
    /// Whole lists read, and what allows one.
    lists: usize,
    allowed: usize,
    /// Starts that were known to leave, by endpoint.
    left: BTreeMap<String, u64>,
}

impl Instance {
    fn new() -> Instance {
        Instance {
            view: View::new(LAPSE),
            course: Course::default(),
            is_cut: false,
            lists: 0,
            allowed: 1,
            left: BTreeMap::new(),
        }
    }

    /// One call to the store.
    fn step(&mut self, store: &Store, now: BootTime) {
        let known = self.view.position();
        let done = match self.course.next(known) {
            Ask::Page(after) => self.course.page(store.page(after.as_deref()), known).map(|whole| {
                if let Some(snapshot) = whole {
                    self.lists += 1;
                    let hold = if self.course.restored { HOLD } else { Duration::ZERO };
                    self.course.restored = false;
                    self.view.replace(snapshot, hold, now);
                }
            }),
            Ask::Watch(revision) => self
                .course
                .changes(store.watch(revision), known)
                .map(|(changes, position)| {
                    self.view.apply(changes, position, Duration::ZERO, now);
                }),
        };
        if let Err(error) = done {
            self.course.failed(&error);
        }
        self.view.expire(now);
    }

    /// Takes what a reader has newer, as a follower does.
    fn follow(&mut self, reader: &View, now: BootTime) {
        let position = reader.position().max(self.view.position());
        match reader.changes_after(self.view.position()) {
            Some(list) => self.view.apply(list, position, HOLD, now),
            None => self.view.replace(reader.snapshot(), HOLD, now),
        };
    }

    fn note_left(&mut self) {
        let view = &self.view;
        self.left
            .retain(|id, start| view.endpoint(id).is_some_and(|k| k.endpoint.start == Some(*start)));
        for n in 0..ENDPOINTS {
            let leaving = view.endpoint(&format!("e{n}")).filter(|k| k.endpoint.leaving);
            if let Some(known) = leaving {
                self.left
                    .insert(known.endpoint.id.clone(), known.endpoint.start.unwrap_or_default());
            }
        }
    }
}

const ENDPOINTS: usize = 5;

struct World {
    store: Store,
    copies: Vec<Store>,
    /// What the operator and the endpoints want the store to hold.
    wanted: Items,
    /// When what a restore lost is written again.
    again_at: Option<u64>,
    instances: Vec<Instance>,
    now: u64,
    /// The last start of an endpoint.
    start: u64,
}

impl World {
    fn new() -> World {
        let store = Store {
            era: 1,
            revision: 5,
            items: Items::new(),
            log: Vec::new(),
            forgotten: 0,
        };
        let mut world = World {
            copies: vec![store.clone()],
            store,
            wanted: Items::new(),
            again_at: None,
            instances: (0..INSTANCES).map(|_| Instance::new()).collect(),
            now: 1_000_000,
            start: 1,
        };
        world.want("config", Some(Change::Config(config(1))));
        for n in 0..ENDPOINTS {
            world.want(&format!("e{n}"), Some(Change::Endpoint(endpoint(n, 1, false))));
        }
        world.copies = vec![world.store.clone()];
        world
    }

    fn want(&mut self, key: &str, change: Option<Change>) {
        match change {
            Some(change) => {
                self.wanted.insert(key.to_owned(), change.clone());
                self.store.write(key, change);
            }
            None => {
                self.wanted.remove(key);
                self.store.delete(key);
            }
        }
    }

    fn now(&self) -> BootTime {
        BootTime::from_start(Duration::from_millis(self.now))
    }

    fn next_start(&mut self) -> u64 {
        self.start += 1;
        self.start
    }

    fn wanted_version(&self) -> u64 {
        match self.wanted.get("config") {
            Some(Change::Config(config)) => config.version,
            _ => 0,
        }
    }

    fn write_again(&mut self) {
        let missing: Vec<(String, Change)> = self
            .wanted
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
            .filter(|k| !self.wanted.contains_key(*k))
            .cloned()
            .collect();
        extra.iter().for_each(|key| self.store.delete(key));
        self.again_at = None;
    }

    fn write(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = u.int_in_range(0..=ENDPOINTS - 1)?;
        let id = format!("e{n}");
        let start = match self.wanted.get(&id) {
            Some(Change::Endpoint(e)) => e.start.unwrap_or_default(),
            _ => self.next_start(),
        };
        match u.int_in_range(0..=6)? {
            0 => self.want("config", Some(Change::Config(config(self.wanted_version() + 2)))),
            1 => self.want(&id, Some(Change::Endpoint(endpoint(n, start, true)))),
            2 => {
                let start = self.next_start();
                self.want(&id, Some(Change::Endpoint(endpoint(n, start, false))));
            }
            3 => self.want(&id, None),
            4 => {
                let zone = format!("z{}", n % 2);
                self.want(&format!("out/{zone}"), Some(Change::ZoneOut(zone)));
            }
            5 => self.want(&format!("out/z{}", n % 2), None),
            _ => self.copies.push(self.store.clone()),
        }
        Ok(())
    }

    fn restore(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let copy = u.choose(&self.copies)?.clone();
        let era = self.store.era + 1;
        self.store = Store { era, ..copy };
        self.copies.truncate(1);
        self.again_at = Some(self.now + AGAIN_MS);
        self.instances.iter_mut().for_each(|i| i.allowed += 1);
        Ok(())
    }

    /// One action; the instance that it replaced by a new process.
    fn act(&mut self, u: &mut Unstructured<'_>) -> Result<Option<usize>> {
        self.now += u.int_in_range(0..=400)?;
        if self.again_at.is_some_and(|at| at <= self.now) {
            self.write_again();
        }
        let now = self.now();
        let n = u.int_in_range(0..=INSTANCES - 1)?;
        match u.int_in_range(0..=19)? {
            0..=3 => self.write(u)?,
            4 => self.restore(u)?,
            5 => self.instances[n].is_cut ^= true,
            6 => {
                self.instances[n] = Instance::new();
                return Ok(Some(n));
            }
            7 => {
                self.store.forgotten = self.store.revision;
                self.instances.iter_mut().for_each(|i| i.allowed += 1);
            }
            8..=10 => {
                let m = u.int_in_range(0..=INSTANCES - 1)?;
                self.teach(n, m, now);
            }
            _ if self.instances[n].is_cut => {}
            _ => self.instances[n].step(&self.store, now),
        }
        Ok(None)
    }

    /// Instance `n` tells instance `m` what it knows.
    fn teach(&mut self, n: usize, m: usize, now: BootTime) {
        if n == m || !self.instances[m].course.listed {
            return;
        }
        let [from, to] = self.instances.get_disjoint_mut([n, m]).expect("two instances");
        if let Some(config) = from.view.config().cloned() {
            to.view.learn_config(config);
        }
        to.follow(&from.view, now);
    }

    fn check(&mut self, before: &[(u64, Position)], replaced: Option<usize>) {
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
                let left = instance.left.get(&known.endpoint.id);
                let is_same = left.is_some() && left == known.endpoint.start.as_ref();
                assert!(!is_same, "instance {n}: {} left", known.endpoint.id);
            }
            assert!(
                instance.lists <= instance.allowed,
                "instance {n}: {} lists",
                instance.lists
            );
            instance.note_left();
        }
    }

    fn facts(&self) -> Vec<(u64, Position)> {
        let fact = |i: &Instance| (i.view.catalog().version(), i.view.position());
        self.instances.iter().map(fact).collect()
    }

    /// With the store quiet, each instance that reaches it knows what is wanted.
    fn settle(&mut self) {
        self.write_again();
        for n in 0..INSTANCES {
            for _ in 0..CATCH_UP {
                self.now += 50;
                self.instances[n].step(&self.store, BootTime::from_start(Duration::from_millis(self.now)));
            }
        }
        self.now += 60_000;
        let now = self.now();
        let out = |n: usize| self.wanted.contains_key(&format!("out/z{}", n % 2));
        let wanted = (0..ENDPOINTS)
            .filter(|n| !out(*n))
            .filter_map(|n| match self.wanted.get(&format!("e{n}")) {
                Some(Change::Endpoint(e)) if !e.leaving => Some(e.id.clone()),
                _ => None,
            });
        let wanted: Vec<String> = wanted.collect();
        let version = self.wanted_version();
        for (n, instance) in self.instances.iter_mut().enumerate() {
            instance.view.expire(now);
            let usable: Vec<String> = instance.view.usable("s", now).map(|k| k.endpoint.id.clone()).collect();
            assert_eq!(usable, wanted, "instance {n}");
            assert_eq!(instance.view.catalog().version(), version, "instance {n}");
            assert!(
                instance.lists <= instance.allowed,
                "instance {n}: {} lists",
                instance.lists
            );
        }
    }
}

#[test]
fn no_instance_goes_back_or_stays_behind_whatever_the_store_comes_back_with() {
    each_seed(1200, 30, |u| {
        let mut world = World::new();
        for _ in 0..ACTIONS {
            let before = world.facts();
            let replaced = world.act(u)?;
            world.check(&before, replaced);
        }
        world.settle();
        Ok(())
    });
}

/// Snapshots stand for themselves in the model.
#[test]
fn a_follower_of_an_earlier_era_gets_everything() {
    let mut reader = View::new(LAPSE);
    let list = |era, revision| Snapshot {
        position: Position { era, revision },
        read_to: revision,
        config: Some(config(1)),
        endpoints: vec![endpoint(0, 1, false)],
        zones_out: Vec::new(),
    };
    let now = BootTime::from_start(Duration::from_secs(9));
    reader.replace(list(1, 90), Duration::ZERO, now);
    let mut follower = Instance::new();
    follower.follow(&reader, now);
    reader.replace(list(2, 40), HOLD, now);
    follower.follow(&reader, now);
    assert_eq!(follower.view.position(), Position { era: 2, revision: 40 });
    let mut behind = View::new(LAPSE);
    behind.replace(list(1, 95), Duration::ZERO, now);
    follower.follow(&behind, now);
    assert_eq!(
        follower.view.position(),
        Position { era: 2, revision: 40 },
        "it learns nothing from before"
    );
}
