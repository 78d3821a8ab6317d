//! One instance: its view, its dispatch and its entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerytide_membership::ownership::{
    Assessment, Change, ColdGate, GateOptions, Options as OwnershipOptions, Ownership, TermGuard,
};
use celerytide_membership::{Freshness, Instance, Membership, Options, Origin, PeersSay, Watched};
use celerytide_types::BootTime;

use super::{BOUND, Flaw, Number, POOL};
use crate::common::manifest;

pub const HOLD: Duration = Duration::from_secs(40);
const FRESH_FOR: Duration = Duration::from_secs(30);
const PAUSE_BOUND: Duration = Duration::from_secs(2);

pub struct Node {
    pub id: String,
    pub members: Membership,
    pub own: Ownership,
    pub guard: TermGuard,
    pub entry_life: u64,
    pub dispatch_life: u64,
    /// Permits that the dispatch counts.
    pub counted: BTreeMap<Number, usize>,
    pub settled: BTreeSet<Number>,
    pub gate: ColdGate,
    /// Permits that run through the entry.
    pub working: BTreeSet<Number>,
    pub up: bool,
    pub paused: bool,
    pub cut: bool,
    pub reads_stale: bool,
}

pub fn instance(n: usize, live: bool) -> Instance {
    let addr = "127.0.0.1:1".parse().expect("a literal address");
    Instance {
        id: format!("i-{n}"),
        zone: "z-0".into(),
        region: "r".into(),
        live,
        caller: addr,
        entry_peer: addr,
        dispatch_peer: addr,
    }
}

impl Node {
    pub fn start(n: usize, life: u64, now: BootTime, reports: bool, flaw: Option<Flaw>) -> Node {
        let opts = Options {
            incarnation: life,
            check: manifest::cached_check,
            fresh_for: FRESH_FOR,
            pause_bound: PAUSE_BOUND,
            ..Options::default()
        };
        let members = Membership::new(now, opts);
        members.offer_manifest(&Origin::Service, &manifest::text(1, "in"));
        let own = Ownership::new(OwnershipOptions {
            own: format!("i-{n}"),
            incarnation: life,
            hold: HOLD,
        });
        Node {
            id: format!("i-{n}"),
            members,
            own,
            guard: TermGuard::new(),
            entry_life: life,
            dispatch_life: life,
            counted: BTreeMap::new(),
            settled: BTreeSet::new(),
            gate: ColdGate::new(
                now,
                GateOptions {
                    reports: reports && flaw != Some(Flaw::NoReports),
                    ..GateOptions::default()
                },
            ),
            working: BTreeSet::new(),
            up: true,
            paused: false,
            cut: false,
            reads_stale: false,
        }
    }

    pub fn acts(&self) -> bool {
        self.up && !self.paused
    }

    /// Takes the list that the service answered just now.
    pub fn read(&mut self, now: BootTime, version: u64, list: Vec<Instance>) {
        self.members.offer_instances(now, version, list);
        for what in [Watched::Manifest, Watched::Instances, Watched::Endpoints] {
            self.members.confirmed(now, what, now);
        }
    }

    pub fn assess(&mut self, now: BootTime, flaw: Option<Flaw>) -> Vec<Change> {
        let view = self.members.view();
        let trusting = flaw == Some(Flaw::AlwaysFresh);
        let freshness = if trusting {
            Freshness::Fresh
        } else {
            self.members.freshness(now)
        };
        let changes = self.own.assess(
            now,
            Assessment {
                view: &view,
                freshness,
                peers: PeersSay::Silent,
            },
        );
        if self.own.term(POOL).is_none() {
            self.counted.clear();
        }
        self.gate.standing(now, self.own.standing(POOL));
        self.gate.counted(now, self.counted.len() as u32);
        changes
    }

    /// One second passes; `report` is the endpoint's own count and its age.
    pub fn second(&mut self, now: BootTime, report: Option<(u32, Duration)>) {
        self.members.tick(now);
        if let Some((work, age)) = report {
            self.gate.reported(now, work, age);
        }
    }

    /// Whether one more permit may be granted.
    pub fn has_room(&self) -> bool {
        let counted = self.counted.len() as u32;
        counted < self.gate.limit(self.own.standing(POOL), BOUND)
    }
}
