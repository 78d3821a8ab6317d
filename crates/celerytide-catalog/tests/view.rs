//! Updates that a view applies or ignores, and lookups in the catalog.

use std::time::Duration;

use celerytide_catalog::{
    Backend, CallerLimits, Catalog, Change, Config, Customer, Endpoint, KeyLookup, Position, Route, RouteKind, Service,
    Snapshot, Urgency, View,
};
use celerytide_types::BootTime;

const REMOVAL_DELAY: Duration = Duration::from_millis(1800);

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_millis(ms))
}

/// A position in the first era.
fn pos(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn route(host: &str, prefix: &str, priority: u32) -> Route {
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        max_event_gap: None,
        latency_target: None,
        priority,
        backends: vec![Backend {
            service: "s".to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        anonymous: false,
    }
}

fn config(version: u64) -> Config {
    let customer = |id: &str, priority| Customer {
        id: id.to_owned(),
        keys: vec![format!("key-{id}")],
        priority,
    };
    Config {
        version,
        routes: vec![route("h", "/a/", 0), route("h", "/a/b/", 2), route("other", "/", 1)],
        services: vec![Service {
            id: "s".to_owned(),
            cold_period: Duration::from_secs(3),
            cold_rate: 18.0,
            engine_slots: None,
            engine_tokens: None,
            max_connections: None,
            health_path: None,
        }],
        customers: Some(vec![customer("first", 1), customer("second", 2)]),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(1),
        },
    }
}

fn endpoint(id: &str, zone: &str, start: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        slots: 6,
        leaving: false,
        cold_remaining: Duration::ZERO,
        start: Some(start),
        version: String::new(),
        sequence: None,
    }
}

fn snapshot(revision: u64, version: u64, endpoints: &[Endpoint]) -> Snapshot {
    Snapshot {
        position: pos(revision),
        read_to: revision,
        config: Some(config(version)),
        endpoints: endpoints.to_vec(),
        zones_out: Vec::new(),
    }
}

fn usable(view: &View, ms: u64) -> Vec<String> {
    view.usable("s", at(ms)).map(|k| k.endpoint.id.clone()).collect()
}

#[test]
fn older_positions_and_versions_are_ignored() {
    let mut view = View::default();
    view.replace(snapshot(10, 5, &[endpoint("a", "z", 1)]), Duration::ZERO, at(0));
    let older = view.replace(snapshot(9, 9, &[]), Duration::ZERO, at(1));
    assert_eq!(older, Default::default(), "an older snapshot changes nothing");
    assert_eq!(usable(&view, 2000), ["a"]);
    view.apply(vec![Change::Config(config(4))], pos(11), Duration::ZERO, at(2));
    assert_eq!(
        view.catalog().version(),
        5,
        "nor does an older version under a newer revision"
    );
    view.apply(
        vec![Change::EndpointGone("a".to_owned())],
        pos(10),
        Duration::ZERO,
        at(3),
    );
    assert_eq!(usable(&view, 2000), ["a"], "nor do changes of an older revision");
}

#[test]
fn a_missing_endpoint_is_unusable_after_the_removal_delay_even_before_expiry() {
    let both = [endpoint("a", "z", 1), endpoint("b", "z", 1)];
    let mut view = View::default();
    view.replace(snapshot(10, 1, &both), Duration::ZERO, at(0));
    view.replace(snapshot(20, 1, &both[..1]), REMOVAL_DELAY, at(1000));
    assert_eq!(usable(&view, 2700), ["a", "b"]);
    assert_eq!(usable(&view, 2800), ["a"], "the removal delay has ended");
}

#[test]
fn records_that_expired_in_an_outage_have_time_to_return() {
    let both = [endpoint("a", "z", 1), endpoint("b", "z", 1)];
    let mut view = View::default();
    view.replace(snapshot(10, 1, &both), Duration::ZERO, at(0));
    view.replace(snapshot(20, 1, &both[..1]), REMOVAL_DELAY, at(1000));
    assert_eq!(usable(&view, 1000), ["a", "b"]);
    view.expire(at(2700));
    assert_eq!(usable(&view, 2700), ["a", "b"]);
    view.expire(at(2800));
    assert_eq!(usable(&view, 2800), ["a"], "it did not return");
    view.replace(snapshot(30, 1, &[]), REMOVAL_DELAY, at(3000));
    view.apply(
        vec![Change::Endpoint(both[0].clone())],
        pos(31),
        REMOVAL_DELAY,
        at(3100),
    );
    view.expire(at(9000));
    assert_eq!(usable(&view, 9000), ["a"], "it returned");
}

/// A change, and whether the endpoint is cold right after it.
struct ColdCase {
    name: &'static str,
    change: fn() -> Vec<Change>,
    cold: bool,
}

const COLD_CASES: [ColdCase; 5] = [
    ColdCase {
        name: "another heartbeat",
        change: || vec![Change::Endpoint(endpoint("a", "z", 1))],
        cold: false,
    },
    ColdCase {
        name: "another start under its id",
        change: || vec![Change::Endpoint(endpoint("a", "z", 2))],
        cold: true,
    },
    ColdCase {
        name: "it was removed and written again",
        change: || {
            vec![
                Change::EndpointGone("a".to_owned()),
                Change::Endpoint(endpoint("a", "z", 1)),
            ]
        },
        cold: true,
    },
    ColdCase {
        name: "its zone was out and back",
        change: || vec![Change::ZoneOut("z".to_owned()), Change::ZoneBack("z".to_owned())],
        cold: true,
    },
    ColdCase {
        name: "its record says so",
        change: || {
            vec![Change::Endpoint(Endpoint {
                cold_remaining: Duration::from_secs(1),
                ..endpoint("a", "z", 1)
            })]
        },
        cold: true,
    },
];

#[test]
fn an_endpoint_is_cold_after_each_start_or_return() {
    for case in &COLD_CASES {
        let mut view = View::default();
        view.replace(snapshot(10, 1, &[endpoint("a", "z", 1)]), Duration::ZERO, at(0));
        view.apply((case.change)(), pos(11), Duration::ZERO, at(100));
        let cold_until = view.endpoint("a").and_then(|k| k.cold_until);
        assert_eq!(
            cold_until.is_some_and(|until| until > at(200)),
            case.cold,
            "{}",
            case.name
        );
    }
}

#[test]
fn leaving_endpoints_and_those_in_zones_that_are_out_are_unusable() {
    let mut view = View::default();
    view.replace(
        snapshot(10, 1, &[endpoint("a", "x", 1), endpoint("b", "y", 1)]),
        Duration::ZERO,
        at(0),
    );
    view.apply(vec![Change::ZoneOut("x".to_owned())], pos(11), Duration::ZERO, at(1));
    assert_eq!(usable(&view, 2000), ["b"]);
    let leaving = Endpoint {
        leaving: true,
        ..endpoint("b", "y", 1)
    };
    let update = view.apply(vec![Change::Endpoint(leaving)], pos(12), Duration::ZERO, at(2));
    assert_eq!(update.leaving, ["b"]);
    assert!(usable(&view, 2000).is_empty());
}

/// Host and path of a request, and the prefix of its route.
struct MatchCase {
    host: &'static str,
    path: &'static str,
    prefix: Option<&'static str>,
}

const MATCHES: [MatchCase; 6] = [
    MatchCase {
        host: "h",
        path: "/a/x",
        prefix: Some("/a/"),
    },
    MatchCase {
        host: "H:8080",
        path: "/a/b/x",
        prefix: Some("/a/b/"),
    },
    MatchCase {
        host: "h",
        path: "/a/b",
        prefix: Some("/a/"),
    },
    MatchCase {
        host: "h",
        path: "/a",
        prefix: None,
    },
    MatchCase {
        host: "none",
        path: "/a/x",
        prefix: None,
    },
    MatchCase {
        host: "other",
        path: "/a/x",
        prefix: Some("/"),
    },
];

#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let catalog = Catalog::new(&config(1));
    for case in &MATCHES {
        let found = catalog.route(case.host, case.path).map(|r| r.path_prefix.as_str());
        assert_eq!(found, case.prefix, "{} {}", case.host, case.path);
    }
}

#[test]
fn customers_are_found_by_key_and_ordered_by_urgency() {
    let catalog = Catalog::new(&config(1));
    assert!(matches!(catalog.customer(Some("key-first")), KeyLookup::Customer(c) if c.id == "first"));
    assert_eq!(catalog.customer(Some("key-none")), KeyLookup::UnknownKey);
    assert_eq!(catalog.customer(None), KeyLookup::UnknownKey);
    let order = [(1, 0), (1, 1), (1, 2), (2, 0), (2, 1), (2, 2)];
    for (position, (customer, route)) in order.into_iter().enumerate() {
        let urgency = Urgency { position, positions: 6 };
        assert_eq!(catalog.urgency(Some(customer), route), urgency);
    }
}

/// A view that is some batches behind, and whether changes alone can update it.
struct LagCase {
    name: &'static str,
    batches: u64,
    by_changes: bool,
}

const LAG_CASES: [LagCase; 4] = [
    LagCase {
        name: "no batch",
        batches: 0,
        by_changes: true,
    },
    LagCase {
        name: "one batch",
        batches: 1,
        by_changes: true,
    },
    LagCase {
        name: "some batches",
        batches: 12,
        by_changes: true,
    },
    LagCase {
        name: "more batches than are kept",
        batches: 40,
        by_changes: false,
    },
];

#[test]
fn kept_changes_bring_a_follower_up_to_date() {
    for case in &LAG_CASES {
        let start = Snapshot {
            position: pos(10),
            read_to: 10,
            config: Some(config(1)),
            endpoints: vec![endpoint("a", "z1", 1), endpoint("b", "z2", 1)],
            zones_out: Vec::new(),
        };
        let (mut ahead, mut behind) = (View::default(), View::default());
        ahead.replace(start.clone(), Duration::ZERO, at(0));
        behind.replace(start, Duration::ZERO, at(0));
        for n in 0..case.batches {
            let changes = vec![
                Change::EndpointGone("a".to_owned()),
                Change::Endpoint(endpoint("a", "z1", n)),
                Change::Endpoint(endpoint(&format!("n{n}"), "z1", n)),
                Change::EndpointGone(format!("n{}", n.wrapping_sub(3))),
            ];
            ahead.apply(changes, pos(12 + n * 3), Duration::ZERO, at(n));
        }
        let kept = ahead.changes_after(behind.position());
        assert_eq!(kept.is_some(), case.by_changes, "{}", case.name);
        if let Some(list) = kept {
            behind.apply(list, ahead.position(), Duration::ZERO, at(100));
            assert_eq!(behind.snapshot(), ahead.snapshot(), "{}", case.name);
        }
        // A position between two batches gets the whole later batch.
        let between = ahead.changes_after(pos(ahead.position().revision.saturating_sub(1)));
        assert_eq!(between.is_some(), case.batches > 0, "{}", case.name);
    }
}

#[test]
fn changes_included_in_the_last_page_are_not_undone() {
    let mut view = View::default();
    let mut list = snapshot(
        10,
        1,
        &[Endpoint {
            leaving: true,
            ..endpoint("a", "z", 1)
        }],
    );
    list.read_to = 12;
    view.replace(list, Duration::ZERO, at(0));
    // A reader at revision 11 passes on a write of the endpoint from before it was leaving.
    let before = vec![Change::Endpoint(endpoint("a", "z", 1))];
    view.apply(before, pos(11), Duration::ZERO, at(1));
    assert!(usable(&view, 1).is_empty());
    let older = view.replace(snapshot(11, 1, &[endpoint("a", "z", 1)]), Duration::ZERO, at(2));
    assert_eq!(older, Default::default());
    let later = vec![Change::Endpoint(endpoint("a", "z", 2))];
    view.apply(later, pos(12), Duration::ZERO, at(3));
    assert_eq!(usable(&view, 3), ["a"]);
}

#[test]
fn a_new_list_drops_the_changes_kept_for_followers() {
    let mut view = View::default();
    let list = |revision| Snapshot {
        position: pos(revision),
        read_to: revision,
        config: Some(config(1)),
        endpoints: Vec::new(),
        zones_out: Vec::new(),
    };
    view.replace(list(10), Duration::ZERO, at(0));
    view.apply(vec![Change::ZoneOut("z".to_owned())], pos(11), Duration::ZERO, at(0));
    assert_eq!(view.changes_after(pos(10)).map(|list| list.len()), Some(1));
    view.replace(list(14), Duration::ZERO, at(0));
    assert_eq!(view.changes_after(pos(10)), None, "the changes in between aren't known");
}

/// An urgency, its relative rank, and its position on a scale of three values.
struct UrgencyCase {
    urgency: Urgency,
    rank: f64,
    on_scale: usize,
}

const fn urgency(position: usize, positions: usize, rank: f64, on_scale: usize) -> UrgencyCase {
    UrgencyCase {
        urgency: Urgency { position, positions },
        rank,
        on_scale,
    }
}

const URGENCIES: [UrgencyCase; 7] = [
    urgency(0, 1, 0.0, 0),
    urgency(0, 3, 0.0, 0),
    urgency(2, 3, 1.0, 2),
    urgency(3, 3, 1.0, 2),
    urgency(0, 9, 0.0, 0),
    urgency(4, 9, 0.5, 1),
    urgency(8, 9, 1.0, 2),
];

#[test]
fn urgency_maps_to_a_relative_rank_and_to_a_scale() {
    for case in &URGENCIES {
        assert_eq!(case.urgency.rank(), case.rank, "{:?}", case.urgency);
        assert_eq!(case.urgency.on_scale(2), case.on_scale, "{:?}", case.urgency);
    }
}

/// A configuration whose only service states how many connections its endpoints accept, and the path of their health check,
/// if that is known.
fn config_with(version: u64, max_connections: Option<u32>) -> Config {
    let mut config = config(version);
    config.services[0].max_connections = max_connections;
    config.services[0].health_path = max_connections.map(|max| format!("/h{max}"));
    config
}

/// Configurations that arrive one after the other, and what is known in the end.
struct MaxConnectionsCase {
    name: &'static str,
    arriving: [(u64, Option<u32>); 2],
    version: u64,
    max_connections: Option<u32>,
}

const MAX_CONNECTIONS_CASES: [MaxConnectionsCase; 5] = [
    MaxConnectionsCase {
        name: "a peer's, then the store's of the same version",
        arriving: [(5, None), (5, Some(60))],
        version: 5,
        max_connections: Some(60),
    },
    MaxConnectionsCase {
        name: "the store's, then a peer's of the same version",
        arriving: [(5, Some(60)), (5, None)],
        version: 5,
        max_connections: Some(60),
    },
    MaxConnectionsCase {
        name: "the store's, then a peer's of a higher version",
        arriving: [(5, Some(60)), (6, None)],
        version: 6,
        max_connections: Some(60),
    },
    MaxConnectionsCase {
        name: "a higher version with another number",
        arriving: [(5, Some(60)), (6, Some(40))],
        version: 6,
        max_connections: Some(40),
    },
    MaxConnectionsCase {
        name: "a lower version",
        arriving: [(5, None), (4, Some(60))],
        version: 5,
        max_connections: None,
    },
];

/// Guards against: a process that has its configuration from a peer of an earlier release never learns from the store how
/// many connections endpoints accept, and its idle connections leave none for other processes.
#[test]
fn a_configuration_of_the_same_version_adds_what_a_peer_did_not_tell() {
    for case in &MAX_CONNECTIONS_CASES {
        let mut view = View::default();
        for (revision, (version, max_connections)) in (10..).zip(case.arriving) {
            let written = Change::Config(config_with(version, max_connections));
            view.apply(vec![written], Position { era: 0, revision }, Duration::ZERO, at(0));
        }
        let service = view.catalog().service("s").expect("known");
        assert_eq!(service.max_connections, case.max_connections, "{}", case.name);
        let path = case.max_connections.map(|max| format!("/h{max}"));
        assert_eq!(service.health_path, path, "{}", case.name);
        assert_eq!(view.catalog().version(), case.version, "{}", case.name);
    }
}
