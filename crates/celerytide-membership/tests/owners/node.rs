//! One instance: its view, its dispatch and its entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use celerytide_membership::ownership::{
    Assessment, Change, ColdCase, Options as OwnershipOptions, Ownership, TermGuard, Witness, cold_limit,
};
use celerytide_membership::{Freshness, Instance, Membership, Options, Origin, PeersSay, Watched};
use celerytide_types::Boot;

use super::{BOUND, Flaw, Number, POOL};
use crate::common::manifest;

pub const HOLD: Duration = Duration::from_secs(40);
const FRESH_FOR: Duration = Duration::from_secs(30);
const PAUSE_BOUND: Duration = Duration::from_secs(2);
const WITNESS_FOR: Duration = Duration::from_secs(3);
/// Seconds of own counts that a report is held against.
const MEMORY: usize = 6;

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
    pub peaks: VecDeque<u32>,
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
    pub fn start(n: usize, life: u64, now: Boot, flaw: Option<Flaw>) -> Node {
        let opts = Options {
            incarnation: life,
            fresh_for: FRESH_FOR,
            pause_bound: PAUSE_BOUND,
            ..Options::default()
        };
        let members = Membership::new(now, opts);
        members.offer_manifest(&Origin::Service, &manifest::text(1, "in"));
        let hold = if flaw == Some(Flaw::NoHold) {
            Duration::ZERO
        } else {
            HOLD
        };
        let own = Ownership::new(OwnershipOptions {
            own: format!("i-{n}"),
            incarnation: life,
            hold,
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
            peaks: VecDeque::new(),
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
    pub fn read(&mut self, now: Boot, version: u64, list: Vec<Instance>) {
        self.members.offer_instances(now, version, list);
        for what in [Watched::Manifest, Watched::Instances, Watched::Endpoints] {
            self.members.confirmed(now, what, now);
        }
    }

    pub fn assess(&mut self, now: Boot, flaw: Option<Flaw>) -> Vec<Change> {
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
        let lost = self.own.term(POOL).is_none();
        if lost {
            self.counted.clear();
        }
        changes
    }

    /// One second passes.
    pub fn second(&mut self, now: Boot) {
        self.members.tick(now);
        self.peaks.push_back(self.counted.len() as u32);
        if self.peaks.len() > MEMORY {
            self.peaks.pop_front();
        }
    }

    /// Whether one more permit may be granted; `report` is the endpoint's own count and its age.
    pub fn has_room(&self, report: Option<(u32, Duration)>, flaw: Option<Flaw>) -> bool {
        let counted = self.counted.len() as u32;
        let own_work = self.peaks.iter().copied().chain([counted]).max().unwrap_or_default();
        let unseen = flaw == Some(Flaw::NoHold);
        let witness = report.filter(|_| !unseen).map(|(work, age)| Witness { work, age });
        let case = ColdCase {
            bound: BOUND,
            own_work,
            witness,
            witness_for: WITNESS_FOR,
        };
        counted < cold_limit(self.own.standing(POOL), case)
    }
}
