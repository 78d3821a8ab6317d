//! Applies lists of a store that was restored from a backup, so that they lack the latest writes.

use std::time::Duration;

use celerytide_catalog::{CallerLimits, Change, Config, Endpoint, Kept, Position, Restored, Service, Snapshot, View};
use celerytide_types::BootTime;

/// Time for which an endpoint that the restored list omits is kept.
const REMOVAL_DELAY: Duration = Duration::from_millis(1800);
/// Time after which the store drops the record of a dead endpoint.
const RECORD_TTL: Duration = Duration::from_millis(4800);
/// Time of the restore, in milliseconds.
const RESTORED_AT_MS: u64 = 10_000;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

fn pos(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn config(version: u64) -> Config {
    Config {
        version,
        routes: Vec::new(),
        services: vec![Service {
            id: "s".to_owned(),
            cold_period: Duration::ZERO,
            cold_rate: 0.0,
            engine_slots: None,
            engine_tokens: None,
            max_connections: None,
            health_path: None,
        }],
        customers: None,
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(1),
        },
    }
}

fn endpoint(id: &str, start: u64, leaving: bool) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 6,
        leaving,
        cold_remaining: Duration::ZERO,
        start: Some(start),
        version: String::new(),
        sequence: None,
    }
}

fn list(position: Position, version: u64, endpoints: Vec<Endpoint>, zones_out: &[&str]) -> Snapshot {
    Snapshot {
        read_to: position.revision,
        position,
        config: Some(config(version)),
        endpoints,
        zones_out: zones_out.iter().map(|z| (*z).to_owned()).collect(),
    }
}

fn usable(view: &View, ms: u64) -> Vec<String> {
    view.usable("s", at(ms)).map(|k| k.endpoint.id.clone()).collect()
}

/// A view before a restore, the restored list, the writes repeated one second later, and the expected view.
struct RestoreCase {
    name: &'static str,
    /// List known before the restore.
    known: fn() -> Snapshot,
    /// Changes after it, before the restore.
    changes: fn() -> Vec<Change>,
    /// List of the restored store.
    listed: fn() -> Snapshot,
    /// Writes of the new era.
    repeated: fn() -> Vec<Change>,
    /// Usable endpoints: after the list, after the repeated writes, and long after.
    usable: [&'static [&'static str]; 3],
    version: u64,
}

fn a(leaving: bool) -> Endpoint {
    endpoint("a", 1, leaving)
}

fn endpoint_gone(id: &str) -> Change {
    Change::EndpointGone(id.to_owned())
}

const CASES: [RestoreCase; 13] = [
    RestoreCase {
        name: "a lower version is ignored",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 5, vec![a(false)], &[]),
        repeated: || vec![Change::Config(config(6))],
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    RestoreCase {
        name: "a higher version is applied",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 9, vec![a(false)], &[]),
        repeated: Vec::new,
        usable: [&["a"], &["a"], &["a"]],
        version: 9,
    },
    RestoreCase {
        name: "a leaving endpoint keeps leaving",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![Change::Endpoint(a(true))],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        repeated: Vec::new,
        usable: [&[], &[], &[]],
        version: 7,
    },
    RestoreCase {
        name: "a leaving endpoint is written as ready",
        known: || list(pos(1, 90), 7, vec![a(true)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        repeated: || vec![Change::Endpoint(a(false))],
        usable: [&[], &["a"], &["a"]],
        version: 7,
    },
    RestoreCase {
        name: "a later start of a leaving endpoint",
        known: || list(pos(1, 90), 7, vec![a(true)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![endpoint("a", 2, false)], &[]),
        repeated: Vec::new,
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    RestoreCase {
        name: "an endpoint that the list omits is written again",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![], &[]),
        repeated: || vec![Change::Endpoint(a(false))],
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    RestoreCase {
        name: "an endpoint that the list omits does not return",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![], &[]),
        repeated: Vec::new,
        usable: [&["a"], &["a"], &[]],
        version: 7,
    },
    RestoreCase {
        name: "an earlier start in the list",
        known: || list(pos(1, 90), 7, vec![endpoint("a", 5, false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![endpoint("a", 1, true)], &[]),
        repeated: || vec![Change::Endpoint(endpoint("a", 5, false))],
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    RestoreCase {
        name: "a removed endpoint whose record expires",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![endpoint_gone("a")],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        repeated: || vec![endpoint_gone("a")],
        usable: [&[], &[], &[]],
        version: 7,
    },
    RestoreCase {
        name: "a removed endpoint whose record is renewed",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![endpoint_gone("a")],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        repeated: Vec::new,
        usable: [&[], &[], &["a"]],
        version: 7,
    },
    RestoreCase {
        name: "a removed endpoint is written again",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![endpoint_gone("a")],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        repeated: || vec![Change::Endpoint(a(false))],
        usable: [&[], &["a"], &["a"]],
        version: 7,
    },
    RestoreCase {
        name: "a zone that was out and that the list omits",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![Change::ZoneOut("z".to_owned())],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        repeated: || vec![Change::ZoneOut("z".to_owned())],
        usable: [&[], &[], &[]],
        version: 7,
    },
    RestoreCase {
        name: "a zone that was back in use and that the list has as out",
        known: || list(pos(1, 90), 7, vec![a(false)], &["z"]),
        changes: || vec![Change::ZoneBack("z".to_owned())],
        listed: || list(pos(2, 50), 7, vec![a(false)], &["z"]),
        repeated: || vec![Change::ZoneBack("z".to_owned())],
        usable: [&[], &["a"], &["a"]],
        version: 7,
    },
];

#[test]
fn a_restored_list_undoes_no_change() {
    for case in &CASES {
        let mut view = View::new(RECORD_TTL);
        view.replace((case.known)(), Duration::ZERO, at(0));
        view.apply((case.changes)(), pos(1, 95), Duration::ZERO, at(1000));
        let update = view.replace((case.listed)(), REMOVAL_DELAY, at(RESTORED_AT_MS));
        let restored = update.restored.expect(case.name);
        assert_eq!((restored.from, restored.to), (pos(1, 95), pos(2, 50)), "{}", case.name);
        assert_eq!(
            usable(&view, RESTORED_AT_MS),
            case.usable[0],
            "{}: after the list",
            case.name
        );
        view.expire(at(RESTORED_AT_MS + 1000));
        view.apply((case.repeated)(), pos(2, 55), Duration::ZERO, at(RESTORED_AT_MS + 1000));
        assert_eq!(
            usable(&view, RESTORED_AT_MS + 1000),
            case.usable[1],
            "{}: after the writes",
            case.name
        );
        view.expire(at(RESTORED_AT_MS + 9000));
        // The store responds that nothing has changed.
        view.apply(Vec::new(), pos(2, 55), Duration::ZERO, at(RESTORED_AT_MS + 9000));
        assert_eq!(
            usable(&view, RESTORED_AT_MS + 9000),
            case.usable[2],
            "{}: long after",
            case.name
        );
        assert_eq!(view.catalog().version(), case.version, "{}", case.name);
    }
}

#[test]
fn a_restore_reports_what_the_view_kept() {
    let mut view = View::new(RECORD_TTL);
    let known = vec![a(true), endpoint("b", 1, false), endpoint("c", 1, false)];
    view.replace(list(pos(1, 90), 7, known, &["y"]), Duration::ZERO, at(0));
    view.apply(vec![endpoint_gone("c")], pos(1, 91), Duration::ZERO, at(0));
    let listed = vec![a(false), endpoint("c", 1, false)];
    let update = view.replace(list(pos(2, 50), 5, listed, &[]), REMOVAL_DELAY, at(RESTORED_AT_MS));
    let kept = Restored {
        from: pos(1, 91),
        to: pos(2, 50),
        older_config: Some(5),
        still_leaving: vec!["a".to_owned()],
        still_out: vec!["y".to_owned()],
        missing: vec!["b".to_owned()],
        unproven: vec!["c".to_owned()],
    };
    assert_eq!(update.restored, Some(kept));
    assert_eq!(update.config, None);
}

#[test]
fn a_zone_that_stays_out_after_a_restore_returns_unless_taken_out_again() {
    let mut view = View::new(RECORD_TTL);
    view.replace(list(pos(1, 90), 7, vec![a(false)], &["z"]), Duration::ZERO, at(0));
    view.replace(
        list(pos(2, 50), 7, vec![a(false)], &[]),
        REMOVAL_DELAY,
        at(RESTORED_AT_MS),
    );
    view.replace(
        list(pos(2, 51), 7, vec![a(false)], &[]),
        REMOVAL_DELAY,
        at(RESTORED_AT_MS + 1000),
    );
    view.expire(at(RESTORED_AT_MS + 29_000));
    assert!(
        usable(&view, RESTORED_AT_MS + 29_000).is_empty(),
        "another list of the same era changes nothing"
    );
    let update = view.expire(at(RESTORED_AT_MS + 31_000));
    assert_eq!(update.zones_back, ["z"]);
    assert_eq!(usable(&view, RESTORED_AT_MS + 31_000), ["a"]);
}

#[test]
fn data_of_an_earlier_era_is_ignored() {
    let mut view = View::new(RECORD_TTL);
    view.replace(list(pos(3, 40), 7, vec![a(false)], &[]), Duration::ZERO, at(0));
    let older = view.replace(list(pos(2, 900), 9, vec![], &["z"]), Duration::ZERO, at(1));
    assert_eq!(older, Default::default());
    let older = view.apply(vec![endpoint_gone("a")], pos(2, 901), Duration::ZERO, at(2));
    assert_eq!(older, Default::default());
    let later = view.apply(vec![endpoint_gone("a")], pos(4, 50), Duration::ZERO, at(3));
    assert_eq!(
        later,
        Default::default(),
        "changes of a later era can't be applied to the view"
    );
    assert_eq!(
        view.changes_after(pos(2, 900)),
        None,
        "a position of an earlier era needs a snapshot"
    );
    assert_eq!(
        view.changes_after(pos(4, 1)),
        Some(Vec::new()),
        "a position of a later era gets no changes"
    );
    assert_eq!(usable(&view, 4), ["a"]);
}

#[test]
fn a_snapshot_for_peers_holds_only_what_the_store_published() {
    let mut view = View::new(RECORD_TTL);
    let both = vec![a(false), endpoint("b", 1, false)];
    view.replace(list(pos(1, 90), 7, both, &["y"]), Duration::ZERO, at(0));
    view.replace(
        list(pos(2, 50), 7, vec![a(false)], &[]),
        REMOVAL_DELAY,
        at(RESTORED_AT_MS),
    );
    let sent = view.snapshot();
    assert_eq!(
        sent.endpoints,
        [a(false)],
        "the peer would not learn that the other endpoint never returned"
    );
    assert!(sent.zones_out.is_empty());
    assert_eq!(usable(&view, RESTORED_AT_MS), ["a", "b"]);
}

/// A view that saw what the restore lost: `a` leaves, `c` is gone, zone `y` is out; the restored list says otherwise.
fn view_that_knows() -> View {
    let mut view = View::new(RECORD_TTL);
    let known = vec![a(true), endpoint("b", 1, false), endpoint("c", 1, false)];
    view.replace(list(pos(1, 90), 7, known, &["y"]), Duration::ZERO, at(0));
    view.apply(vec![endpoint_gone("c")], pos(1, 91), Duration::ZERO, at(0));
    view.replace(restored_list(50), REMOVAL_DELAY, at(RESTORED_AT_MS));
    view
}

fn restored_list(revision: u64) -> Snapshot {
    let mut in_zone_y = endpoint("d", 1, false);
    in_zone_y.zone = "y".to_owned();
    let listed = vec![a(false), endpoint("b", 1, false), endpoint("c", 1, false), in_zone_y];
    list(pos(2, revision), 7, listed, &[])
}

/// What a peer tells a process that knows the list of the restored store only.
struct ToldCase {
    name: &'static str,
    /// What the process listed.
    listed: fn() -> Snapshot,
    /// Writes to the process after that.
    written: fn() -> Vec<Change>,
    /// Usable endpoints by time since the restore in milliseconds.
    usable: &'static [(u64, &'static [&'static str])],
}

const TOLD_CASES: [ToldCase; 6] = [
    ToldCase {
        name: "as long as the peer",
        listed: || restored_list(50),
        written: Vec::new,
        usable: &[
            (0, &["b"]),
            (4700, &["b"]),
            (4900, &["b", "c"]),
            (29_900, &["b", "c"]),
            (30_000, &["b", "c", "d"]),
        ],
    },
    ToldCase {
        name: "until they are written",
        listed: || restored_list(50),
        written: || {
            let zone = || "y".to_owned();
            let both = [a(false), endpoint("c", 1, false)].map(Change::Endpoint);
            both.into_iter()
                .chain([Change::ZoneOut(zone()), Change::ZoneBack(zone())])
                .collect()
        },
        usable: &[(0, &["a", "b", "c", "d"])],
    },
    ToldCase {
        name: "a process ahead of the peer: for a short time",
        listed: || restored_list(51),
        written: Vec::new,
        usable: &[(0, &["b"]), (1900, &["b"]), (2000, &["a", "b", "c", "d"])],
    },
    ToldCase {
        name: "another era",
        listed: || list(pos(3, 50), 7, restored_list(0).endpoints, &[]),
        written: Vec::new,
        usable: &[(0, &["a", "b", "c", "d"])],
    },
    ToldCase {
        name: "no list yet",
        listed: || list(pos(0, 0), 7, vec![], &[]),
        written: Vec::new,
        usable: &[(0, &[])],
    },
    ToldCase {
        name: "other starts",
        listed: || {
            list(
                pos(2, 50),
                7,
                vec![endpoint("a", 2, false), endpoint("c", 2, false)],
                &[],
            )
        },
        written: Vec::new,
        usable: &[(0, &["a", "c"])],
    },
];

/// Guards against: a process that starts after a restore uses what leaves, is gone or is out of service.
#[test]
fn a_process_learns_what_a_peer_keeps() {
    for case in &TOLD_CASES {
        let peer = view_that_knows();
        let mut view = View::new(RECORD_TTL);
        view.replace((case.listed)(), REMOVAL_DELAY, at(RESTORED_AT_MS));
        view.learn_kept(peer.kept(at(RESTORED_AT_MS)), at(RESTORED_AT_MS));
        let written = (case.written)();
        if !written.is_empty() {
            view.apply(written, pos(2, 60), Duration::ZERO, at(RESTORED_AT_MS));
        }
        for (ms, expected) in case.usable {
            view.expire(at(RESTORED_AT_MS + ms));
            assert_eq!(
                usable(&view, RESTORED_AT_MS + ms),
                *expected,
                "{}: after {ms} ms",
                case.name
            );
        }
    }
}

/// Guards against: instances that repeat to each other what they keep, and so keep it for ever.
#[test]
fn what_instances_repeat_to_each_other_ends() {
    let mut views = [view_that_knows(), view_that_knows()];
    for ms in (0..40_000).step_by(100) {
        let now = RESTORED_AT_MS + ms;
        for view in &mut views {
            view.expire(at(now));
            view.apply(Vec::new(), pos(2, 50), Duration::ZERO, at(now));
        }
        // The reply is 50 ms old.
        let kept = views[usize::from(ms % 200 == 0)].kept(at(now));
        views[usize::from(ms % 200 != 0)].learn_kept(kept, at(now - 50));
    }
    for view in &mut views {
        let now = RESTORED_AT_MS + 30_100;
        assert_eq!(view.kept(at(now)).zones_out, []);
        assert_eq!(usable(view, now), ["b", "c", "d"]);
    }
    assert_eq!(View::new(RECORD_TTL).kept(at(0)), Kept::default());
}
