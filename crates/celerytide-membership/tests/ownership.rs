//! Single steps of ownership states, terms, pools and cold gates.

mod common;

use std::time::Duration;

use celerytide_membership::ownership::{
    Admission, AssessmentInput, ColdGate, GateOptions, Options, Ownership, OwnershipState, PreviousOwner, Term,
    TermGuard, owner_of, pool_of, pools_of,
};
use celerytide_membership::{Freshness, Instance, Membership, Options as MemberOptions, Origin, PeerFreshness, View};
use celerytide_types::BootTime;
use common::manifest;

const POOL: &str = "llm/0";
const HOLD_SECONDS: u64 = 40;

fn at(seconds: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(seconds))
}

fn instance(id: &str, region: &str, live: bool) -> Instance {
    let addr = "127.0.0.1:1".parse().expect("a literal address");
    let (id, region) = (id.to_owned(), region.to_owned());
    Instance {
        id,
        zone: "z".into(),
        region,
        live,
        caller: addr,
        entry_peer: addr,
        dispatch_peer: addr,
    }
}

fn member(version: u64, list: Vec<Instance>) -> Membership {
    let m = Membership::new(at(0), MemberOptions::default());
    m.offer_manifest(&Origin::Service, &manifest::text(1, "in"));
    m.offer_instances(at(0), version, list);
    m
}

/// A list of two instances, the id of the pool's owner, and the id of the other one.
fn pair() -> (Vec<Instance>, String, String) {
    let list = vec![instance("i-0", "r", true), instance("i-1", "r", true)];
    let owner = owner_of(POOL, "r", &list).expect("two are live").id.clone();
    let other = if owner == "i-0" { "i-1" } else { "i-0" };
    (list, owner, other.to_owned())
}

struct Fixture {
    membership: Membership,
    ownership: Ownership,
    other: String,
}

impl Fixture {
    fn new() -> Fixture {
        let (list, owner, other) = pair();
        let hold = Duration::from_secs(HOLD_SECONDS);
        let ownership = Ownership::new(Options {
            own_instance: owner,
            incarnation: 10,
            hold,
        });
        Fixture {
            membership: member(5, list),
            ownership,
            other,
        }
    }

    fn assess(&mut self, now: u64, freshness: Freshness, peers: PeerFreshness) -> OwnershipState {
        let view = self.membership.view();
        self.ownership.assess(
            at(now),
            AssessmentInput {
                view: &view,
                freshness,
                peers,
            },
        );
        self.ownership.state(POOL)
    }

    fn assess_fresh(&mut self, now: u64) -> OwnershipState {
        self.assess(now, Freshness::Fresh, PeerFreshness::NoneHeard)
    }

    fn muster_all(&mut self, previous: PreviousOwner) {
        for call in self.ownership.pending_takeovers(POOL) {
            self.ownership.record_takeover(&call, previous);
        }
    }
}

fn taking(since: u64, mustered: bool) -> OwnershipState {
    OwnershipState::TakingOver {
        since: at(since),
        share: 0.5,
        all_entries_follow: mustered,
    }
}

#[test]
fn a_new_owner_settles_after_muster_and_either_hold_or_handover() {
    let previous = Term {
        list_version: 4,
        incarnation: 99,
    };
    let mut fixture = Fixture::new();
    assert_eq!(fixture.assess_fresh(1), taking(1, false));
    assert_eq!(
        fixture.assess_fresh(1 + HOLD_SECONDS),
        taking(1, false),
        "the hold alone is not enough"
    );
    fixture.muster_all(PreviousOwner::Followed(previous));
    assert_eq!(fixture.assess_fresh(1 + HOLD_SECONDS), OwnershipState::Settled);

    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    fixture.muster_all(PreviousOwner::Followed(previous));
    assert_eq!(fixture.assess_fresh(2), taking(1, true));
    fixture.ownership.record_handover(
        POOL,
        Term {
            list_version: 3,
            ..previous
        },
    );
    assert_eq!(
        fixture.assess_fresh(3),
        taking(1, true),
        "the handover of an older owner doesn't count"
    );
    fixture.ownership.record_handover(POOL, previous);
    assert_eq!(fixture.assess_fresh(3), OwnershipState::Settled);

    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    fixture.muster_all(PreviousOwner::NoOwner);
    assert_eq!(
        fixture.assess_fresh(1),
        OwnershipState::Settled,
        "there was no previous owner"
    );

    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    fixture.muster_all(PreviousOwner::Unknown);
    assert_eq!(fixture.assess_fresh(2), taking(1, true));
}

#[test]
fn a_repeated_answer_does_not_hide_the_previous_owner() {
    let own_term = Term {
        list_version: 5,
        incarnation: 10,
    };
    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    fixture.muster_all(PreviousOwner::Followed(own_term));
    assert_eq!(
        fixture.assess_fresh(2),
        taking(1, true),
        "the lost answer named the previous owner"
    );
    assert_eq!(fixture.assess_fresh(1 + HOLD_SECONDS), OwnershipState::Settled);
    let other = fixture.other.clone();
    fixture.ownership.entry_disconnected(&other);
    fixture.muster_all(PreviousOwner::Followed(own_term));
    assert_eq!(fixture.assess_fresh(2 + HOLD_SECONDS), OwnershipState::Settled);

    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    fixture.muster_all(PreviousOwner::Followed(Term {
        list_version: 4,
        ..own_term
    }));
    let other = fixture.other.clone();
    fixture.ownership.entry_disconnected(&other);
    fixture.muster_all(PreviousOwner::NoOwner);
    assert_eq!(
        fixture.assess_fresh(2),
        taking(1, true),
        "the answer of a restarted entry doesn't replace its first one"
    );
}

#[test]
fn a_settled_owner_without_fresh_views_grants_less() {
    struct Case {
        name: &'static str,
        freshness: Freshness,
        peers: PeerFreshness,
        want: OwnershipState,
    }
    let case = |name, freshness, peers, want| Case {
        name,
        freshness,
        peers,
        want,
    };
    let stale = Freshness::Stale {
        age: Duration::from_secs(31),
    };
    let cases = [
        case(
            "fresh",
            Freshness::Fresh,
            PeerFreshness::NoneHeard,
            OwnershipState::Settled,
        ),
        case(
            "service down for all peers",
            stale,
            PeerFreshness::AllStale,
            OwnershipState::Stale { share: 1.0 },
        ),
        case(
            "process cut off from the service",
            stale,
            PeerFreshness::PeerFresh,
            OwnershipState::Stale { share: 0.5 },
        ),
        case(
            "no peer heard",
            stale,
            PeerFreshness::NoneHeard,
            OwnershipState::Stale { share: 0.5 },
        ),
        case(
            "process was suspended",
            Freshness::Woken,
            PeerFreshness::NoneHeard,
            OwnershipState::Woken,
        ),
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        fixture.assess_fresh(1);
        fixture.muster_all(PreviousOwner::NoOwner);
        fixture.assess_fresh(1);
        assert_eq!(
            fixture.assess(50, case.freshness, case.peers),
            case.want,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_suspended_owner_musters_again_and_ignores_old_answers() {
    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    let old = fixture.ownership.pending_takeovers(POOL);
    fixture.muster_all(PreviousOwner::NoOwner);
    assert_eq!(fixture.assess_fresh(1), OwnershipState::Settled);
    assert_eq!(
        fixture.assess(9, Freshness::Woken, PeerFreshness::NoneHeard),
        OwnershipState::Woken
    );
    old.iter()
        .for_each(|call| fixture.ownership.record_takeover(call, PreviousOwner::NoOwner));
    assert_eq!(
        fixture.assess_fresh(10),
        taking(1, false),
        "views are fresh, but entries may follow another owner"
    );
    fixture.muster_all(PreviousOwner::NoOwner);
    assert_eq!(fixture.assess_fresh(10), OwnershipState::Settled);
}

#[test]
fn a_disconnected_entry_counts_as_not_following_until_it_answers() {
    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    fixture.muster_all(PreviousOwner::NoOwner);
    fixture.assess_fresh(1);
    let other = fixture.other.clone();
    assert!(fixture.ownership.entry_follows(POOL, &other));
    fixture.ownership.entry_disconnected(&other);
    assert!(!fixture.ownership.entry_follows(POOL, &other));
    assert_eq!(
        fixture.assess_fresh(2),
        OwnershipState::Settled,
        "permits for warm endpoints go on"
    );
    assert_eq!(fixture.ownership.pending_takeovers(POOL).len(), 1);
}

#[test]
fn a_refused_owner_exceeds_only_terms_of_its_earlier_incarnations() {
    struct Case {
        name: &'static str,
        highest: Term,
        term: Term,
        superseded: bool,
    }
    let case = |name, highest, term, superseded| Case {
        name,
        highest,
        term,
        superseded,
    };
    let own_term = Term {
        list_version: 5,
        incarnation: 10,
    };
    let cases = [
        case(
            "earlier incarnation, same list",
            Term {
                incarnation: 70,
                ..own_term
            },
            Term {
                incarnation: 71,
                ..own_term
            },
            false,
        ),
        case(
            "later list",
            Term {
                list_version: 6,
                incarnation: 3,
            },
            own_term,
            true,
        ),
        case(
            "lower term",
            Term {
                list_version: 4,
                incarnation: 70,
            },
            own_term,
            false,
        ),
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        fixture.assess_fresh(1);
        let view = fixture.membership.view();
        fixture.ownership.record_higher_term(at(2), POOL, case.highest, &view);
        assert_eq!(fixture.ownership.term(POOL), Some(case.term), "{}", case.name);
        let superseded = fixture.assess_fresh(2) == OwnershipState::Stale { share: 0.0 };
        assert_eq!(superseded, case.superseded, "{}", case.name);
    }
}

#[test]
fn released_pools_are_not_taken_again() {
    let mut fixture = Fixture::new();
    fixture.assess_fresh(1);
    assert_eq!(
        fixture.ownership.release_all(),
        [(
            POOL.to_owned(),
            Term {
                list_version: 5,
                incarnation: 10
            }
        )]
    );
    assert_eq!(fixture.assess_fresh(2), OwnershipState::NotOwner);
}

fn view(epoch: u64, ceiling: Option<u64>) -> View {
    let view = member(5, Vec::new()).view();
    View {
        list_epoch: epoch,
        list_ceiling: ceiling,
        ..(*view).clone()
    }
}

#[test]
fn a_guard_refuses_musters_of_owners_that_have_not_seen_its_first_list() {
    let term = Term {
        list_version: 3,
        incarnation: 7,
    };
    struct Case {
        name: &'static str,
        listed: Vec<u64>,
        latest_list_version: u64,
        want: Admission,
    }
    let case = |name, listed: &[u64], latest_list_version, want| Case {
        name,
        listed: listed.to_vec(),
        latest_list_version,
        want,
    };
    let cases = [
        case("no list yet", &[0], 9, Admission::OwnerBehind),
        case("owner behind the first list", &[5], 4, Admission::OwnerBehind),
        case(
            "owner behind the first list, after a later list",
            &[5, 8],
            4,
            Admission::OwnerBehind,
        ),
        case("owner at the first list", &[5], 5, Admission::Accepted),
        case(
            "owner between the first list and the current one",
            &[5, 8],
            6,
            Admission::Accepted,
        ),
        case("owner ahead of the current list", &[5], 9, Admission::Accepted),
    ];
    for case in cases {
        let mut guard = TermGuard::new();
        let answers = case.listed.iter().map(|version| {
            let view = View {
                list_version: *version,
                ..view(0, None)
            };
            guard.admit_takeover(&view, POOL, term, case.latest_list_version)
        });
        assert_eq!(answers.last(), Some(case.want), "{}", case.name);
    }
}

#[test]
fn the_guard_accepts_only_equal_or_higher_terms_of_one_epoch() {
    let term = |list_version, incarnation| Term {
        list_version,
        incarnation,
    };
    struct Step {
        view: View,
        term: Term,
        want: Admission,
    }
    let step = |view, term, want| Step { view, term, want };
    let steps = [
        step(view(0, None), term(5, 7), Admission::Accepted),
        step(view(0, None), term(5, 7), Admission::Accepted),
        step(view(0, None), term(5, 6), Admission::Older { highest: term(5, 7) }),
        step(view(0, None), term(900, 1), Admission::Accepted),
        step(view(0, None), term(899, 9), Admission::Older { highest: term(900, 1) }),
        step(view(1, Some(900)), term(3, 1), Admission::Accepted),
        step(view(1, Some(900)), term(901, 1), Admission::OtherEpoch),
        step(view(1, Some(900)), term(2, 1), Admission::Older { highest: term(3, 1) }),
        step(view(1, None), term(901, 1), Admission::Accepted),
    ];
    let mut guard = TermGuard::new();
    for (n, step) in steps.into_iter().enumerate() {
        assert_eq!(guard.admit(&step.view, POOL, step.term), step.want, "step {n}");
    }
}

#[test]
fn a_cold_gate_grants_only_when_settled_and_without_foreign_work() {
    enum Step {
        Count(u64, u32),
        Report(u64, u32, u64),
        Limit(OwnershipState, u32),
    }
    use Step::{Count, Limit, Report};
    let steps = [
        Limit(OwnershipState::Settled, 0),
        Report(2, 0, 3),
        Limit(OwnershipState::Settled, 0),
        Report(4, 0, 1),
        Limit(OwnershipState::Settled, 4),
        Limit(taking(0, true), 0),
        Limit(taking(0, false), 0),
        Limit(OwnershipState::Stale { share: 1.0 }, 0),
        Limit(OwnershipState::Woken, 0),
        Count(9, 2),
        Count(10, 0),
        Report(11, 2, 1),
        Limit(OwnershipState::Settled, 4),
        Report(12, 3, 1),
        Limit(OwnershipState::Settled, 0),
        Report(13, 1, 1),
        Limit(OwnershipState::Settled, 0),
        Report(14, 0, 1),
        Limit(OwnershipState::Settled, 4),
        Report(20, 1, 1),
        Limit(OwnershipState::Settled, 0),
    ];
    let mut gate = ColdGate::new(at(0), GateOptions::default());
    for (n, step) in steps.into_iter().enumerate() {
        match step {
            Count(now, permits) => gate.record_permits(at(now), permits),
            Report(now, work, age) => gate.record_report(at(now), work, Duration::from_secs(age)),
            Limit(state, want) => assert_eq!(gate.permit_limit(state, 4), want, "step {n}"),
        }
    }
}

#[test]
fn a_pool_is_owned_by_a_live_instance_of_its_region() {
    let pools = pools_of(&manifest::manifest(1, "in"));
    assert_eq!(pools.len(), 1);
    assert_eq!((pools[0].id.as_str(), pools[0].region.as_str()), (POOL, "r"));
    let list = [
        instance("i-0", "r", false),
        instance("i-1", "r", true),
        instance("i-2", "q", true),
    ];
    assert_eq!(owner_of(POOL, "r", &list).map(|i| i.id.as_str()), Some("i-1"));
    assert_eq!(owner_of(POOL, "p", &list), None);
}

#[test]
fn endpoints_spread_over_all_pools_and_regions_share_no_pool() {
    let ids: Vec<String> = (0..750).map(|n| format!("e-{n}")).collect();
    let in_region = |rank| {
        ids.iter()
            .map(|id| pool_of("llm", id, 4, rank))
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(in_region(0).len(), 4);
    assert!(in_region(0).is_disjoint(&in_region(1)));
    assert_eq!(pool_of("llm", "e-0", 0, 0), POOL);
}
