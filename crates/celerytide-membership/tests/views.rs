//! Lists that never fall back by accident, freshness by a clock that counts sleep, and what peers add.

mod common;

use std::time::Duration;

use celerytide_membership::{
    Applied, EndpointEntry, Freshness, ListApplied, Membership, Options, Origin, PeersSay, ViewDigest, Wanted, Watched,
};
use celerytide_types::BootTime;
use common::manifest;

const ALL: [Watched; 3] = [Watched::Manifest, Watched::Instances, Watched::Endpoints];

fn at(seconds: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(seconds))
}

fn member() -> Membership {
    let opts = Options {
        incarnation: 1,
        fresh_for: Duration::from_secs(30),
        pause_bound: Duration::from_secs(2),
        ahead_bound: Duration::from_secs(5),
        heard_for: Duration::from_secs(10),
        fetch_for: Duration::from_secs(5),
        reset_after: Duration::from_secs(60),
        reset_reads: 3,
        ..Options::default()
    };
    Membership::new(at(0), opts)
}

fn list(live: bool) -> Vec<EndpointEntry> {
    vec![EndpointEntry { id: "e-0".into(), live }]
}

fn confirm_all(m: &Membership, now: BootTime, asked: BootTime) {
    for what in ALL {
        m.confirmed(now, what, asked);
    }
}

fn digest(manifest_version: u64, endpoints_version: u64, confirmed_ms_ago: Option<u64>) -> ViewDigest {
    ViewDigest {
        manifest_version,
        manifest_digest: "d".into(),
        list_version: 0,
        endpoints_version,
        incarnation: 2,
        confirmed_ms_ago,
    }
}

#[test]
fn manifests_take_force_by_version_only() {
    struct Case {
        name: &'static str,
        text: String,
        want: &'static str,
        version: u64,
    }
    let case = |name, text, want, version| Case {
        name,
        text,
        want,
        version,
    };
    let cases = [
        case("first", manifest::text(5, "in"), "applied", 5),
        case("again", manifest::text(5, "in"), "same", 5),
        case("lower", manifest::text(4, "in"), "older", 5),
        case("same version, other text", manifest::text(5, "out"), "other-digest", 5),
        case("broken", "format: [".into(), "invalid", 5),
        case("broken again", "format: [".into(), "invalid", 5),
        case("higher", manifest::text(9, "in"), "applied", 9),
    ];
    let m = member();
    for case in cases {
        let got = match m.offer_manifest(&Origin::Service, &case.text) {
            Applied::Applied => "applied",
            Applied::Same => "same",
            Applied::Older => "older",
            Applied::OtherDigest => "other-digest",
            Applied::Invalid(faults) if !faults.is_empty() => "invalid",
            Applied::Invalid(_) => "invalid without a fault",
            Applied::Waits(_) => "waits",
        };
        assert_eq!(got, case.want, "{}", case.name);
        assert_eq!(m.view().manifest_version, case.version, "{}", case.name);
    }
    assert_eq!(m.manifest_text().as_deref(), Some(manifest::text(9, "in").as_str()));
    let causes: Vec<String> = m.take_news().into_iter().map(|n| n.cause).collect();
    assert_eq!(
        causes,
        [
            "applied",
            "older-version",
            "same-version-other-digest",
            "invalid: service:1:9: unclosed bracket '[' (allowed: one YAML document)",
            "applied"
        ]
    );
}

#[test]
fn a_lower_list_index_needs_time_and_reads() {
    struct Step {
        at: u64,
        version: u64,
        live: bool,
        want: ListApplied,
        live_after: bool,
    }
    let step = |at, version, live, want, live_after| Step {
        at,
        version,
        live,
        want,
        live_after,
    };
    let steps = [
        step(0, 100, true, ListApplied::Applied, true),
        step(1, 101, false, ListApplied::Applied, false),
        step(2, 100, true, ListApplied::Older, false),
        step(30, 101, false, ListApplied::Same, false),
        step(40, 7, true, ListApplied::Older, false),
        step(99, 8, true, ListApplied::Older, false),
        step(100, 6, true, ListApplied::Older, false),
        step(130, 7, true, ListApplied::Older, false),
        step(160, 8, true, ListApplied::Reset, false),
        step(161, 9, true, ListApplied::Applied, false),
        step(162, 10, false, ListApplied::Applied, false),
        step(163, 11, true, ListApplied::Applied, true),
    ];
    let m = member();
    for step in steps {
        let got = m.offer_endpoints(at(step.at), step.version, list(step.live));
        assert_eq!(got, step.want, "at {}", step.at);
        assert_eq!(m.view().endpoints[0].live, step.live_after, "at {}", step.at);
    }
}

#[test]
fn of_two_entries_with_one_id_the_leaving_one_counts() {
    let m = member();
    m.offer_endpoints(at(0), 1, [list(true), list(false), list(true)].concat());
    assert_eq!(*m.view().endpoints, list(false));
}

#[test]
fn freshness_follows_the_service_and_the_clock() {
    let m = member();
    assert_eq!(
        m.freshness(at(1)),
        Freshness::Stale {
            age: Duration::from_secs(1)
        }
    );
    confirm_all(&m, at(1), at(0));
    assert_eq!(m.freshness(at(1)), Freshness::Fresh);
    (2..=31).for_each(|s| m.tick(at(s)));
    assert_eq!(m.freshness(at(31)), Freshness::Fresh);
    m.tick(at(32));
    assert_eq!(
        m.freshness(at(32)),
        Freshness::Stale {
            age: Duration::from_secs(31)
        }
    );
    m.confirmed(at(32), Watched::Manifest, at(31));
    assert_ne!(m.freshness(at(32)), Freshness::Fresh, "two documents are old");
}

#[test]
fn a_sleeper_distrusts_its_views_until_it_read_all_anew() {
    let m = member();
    confirm_all(&m, at(1), at(0));
    assert_eq!(m.freshness(at(9)), Freshness::Woken, "before any tick");
    m.tick(at(9));
    confirm_all(&m, at(9), at(2));
    assert_eq!(m.freshness(at(9)), Freshness::Woken, "answers that waited in a socket");
    m.confirmed(at(10), Watched::Manifest, at(9));
    m.confirmed(at(10), Watched::Instances, at(9));
    assert_eq!(m.freshness(at(10)), Freshness::Woken, "one document is unread");
    m.confirmed(at(10), Watched::Endpoints, at(9));
    assert_eq!(m.freshness(at(10)), Freshness::Fresh);
}

#[test]
fn a_peer_that_is_ahead_makes_the_views_stale_until_they_catch_up() {
    let m = member();
    m.offer_endpoints(at(0), 4, list(true));
    confirm_all(&m, at(1), at(0));
    m.heard(at(1), &"i-2".into(), &digest(0, 5, Some(10)));
    assert_eq!(m.freshness(at(2)), Freshness::Fresh);
    (2..=7).for_each(|s| m.tick(at(s)));
    assert!(matches!(m.freshness(at(7)), Freshness::Stale { .. }));
    m.offer_endpoints(at(7), 5, list(true));
    assert_eq!(m.freshness(at(7)), Freshness::Fresh);
}

#[test]
fn peers_tell_a_cut_from_an_outage() {
    struct Case {
        name: &'static str,
        heard: Option<(u64, Option<u64>)>,
        want: PeersSay,
    }
    let case = |name, heard, want| Case { name, heard, want };
    let cases = [
        case("none", None, PeersSay::Silent),
        case("long ago", Some((0, Some(0))), PeersSay::Silent),
        case("fresh peer", Some((20, Some(1000))), PeersSay::Fresher),
        case("stale peer", Some((20, Some(40_000))), PeersSay::AlsoStale),
        case(
            "fresh when heard, stale by now",
            Some((20, Some(29_500))),
            PeersSay::AlsoStale,
        ),
        case("peer that never read", Some((20, None)), PeersSay::AlsoStale),
    ];
    for case in cases {
        let m = member();
        if let Some((when, confirmed)) = case.heard {
            m.heard(at(when), &"i-2".into(), &digest(0, 0, confirmed));
        }
        assert_eq!(m.peers_say(at(21)), case.want, "{}", case.name);
    }
}

#[test]
fn one_fetch_at_a_time_and_again_after_its_bound() {
    let m = member();
    let fetch = Wanted {
        manifest: true,
        lists: false,
    };
    assert_eq!(m.heard(at(1), &"a".into(), &digest(5, 0, None)), fetch);
    assert_eq!(m.heard(at(2), &"b".into(), &digest(5, 0, None)), Wanted::default());
    assert_eq!(
        m.heard(at(3), &"c".into(), &digest(6, 0, None)),
        fetch,
        "a later version"
    );
    assert_eq!(
        m.heard(at(8), &"b".into(), &digest(6, 0, None)),
        fetch,
        "the first fetch is overdue"
    );
    m.offer_manifest(&Origin::Peer("b".into()), &manifest::text(6, "in"));
    assert_eq!(m.heard(at(20), &"b".into(), &digest(6, 0, None)), Wanted::default());
}

#[test]
fn a_failed_fetch_frees_its_place_at_once() {
    struct Case {
        name: &'static str,
        failed: &'static str,
        asks: bool,
    }
    let cases = [
        Case {
            name: "the peer that was asked",
            failed: "a",
            asks: true,
        },
        Case {
            name: "another peer",
            failed: "c",
            asks: false,
        },
    ];
    for case in cases {
        let m = member();
        let first = m.heard(at(1), &"a".into(), &digest(5, 8, None));
        assert!(first.manifest && first.lists, "{}", case.name);
        m.fetch_failed(&case.failed.into());
        let next = m.heard(at(1), &"b".into(), &digest(5, 8, None));
        assert_eq!((next.manifest, next.lists), (case.asks, case.asks), "{}", case.name);
    }
}

/// Bound on the time after which another peer is asked while the first is silent.
const SILENT_PEER: Duration = Duration::from_secs(1);

#[test]
fn a_silent_peer_holds_up_no_fetch_from_another() {
    let m = Membership::new(at(0), Options::default());
    assert!(m.heard(at(1), &"a".into(), &digest(5, 0, None)).manifest);
    assert!(
        m.heard(at(1).after(SILENT_PEER), &"b".into(), &digest(5, 0, None))
            .manifest
    );
}

#[test]
fn lists_come_from_peers_only_while_the_service_is_silent() {
    let teacher = member();
    teacher.offer_endpoints(at(0), 8, list(false));
    let lists = teacher.peer_lists();
    let pupil = member();
    assert!(pupil.heard(at(1), &"i-2".into(), &digest(0, 8, Some(0))).lists);
    pupil.offer_peer_lists(at(1), &"i-2".into(), lists.clone());
    assert_eq!(pupil.view().endpoints_version, 8);
    assert!(
        matches!(pupil.freshness(at(1)), Freshness::Stale { .. }),
        "a copy is no confirmation"
    );
    let reader = member();
    reader.offer_endpoints(at(0), 3, list(true));
    confirm_all(&reader, at(1), at(0));
    reader.offer_peer_lists(at(1), &"i-2".into(), lists);
    assert_eq!(reader.view().endpoints_version, 3);
}
