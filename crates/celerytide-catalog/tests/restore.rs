//! What a view makes of a list that comes from an older copy of the store.

use std::time::Duration;

use celerytide_catalog::{CallerLimits, Change, Config, Endpoint, Position, Restored, Service, Snapshot, View};
use celerytide_types::BootTime;

const HOLD: Duration = Duration::from_millis(1800);
const LAPSE: Duration = Duration::from_millis(4800);
/// Time at which the store comes back.
const BACK: u64 = 10_000;

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
            cold_time: Duration::ZERO,
            cold_rate: 0.0,
            engine_slots: None,
            engine_tokens: None,
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
        cold_for: Duration::ZERO,
        start: Some(start),
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

/// What was known, what the restored list says, what is written again after a second, and what may get work when.
struct Case {
    name: &'static str,
    /// What was known when the store went away: a list, then changes.
    known: fn() -> Snapshot,
    changes: fn() -> Vec<Change>,
    listed: fn() -> Snapshot,
    again: fn() -> Vec<Change>,
    /// Endpoints that may get work: right after the list, after the writes, and long after.
    usable: [&'static [&'static str]; 3],
    version: u64,
}

fn a(leaving: bool) -> Endpoint {
    endpoint("a", 1, leaving)
}

fn gone(id: &str) -> Change {
    Change::EndpointGone(id.to_owned())
}

const CASES: [Case; 13] = [
    Case {
        name: "a lower version changes nothing",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 5, vec![a(false)], &[]),
        again: || vec![Change::Config(config(6))],
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    Case {
        name: "a higher version is taken",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 9, vec![a(false)], &[]),
        again: Vec::new,
        usable: [&["a"], &["a"], &["a"]],
        version: 9,
    },
    Case {
        name: "one that left goes on leaving",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![Change::Endpoint(a(true))],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        again: Vec::new,
        usable: [&[], &[], &[]],
        version: 7,
    },
    Case {
        name: "one that left is written as ready",
        known: || list(pos(1, 90), 7, vec![a(true)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        again: || vec![Change::Endpoint(a(false))],
        usable: [&[], &["a"], &["a"]],
        version: 7,
    },
    Case {
        name: "a later start of one that left",
        known: || list(pos(1, 90), 7, vec![a(true)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![endpoint("a", 2, false)], &[]),
        again: Vec::new,
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    Case {
        name: "one that the list lacks is written again",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![], &[]),
        again: || vec![Change::Endpoint(a(false))],
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    Case {
        name: "one that the list lacks stays away",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![], &[]),
        again: Vec::new,
        usable: [&["a"], &["a"], &[]],
        version: 7,
    },
    Case {
        name: "a former start in the list",
        known: || list(pos(1, 90), 7, vec![endpoint("a", 5, false)], &[]),
        changes: Vec::new,
        listed: || list(pos(2, 50), 7, vec![endpoint("a", 1, true)], &[]),
        again: || vec![Change::Endpoint(endpoint("a", 5, false))],
        usable: [&["a"], &["a"], &["a"]],
        version: 7,
    },
    Case {
        name: "one that was gone, and whose entry lapses",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![gone("a")],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        again: || vec![gone("a")],
        usable: [&[], &[], &[]],
        version: 7,
    },
    Case {
        name: "one that was gone, and whose entry stays",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![gone("a")],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        again: Vec::new,
        usable: [&[], &[], &["a"]],
        version: 7,
    },
    Case {
        name: "one that was gone is written again",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![gone("a")],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        again: || vec![Change::Endpoint(a(false))],
        usable: [&[], &["a"], &["a"]],
        version: 7,
    },
    Case {
        name: "a zone that was out and that the list lacks",
        known: || list(pos(1, 90), 7, vec![a(false)], &[]),
        changes: || vec![Change::ZoneOut("z".to_owned())],
        listed: || list(pos(2, 50), 7, vec![a(false)], &[]),
        again: || vec![Change::ZoneOut("z".to_owned())],
        usable: [&[], &[], &[]],
        version: 7,
    },
    Case {
        name: "a zone that was back and that the list has as out",
        known: || list(pos(1, 90), 7, vec![a(false)], &["z"]),
        changes: || vec![Change::ZoneBack("z".to_owned())],
        listed: || list(pos(2, 50), 7, vec![a(false)], &["z"]),
        again: || vec![Change::ZoneBack("z".to_owned())],
        usable: [&[], &["a"], &["a"]],
        version: 7,
    },
];

#[test]
fn a_restored_list_undoes_nothing() {
    for case in &CASES {
        let mut view = View::new(LAPSE);
        view.replace((case.known)(), Duration::ZERO, at(0));
        view.apply((case.changes)(), pos(1, 95), Duration::ZERO, at(1000));
        let update = view.replace((case.listed)(), HOLD, at(BACK));
        let restored = update.restored.expect(case.name);
        assert_eq!((restored.from, restored.to), (pos(1, 95), pos(2, 50)), "{}", case.name);
        assert_eq!(usable(&view, BACK), case.usable[0], "{}: after the list", case.name);
        view.expire(at(BACK + 1000));
        view.apply((case.again)(), pos(2, 55), Duration::ZERO, at(BACK + 1000));
        assert_eq!(
            usable(&view, BACK + 1000),
            case.usable[1],
            "{}: after the writes",
            case.name
        );
        view.expire(at(BACK + 9000));
        assert_eq!(usable(&view, BACK + 9000), case.usable[2], "{}: long after", case.name);
        assert_eq!(view.catalog().version(), case.version, "{}", case.name);
    }
}

#[test]
fn a_restore_says_what_it_kept() {
    let mut view = View::new(LAPSE);
    let known = vec![a(true), endpoint("b", 1, false), endpoint("c", 1, false)];
    view.replace(list(pos(1, 90), 7, known, &["y"]), Duration::ZERO, at(0));
    view.apply(vec![gone("c")], pos(1, 91), Duration::ZERO, at(0));
    let listed = vec![a(false), endpoint("c", 1, false)];
    let update = view.replace(list(pos(2, 50), 5, listed, &[]), HOLD, at(BACK));
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
fn a_zone_that_nobody_takes_out_again_comes_back_after_a_while() {
    let mut view = View::new(LAPSE);
    view.replace(list(pos(1, 90), 7, vec![a(false)], &["z"]), Duration::ZERO, at(0));
    view.replace(list(pos(2, 50), 7, vec![a(false)], &[]), HOLD, at(BACK));
    view.replace(list(pos(2, 51), 7, vec![a(false)], &[]), HOLD, at(BACK + 1000));
    view.expire(at(BACK + 29_000));
    assert!(
        usable(&view, BACK + 29_000).is_empty(),
        "another list of the era changes nothing"
    );
    let update = view.expire(at(BACK + 31_000));
    assert_eq!(update.zones_back, ["z"]);
    assert_eq!(usable(&view, BACK + 31_000), ["a"]);
}

#[test]
fn an_earlier_era_never_teaches() {
    let mut view = View::new(LAPSE);
    view.replace(list(pos(3, 40), 7, vec![a(false)], &[]), Duration::ZERO, at(0));
    let older = view.replace(list(pos(2, 900), 9, vec![], &["z"]), Duration::ZERO, at(1));
    assert_eq!(older, Default::default());
    let older = view.apply(vec![gone("a")], pos(2, 901), Duration::ZERO, at(2));
    assert_eq!(older, Default::default());
    let later = view.apply(vec![gone("a")], pos(4, 50), Duration::ZERO, at(3));
    assert_eq!(
        later,
        Default::default(),
        "changes of a later era don't follow the view"
    );
    assert_eq!(
        view.changes_after(pos(2, 900)),
        None,
        "one of an earlier era gets everything"
    );
    assert_eq!(
        view.changes_after(pos(4, 1)),
        Some(Vec::new()),
        "one of a later era gets nothing"
    );
    assert_eq!(usable(&view, 4), ["a"]);
}

#[test]
fn a_peer_is_told_only_what_the_store_says() {
    let mut view = View::new(LAPSE);
    let both = vec![a(false), endpoint("b", 1, false)];
    view.replace(list(pos(1, 90), 7, both, &["y"]), Duration::ZERO, at(0));
    view.replace(list(pos(2, 50), 7, vec![a(false)], &[]), HOLD, at(BACK));
    let told = view.snapshot();
    assert_eq!(
        told.endpoints,
        [a(false)],
        "the peer would not learn that the other one stayed away"
    );
    assert!(told.zones_out.is_empty());
    assert_eq!(usable(&view, BACK), ["a", "b"]);
}
