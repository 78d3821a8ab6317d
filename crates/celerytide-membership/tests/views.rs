//! Views: versions that never revert by accident, freshness across suspensions, and the use of peers' digests.

mod common;

use std::time::Duration;

use celerytide_membership::{
    Document, EndpointEntry, Freshness, ListOfferResult, ManifestOfferResult, Membership, Options, Origin, PeerFetch,
    PeerFreshness, ViewDigest,
};
use celerytide_types::BootTime;
use common::manifest;

const ALL_DOCUMENTS: [Document; 3] = [Document::Manifest, Document::Instances, Document::Endpoints];

fn at(seconds: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(seconds))
}

fn new_membership() -> Membership {
    let opts = Options {
        incarnation: 1,
        fresh_for: Duration::from_secs(30),
        suspension_threshold: Duration::from_secs(2),
        ahead_bound: Duration::from_secs(5),
        digest_max_age: Duration::from_secs(10),
        fetch_timeout: Duration::from_secs(5),
        reset_after: Duration::from_secs(60),
        reset_reads: 3,
        ..Options::default()
    };
    Membership::new(at(0), opts)
}

fn list(live: bool) -> Vec<EndpointEntry> {
    vec![EndpointEntry { id: "e-0".into(), live }]
}

fn confirm_all(m: &Membership, now: BootTime, sent_at: BootTime) {
    for document in ALL_DOCUMENTS {
        m.record_confirmation(now, document, sent_at);
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
fn a_manifest_is_applied_only_with_a_higher_version() {
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
        case("same text", manifest::text(5, "in"), "same", 5),
        case("lower version", manifest::text(4, "in"), "older", 5),
        case("same version, other text", manifest::text(5, "out"), "other-digest", 5),
        case("invalid text", "format: [".into(), "invalid", 5),
        case("same invalid text", "format: [".into(), "invalid", 5),
        case("higher version", manifest::text(9, "in"), "applied", 9),
    ];
    let m = new_membership();
    for case in cases {
        let got = match m.offer_manifest(&Origin::Service, &case.text) {
            ManifestOfferResult::Applied => "applied",
            ManifestOfferResult::Unchanged => "same",
            ManifestOfferResult::Older => "older",
            ManifestOfferResult::OtherDigest => "other-digest",
            ManifestOfferResult::Invalid(faults) if !faults.is_empty() => "invalid",
            ManifestOfferResult::Invalid(_) => "invalid without a fault",
            ManifestOfferResult::AwaitingSections(_) => "waits",
        };
        assert_eq!(got, case.want, "{}", case.name);
        assert_eq!(m.view().manifest_version, case.version, "{}", case.name);
    }
    assert_eq!(m.manifest_text().as_deref(), Some(manifest::text(9, "in").as_str()));
    let causes: Vec<String> = m.take_events().into_iter().map(|n| n.cause).collect();
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
fn a_lower_list_index_is_applied_only_after_enough_time_and_reads() {
    struct Step {
        at: u64,
        version: u64,
        live: bool,
        want: ListOfferResult,
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
        step(0, 100, true, ListOfferResult::Applied, true),
        step(1, 101, false, ListOfferResult::Applied, false),
        // A lower index is rejected; a read of the index in force ends the count of lower reads.
        step(2, 100, true, ListOfferResult::Older, false),
        step(30, 101, false, ListOfferResult::Unchanged, false),
        step(40, 7, true, ListOfferResult::Older, false),
        step(99, 8, true, ListOfferResult::Older, false),
        // An index below that of the read before restarts the count.
        step(100, 6, true, ListOfferResult::Older, false),
        step(130, 7, true, ListOfferResult::Older, false),
        // The endpoint stays leaving until the new epoch has listed it as leaving.
        step(160, 8, true, ListOfferResult::Reset, false),
        step(161, 9, true, ListOfferResult::Applied, false),
        step(162, 10, false, ListOfferResult::Applied, false),
        step(163, 11, true, ListOfferResult::Applied, true),
    ];
    let m = new_membership();
    for step in steps {
        let got = m.offer_endpoints(at(step.at), step.version, list(step.live));
        assert_eq!(got, step.want, "at {}", step.at);
        assert_eq!(m.view().endpoints[0].live, step.live_after, "at {}", step.at);
    }
}

#[test]
fn a_leaving_entry_takes_precedence_over_duplicates() {
    let m = new_membership();
    m.offer_endpoints(at(0), 1, [list(true), list(false), list(true)].concat());
    assert_eq!(*m.view().endpoints, list(false));
}

#[test]
fn views_are_fresh_only_while_all_documents_are_confirmed_in_time() {
    let m = new_membership();
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
    m.record_confirmation(at(32), Document::Manifest, at(31));
    assert_ne!(m.freshness(at(32)), Freshness::Fresh, "two documents are not confirmed");
}

#[test]
fn views_are_not_trusted_after_a_suspension_until_all_are_read_again() {
    let m = new_membership();
    confirm_all(&m, at(1), at(0));
    assert_eq!(m.freshness(at(9)), Freshness::Woken, "before any tick");
    m.tick(at(9));
    confirm_all(&m, at(9), at(2));
    assert_eq!(
        m.freshness(at(9)),
        Freshness::Woken,
        "responses to reads from before the suspension"
    );
    m.record_confirmation(at(10), Document::Manifest, at(9));
    m.record_confirmation(at(10), Document::Instances, at(9));
    assert_eq!(m.freshness(at(10)), Freshness::Woken, "one document is not read yet");
    m.record_confirmation(at(10), Document::Endpoints, at(9));
    assert_eq!(m.freshness(at(10)), Freshness::Fresh);
}

#[test]
fn views_are_stale_while_a_peer_is_ahead() {
    let m = new_membership();
    m.offer_endpoints(at(0), 4, list(true));
    confirm_all(&m, at(1), at(0));
    m.receive_digest(at(1), &"i-2".into(), &digest(0, 5, Some(10)));
    assert_eq!(m.freshness(at(2)), Freshness::Fresh);
    (2..=7).for_each(|s| m.tick(at(s)));
    assert!(matches!(m.freshness(at(7)), Freshness::Stale { .. }));
    m.offer_endpoints(at(7), 5, list(true));
    assert_eq!(m.freshness(at(7)), Freshness::Fresh);
}

#[test]
fn peer_digests_distinguish_a_cut_off_process_from_an_outage() {
    struct Case {
        name: &'static str,
        digest_at: Option<(u64, Option<u64>)>,
        want: PeerFreshness,
    }
    let case = |name, digest_at, want| Case { name, digest_at, want };
    let cases = [
        case("no digest", None, PeerFreshness::NoneHeard),
        case("old digest", Some((0, Some(0))), PeerFreshness::NoneHeard),
        case("fresh peer", Some((20, Some(1000))), PeerFreshness::PeerFresh),
        case("stale peer", Some((20, Some(40_000))), PeerFreshness::AllStale),
        case(
            "peer fresh at the digest, stale by now",
            Some((20, Some(29_500))),
            PeerFreshness::AllStale,
        ),
        case(
            "peer that never read the service",
            Some((20, None)),
            PeerFreshness::AllStale,
        ),
    ];
    for case in cases {
        let m = new_membership();
        if let Some((when, confirmed_ms_ago)) = case.digest_at {
            m.receive_digest(at(when), &"i-2".into(), &digest(0, 0, confirmed_ms_ago));
        }
        assert_eq!(m.peer_freshness(at(21)), case.want, "{}", case.name);
    }
}

#[test]
fn a_fetch_is_repeated_only_for_a_later_version_or_after_its_timeout() {
    let m = new_membership();
    let fetch = PeerFetch {
        manifest: true,
        lists: false,
    };
    assert_eq!(m.receive_digest(at(1), &"a".into(), &digest(5, 0, None)), fetch);
    assert_eq!(
        m.receive_digest(at(2), &"b".into(), &digest(5, 0, None)),
        PeerFetch::default()
    );
    assert_eq!(
        m.receive_digest(at(3), &"c".into(), &digest(6, 0, None)),
        fetch,
        "a later version"
    );
    assert_eq!(
        m.receive_digest(at(8), &"b".into(), &digest(6, 0, None)),
        fetch,
        "the pending fetch has timed out"
    );
    m.offer_manifest(&Origin::Peer("b".into()), &manifest::text(6, "in"));
    assert_eq!(
        m.receive_digest(at(20), &"b".into(), &digest(6, 0, None)),
        PeerFetch::default()
    );
}

#[test]
fn a_failed_fetch_is_repeated_with_another_peer_at_once() {
    struct Case {
        name: &'static str,
        failed: &'static str,
        is_repeated: bool,
    }
    let cases = [
        Case {
            name: "pending fetch failed",
            failed: "a",
            is_repeated: true,
        },
        Case {
            name: "fetch from a peer without a pending fetch failed",
            failed: "c",
            is_repeated: false,
        },
    ];
    for case in cases {
        let m = new_membership();
        let first = m.receive_digest(at(1), &"a".into(), &digest(5, 8, None));
        assert!(first.manifest && first.lists, "{}", case.name);
        m.fetch_failed(&case.failed.into());
        let next = m.receive_digest(at(1), &"b".into(), &digest(5, 8, None));
        assert_eq!(
            (next.manifest, next.lists),
            (case.is_repeated, case.is_repeated),
            "{}",
            case.name
        );
    }
}

/// Longest time until another peer is asked while the first doesn't reply.
const SILENT_PEER_TIMEOUT: Duration = Duration::from_secs(1);

#[test]
fn a_silent_peer_does_not_delay_fetches_from_others() {
    let m = Membership::new(at(0), Options::default());
    assert!(m.receive_digest(at(1), &"a".into(), &digest(5, 0, None)).manifest);
    assert!(
        m.receive_digest(at(1).after(SILENT_PEER_TIMEOUT), &"b".into(), &digest(5, 0, None))
            .manifest
    );
}

#[test]
fn peer_lists_are_applied_only_while_the_service_does_not_respond() {
    let source = new_membership();
    source.offer_endpoints(at(0), 8, list(false));
    let lists = source.peer_lists();
    let offline = new_membership();
    assert!(
        offline
            .receive_digest(at(1), &"i-2".into(), &digest(0, 8, Some(0)))
            .lists
    );
    offline.offer_peer_lists(at(1), &"i-2".into(), lists.clone());
    assert_eq!(offline.view().endpoints_version, 8);
    assert!(
        matches!(offline.freshness(at(1)), Freshness::Stale { .. }),
        "a peer's copy doesn't confirm the views"
    );
    let online = new_membership();
    online.offer_endpoints(at(0), 3, list(true));
    confirm_all(&online, at(1), at(0));
    online.offer_peer_lists(at(1), &"i-2".into(), lists);
    assert_eq!(online.view().endpoints_version, 3);
}
