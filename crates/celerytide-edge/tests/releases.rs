//! Messages between instances of two releases, which run side by side while instances are replaced.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_catalog::{
    CallerLimits, Change, Config, Endpoint, EndpointStart, Kept, Position, Service, Snapshot, Unproven,
};
use celerytide_edge::peers::ExchangeReply;
use celerytide_edge::peers::handover::{ProxyReply, ProxyRequest};
use celerytide_edge::peers::later_fields::{LaterFields, Slots};
use celerytide_edge::peers::relay::{FollowReply, FollowResult};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// An endpoint as earlier releases write and read it.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierEndpoint {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    leaving: bool,
    cold_remaining: Duration,
    start: Option<u64>,
    version: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct EarlierService {
    id: String,
    cold_period: Duration,
    cold_rate: f64,
    engine_slots: Option<u32>,
    engine_tokens: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct EarlierConfig {
    version: u64,
    routes: Vec<()>,
    services: Vec<EarlierService>,
    customers: Option<()>,
    limits: CallerLimits,
}

#[derive(Debug, Serialize, Deserialize)]
struct EarlierSnapshot {
    position: Position,
    read_to: u64,
    config: Option<EarlierConfig>,
    endpoints: Vec<EarlierEndpoint>,
    zones_out: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
enum EarlierChange {
    Config(EarlierConfig),
    Endpoint(EarlierEndpoint),
    EndpointGone(String),
}

#[derive(Debug, Serialize, Deserialize)]
enum EarlierResult {
    NotYet,
    Lost,
    Changes {
        changes: Vec<EarlierChange>,
        position: Position,
    },
    Whole(EarlierSnapshot),
}

#[derive(Debug, Serialize, Deserialize)]
struct EarlierStart {
    id: String,
    start: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct EarlierKept {
    position: Position,
    leaving: Vec<EarlierStart>,
    unproven: Vec<(EarlierStart, Duration)>,
    zones_out: Vec<()>,
}

/// A reader's reply without later fields.
type EarlierFollowReply = (EarlierResult, u64, u64);
/// A reply to an exchange without later fields.
type EarlierReply = (
    Vec<()>,
    Option<EarlierSnapshot>,
    u64,
    u64,
    Option<EarlierConfig>,
    EarlierKept,
);

const POSITION: Position = Position { era: 2, revision: 90 };

fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("encoded")
}

/// Decodes as an exchange between instances does: what follows the last known field is ignored.
fn decode<M: DeserializeOwned>(bytes: &[u8]) -> M {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.expect("decoded").0
}

fn endpoint(id: &str, sequence: Option<u64>) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 6,
        leaving: true,
        cold_remaining: Duration::from_millis(1500),
        start: Some(7),
        version: "v1".to_owned(),
        sequence,
    }
}

fn start(id: &str, newest: Option<u64>) -> EndpointStart {
    EndpointStart {
        id: id.to_owned(),
        start: Some(7),
        newest,
    }
}

fn config(version: u64) -> Config {
    let service = |id: &str, max_connections| Service {
        id: id.to_owned(),
        cold_period: Duration::from_secs(3),
        cold_rate: 18.0,
        engine_slots: Some(8),
        engine_tokens: None,
        max_connections,
        health_path: max_connections.map(|max| format!("/h{max}")),
    };
    Config {
        version,
        routes: Vec::new(),
        services: vec![service("s", Some(60)), service("t", None), service("u", Some(7))],
        customers: None,
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 2,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(4),
        },
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        position: POSITION,
        read_to: 95,
        config: Some(config(7)),
        endpoints: vec![endpoint("a", Some(18)), endpoint("b", None), endpoint("c", Some(3))],
        zones_out: vec!["z".to_owned()],
    }
}

fn changes() -> FollowResult {
    FollowResult::Changes {
        changes: vec![
            Change::Endpoint(endpoint("a", Some(18))),
            Change::EndpointGone("b".to_owned()),
            Change::Config(config(8)),
            Change::Endpoint(endpoint("a", Some(19))),
        ],
        position: POSITION,
    }
}

fn follow_reply(mut result: FollowResult) -> FollowReply {
    FollowReply {
        later: Slots::of_result(&mut result).read(),
        result,
        age_ms: 300,
        removal_delay_ms: 40,
    }
}

fn reply() -> ExchangeReply {
    let kept = Kept {
        position: POSITION,
        leaving: vec![start("a", Some(18)), start("b", None)],
        unproven: vec![Unproven {
            endpoint: start("c", Some(3)),
            remaining: Duration::from_secs(2),
        }],
        zones_out: Vec::new(),
    };
    let reply = ExchangeReply {
        live: Vec::new(),
        view: Some(snapshot()),
        removal_delay_ms: 40,
        config: 7,
        newer_config: Some(config(9)),
        kept,
        later: LaterFields::default(),
    };
    let mut reply = reply.with_later_fields();
    reply.later.removed.push(start("d", Some(4)).into());
    reply
}

fn restored(mut reply: FollowReply) -> FollowResult {
    reply.restore_later_fields();
    reply.result
}

/// A result as an earlier release tells it.
fn without_later_fields(mut result: FollowResult) -> FollowResult {
    let fields = LaterFields {
        sequences: vec![None; 9],
        max_connections: vec![None; 9],
        removed: Vec::new(),
        health_paths: vec![None; 9],
    };
    Slots::of_result(&mut result).restore(fields);
    result
}

#[test]
fn later_fields_arrive_where_they_belong() {
    for result in [changes(), FollowResult::Whole(snapshot()), FollowResult::Lost] {
        let read: FollowReply = decode(&encode(&follow_reply(result.clone())));
        assert_eq!(restored(read), result);
    }
    let mut read: ExchangeReply = decode(&encode(&reply()));
    assert_ne!(read.view, reply().view, "endpoints are sent without");
    let removed = std::mem::take(&mut read.later.removed);
    assert_eq!(removed, [start("d", Some(4)).into()]);
    read.restore_later_fields();
    let mut read = read.with_later_fields();
    read.later.removed = removed;
    assert_eq!(read, reply());
}

/// Guards against: a follower of the last release can't read its reader's changes, or reads others.
#[test]
fn an_earlier_release_reads_a_reply_with_later_fields() {
    for result in [changes(), FollowResult::Whole(snapshot())] {
        let (read, age_ms, removal_delay_ms): EarlierFollowReply = decode(&encode(&follow_reply(result.clone())));
        assert_eq!((age_ms, removal_delay_ms), (300, 40));
        assert_eq!(decode::<FollowResult>(&encode(&read)), without_later_fields(result));
    }
    let (_, view, _, config, newer, kept): EarlierReply = decode(&encode(&reply()));
    assert_eq!(config, 7);
    assert_eq!(newer.map(|config| config.version), Some(9));
    assert_eq!(view.expect("sent").endpoints.len(), 3);
    let leaving: Vec<&str> = kept.leaving.iter().map(|start| start.id.as_str()).collect();
    assert_eq!(leaving, ["a", "b"]);
    assert_eq!(kept.unproven[0].1, Duration::from_secs(2));
}

/// Guards against: an instance of this release can't read what one of the last release sends.
#[test]
fn a_reply_without_later_fields_is_read() {
    for result in [changes(), FollowResult::Whole(snapshot()), FollowResult::NotYet] {
        let earlier: EarlierResult = decode(&encode(&result));
        let read: FollowReply = decode(&encode(&(earlier, 300_u64, 40_u64)));
        assert_eq!((read.age_ms, read.removal_delay_ms), (300, 40));
        assert_eq!(restored(read), without_later_fields(result));
    }
    let earlier: EarlierReply = decode(&encode(&reply()));
    let read: ExchangeReply = decode(&encode(&earlier));
    assert_eq!(read.later, LaterFields::default());
    assert_eq!(
        (read.config, read.kept.leaving.len(), read.kept.unproven.len()),
        (7, 2, 1)
    );
    assert_eq!(read.kept.leaving[0].newest, None);
}

/// Later fields as the last release writes and reads them: without paths of health checks.
type LastLaterFields = (
    Vec<Option<u64>>,
    Vec<Option<u32>>,
    Vec<(String, Option<u64>, Option<u64>)>,
);

/// Guards against: an instance of the last release loses the later fields that it knows, or one of this release can't read
/// them without the newest.
#[test]
fn later_fields_are_read_without_the_newest_one() {
    let sent = follow_reply(changes());
    let (read, _, _, later): (EarlierResult, u64, u64, LastLaterFields) = decode(&encode(&sent));
    assert_eq!(later.0, sent.later.sequences);
    assert_eq!(later.1, sent.later.max_connections);
    let reply: FollowReply = decode(&encode(&(read, 300_u64, 40_u64, later)));
    assert_eq!(reply.later.sequences, sent.later.sequences);
    assert_eq!(reply.later.health_paths, Vec::<Option<String>>::new());
    let FollowResult::Changes { changes, .. } = restored(reply) else {
        panic!("changes were sent");
    };
    let Change::Config(config) = &changes[2] else {
        panic!("a configuration was sent");
    };
    assert_eq!(config.services[0].max_connections, Some(60));
    assert_eq!(config.services[0].health_path, None);
}

/// Guards against: instances of two releases that don't hear of each other.
#[test]
fn a_reply_of_an_earlier_release_is_read() {
    let none: Option<()> = None;
    let earlier = encode(&(Vec::<()>::new(), none, 40_u64, 7_u64, none));
    let reply: ExchangeReply = decode(&earlier);
    assert_eq!((reply.removal_delay_ms, reply.config), (40, 7));
    assert_eq!(reply.kept, Kept::default());
    assert_eq!(reply.later, LaterFields::default());
}

/// Head of a request that is handed over, as earlier releases write and read it.
type EarlierProxyRequest = (
    String,
    String,
    Vec<(String, Vec<u8>)>,
    String,
    SocketAddr,
    u64,
    u32,
    u64,
);

/// A reply to it as earlier releases write and read it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierProxyReply {
    Accepted,
    Declined,
    Whole {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
        body: Vec<u8>,
    },
    Head {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
    },
    Chunk(Vec<u8>),
    End,
}

fn proxy_request(config: u64) -> ProxyRequest {
    ProxyRequest {
        method: "POST".to_owned(),
        target: "/once/x".to_owned(),
        headers: vec![("host".to_owned(), b"a.example".to_vec())],
        service: "s".to_owned(),
        caller: ([10, 0, 0, 9], 4000).into(),
        left_ms: 900,
        attempts: 1,
        body_bytes: 4,
        config,
    }
}

/// Guards against: instances of two releases can't hand requests to each other, or read a version where none was sent.
#[test]
fn a_request_is_handed_over_between_two_releases() {
    let sent = proxy_request(7);
    let read: EarlierProxyRequest = decode(&encode(&sent));
    assert_eq!((read.1.as_str(), read.6, read.7), ("/once/x", 1, 4));
    let read: ProxyRequest = decode(&encode(&read));
    assert_eq!(read, proxy_request(0));
    assert_eq!(decode::<ProxyRequest>(&encode(&sent)), sent);
    let known = [
        EarlierProxyReply::Accepted,
        EarlierProxyReply::Declined,
        EarlierProxyReply::Chunk(vec![1, 2]),
        EarlierProxyReply::End,
    ];
    for reply in known {
        let read: ProxyReply = decode(&encode(&reply));
        assert_eq!(decode::<EarlierProxyReply>(&encode(&read)), reply);
    }
    let accepted = ProxyReply::AcceptedAt(7);
    assert_eq!(decode::<ProxyReply>(&encode(&accepted)), accepted);
}
