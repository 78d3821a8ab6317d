//! Why a plain idempotency key owned by hash is refused for protected actions: a model of that scheme and the
//! interleavings that double a run in it, with every guard that was weighed.

use std::collections::BTreeSet;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_types::rendezvous_weight;

const BYTES: u32 = 2048;
const STEPS: u64 = 50;
const INSTANCES: usize = 3;
const FRESH_FOR: u64 = 10;
const LIFETIME: u64 = 60;
const SHORT_HOLD: u64 = 20;
const KEY: &str = "order-17";

/// What may go wrong.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    list_changes: bool,
    some_read_stale: bool,
    restarts: bool,
    pauses: bool,
    partitions: bool,
}

/// What the scheme checks before a run.
#[derive(Debug, Clone, Copy)]
struct Guards {
    equal_versions: bool,
    fresh_view: bool,
    hold: u64,
    callers_obey_lifetime: bool,
}

#[derive(Clone)]
struct Node {
    version: usize,
    confirmed: u64,
    quiet_since: u64,
    paused: bool,
    cut: bool,
    reads_stale: bool,
    known: BTreeSet<usize>,
    checked: Option<usize>,
}

struct Model {
    now: u64,
    lists: Vec<BTreeSet<usize>>,
    nodes: Vec<Node>,
    guards: Guards,
    first_call: u64,
    runs: Vec<usize>,
}

impl Model {
    fn new(guards: Guards) -> Model {
        let node = Node {
            version: 0,
            confirmed: 1000,
            quiet_since: 0,
            paused: false,
            cut: false,
            reads_stale: false,
            known: BTreeSet::new(),
            checked: None,
        };
        let all: BTreeSet<usize> = (0..INSTANCES).collect();
        Model {
            now: 1000,
            lists: vec![all],
            nodes: vec![node; INSTANCES],
            guards,
            first_call: 1000,
            runs: vec![0],
        }
    }

    fn step(&mut self, faults: Faults, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(INSTANCES)?;
        match u.int_in_range(0..=15u8)? {
            0..=3 => self.call(at),
            4 | 5 => self.run_checked(at),
            6..=9 => self.read_service(at),
            10 => self.now += u.int_in_range(1..=30u64)?,
            11 if faults.list_changes => self.change_list(at),
            12 if faults.some_read_stale => self.nodes[at].reads_stale = u.arbitrary()?,
            13 if faults.restarts => self.restart(at),
            14 if faults.pauses => self.nodes[at].paused = u.arbitrary()?,
            15 if faults.partitions => self.nodes[at].cut = u.arbitrary()?,
            _ => self.now += 1,
        }
        Ok(())
    }

    fn owner(&self, version: usize) -> Option<usize> {
        let weight = |n: &&usize| rendezvous_weight(KEY, &format!("i-{n}"));
        self.lists[version].iter().max_by_key(weight).copied()
    }

    /// The caller's call or retry at `entry`, which passes it to the owner by its own list.
    fn call(&mut self, entry: usize) {
        let late = self.now - self.first_call > LIFETIME;
        if late && self.guards.callers_obey_lifetime {
            self.next_action();
        }
        let Some(owner) = self.owner(self.nodes[entry].version) else {
            return;
        };
        let asleep = self.nodes[entry].paused || self.nodes[owner].paused;
        let apart = entry != owner && self.nodes[entry].cut != self.nodes[owner].cut;
        if asleep || apart || !self.passes(entry, owner) {
            return;
        }
        let action = self.runs.len() - 1;
        let node = &mut self.nodes[owner];
        if node.known.insert(action) {
            node.checked = Some(action);
        }
    }

    fn next_action(&mut self) {
        self.first_call = self.now;
        self.runs.push(0);
    }

    fn passes(&self, entry: usize, owner: usize) -> bool {
        let (from, to) = (&self.nodes[entry], &self.nodes[owner]);
        let owns = self.owner(to.version) == Some(owner);
        let equal = !self.guards.equal_versions || from.version == to.version;
        let fresh = !self.guards.fresh_view || self.now - to.confirmed <= FRESH_FOR;
        let held = self.now - to.quiet_since >= self.guards.hold;
        owns && equal && fresh && held
    }

    /// The write itself, after the check; a pause may lie between.
    fn run_checked(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.paused {
            return;
        }
        if let Some(action) = node.checked.take() {
            self.runs[action] += 1;
        }
    }

    fn read_service(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.paused || node.cut {
            return;
        }
        node.confirmed = self.now;
        let newest = self.lists.len() - 1;
        if !node.reads_stale && node.version < newest {
            node.version = newest;
            node.quiet_since = self.now;
        }
    }

    fn change_list(&mut self, at: usize) {
        let mut list = self.lists[self.lists.len() - 1].clone();
        if !list.remove(&at) {
            list.insert(at);
        }
        if !list.is_empty() {
            self.lists.push(list);
        }
    }

    /// Memory is gone; a restarted process holds as after a change.
    fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.known.clear();
        node.checked = None;
        node.paused = false;
        node.quiet_since = self.now;
    }
}

fn doubled(guards: Guards, faults: Faults) -> usize {
    let mut doubled = 0;
    celerytide_seeds::each_fixed_seed(BYTES, STEPS, |u| {
        let mut model = Model::new(guards);
        while !u.is_empty() {
            model.step(faults, u)?;
        }
        doubled += usize::from(model.runs.iter().any(|runs| *runs > 1));
        Ok(())
    });
    doubled
}

#[test]
fn keys_owned_by_hash_survive_some_interleavings_and_not_others() {
    struct Case {
        name: &'static str,
        guards: Guards,
        faults: Faults,
        breaks: bool,
    }
    let case = |name, guards, faults, breaks| Case {
        name,
        guards,
        faults,
        breaks,
    };
    let naive = Guards {
        equal_versions: false,
        fresh_view: false,
        hold: 0,
        callers_obey_lifetime: true,
    };
    let short = Guards {
        equal_versions: true,
        fresh_view: true,
        hold: SHORT_HOLD,
        ..naive
    };
    let full = Guards {
        hold: LIFETIME + 1,
        ..short
    };
    let late = Guards {
        callers_obey_lifetime: false,
        ..full
    };
    let calm = Faults::default();
    let changes = Faults {
        list_changes: true,
        ..calm
    };
    let stale = Faults {
        some_read_stale: true,
        ..changes
    };
    let restarts = Faults { restarts: true, ..calm };
    let pauses = Faults {
        pauses: true,
        ..changes
    };
    let cuts = Faults {
        partitions: true,
        ..changes
    };
    let all_but_stale = Faults {
        restarts: true,
        pauses: true,
        ..cuts
    };
    let cases = [
        case("no guard, calm", naive, calm, false),
        case("no guard, list changes", naive, changes, true),
        case("no guard, restart", naive, restarts, true),
        case("short hold, list changes", short, changes, true),
        case("short hold, restart", short, restarts, true),
        case("full guard, list changes", full, changes, false),
        case("full guard, restart", full, restarts, false),
        case("full guard, pauses", full, pauses, false),
        case("full guard, partitions", full, cuts, false),
        case("full guard, all but stale reads, twice", full, all_but_stale, false),
        case("full guard, stale reads", full, stale, true),
        case("full guard, callers retry late", late, changes, true),
    ];
    for case in cases {
        let doubled = doubled(case.guards, case.faults);
        println!("{}: doubled in {doubled} of 400 histories", case.name);
        assert_eq!(doubled > 0, case.breaks, "{}", case.name);
    }
}
