//! Single steps of ownership states, terms, pools and cold gates.

mod common;

use std::time::Duration;

use celerytide_membership::ownership::{
    Admission, AssessmentInput, ColdGate, GateOptions, Options, Ownership, OwnershipState as State, PreviousOwner,
    Term, TermGuard, owner_of, pool_of, pools_of,
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

/// A process that has read the manifest and this version of the instance list.
fn membership(version: u64, list: Vec<Instance>) -> Membership {
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
            membership: membership(5, list),
            ownership,
            other,
        }
    }

    fn assess(&mut self, now: u64, freshness: Freshness, peers: PeerFreshness) -> State {
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

    fn assess_fresh(&mut self, now: u64) -> State {
        self.assess(now, Freshness::Fresh, PeerFreshness::NoneHeard)
    }

    fn take_over(&mut self, previous: PreviousOwner) {
        for call in self.ownership.pending_takeovers(POOL) {
            self.ownership.record_takeover(&call, previous);
        }
    }
}

fn taking_over(since: u64, all_entries_follow: bool) -> State {
    State::TakingOver {
        since: at(since),
        share: 0.5,
        all_entries_follow,
    }
}

#[test]
fn a_new_owner_settles_after_takeover_and_either_hold_or_handover() {
    let previous = Term {
        list_version: 4,
        incarnation: 99,
    };
    let mut fx = Fixture::new();
    assert_eq!(fx.assess_fresh(1), taking_over(1, false));
    assert_eq!(
        fx.assess_fresh(1 + HOLD_SECONDS),
        taking_over(1, false),
        "the hold alone is not enough"
    );
    fx.take_over(PreviousOwner::Followed(previous));
    assert_eq!(fx.assess_fresh(1 + HOLD_SECONDS), State::Settled);

    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    fx.take_over(PreviousOwner::Followed(previous));
    assert_eq!(fx.assess_fresh(2), taking_over(1, true));
    fx.ownership.record_handover(
        POOL,
        Term {
            list_version: 3,
            ..previous
        },
    );
    assert_eq!(
        fx.assess_fresh(3),
        taking_over(1, true),
        "the handover of an earlier owner than the previous one doesn't count"
    );
    fx.ownership.record_handover(POOL, previous);
    assert_eq!(fx.assess_fresh(3), State::Settled);

    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    fx.take_over(PreviousOwner::NoOwner);
    assert_eq!(fx.assess_fresh(1), State::Settled, "there was no previous owner");

    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    fx.take_over(PreviousOwner::Unknown);
    assert_eq!(fx.assess_fresh(2), taking_over(1, true));
}

#[test]
fn a_repeated_reply_does_not_hide_the_previous_owner() {
    let own_term = Term {
        list_version: 5,
        incarnation: 10,
    };
    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    fx.take_over(PreviousOwner::Followed(own_term));
    assert_eq!(
        fx.assess_fresh(2),
        taking_over(1, true),
        "the first reply, which named the previous owner, was lost; the repeated one names only the own term"
    );
    assert_eq!(fx.assess_fresh(1 + HOLD_SECONDS), State::Settled);
    let other = fx.other.clone();
    fx.ownership.entry_disconnected(&other);
    fx.take_over(PreviousOwner::Followed(own_term));
    assert_eq!(fx.assess_fresh(2 + HOLD_SECONDS), State::Settled);

    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    fx.take_over(PreviousOwner::Followed(Term {
        list_version: 4,
        ..own_term
    }));
    let other = fx.other.clone();
    fx.ownership.entry_disconnected(&other);
    fx.take_over(PreviousOwner::NoOwner);
    assert_eq!(
        fx.assess_fresh(2),
        taking_over(1, true),
        "the reply of a restarted entry doesn't replace its first one"
    );
}

#[test]
fn a_settled_owner_without_fresh_views_grants_less() {
    use PeerFreshness::{AllStale, NoneHeard, PeerFresh};
    struct Case {
        name: &'static str,
        freshness: Freshness,
        peers: PeerFreshness,
        want: State,
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
        case("fresh", Freshness::Fresh, NoneHeard, State::Settled),
        case("service down for all", stale, AllStale, State::Stale { share: 1.0 }),
        case("cut off from service", stale, PeerFresh, State::Stale { share: 0.5 }),
        case("no peer heard", stale, NoneHeard, State::Stale { share: 0.5 }),
        case("process was suspended", Freshness::Woken, NoneHeard, State::Woken),
    ];
    for case in cases {
        let mut fx = Fixture::new();
        fx.assess_fresh(1);
        fx.take_over(PreviousOwner::NoOwner);
        fx.assess_fresh(1);
        assert_eq!(fx.assess(50, case.freshness, case.peers), case.want, "{}", case.name);
    }
}

#[test]
fn a_suspended_owner_repeats_the_takeover_and_ignores_old_replies() {
    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    let old = fx.ownership.pending_takeovers(POOL);
    fx.take_over(PreviousOwner::NoOwner);
    assert_eq!(fx.assess_fresh(1), State::Settled);
    assert_eq!(fx.assess(9, Freshness::Woken, PeerFreshness::NoneHeard), State::Woken);
    old.iter()
        .for_each(|call| fx.ownership.record_takeover(call, PreviousOwner::NoOwner));
    assert_eq!(
        fx.assess_fresh(10),
        taking_over(1, false),
        "views are fresh, but entries may follow another owner"
    );
    fx.take_over(PreviousOwner::NoOwner);
    assert_eq!(fx.assess_fresh(10), State::Settled);
}

#[test]
fn a_disconnected_entry_counts_as_not_following_until_it_replies() {
    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    fx.take_over(PreviousOwner::NoOwner);
    fx.assess_fresh(1);
    let other = fx.other.clone();
    assert!(fx.ownership.entry_follows(POOL, &other));
    fx.ownership.entry_disconnected(&other);
    assert!(!fx.ownership.entry_follows(POOL, &other));
    assert_eq!(fx.assess_fresh(2), State::Settled, "permits for warm endpoints go on");
    assert_eq!(fx.ownership.pending_takeovers(POOL).len(), 1);
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
        let mut fx = Fixture::new();
        fx.assess_fresh(1);
        let view = fx.membership.view();
        fx.ownership.record_higher_term(at(2), POOL, case.highest, &view);
        assert_eq!(fx.ownership.term(POOL), Some(case.term), "{}", case.name);
        // A share of 0 means that an entry follows the owner of a later list.
        let superseded = fx.assess_fresh(2) == State::Stale { share: 0.0 };
        assert_eq!(superseded, case.superseded, "{}", case.name);
    }
}

#[test]
fn released_pools_are_not_owned_again() {
    let mut fx = Fixture::new();
    fx.assess_fresh(1);
    assert_eq!(
        fx.ownership.release_all(),
        [(
            POOL.to_owned(),
            Term {
                list_version: 5,
                incarnation: 10
            }
        )]
    );
    assert_eq!(fx.assess_fresh(2), State::NotOwner);
}

fn view(epoch: u64, ceiling: Option<u64>) -> View {
    let view = membership(5, Vec::new()).view();
    View {
        list_epoch: epoch,
        list_ceiling: ceiling,
        ..(*view).clone()
    }
}

#[test]
fn a_guard_refuses_takeovers_by_owners_that_have_not_seen_its_first_list() {
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
        let replies = case.listed.iter().map(|version| {
            let view = View {
                list_version: *version,
                ..view(0, None)
            };
            guard.admit_takeover(&view, POOL, term, case.latest_list_version)
        });
        assert_eq!(replies.last(), Some(case.want), "{}", case.name);
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
        // A rebuilt list service starts a new epoch; terms from its ceiling on are of the earlier one.
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
        /// Time in seconds, permits in flight.
        Count(u64, u32),
        /// Time in seconds, work at the endpoint, age of the report in seconds.
        Report(u64, u32, u64),
        /// Ownership state, expected limit.
        Limit(State, u32),
    }
    use Step::{Count, Limit, Report};
    let steps = [
        Limit(State::Settled, 0),
        // A report from before the tenure proves nothing; a later one of an idle endpoint ends the suspicion.
        Report(2, 0, 3),
        Limit(State::Settled, 0),
        Report(4, 0, 1),
        Limit(State::Settled, 4),
        Limit(taking_over(0, true), 0),
        Limit(taking_over(0, false), 0),
        Limit(State::Stale { share: 1.0 }, 0),
        Limit(State::Woken, 0),
        // Work of recently ended own permits is not foreign, one request more is.
        Count(9, 2),
        Count(10, 0),
        Report(11, 2, 1),
        Limit(State::Settled, 4),
        Report(12, 3, 1),
        Limit(State::Settled, 0),
        Report(13, 1, 1),
        Limit(State::Settled, 0),
        Report(14, 0, 1),
        Limit(State::Settled, 4),
        // By now the own permits have ended for longer than the settle lag.
        Report(20, 1, 1),
        Limit(State::Settled, 0),
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
