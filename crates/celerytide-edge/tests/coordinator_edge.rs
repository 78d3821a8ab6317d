//! An instance that asks coordinators and is one itself, without a network: its messages are read from where they wait to
//! be sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{CallerLimits, Config, Endpoint, Position, Route, RouteKind, Service, Snapshot, Urgency};
use celerytide_edge::coordinator::groups::coordinators;
use celerytide_edge::coordinator::messages::{
    Advice, Demand, Event, FlightEntry, GroupKey, MAX_DATAGRAM, Packet, PlaceRequest, Reply, Report, Verdict, datagrams,
};
use celerytide_edge::edge::{BY_COORDINATOR, Edge, Placement};
use celerytide_edge::notice::Notice;
use celerytide_edge::peers::digest::id_hash;
use celerytide_edge::protocol::{HeaderNames, Prompt, PromptBlock, Protocol};
use celerytide_edge::rate_limit::StatedLimit;
use celerytide_edge::request::RoutedRequest;
use celerytide_edge::settings;
use celerytide_types::now_boot;
use futures::FutureExt;
use http::{HeaderMap, HeaderName, StatusCode};
use monoio::time::sleep;
use monoio::{LegacyDriver, RuntimeBuilder};

const SETTINGS: &str = "instance: r1\nzone: z1\ncallers: \"127.0.0.1:9001\"\nreadiness: \"127.0.0.1:9002\"\npeers: \"127.0.0.1:9003\"\nplacement: \"127.0.0.1:9005\"\nstore: \"127.0.0.1:9004\"\n";
const SLOTS: u32 = 4;
/// Other instances of the fleet.
const OTHERS: u8 = 30;
const ASKER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 9)), 9005);

/// Headers of no platform: nothing is sent in these tests.
struct NoHeaders(HeaderNames);

impl Protocol for NoHeaders {
    fn header_names(&self) -> &HeaderNames {
        &self.0
    }

    fn prompt(&self, _: &HeaderMap) -> Prompt {
        Prompt::default()
    }

    fn least_urgent(&self) -> usize {
        9
    }

    fn is_wrong_endpoint(&self, _: StatusCode) -> bool {
        false
    }

    fn promises_not_run(&self, _: StatusCode) -> bool {
        false
    }

    fn notice(&self, _: StatusCode, _: &HeaderMap) -> Notice {
        Notice::default()
    }

    fn rate_limit(&self, _: &HeaderMap) -> StatedLimit {
        StatedLimit::Absent
    }

    fn rejection_limit(&self, _: &HeaderMap) -> StatedLimit {
        StatedLimit::Absent
    }
}

fn protocol() -> NoHeaders {
    let name = HeaderName::from_static;
    NoHeaders(HeaderNames {
        request_id: name("id"),
        seal: name("seal"),
        not_run: name("not-run"),
        deadline_ms: name("deadline"),
        key: name("key"),
        customer: name("customer"),
        endpoint: name("endpoint"),
        urgency: name("urgency"),
        last_event: name("last"),
        endpoint_id: name("endpoint-id"),
        first_request: name("first"),
        internal: Vec::new(),
    })
}

fn service_of(id: &str) -> Service {
    Service {
        id: id.to_owned(),
        cold_period: Duration::ZERO,
        cold_rate: 0.0,
        engine_slots: Some(SLOTS),
        engine_tokens: Some(171_003),
        max_connections: None,
        health_path: None,
    }
}

fn service() -> Service {
    service_of("llm")
}

fn endpoint(n: usize, service: &str) -> Endpoint {
    Endpoint {
        id: format!("e{n}"),
        service: service.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9100)),
        zone: "z1".to_owned(),
        slots: SLOTS,
        leaving: false,
        cold_remaining: Duration::ZERO,
        start: Some(1),
        version: String::new(),
        sequence: None,
    }
}

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 9003))
}

/// An instance of a large fleet that knows this many engines.
fn instance(engines: usize) -> Rc<Edge<NoHeaders>> {
    instance_with(engines, &service())
}

fn instance_with(engines: usize, service: &Service) -> Rc<Edge<NoHeaders>> {
    let edge = Edge::new(settings::parse(SETTINGS).expect("settings"), protocol());
    let config = Config {
        version: 1,
        routes: Vec::new(),
        services: vec![service.clone()],
        customers: None,
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_time: Duration::ZERO,
            idle_time: Duration::ZERO,
        },
    };
    let snapshot = Snapshot {
        position: Position { era: 0, revision: 1 },
        read_to: 1,
        config: Some(config),
        endpoints: (0..engines).map(|n| endpoint(n, &service.id)).collect(),
        zones_out: Vec::new(),
    };
    edge.view.borrow_mut().replace(snapshot, Duration::ZERO, now_boot());
    for n in 1..=OTHERS {
        edge.members.borrow_mut().record_contact(peer(n), now_boot());
    }
    Rc::new(edge)
}

fn request(blocks: usize) -> RoutedRequest {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(5),
        latency_target: Some(Duration::from_millis(500)),
        max_event_gap: None,
        priority: 0,
        backends: Vec::new(),
        max_attempts: 2,
        anonymous: true,
    };
    let block = |n: usize| PromptBlock {
        id: u64::MAX - n as u64,
        tokens: 1,
    };
    RoutedRequest {
        id: "1".to_owned(),
        content: 1,
        route: Rc::new(route),
        customer: None,
        began: now_boot(),
        deadline: now_boot().after(Duration::from_secs(5)),
        prompt: Prompt {
            blocks: (0..blocks).map(block).collect(),
            tokens: 9_190,
            max_output_tokens: 50,
        },
        urgency: Urgency {
            position: 0,
            positions: 1,
        },
        take_up: None,
    }
}

fn key(group: u16) -> GroupKey {
    GroupKey {
        service: id_hash("llm"),
        group,
    }
}

fn question(id: u32, urgency: u16) -> Event {
    Event::Place(PlaceRequest {
        id,
        key: key(0),
        demand: Demand {
            blocks: Vec::new(),
            tokens: 3_000,
            max_output_tokens: 50,
            max_gap_ms: 0,
            left_ms: 10_000,
        },
        urgency,
        customer: 0,
        target_ms: 8_000,
        is_idempotent: true,
        tried: Vec::new(),
    })
}

fn replies(edge: &Edge<NoHeaders>, to: SocketAddr) -> Vec<Reply> {
    edge.coordination
        .borrow_mut()
        .take_replies()
        .remove(&to)
        .unwrap_or_default()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.expect("a runtime").block_on(test);
}

const PLACED: Verdict = Verdict::Placed(Advice {
    endpoint: 7,
    uncached: 100,
    ahead: 0,
    running: 0,
});

/// Guards against the end of a request that waits to be sent until the next report: the coordinator counts it until then.
#[test]
fn a_late_reply_is_answered_at_once() {
    let edge = instance(2);
    let verdict = PLACED;
    edge.apply_replies(ASKER, &[Reply { id: 1, verdict }]);
    assert!(edge.placement_events.notified().now_or_never().is_some());
}

/// Guards against the room that an earlier message makes being given to a request that came after another one.
#[test]
fn room_goes_to_a_waiting_request_before_a_later_one_in_the_same_datagram() {
    let edge = instance(1);
    let full = (1..=SLOTS).map(|id| question(id, 5)).collect();
    edge.coordinate(ASKER, full);
    edge.coordinate(ASKER, vec![question(10, 1)]);
    replies(&edge, ASKER);
    let started = |id| Event::Started { id, took_ms: 50 };
    let all = (1..=SLOTS)
        .map(started)
        .chain([Event::Ended { id: 1 }, question(11, 1)]);
    edge.coordinate(ASKER, all.collect());
    let seen: Vec<(u32, bool)> = replies(&edge, ASKER)
        .iter()
        .map(|reply| (reply.id, matches!(reply.verdict, Verdict::Placed(_))))
        .collect();
    assert_eq!(seen, [(10, true), (11, false)]);
}

/// Guards against state for groups that don't exist, which any datagram could create.
#[test]
fn messages_about_unknown_groups_leave_no_state() {
    let edge = instance(2);
    let flight = FlightEntry {
        id: 1,
        endpoint: 1,
        queued_tokens: 1,
        urgency: 0,
        tokens: 1,
        max_gap_ms: 0,
        left_ms: 10_000,
    };
    for group in 1..2_000 {
        let key = key(group);
        let sent = Event::Sent {
            key,
            flight,
            blocks: Vec::new(),
        };
        let report = Event::Report(Report {
            key,
            ids: (0, u32::MAX),
            flights: vec![flight],
        });
        edge.coordinate(ASKER, vec![sent, report]);
    }
    assert_eq!(edge.coordination.borrow().in_flight(), 0);
}

/// Guards against a restarted instance that is advised what a request from before its restart was.
#[test]
fn two_starts_of_an_instance_use_different_numbers() {
    let id = || instance(2).placements.borrow_mut().next_id();
    assert_ne!(id(), id());
}

/// Guards against a prompt of so many blocks that no coordinator gets the question, and against a repeated question that
/// states more time than is left.
#[test]
fn a_question_fits_into_a_datagram_and_states_the_time_left() {
    run(async {
        let edge = instance(40);
        let (request, service) = (request(16_000), service());
        let asking = edge.place(&request, &service, &[], None);
        let read = async {
            let mut asked = Vec::new();
            for _ in 0..60 {
                sleep(Duration::from_millis(1)).await;
                let events = edge.placements.borrow_mut().take_outgoing().into_values();
                asked.extend(events.flatten());
            }
            asked
        };
        let (placement, mut asked) = futures::join!(asking, read);
        asked.extend(edge.placements.borrow_mut().take_outgoing().into_values().flatten());
        assert!(placement.is_ok_and(|placement| placement.source == "self-timeout"));
        let left: Vec<u32> = asked
            .iter()
            .filter_map(|event| match event {
                Event::Place(place) => Some(place.demand.left_ms),
                _ => None,
            })
            .collect();
        assert_eq!(left.len(), 2, "asked twice");
        assert!(left[1] + 10 < left[0], "{left:?}");
        assert!(matches!(asked.last(), Some(Event::Ended { .. })), "{:?}", asked.last());
        let sizes: Vec<usize> = datagrams(Packet::Events(asked)).iter().map(Vec::len).collect();
        assert!(!sizes.is_empty() && sizes[0] <= MAX_DATAGRAM / 8, "{sizes:?} bytes");
    });
}

/// Guards against a question of an instance to itself that is lost, or counted for ever.
#[test]
fn an_instance_that_is_the_coordinator_asks_itself() {
    run(async {
        let own_peer = SocketAddr::from(([127, 0, 0, 1], 9003));
        let instances: Vec<SocketAddr> = (1..=OTHERS).map(peer).chain([own_peer]).collect();
        let mut services = (0..1_000).map(|n| service_of(&format!("llm-{n}")));
        let is_ranked = |service: &Service| coordinators(&service.id, 0, &instances).contains(&own_peer);
        let service = services.find(is_ranked).expect("a service that it may coordinate");
        let edge = instance_with(16, &service);
        for n in 1..=OTHERS {
            let other = SocketAddr::new(peer(n).ip(), 9005);
            edge.placements.borrow_mut().note_stopping(other, now_boot());
        }
        let own = edge.own_placement_address().expect("an address");
        let request = request(3);
        let asking = edge.place(&request, &service, &[], None);
        let serving = async {
            sleep(Duration::from_millis(1)).await;
            let events = edge.placements.borrow_mut().take_outgoing();
            for (to, events) in events {
                assert_eq!(to, own);
                edge.coordinate(own, events);
            }
            edge.apply_replies(own, &replies(&edge, own));
        };
        let (placement, ()) = futures::join!(asking, serving);
        let placement = placement.expect("a placement");
        assert_eq!(placement.source, BY_COORDINATOR);
        assert_eq!(edge.coordination.borrow().in_flight(), 1);
        let pick = edge.pick(&request, &service, &[], None, placement).expect("a pick");
        assert_eq!(pick.placed_by, BY_COORDINATOR);
        drop(pick);
        let events = edge.placements.borrow_mut().take_outgoing();
        for (_, events) in events {
            edge.coordinate(own, events);
        }
        assert_eq!(edge.coordination.borrow().in_flight(), 0);
    });
}

/// A request that its instance doesn't use is taken back.
#[test]
fn a_placement_that_is_dropped_ends_at_the_coordinator() {
    run(async {
        let edge = instance(16);
        let (request, service) = (request(3), service());
        let asking = edge.place(&request, &service, &[], None);
        let replying = async {
            sleep(Duration::from_millis(1)).await;
            let events = edge.placements.borrow_mut().take_outgoing();
            let (to, id) = events
                .iter()
                .find_map(|(to, events)| match events.first() {
                    Some(Event::Place(place)) => Some((*to, place.id)),
                    _ => None,
                })
                .expect("a question");
            let verdict = PLACED;
            edge.apply_replies(to, &[Reply { id, verdict }]);
            (to, id)
        };
        let (placement, (to, id)) = futures::join!(asking, replying);
        let placement: Placement<NoHeaders> = placement.expect("a placement");
        assert_eq!(placement.source, BY_COORDINATOR);
        drop(placement);
        let told = edge.placements.borrow_mut().take_outgoing().remove(&to);
        assert_eq!(told, Some(vec![Event::Ended { id }]));
    });
}
