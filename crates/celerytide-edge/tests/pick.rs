//! What one instance sends to its only endpoint: limits that count each request, and requests that are withheld.

use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::sleep;
use std::time::Duration;

use celerytide_catalog::{Endpoint, Position, Route, RouteKind, Service, Snapshot, Urgency};
use celerytide_edge::edge::{BY_SELF, Edge, Pick, PickError, Placement};
use celerytide_edge::health::Outcome;
use celerytide_edge::notice::Notice;
use celerytide_edge::protocol::{HeaderNames, Prompt, Protocol};
use celerytide_edge::quarantine::{BreakOff, Reached};
use celerytide_edge::rate_limit::StatedLimit;
use celerytide_edge::reach::Failure;
use celerytide_edge::request::RoutedRequest;
use celerytide_edge::settings;
use celerytide_types::now_boot;
use http::{HeaderMap, HeaderName, StatusCode};

const SETTINGS: &str = "instance: r1\nzone: z1\ncallers: \"127.0.0.1:9001\"\nreadiness: \"127.0.0.1:9002\"\npeers: \"127.0.0.1:9003\"\nstore: \"127.0.0.1:9004\"\n";
/// Time after startup from which limited endpoints get requests.
const STARTUP_TIME: Duration = Duration::from_millis(4100);
/// Longest first ejection of an endpoint.
const EJECTION: Duration = Duration::from_millis(900);

/// Headers of no platform: nothing is sent in these tests.
struct NoHeaders(HeaderNames);

impl NoHeaders {
    fn new() -> NoHeaders {
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
}

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

fn endpoint(cold_remaining: Duration) -> Endpoint {
    Endpoint {
        id: "e1".to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9100)),
        zone: "z1".to_owned(),
        slots: 8,
        leaving: false,
        cold_remaining,
        start: Some(1),
        version: String::new(),
        sequence: None,
    }
}

fn service(cold_rate: f64) -> Service {
    Service {
        id: "s".to_owned(),
        cold_period: Duration::from_secs(60),
        cold_rate,
        engine_slots: None,
        engine_tokens: None,
        max_connections: None,
        health_path: None,
    }
}

fn request() -> RoutedRequest {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(5),
        latency_target: None,
        max_event_gap: None,
        priority: 0,
        backends: Vec::new(),
        max_attempts: 2,
        anonymous: true,
    };
    RoutedRequest {
        id: "1".to_owned(),
        content: 1,
        route: Rc::new(route),
        customer: None,
        began: now_boot(),
        deadline: now_boot().after(Duration::from_secs(5)),
        prompt: Prompt::default(),
        urgency: Urgency {
            position: 0,
            positions: 1,
        },
        take_up: None,
    }
}

/// An instance that knows one endpoint.
fn instance(endpoint: &Endpoint) -> Rc<Edge<NoHeaders>> {
    let edge = Edge::new(settings::parse(SETTINGS).expect("settings"), NoHeaders::new());
    let snapshot = Snapshot {
        position: Position { era: 0, revision: 1 },
        read_to: 1,
        config: None,
        endpoints: vec![endpoint.clone()],
        zones_out: Vec::new(),
    };
    edge.view.borrow_mut().replace(snapshot, Duration::ZERO, now_boot());
    Rc::new(edge)
}

fn pick(edge: &Rc<Edge<NoHeaders>>, service: &Service) -> Result<Pick<NoHeaders>, PickError> {
    edge.pick(&request(), service, &[], None, Placement::by_self(BY_SELF))
}

/// Why the only endpoint is limited.
struct Case {
    name: &'static str,
    cold_rate: f64,
    cold_remaining: Duration,
    named: StatedLimit,
}

const CASES: [Case; 2] = [
    Case {
        name: "cold",
        cold_rate: 1.0,
        cold_remaining: Duration::from_secs(60),
        named: StatedLimit::Absent,
    },
    Case {
        name: "named",
        cold_rate: 0.0,
        cold_remaining: Duration::ZERO,
        named: StatedLimit::PerSecond(10.0),
    },
];

#[test]
fn a_trial_at_a_limited_endpoint_is_not_counted() {
    for case in &CASES {
        let endpoint = endpoint(case.cold_remaining);
        let service = service(case.cold_rate);
        let edge = instance(&endpoint);
        sleep(STARTUP_TIME);
        edge.apply_stated_limit(&endpoint, case.named, now_boot());
        // Ejected by failures; the other endpoint, which doesn't exist, fails none.
        for _ in 0..8 {
            edge.record("s", "e1", Outcome::Bad);
        }
        sleep(EJECTION);
        let trial = pick(&edge, &service);
        assert!(trial.is_ok(), "{}: the trial is sent: {:?}", case.name, trial.err());
        edge.record("s", "e1", Outcome::Good);
        drop(trial);
        let next = pick(&edge, &service);
        assert!(
            next.is_err(),
            "{}: the trial counts, so the next request waits",
            case.name
        );
    }
}

/// Requests whose connections are reset, each by another endpoint.
const RESETS: u32 = 6;

/// An instance that a partition resets took the resets for crashes of endpoints, and withheld what it had sent.
#[test]
fn a_request_is_withheld_after_resets_by_a_partition() {
    for is_partitioned in [false, true] {
        let edge = instance(&endpoint(Duration::ZERO));
        let service = service(0.0);
        let reset = |endpoint| {
            let at = BreakOff {
                endpoint,
                head_age: None,
                has_events: false,
            };
            if is_partitioned {
                edge.with_reach("s", |reach| reach.note_failed(endpoint, Failure::Ended, 1, now_boot()));
            }
            edge.record_break_off("s", &request(), at);
        };
        (0..RESETS).for_each(reset);
        let other = RoutedRequest {
            content: 2,
            ..request()
        };
        edge.record_good_response("s", &other, Reached::End);
        let picked = pick(&edge, &service).map(|_| ());
        let is_withheld = picked == Err(PickError::RequestWithheld);
        assert_eq!(is_withheld, !is_partitioned, "{picked:?}");
    }
}

/// Requests for a limited endpoint that come all the time.
struct UrgencyCase {
    name: &'static str,
    /// One in this many requests is of the most urgent kind, the others of the least urgent one; 0 for none.
    urgent_in: u32,
    /// Least part of the served requests that must be urgent.
    urgent_share: f64,
}

const URGENCY_CASES: [UrgencyCase; 2] = [
    UrgencyCase {
        name: "one in four is urgent",
        urgent_in: 4,
        urgent_share: 0.75,
    },
    UrgencyCase {
        name: "none is urgent",
        urgent_in: 0,
        urgent_share: 0.0,
    },
];

/// Rate that the endpoint names, and the least part of it that is used.
const NAMED_PER_S: f64 = 8.0;
const USED_SHARE: f64 = 0.75;
const PAUSE: Duration = Duration::from_millis(8);
const TRAFFIC: Duration = Duration::from_secs(4);

/// Guards against: the few requests that a limited endpoint takes go to whoever comes first, not to the most urgent.
#[test]
fn a_limited_endpoint_serves_the_least_urgent_first() {
    for case in &URGENCY_CASES {
        let endpoint = endpoint(Duration::ZERO);
        let service = service(0.0);
        let edge = instance(&endpoint);
        sleep(STARTUP_TIME);
        edge.apply_stated_limit(&endpoint, StatedLimit::PerSecond(NAMED_PER_S), now_boot());
        let began = now_boot();
        let mut served = [0.0; 2];
        for n in 0.. {
            // Requests come at fixed times, however late the machine wakes this thread.
            let due = began.after(PAUSE * n);
            sleep(due.since(now_boot()));
            if due.since(began) > TRAFFIC {
                break;
            }
            let position = usize::from(case.urgent_in == 0 || n % case.urgent_in != 0);
            let urgency = Urgency { position, positions: 2 };
            let request = RoutedRequest { urgency, ..request() };
            let picked = edge.pick(&request, &service, &[], None, Placement::by_self(BY_SELF));
            served[position] += f64::from(u8::from(picked.is_ok()));
        }
        let all = served[0] + served[1];
        let (name, seen) = (case.name, format!("urgent, others: {served:?}"));
        assert!(
            all >= NAMED_PER_S * TRAFFIC.as_secs_f64() * USED_SHARE,
            "{name}: {seen}"
        );
        assert!(served[0] >= all * case.urgent_share, "{name}: {seen}");
    }
}
