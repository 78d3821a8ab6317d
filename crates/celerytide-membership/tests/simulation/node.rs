//! One simulated instance: its view, its dispatch process and its entry process.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerytide_membership::ownership::{
    AssessmentInput, ColdGate, GateOptions, Options as OwnershipOptions, Ownership, StateChange, TermGuard,
};
use celerytide_membership::{Document, Freshness, Instance, Membership, Options, Origin, PeerFreshness};
use celerytide_types::BootTime;

use super::{COLD_SLOTS, Flaw, POOL, PermitNumber};
use crate::common::manifest;

pub const HOLD: Duration = Duration::from_secs(40);
const FRESH_FOR: Duration = Duration::from_secs(30);
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(2);

pub struct Node {
    pub id: String,
    pub membership: Membership,
    pub ownership: Ownership,
    pub guard: TermGuard,
    pub entry_incarnation: u64,
    pub dispatch_incarnation: u64,
    /// Permits that the dispatch process counts as in flight, with their entry.
    pub granted: BTreeMap<PermitNumber, usize>,
    pub ended: BTreeSet<PermitNumber>,
    pub gate: ColdGate,
    /// Permits whose work runs through the entry.
    pub running: BTreeSet<PermitNumber>,
    pub up: bool,
    pub paused: bool,
    /// Whether it can't reach the list service.
    pub cut_off: bool,
    /// Whether the list service returns an old list to it.
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
    pub fn start(n: usize, incarnation: u64, now: BootTime, reports: bool, flaw: Option<Flaw>) -> Node {
        let opts = Options {
            incarnation,
            check: manifest::cached_check,
            fresh_for: FRESH_FOR,
            suspension_threshold: SUSPENSION_THRESHOLD,
            ..Options::default()
        };
        let membership = Membership::new(now, opts);
        membership.offer_manifest(&Origin::Service, &manifest::text(1, "in"));
        let ownership = Ownership::new(OwnershipOptions {
            own_instance: format!("i-{n}"),
            incarnation,
            hold: HOLD,
        });
        Node {
            id: format!("i-{n}"),
            membership,
            ownership,
            guard: TermGuard::new(),
            entry_incarnation: incarnation,
            dispatch_incarnation: incarnation,
            granted: BTreeMap::new(),
            ended: BTreeSet::new(),
            gate: ColdGate::new(
                now,
                GateOptions {
                    reports: reports && flaw != Some(Flaw::NoReports),
                    ..GateOptions::default()
                },
            ),
            running: BTreeSet::new(),
            up: true,
            paused: false,
            cut_off: false,
            reads_stale: false,
        }
    }

    pub fn is_active(&self) -> bool {
        self.up && !self.paused
    }

    /// Applies a list that the service just returned.
    pub fn read(&mut self, now: BootTime, version: u64, list: Vec<Instance>) {
        self.membership.offer_instances(now, version, list);
        for document in [Document::Manifest, Document::Instances, Document::Endpoints] {
            self.membership.record_confirmation(now, document, now);
        }
    }

    pub fn assess(&mut self, now: BootTime, flaw: Option<Flaw>) -> Vec<StateChange> {
        let view = self.membership.view();
        let always_fresh = flaw == Some(Flaw::AlwaysFresh);
        let freshness = if always_fresh {
            Freshness::Fresh
        } else {
            self.membership.freshness(now)
        };
        let changes = self.ownership.assess(
            now,
            AssessmentInput {
                view: &view,
                freshness,
                peers: PeerFreshness::NoneHeard,
            },
        );
        if self.ownership.term(POOL).is_none() {
            self.granted.clear();
        }
        self.gate.record_state(now, self.ownership.state(POOL));
        self.gate.record_permits(now, self.granted.len() as u32);
        changes
    }

    /// Advances by one second; `report` is the endpoint's own count and its age.
    pub fn tick(&mut self, now: BootTime, report: Option<(u32, Duration)>) {
        self.membership.tick(now);
        if let Some((work, age)) = report {
            self.gate.record_report(now, work, age);
        }
    }

    /// Whether one more permit may be granted.
    pub fn has_capacity(&self) -> bool {
        let granted = self.granted.len() as u32;
        granted < self.gate.permit_limit(self.ownership.state(POOL), COLD_SLOTS)
    }
}
