//! Standings, terms, pools and gates step by step.

mod common;

use std::time::Duration;

use celerytide_membership::ownership::{
    Admitted, Assessment, ColdGate, Former, GateOptions, Options, Ownership, Standing, Term, TermGuard, owner_of,
    pool_of, pools_of,
};
use celerytide_membership::{Freshness, Instance, Membership, Options as MemberOptions, Origin, PeersSay, View};
use celerytide_types::BootTime;
use common::manifest;

const POOL: &str = "llm/0";
const HOLD: u64 = 40;

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

/// Two instances; the first owns the pool.
fn pair() -> (Vec<Instance>, String, String) {
    let list = vec![instance("i-0", "r", true), instance("i-1", "r", true)];
    let owner = owner_of(POOL, "r", &list).expect("two are live").id.clone();
    let other = if owner == "i-0" { "i-1" } else { "i-0" };
    (list, owner, other.to_owned())
}

struct Bench {
    members: Membership,
    own: Ownership,
    other: String,
}

impl Bench {
    fn new() -> Bench {
        let (list, owner, other) = pair();
        let hold = Duration::from_secs(HOLD);
        let own = Ownership::new(Options {
            own: owner,
            incarnation: 10,
            hold,
        });
        Bench {
            members: member(5, list),
            own,
            other,
        }
    }

    fn assess(&mut self, now: u64, freshness: Freshness, peers: PeersSay) -> Standing {
        let view = self.members.view();
        self.own.assess(
            at(now),
            Assessment {
                view: &view,
                freshness,
                peers,
            },
        );
        self.own.standing(POOL)
    }

    fn fresh(&mut self, now: u64) -> Standing {
        self.assess(now, Freshness::Fresh, PeersSay::Silent)
    }

    fn muster_all(&mut self, former: Former) {
        for call in self.own.musters(POOL) {
            self.own.mustered(&call, former);
        }
    }
}

fn taking(since: u64, mustered: bool) -> Standing {
    Standing::Taking {
        since: at(since),
        share: 0.5,
        mustered,
    }
}

#[test]
fn a_new_owner_settles_by_muster_and_hold_or_handover() {
    let former = Term {
        list_version: 4,
        incarnation: 99,
    };
    let mut bench = Bench::new();
    assert_eq!(bench.fresh(1), taking(1, false));
    assert_eq!(bench.fresh(1 + HOLD), taking(1, false), "time alone doesn't settle");
    bench.muster_all(Former::Seen(former));
    assert_eq!(bench.fresh(1 + HOLD), Standing::Settled);

    let mut bench = Bench::new();
    bench.fresh(1);
    bench.muster_all(Former::Seen(former));
    assert_eq!(bench.fresh(2), taking(1, true));
    bench.own.handed_over(
        POOL,
        Term {
            list_version: 3,
            ..former
        },
    );
    assert_eq!(
        bench.fresh(3),
        taking(1, true),
        "an older owner's handover says nothing"
    );
    bench.own.handed_over(POOL, former);
    assert_eq!(bench.fresh(3), Standing::Settled);

    let mut bench = Bench::new();
    bench.fresh(1);
    bench.muster_all(Former::Nobody);
    assert_eq!(bench.fresh(1), Standing::Settled, "nobody owned it before");

    let mut bench = Bench::new();
    bench.fresh(1);
    bench.muster_all(Former::NotSaid);
    assert_eq!(bench.fresh(2), taking(1, true));
}

#[test]
fn an_answer_after_a_lost_one_doesnt_hide_the_former_owner() {
    let own = Term {
        list_version: 5,
        incarnation: 10,
    };
    let mut bench = Bench::new();
    bench.fresh(1);
    bench.muster_all(Former::Seen(own));
    assert_eq!(
        bench.fresh(2),
        taking(1, true),
        "whom it followed before was said in the answer that was lost"
    );
    assert_eq!(bench.fresh(1 + HOLD), Standing::Settled);
    let other = bench.other.clone();
    bench.own.entry_lost(&other);
    bench.muster_all(Former::Seen(own));
    assert_eq!(bench.fresh(2 + HOLD), Standing::Settled);

    let mut bench = Bench::new();
    bench.fresh(1);
    bench.muster_all(Former::Seen(Term { list_version: 4, ..own }));
    let other = bench.other.clone();
    bench.own.entry_lost(&other);
    bench.muster_all(Former::Nobody);
    assert_eq!(
        bench.fresh(2),
        taking(1, true),
        "a restarted entry doesn't take its first answer back"
    );
}

#[test]
fn a_settled_owner_abstains_by_freshness() {
    struct Case {
        name: &'static str,
        freshness: Freshness,
        peers: PeersSay,
        want: Standing,
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
        case("fresh", Freshness::Fresh, PeersSay::Silent, Standing::Settled),
        case(
            "service down for all",
            stale,
            PeersSay::AlsoStale,
            Standing::Stale { share: 1.0 },
        ),
        case("cut off", stale, PeersSay::Fresher, Standing::Stale { share: 0.5 }),
        case("alone", stale, PeersSay::Silent, Standing::Stale { share: 0.5 }),
        case("slept", Freshness::Woken, PeersSay::Silent, Standing::Woken),
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.fresh(1);
        bench.muster_all(Former::Nobody);
        bench.fresh(1);
        assert_eq!(bench.assess(50, case.freshness, case.peers), case.want, "{}", case.name);
    }
}

#[test]
fn a_sleeper_musters_again_and_old_answers_dont_count() {
    let mut bench = Bench::new();
    bench.fresh(1);
    let old = bench.own.musters(POOL);
    bench.muster_all(Former::Nobody);
    assert_eq!(bench.fresh(1), Standing::Settled);
    assert_eq!(bench.assess(9, Freshness::Woken, PeersSay::Silent), Standing::Woken);
    old.iter().for_each(|call| bench.own.mustered(call, Former::Nobody));
    assert_eq!(
        bench.fresh(10),
        taking(1, false),
        "fresh again, but whom do entries follow?"
    );
    bench.muster_all(Former::Nobody);
    assert_eq!(bench.fresh(10), Standing::Settled);
}

#[test]
fn a_lost_entry_is_not_followed_until_it_answers() {
    let mut bench = Bench::new();
    bench.fresh(1);
    bench.muster_all(Former::Nobody);
    bench.fresh(1);
    let other = bench.other.clone();
    assert!(bench.own.follows(POOL, &other));
    bench.own.entry_lost(&other);
    assert!(!bench.own.follows(POOL, &other));
    assert_eq!(bench.fresh(2), Standing::Settled, "warm work goes on");
    assert_eq!(bench.own.musters(POOL).len(), 1);
}

#[test]
fn a_refused_owner_outbids_its_own_earlier_life_only() {
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
    let own = Term {
        list_version: 5,
        incarnation: 10,
    };
    let cases = [
        case(
            "earlier life",
            Term { incarnation: 70, ..own },
            Term { incarnation: 71, ..own },
            false,
        ),
        case(
            "later list",
            Term {
                list_version: 6,
                incarnation: 3,
            },
            own,
            true,
        ),
        case(
            "lower",
            Term {
                list_version: 4,
                incarnation: 70,
            },
            own,
            false,
        ),
    ];
    for case in cases {
        let mut bench = Bench::new();
        bench.fresh(1);
        let view = bench.members.view();
        bench.own.refused(at(2), POOL, case.highest, &view);
        assert_eq!(bench.own.term(POOL), Some(case.term), "{}", case.name);
        let superseded = bench.fresh(2) == Standing::Stale { share: 0.0 };
        assert_eq!(superseded, case.superseded, "{}", case.name);
    }
}

#[test]
fn giving_up_is_for_good() {
    let mut bench = Bench::new();
    bench.fresh(1);
    assert_eq!(
        bench.own.give_up(),
        [(
            POOL.to_owned(),
            Term {
                list_version: 5,
                incarnation: 10
            }
        )]
    );
    assert_eq!(bench.fresh(2), Standing::NotOwner);
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
fn a_guard_is_mustered_only_by_owners_that_saw_its_first_list() {
    let term = Term {
        list_version: 3,
        incarnation: 7,
    };
    struct Case {
        name: &'static str,
        listed: Vec<u64>,
        seen_list: u64,
        want: Admitted,
    }
    let case = |name, listed: &[u64], seen_list, want| Case {
        name,
        listed: listed.to_vec(),
        seen_list,
        want,
    };
    let cases = [
        case("no list yet", &[0], 9, Admitted::Behind),
        case("owner behind the first list", &[5], 4, Admitted::Behind),
        case("owner behind, asked again later", &[5, 8], 4, Admitted::Behind),
        case("owner at the first list", &[5], 5, Admitted::Yes),
        case(
            "owner between the first list and the present one",
            &[5, 8],
            6,
            Admitted::Yes,
        ),
        case("owner ahead", &[5], 9, Admitted::Yes),
    ];
    for case in cases {
        let mut guard = TermGuard::new();
        let answers = case.listed.iter().map(|version| {
            let view = View {
                list_version: *version,
                ..view(0, None)
            };
            guard.muster(&view, POOL, term, case.seen_list)
        });
        assert_eq!(answers.last(), Some(case.want), "{}", case.name);
    }
}

#[test]
fn the_guard_takes_equal_or_higher_terms_of_one_life() {
    let term = |list_version, incarnation| Term {
        list_version,
        incarnation,
    };
    struct Step {
        view: View,
        term: Term,
        want: Admitted,
    }
    let step = |view, term, want| Step { view, term, want };
    let steps = [
        step(view(0, None), term(5, 7), Admitted::Yes),
        step(view(0, None), term(5, 7), Admitted::Yes),
        step(view(0, None), term(5, 6), Admitted::Older { highest: term(5, 7) }),
        step(view(0, None), term(900, 1), Admitted::Yes),
        step(view(0, None), term(899, 9), Admitted::Older { highest: term(900, 1) }),
        step(view(1, Some(900)), term(3, 1), Admitted::Yes),
        step(view(1, Some(900)), term(901, 1), Admitted::OtherLife),
        step(view(1, Some(900)), term(2, 1), Admitted::Older { highest: term(3, 1) }),
        step(view(1, None), term(901, 1), Admitted::Yes),
    ];
    let mut guard = TermGuard::new();
    for (n, step) in steps.into_iter().enumerate() {
        assert_eq!(guard.admit(&step.view, POOL, step.term), step.want, "step {n}");
    }
}

#[test]
fn a_cold_gate_rests_on_standing_and_reports() {
    enum Step {
        Count(u64, u32),
        Report(u64, u32, u64),
        Limit(Standing, u32),
    }
    use Step::{Count, Limit, Report};
    let steps = [
        Limit(Standing::Settled, 0),
        Report(2, 0, 3),
        Limit(Standing::Settled, 0),
        Report(4, 0, 1),
        Limit(Standing::Settled, 4),
        Limit(taking(0, true), 0),
        Limit(taking(0, false), 0),
        Limit(Standing::Stale { share: 1.0 }, 0),
        Limit(Standing::Woken, 0),
        Count(9, 2),
        Count(10, 0),
        Report(11, 2, 1),
        Limit(Standing::Settled, 4),
        Report(12, 3, 1),
        Limit(Standing::Settled, 0),
        Report(13, 1, 1),
        Limit(Standing::Settled, 0),
        Report(14, 0, 1),
        Limit(Standing::Settled, 4),
        Report(20, 1, 1),
        Limit(Standing::Settled, 0),
    ];
    let mut gate = ColdGate::new(at(0), GateOptions::default());
    for (n, step) in steps.into_iter().enumerate() {
        match step {
            Count(now, permits) => gate.counted(at(now), permits),
            Report(now, work, age) => gate.reported(at(now), work, Duration::from_secs(age)),
            Limit(standing, want) => assert_eq!(gate.limit(standing, 4), want, "step {n}"),
        }
    }
}

#[test]
fn pools_have_one_owner_in_their_region() {
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
fn endpoints_spread_over_pools_and_regions_dont_share_them() {
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
