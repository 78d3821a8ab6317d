//! Model of a scheme that isn't used: idempotency keys whose owner is selected by hash.
//!
//! It shows which interleavings run an action twice under each combination of guards, and so why protected actions need
//! a ticket instead.

use std::collections::BTreeSet;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_types::rendezvous_weight;

const ENTROPY_BYTES: u32 = 2048;
const SEEDS_PER_BASE: u64 = 50;
const INSTANCES: usize = 3;
const FRESH_SECONDS: u64 = 10;
const KEY_LIFETIME_SECONDS: u64 = 60;
const SHORT_HOLD_SECONDS: u64 = 20;
const KEY: &str = "order-17";

/// Faults that a history may contain.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    list_changes: bool,
    some_read_stale: bool,
    restarts: bool,
    pauses: bool,
    partitions: bool,
}

/// Conditions that the scheme checks before a run. `hold_seconds` is the time that an owner waits after a list change or
/// a restart before it runs anything.
#[derive(Debug, Clone, Copy)]
struct Guards {
    equal_list_versions: bool,
    fresh_view: bool,
    hold_seconds: u64,
    callers_stop_after_lifetime: bool,
}

/// One instance: its list version, when the service last confirmed it, and the actions that it has seen.
#[derive(Clone)]
struct Node {
    version: usize,
    confirmed_at: u64,
    hold_since: u64,
    paused: bool,
    is_partitioned: bool,
    reads_stale: bool,
    seen_actions: BTreeSet<usize>,
    checked_action: Option<usize>,
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
            confirmed_at: 1000,
            hold_since: 0,
            paused: false,
            is_partitioned: false,
            reads_stale: false,
            seen_actions: BTreeSet::new(),
            checked_action: None,
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
            15 if faults.partitions => self.nodes[at].is_partitioned = u.arbitrary()?,
            _ => self.now += 1,
        }
        Ok(())
    }

    fn owner(&self, version: usize) -> Option<usize> {
        let weight = |n: &&usize| rendezvous_weight(KEY, &format!("i-{n}"));
        self.lists[version].iter().max_by_key(weight).copied()
    }

    /// A call or a retry arrives at `entry`, which relays it to the owner according to its own list.
    fn call(&mut self, entry: usize) {
        let is_late = self.now - self.first_call > KEY_LIFETIME_SECONDS;
        if is_late && self.guards.callers_stop_after_lifetime {
            self.next_action();
        }
        let Some(owner) = self.owner(self.nodes[entry].version) else {
            return;
        };
        let is_paused = self.nodes[entry].paused || self.nodes[owner].paused;
        let unreachable = entry != owner && self.nodes[entry].is_partitioned != self.nodes[owner].is_partitioned;
        if is_paused || unreachable || !self.guards_pass(entry, owner) {
            return;
        }
        let action = self.runs.len() - 1;
        let node = &mut self.nodes[owner];
        if node.seen_actions.insert(action) {
            node.checked_action = Some(action);
        }
    }

    fn next_action(&mut self) {
        self.first_call = self.now;
        self.runs.push(0);
    }

    fn guards_pass(&self, entry: usize, owner: usize) -> bool {
        let (from, to) = (&self.nodes[entry], &self.nodes[owner]);
        let owns = self.owner(to.version) == Some(owner);
        let equal = !self.guards.equal_list_versions || from.version == to.version;
        let fresh = !self.guards.fresh_view || self.now - to.confirmed_at <= FRESH_SECONDS;
        let held = self.now - to.hold_since >= self.guards.hold_seconds;
        owns && equal && fresh && held
    }

    /// Runs the action after the check; the process may be suspended in between.
    fn run_checked(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.paused {
            return;
        }
        if let Some(action) = node.checked_action.take() {
            self.runs[action] += 1;
        }
    }

    fn read_service(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.paused || node.is_partitioned {
            return;
        }
        node.confirmed_at = self.now;
        let newest = self.lists.len() - 1;
        if !node.reads_stale && node.version < newest {
            node.version = newest;
            node.hold_since = self.now;
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

    /// Restarts a process without its memory; its hold starts again as after a list change.
    fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.seen_actions.clear();
        node.checked_action = None;
        node.paused = false;
        node.hold_since = self.now;
    }
}

fn count_repeated(guards: Guards, faults: Faults) -> usize {
    let mut repeated = 0;
    celerytide_seeds::each_fixed_seed(ENTROPY_BYTES, SEEDS_PER_BASE, |u| {
        let mut model = Model::new(guards);
        while !u.is_empty() {
            model.step(faults, u)?;
        }
        repeated += usize::from(model.runs.iter().any(|runs| *runs > 1));
        Ok(())
    });
    repeated
}

#[test]
fn keys_owned_by_hash_run_actions_twice_under_some_faults() {
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
    let no_guards = Guards {
        equal_list_versions: false,
        fresh_view: false,
        hold_seconds: 0,
        callers_stop_after_lifetime: true,
    };
    let short = Guards {
        equal_list_versions: true,
        fresh_view: true,
        hold_seconds: SHORT_HOLD_SECONDS,
        ..no_guards
    };
    let full = Guards {
        hold_seconds: KEY_LIFETIME_SECONDS + 1,
        ..short
    };
    let late_callers = Guards {
        callers_stop_after_lifetime: false,
        ..full
    };
    let no_faults = Faults::default();
    let changes = Faults {
        list_changes: true,
        ..no_faults
    };
    let stale = Faults {
        some_read_stale: true,
        ..changes
    };
    let restarts = Faults {
        restarts: true,
        ..no_faults
    };
    let pauses = Faults {
        pauses: true,
        ..changes
    };
    let partitions = Faults {
        partitions: true,
        ..changes
    };
    let all_but_stale = Faults {
        restarts: true,
        pauses: true,
        ..partitions
    };
    let cases = [
        case("no guard, no faults", no_guards, no_faults, false),
        case("no guard, list changes", no_guards, changes, true),
        case("no guard, restart", no_guards, restarts, true),
        case("short hold, list changes", short, changes, true),
        case("short hold, restart", short, restarts, true),
        case("full guard, list changes", full, changes, false),
        case("full guard, restart", full, restarts, false),
        case("full guard, pauses", full, pauses, false),
        case("full guard, partitions", full, partitions, false),
        case("full guard, all faults except stale reads", full, all_but_stale, false),
        case("full guard, stale reads", full, stale, true),
        case("full guard, callers retry late", late_callers, changes, true),
    ];
    for case in cases {
        let repeated = count_repeated(case.guards, case.faults);
        println!("{}: ran twice in {repeated} of 400 histories", case.name);
        assert_eq!(repeated > 0, case.breaks, "{}", case.name);
    }
}
