//! Messages between instances of two releases, which run side by side while instances are replaced.

use std::net::SocketAddr;
use std::time::Duration;

use celerytide_catalog::{Change, Endpoint, EndpointStart, Kept, Position, Snapshot, Unproven};
use celerytide_edge::peers::ExchangeReply;
use celerytide_edge::peers::relay::{FollowReply, FollowResult};
use celerytide_edge::peers::sequences::{ReplySequences, of_result, restore_result};
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
struct EarlierSnapshot {
    position: Position,
    read_to: u64,
    config: Option<()>,
    endpoints: Vec<EarlierEndpoint>,
    zones_out: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
enum EarlierChange {
    Config(()),
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

/// A reader's reply without sequences.
type EarlierFollowReply = (EarlierResult, u64, u64);
/// A reply to an exchange without sequences.
type EarlierReply = (Vec<()>, Option<EarlierSnapshot>, u64, u64, Option<()>, EarlierKept);

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

fn snapshot() -> Snapshot {
    Snapshot {
        position: POSITION,
        read_to: 95,
        config: None,
        endpoints: vec![endpoint("a", Some(18)), endpoint("b", None), endpoint("c", Some(3))],
        zones_out: vec!["z".to_owned()],
    }
}

fn changes() -> FollowResult {
    FollowResult::Changes {
        changes: vec![
            Change::Endpoint(endpoint("a", Some(18))),
            Change::EndpointGone("b".to_owned()),
            Change::Endpoint(endpoint("a", Some(19))),
        ],
        position: POSITION,
    }
}

fn follow_reply(result: FollowResult) -> FollowReply {
    FollowReply {
        sequences: of_result(&result),
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
    ExchangeReply {
        live: Vec::new(),
        sequences: ReplySequences::new(Some(&snapshot()), &kept),
        view: Some(snapshot()),
        removal_delay_ms: 40,
        config: 7,
        newer_config: None,
        kept,
    }
}

fn restored(mut reply: FollowReply) -> FollowResult {
    restore_result(&mut reply.result, reply.sequences);
    reply.result
}

fn result_without_sequences(mut result: FollowResult) -> FollowResult {
    let none = vec![None; 3];
    restore_result(&mut result, none);
    result
}

#[test]
fn sequences_arrive_with_their_endpoints() {
    for result in [changes(), FollowResult::Whole(snapshot()), FollowResult::Lost] {
        let read: FollowReply = decode(&encode(&follow_reply(result.clone())));
        assert_eq!(restored(read), result);
    }
    let mut read: ExchangeReply = decode(&encode(&reply()));
    read.sequences.clone().restore(read.view.as_mut(), &mut read.kept);
    assert_eq!(read, reply());
}

/// Guards against: a follower of the last release can't read its reader's changes, or reads others.
#[test]
fn an_earlier_release_reads_a_reply_with_sequences() {
    for result in [changes(), FollowResult::Whole(snapshot())] {
        let (read, age_ms, removal_delay_ms): EarlierFollowReply = decode(&encode(&follow_reply(result.clone())));
        assert_eq!((age_ms, removal_delay_ms), (300, 40));
        assert_eq!(decode::<FollowResult>(&encode(&read)), result_without_sequences(result));
    }
    let (_, view, _, config, _, kept): EarlierReply = decode(&encode(&reply()));
    assert_eq!(config, 7);
    assert_eq!(view.expect("sent").endpoints.len(), 3);
    let leaving: Vec<&str> = kept.leaving.iter().map(|start| start.id.as_str()).collect();
    assert_eq!(leaving, ["a", "b"]);
    assert_eq!(kept.unproven[0].1, Duration::from_secs(2));
}

/// Guards against: an instance of this release can't read what one of the last release sends.
#[test]
fn a_reply_without_sequences_is_read() {
    for result in [changes(), FollowResult::Whole(snapshot()), FollowResult::NotYet] {
        let earlier: EarlierResult = decode(&encode(&result));
        let read: FollowReply = decode(&encode(&(earlier, 300_u64, 40_u64)));
        assert_eq!((read.age_ms, read.removal_delay_ms), (300, 40));
        assert_eq!(restored(read), result_without_sequences(result));
    }
    let earlier: EarlierReply = decode(&encode(&reply()));
    let read: ExchangeReply = decode(&encode(&earlier));
    assert_eq!(read.sequences, ReplySequences::default());
    assert_eq!(
        (read.config, read.kept.leaving.len(), read.kept.unproven.len()),
        (7, 2, 1)
    );
    assert_eq!(read.kept.leaving[0].newest, None);
}

/// Guards against: instances of two releases that don't hear of each other.
#[test]
fn a_reply_of_an_earlier_release_is_read() {
    let none: Option<()> = None;
    let earlier = encode(&(Vec::<()>::new(), none, 40_u64, 7_u64, none));
    let reply: ExchangeReply = decode(&earlier);
    assert_eq!((reply.removal_delay_ms, reply.config), (40, 7));
    assert_eq!(reply.kept, Kept::default());
    assert_eq!(reply.sequences, ReplySequences::default());
}
