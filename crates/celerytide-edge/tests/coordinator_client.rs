//! What an instance tells coordinators and expects of them, and how groups are divided among instances.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use celerytide_catalog::Service;
use celerytide_edge::coordinator::groups::{coordinators, group_count, group_of};
use celerytide_edge::coordinator::messages::{
    Advice, Event, FlightEntry, GroupKey, MAX_DATAGRAM, Packet, Reply, Report, Verdict, datagrams,
};
use celerytide_edge::coordinator::{Client, FlightKey, Group, OwnFlight};
use celerytide_types::BootTime;
use futures::FutureExt;

const KEY: GroupKey = GroupKey { service: 1, group: 0 };
const PLACED: Verdict = Verdict::Placed(Advice {
    endpoint: 7,
    uncached: 100,
    ahead: 0,
    running: 0,
});
const QUEUED: Verdict = Verdict::Queued { wait_ms: 50 };
const REFUSED: Verdict = Verdict::Refused { wait_ms: 50 };

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

fn instance(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 8229))
}

fn service() -> Service {
    Service {
        id: "llm".to_owned(),
        cold_period: Duration::ZERO,
        cold_rate: 0.0,
        engine_slots: Some(32),
        engine_tokens: Some(171_003),
        max_connections: None,
        health_path: None,
    }
}

fn flight(id: u32, key: GroupKey) -> OwnFlight {
    let entry = FlightEntry {
        id,
        endpoint: 4_000_000_000,
        queued_tokens: 9_190,
        urgency: 0,
        tokens: 9_250,
        max_gap_ms: 1_500,
        left_ms: 60_000,
    };
    OwnFlight {
        key,
        coordinator: instance(1),
        entry,
        deadline: at(60_000),
    }
}

/// What is sent next, to whomever.
fn told(client: &mut Client) -> Vec<Event> {
    client.take_outgoing().into_values().flatten().collect()
}

/// What an instance did with a request before a reply to it arrives.
#[derive(Debug, Clone, Copy)]
enum State {
    Expects,
    Ended,
    InFlight,
}

struct LateReply {
    state: State,
    verdict: Verdict,
    /// Whether the coordinator is told that the request ended.
    is_told: bool,
}

const LATE_REPLIES: [LateReply; 7] = [
    LateReply {
        state: State::Expects,
        verdict: PLACED,
        is_told: false,
    },
    LateReply {
        state: State::Ended,
        verdict: PLACED,
        is_told: true,
    },
    LateReply {
        state: State::Ended,
        verdict: QUEUED,
        is_told: true,
    },
    LateReply {
        state: State::Ended,
        verdict: REFUSED,
        is_told: false,
    },
    LateReply {
        state: State::Ended,
        verdict: Verdict::Unable,
        is_told: false,
    },
    LateReply {
        state: State::InFlight,
        verdict: PLACED,
        is_told: false,
    },
    LateReply {
        state: State::InFlight,
        verdict: QUEUED,
        is_told: false,
    },
];

/// Guards against a coordinator that counts a request which was placed otherwise.
#[test]
fn a_reply_that_arrives_too_late_is_answered_with_the_end_of_the_request() {
    for case in &LATE_REPLIES {
        let mut client = Client::default();
        let id = client.next_id();
        let pending = client.expect(id, instance(1));
        match case.state {
            State::Expects => {}
            State::Ended => client.end(id),
            State::InFlight => client.begin(id, flight(id, KEY)),
        }
        client.take_outgoing();
        let verdict = case.verdict;
        client.apply_reply(instance(1), Reply { id, verdict });
        let is_told = told(&mut client) == [Event::Ended { id }];
        assert_eq!(is_told, case.is_told, "{:?} {verdict:?}", case.state);
        let next = pending.next().now_or_never();
        let expected = matches!(case.state, State::Expects).then_some(verdict);
        assert_eq!(next, expected, "{:?} {verdict:?}", case.state);
    }
}

/// Guards against a network that delivers the older of two replies last: the request would wait although it was placed.
#[test]
fn a_final_reply_is_not_replaced_by_an_older_one() {
    let mut client = Client::default();
    let id = client.next_id();
    let pending = client.expect(id, instance(1));
    for verdict in [PLACED, QUEUED] {
        client.apply_reply(instance(1), Reply { id, verdict });
    }
    assert_eq!(pending.next().now_or_never(), Some(PLACED));
}

/// An event at a coordinator as an instance sees it, and the time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Sight {
    /// No reply in time.
    Silent(u64),
    /// A reply in time, and one that is no longer expected.
    InTime,
    TooLate,
    Stopping(u64),
}

use Sight::{InTime, Silent, Stopping, TooLate};

struct Suspicion {
    name: &'static str,
    sights: &'static [Sight],
    /// Until when the coordinator isn't asked, in milliseconds.
    until: u64,
}

const SUSPICIONS: [Suspicion; 8] = [
    Suspicion {
        name: "one question without a reply",
        sights: &[Silent(0)],
        until: 2_000,
    },
    Suspicion {
        name: "requests that were asked at the same time",
        sights: &[Silent(0), Silent(1), Silent(2), Silent(40)],
        until: 2_000,
    },
    Suspicion {
        name: "still silent when it is asked again",
        sights: &[Silent(0), Silent(2_080), Silent(6_160)],
        until: 14_160,
    },
    Suspicion {
        name: "silent for long",
        sights: &[
            Silent(0),
            Silent(2_000),
            Silent(6_000),
            Silent(14_000),
            Silent(30_000),
            Silent(62_000),
        ],
        until: 94_000,
    },
    Suspicion {
        name: "a slow coordinator, whose replies all arrive too late",
        sights: &[Silent(0), TooLate, Silent(2_080), TooLate],
        until: 6_080,
    },
    Suspicion {
        name: "a reply in time ends the suspicion",
        sights: &[Silent(0), InTime],
        until: 0,
    },
    Suspicion {
        name: "a stopping coordinator, also after its late replies",
        sights: &[Stopping(0), TooLate],
        until: 10_000,
    },
    Suspicion {
        name: "silent once, and again after an hour",
        sights: &[Silent(0), Silent(3_600_000)],
        until: 3_602_000,
    },
];

/// Guards against a burst in which one pause of a coordinator has it avoided for half a minute, and against requests that
/// all wait for a coordinator which is slow.
#[test]
fn a_coordinator_without_replies_in_time_is_avoided_for_a_time_that_doubles() {
    for case in &SUSPICIONS {
        let mut client = Client::default();
        for sight in case.sights {
            match *sight {
                Silent(ms) => {
                    client.reports(at(ms));
                    client.suspect(instance(1), at(ms));
                }
                InTime | TooLate => {
                    let id = client.next_id();
                    client.expect(id, instance(1));
                    if matches!(sight, TooLate) {
                        client.end(id);
                    }
                    client.apply_reply(instance(1), Reply { id, verdict: PLACED });
                }
                Stopping(ms) => client.note_stopping(instance(1), at(ms)),
            }
        }
        assert!(client.trusts(instance(1), at(case.until)), "{}", case.name);
        let is_avoided = case.until == 0 || !client.trusts(instance(1), at(case.until - 1));
        assert!(is_avoided, "{}", case.name);
        assert!(client.trusts(instance(2), at(0)), "{}: another one", case.name);
    }
}

/// Guards against a coordinator that never learns of the last end in a group.
#[test]
fn a_group_is_reported_once_more_after_it_became_empty() {
    let other = GroupKey { group: 1, ..KEY };
    let mut client = Client::default();
    for (id, key) in [(1, KEY), (2, KEY), (3, other)] {
        client.begin(id, flight(id, key));
    }
    let reported = |client: &mut Client| -> Vec<(u16, Vec<u32>)> {
        let ids = |report: Report| (report.key.group, report.flights.iter().map(|entry| entry.id).collect());
        client.reports(at(0)).into_iter().map(ids).collect()
    };
    assert_eq!(reported(&mut client), [(0, vec![1, 2]), (1, vec![3])]);
    client.end(3);
    assert_eq!(reported(&mut client), [(0, vec![1, 2]), (1, vec![])]);
    assert_eq!(reported(&mut client), [(0, vec![1, 2])]);
    client.end(1);
    client.end(2);
    assert_eq!(reported(&mut client), [(0, vec![])]);
    assert!(reported(&mut client).is_empty());
    assert_eq!(client.flight_count(), 0);
}

/// Guards against an instance with so many requests that its report exceeds a datagram: the coordinator would drop them
/// all as those of a silent instance.
#[test]
fn a_large_report_arrives_in_parts() {
    const COUNT: u32 = 5_000;
    let (mut client, mut group, from) = (Client::default(), Group::default(), instance(2));
    for id in 1..=COUNT {
        client.begin(id, flight(id, KEY));
    }
    let mut send = |client: &mut Client, now: BootTime, lost: usize| {
        let events = client.reports(now).into_iter().map(Event::Report).collect();
        let datagrams = datagrams(Packet::Events(events));
        let largest = datagrams.iter().map(Vec::len).max().unwrap_or_default();
        assert!(largest <= MAX_DATAGRAM && datagrams.len() > lost, "{largest} bytes");
        for bytes in datagrams.iter().skip(lost) {
            let decoded = bincode::serde::decode_from_slice::<Packet, _>(bytes, bincode::config::standard());
            let Ok((Packet::Events(events), _)) = decoded else {
                panic!("{decoded:?}")
            };
            for event in events {
                let Event::Report(report) = event else {
                    panic!("{event:?}")
                };
                group.apply_report(from, &report, &service(), now);
            }
        }
        group.sweep(now);
        group.ledger().flight_count()
    };
    assert_eq!(send(&mut client, at(0), 0), COUNT as usize);
    for id in (1..=COUNT).filter(|id| id % 2 == 0) {
        client.end(id);
    }
    let partly = send(&mut client, at(1_000), 1);
    assert!(
        (COUNT as usize / 2..COUNT as usize).contains(&partly),
        "{partly} if a part is lost"
    );
    assert_eq!(send(&mut client, at(2_000), 0), COUNT as usize / 2);
    for id in 1..=COUNT {
        client.end(id);
    }
    assert_eq!(send(&mut client, at(3_000), 0), 0);
}

/// Guards against a restarted instance whose numbers are those of requests from before: it would be advised what was
/// advised then.
#[test]
fn a_restarted_instance_uses_other_numbers() {
    let mut group = Group::default();
    let (mut before, mut after) = (Client::new(1_000), Client::new(77));
    let id = before.next_id();
    group.note_sent(instance(2), flight(id, KEY).entry, &[], &service(), at(0));
    let key = |id| FlightKey { from: instance(2), id };
    assert!(group.ledger().endpoint_of(key(id)).is_some());
    assert!(group.ledger().endpoint_of(key(after.next_id())).is_none());
}

/// Guards against views that differ by one engine or instance and agree on almost nothing.
#[test]
fn one_engine_or_instance_more_moves_few_groups() {
    let engines = |count: usize| -> BTreeMap<String, u16> {
        let groups = group_count(count);
        let ids = (0..count).map(|n| format!("engine-{n}"));
        ids.map(|id| (id.clone(), group_of(&id, groups))).collect()
    };
    for count in [17, 32, 60, 140, 144, 160, 750] {
        let (few, many) = (engines(count), engines(count + 1));
        let moved = few.iter().filter(|(id, group)| many.get(*id) != Some(group)).count();
        let most = count / usize::from(group_count(count)) * 2;
        assert!(moved <= most, "{moved} of {count} engines moved");
    }
    for count in [18, 73, 133, 360] {
        let all: Vec<SocketAddr> = (0..=count)
            .map(|n| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 1)))
            .collect();
        let first = |instances: &[SocketAddr], group| coordinators("llm", group, instances).first().copied();
        let moved = (0..47).filter(|group| first(&all, *group) != first(&all[..count], *group));
        assert!(moved.count() <= 47 * 4 / count + 3, "{count} instances");
    }
}

/// Guards against coordinators that depend on the order in which an instance learned of others, and against one instance
/// that coordinates most groups.
#[test]
fn instances_with_the_same_view_agree_and_share_the_groups() {
    let instances: Vec<SocketAddr> = (0..133).map(instance).collect();
    let mut other_order = instances.clone();
    other_order.reverse();
    let mut groups: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for group in 0..47 {
        let ranked = coordinators("llm", group, &instances);
        assert_eq!(ranked, coordinators("llm", group, &other_order));
        let distinct: HashSet<&SocketAddr> = ranked.iter().collect();
        assert_eq!(distinct.len(), ranked.len());
        *groups.entry(ranked[0]).or_default() += 1;
    }
    assert!(groups.values().all(|count| *count <= 4), "{groups:?}");
}
