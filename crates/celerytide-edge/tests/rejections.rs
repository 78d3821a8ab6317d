//! What all instances together send to endpoints that bear few rejections, in simulated time.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_catalog::{Endpoint, KnownEndpoint, Service};
use celerytide_edge::coordinator::messages::{Demand, GroupKey, PlaceRequest, Verdict};
use celerytide_edge::coordinator::{Engines, FlightKey, Group, Rooms};
use celerytide_edge::peers::digest::{Backlog, Digest, Digests, id_hash};
use celerytide_edge::rejections::{Fleet, FullEndpoint, Rejections, Share, extra_places, pause_after};
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

/// Step of the simulation, and its length after the burst.
const STEP_MS: u64 = 5;
const LENGTH_MS: u64 = 4_000;
/// Time after which an instance's requests in flight are known to the others.
const DIGEST_MS: u64 = 60;
/// Time that an endpoint takes for a request.
const WORK_MS: u64 = 60;
/// Wait after which a refused caller asks another instance, and how often it asks.
const RETRY_MS: u64 = 200;
const CALLER_TRIES: u32 = 3;
const SLOTS: usize = 6;
/// Share of the requests that has to be served where the endpoints can do them, and of what they can do beyond that.
const SERVED: f64 = 0.9;
const TWO_THIRDS: f64 = 2.0 / 3.0;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

fn instance(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n as u8 + 1], 8229))
}

fn endpoint(n: usize) -> Endpoint {
    Endpoint {
        id: format!("e{n}"),
        service: "s".to_owned(),
        address: ([10, 2, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: SLOTS as u32,
        leaving: false,
        cold_remaining: Duration::ZERO,
        start: Some(1),
        version: String::new(),
        sequence: None,
    }
}

/// Load under which no endpoint may reject more than its limit in a second.
struct Case {
    name: &'static str,
    instances: usize,
    endpoints: usize,
    rejections_per_s: f64,
    hears_digests: bool,
    /// Requests at each instance in one moment.
    burst: u64,
    /// Requests a second at all instances after it.
    per_s: u64,
    /// Slots that an endpoint turns out to have.
    real_slots: usize,
    /// Least share of the requests after the burst that are served.
    served: f64,
}

const CASE: Case = Case {
    name: "a burst at nine instances",
    instances: 9,
    endpoints: 4,
    rejections_per_s: 4.0,
    hears_digests: true,
    burst: 20,
    per_s: 160,
    real_slots: SLOTS,
    served: SERVED,
};

const CASES: [Case; 8] = [
    CASE,
    Case {
        name: "a burst at nine instances that don't hear each other",
        hears_digests: false,
        served: SERVED,
        ..CASE
    },
    Case {
        name: "more than the endpoints can do",
        per_s: 900,
        served: TWO_THIRDS * 400.0 / 900.0,
        ..CASE
    },
    Case {
        name: "an endpoint that bears none",
        rejections_per_s: 0.0,
        served: SERVED,
        ..CASE
    },
    Case {
        name: "endpoints with fewer slots than they say",
        real_slots: SLOTS - 2,
        per_s: 60,
        served: SERVED,
        ..CASE
    },
    Case {
        name: "a burst at sixty instances that don't hear each other",
        instances: 60,
        endpoints: 5,
        hears_digests: false,
        served: 0.5,
        ..CASE
    },
    Case {
        name: "a burst at sixty instances and twice what the endpoints can do",
        instances: 60,
        endpoints: 5,
        hears_digests: false,
        per_s: 1000,
        served: TWO_THIRDS * 500.0 / 1000.0,
        ..CASE
    },
    Case {
        name: "two instances",
        instances: 2,
        endpoints: 2,
        per_s: 60,
        served: SERVED,
        ..CASE
    },
];

struct Call {
    due_ms: u64,
    tries: u32,
    is_burst: bool,
}

struct Instance {
    share: Share,
    rejections: Rejections,
    /// When the requests in flight at each endpoint end.
    in_flight: Vec<Vec<u64>>,
}

struct Fleets<'a> {
    case: &'a Case,
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    /// Requests in flight by instance and endpoint, one entry for each step of late.
    told: Vec<Vec<Vec<usize>>>,
    /// When each endpoint rejected requests.
    rejected: Vec<Vec<u64>>,
    served: u64,
    asked: u64,
}

impl<'a> Fleets<'a> {
    fn new(case: &'a Case) -> Fleets<'a> {
        let addresses: Vec<SocketAddr> = (0..case.instances).map(instance).collect();
        let instance = |own: &SocketAddr| Instance {
            share: Share::new(&"s".to_owned(), *own, &addresses),
            rejections: Rejections::default(),
            in_flight: vec![Vec::new(); case.endpoints],
        };
        Fleets {
            case,
            instances: addresses.iter().map(instance).collect(),
            endpoints: (0..case.endpoints).map(endpoint).collect(),
            told: Vec::new(),
            rejected: vec![Vec::new(); case.endpoints],
            served: 0,
            asked: 0,
        }
    }

    fn end_requests(&mut self, ms: u64) {
        for instance in &mut self.instances {
            for ends in &mut instance.in_flight {
                ends.retain(|end| *end > ms);
            }
        }
        let counts = |instance: &Instance| instance.in_flight.iter().map(Vec::len).collect();
        self.told.push(self.instances.iter().map(counts).collect());
    }

    fn remote(&self, own: usize, endpoint: usize) -> usize {
        let age = (DIGEST_MS / STEP_MS) as usize;
        let Some(step) = self.told.len().checked_sub(age).and_then(|step| self.told.get(step)) else {
            return 0;
        };
        let others = step.iter().enumerate().filter(|(n, _)| *n != own);
        others.map(|(_, counts)| counts[endpoint]).sum()
    }

    fn has_place(&self, own: usize, endpoint: usize, now: BootTime) -> bool {
        let instance = &self.instances[own];
        let known = &self.endpoints[endpoint];
        let others = self.case.instances - 1;
        let fleet = Fleet {
            share: instance.share,
            others,
            heard: self.case.hears_digests.then_some(others),
            usable: 1.0,
        };
        let full = FullEndpoint {
            slots: SLOTS,
            rejections_per_s: self.case.rejections_per_s,
            offset: endpoint * (SLOTS + extra_places(SLOTS, self.case.rejections_per_s)),
            own: instance.in_flight[endpoint].len(),
            untold: instance.rejections.untold(known, now),
            remote: self.remote(own, endpoint),
        };
        let after_pause = instance.rejections.allowance(known, now).unwrap_or(usize::MAX);
        full.has_place(&fleet, after_pause)
    }

    /// Sends a request as one instance would; returns whether it ran.
    fn send(&mut self, own: usize, ms: u64) -> bool {
        for _ in 0..CALLER_TRIES {
            let now = at(ms);
            let free = (0..self.case.endpoints).filter(|endpoint| self.has_place(own, *endpoint, now));
            let Some(endpoint) = free.min_by_key(|e| self.instances[own].in_flight[*e].len() + self.remote(own, *e))
            else {
                return false;
            };
            let known = self.endpoints[endpoint].clone();
            self.instances[own].rejections.record_sent(&known, now);
            let running: usize = self.instances.iter().map(|i| i.in_flight[endpoint].len()).sum();
            if running < self.case.real_slots {
                self.instances[own].in_flight[endpoint].push(ms + WORK_MS);
                return true;
            }
            self.rejected[endpoint].push(ms);
            let places = SLOTS + extra_places(SLOTS, self.case.rejections_per_s);
            let pause = pause_after(self.case.instances.min(places), self.case.rejections_per_s);
            self.instances[own].rejections.record_rejected(&known, pause, now);
        }
        false
    }

    fn most_rejections(&self) -> usize {
        let in_second = |all: &[u64], last: u64| all.iter().filter(|ms| **ms <= last && **ms + 1000 > last).count();
        let most = |all: &Vec<u64>| all.iter().map(|last| in_second(all, *last)).max();
        self.rejected.iter().filter_map(most).max().unwrap_or(0)
    }
}

fn check_case(case: &Case, u: &mut Unstructured<'_>) -> Result<()> {
    let mut fleet = Fleets::new(case);
    let mut calls: HashMap<usize, Vec<Call>> = HashMap::new();
    let call = |due_ms, is_burst| Call {
        due_ms,
        tries: 0,
        is_burst,
    };
    for n in 0..case.instances {
        calls.insert(n, (0..case.burst).map(|_| call(0, true)).collect());
    }
    for n in 0..case.per_s * LENGTH_MS / 1000 {
        let due_ms = 1000 + n * 1000 / case.per_s;
        let own = u.choose_index(case.instances)?;
        calls.entry(own).or_default().push(call(due_ms, false));
    }
    for ms in (0..LENGTH_MS + 1000).step_by(STEP_MS as usize) {
        fleet.end_requests(ms);
        for own in 0..case.instances {
            let all = calls.remove(&own).unwrap_or_default();
            let (due, later): (Vec<Call>, Vec<Call>) = all.into_iter().partition(|call| call.due_ms <= ms);
            calls.entry(own).or_default().extend(later);
            for call in due {
                fleet.asked += u64::from(!call.is_burst && call.tries == 0);
                if fleet.send(own, ms) {
                    fleet.served += u64::from(!call.is_burst);
                } else if call.tries + 1 < CALLER_TRIES {
                    let next = (own + 1 + u.choose_index(case.instances)?) % case.instances;
                    calls.entry(next).or_default().push(Call {
                        due_ms: ms + RETRY_MS,
                        tries: call.tries + 1,
                        ..call
                    });
                }
            }
        }
    }
    let most = fleet.most_rejections();
    let served = fleet.served as f64 / fleet.asked as f64;
    let name = case.name;
    assert!(
        most as f64 <= case.rejections_per_s,
        "{name}: {most} rejections in a second"
    );
    assert!(served >= case.served, "{name}: {served} served");
    Ok(())
}

#[test]
fn all_instances_together_have_an_endpoint_reject_more_than_it_bears() {
    for case in &CASES {
        each_seed(12_000, 1, |u| check_case(case, u));
    }
}

/// Instances know different sets of others, and of one endpoint more or less.
#[test]
fn parts_add_up_to_more_than_all_places() {
    each_seed(400, 8, |u| {
        let count = u.int_in_range(1..=60)?;
        let places = u.int_in_range(0..=70)?;
        let offset = u.int_in_range(0..=500)?;
        let all: Vec<SocketAddr> = (0..count).map(instance).collect();
        let part = |own: &SocketAddr| Share::new(&"s".to_owned(), *own, &all).part(places, offset);
        let parts: Vec<usize> = all.iter().map(part).collect();
        assert_eq!(parts.iter().sum::<usize>(), places, "{parts:?}");
        let (least, most) = (parts.iter().min(), parts.iter().max());
        assert!(most <= least.map(|least| least + 1).as_ref(), "{parts:?}");
        Ok(())
    });
}

/// Instances that an instance doesn't hear may be idle or cut off; these use their parts.
#[test]
fn instances_that_are_cut_off_use_the_same_places() {
    let all: Vec<SocketAddr> = (0..9).map(instance).collect();
    for heard in 0..=8 {
        let mut sum = 0;
        for own in &all[..=heard] {
            let fleet = Fleet {
                share: Share::new(&"s".to_owned(), *own, &all),
                others: 8,
                heard: Some(heard),
                usable: 1.0,
            };
            let full = FullEndpoint {
                slots: SLOTS,
                rejections_per_s: 0.0,
                offset: 0,
                own: 0,
                untold: 0,
                remote: 0,
            };
            sum += full.allowance(&fleet);
        }
        let silent = 8 - heard;
        assert!(sum + SLOTS * silent / 9 <= SLOTS, "{heard} heard: {sum} places");
    }
}

#[test]
fn a_pause_after_rejections_lets_more_through_than_an_endpoint_bears() {
    for senders in [1, 9, 60, 360] {
        for limit in [0.0, 1e-300, 1.0, 4.0, 20.0, 1e300] {
            let known = endpoint(0);
            let mut rejections = Rejections::default();
            let pause = pause_after(senders, limit);
            assert!((1..=30).contains(&pause.as_secs()), "{senders} at {limit}: {pause:?}");
            rejections.record_rejected(&known, pause, at(0));
            let twice = rejections.record_rejected(&known, pause, at(0));
            assert_eq!(twice, (pause * 2).min(Duration::from_secs(30)));
            let allowed = |ms| rejections.allowance(&known, at(ms));
            let end = twice.as_millis() as u64;
            assert_eq!([allowed(0), allowed(end - 1)], [Some(0); 2]);
            assert_eq!([allowed(end), allowed(end + 1000)], [Some(1), Some(3)]);
        }
    }
}

/// Slots that an engine has no memory for don't make room.
#[test]
fn an_engine_without_memory_gets_as_many_requests_as_it_has_slots() {
    let mut rejections = Rejections::default();
    assert_eq!(rejections.fitting("s", 100_000), None, "nothing is known");
    for (tokens, fitting) in [(4_000.0, 20), (0.0, 80_000), (f64::MAX, 6)] {
        let service = format!("{tokens}");
        for _ in 0..200 {
            rejections.record_tokens(&service, tokens, 100_000);
        }
        assert_eq!(rejections.fitting(&service, 100_000), Some(fitting), "{tokens} tokens");
    }
}

#[test]
fn a_digest_that_is_old_counts_as_heard() {
    let mut digests = Digests::default();
    let backlog = Backlog {
        endpoint: 1,
        queued_tokens: 0,
        running: 2,
    };
    digests.insert(instance(1), Digest::new(vec![backlog], Vec::new()), at(0));
    digests.insert(instance(2), Digest::default(), at(0));
    assert_eq!([at(0), at(500), at(700)].map(|now| digests.heard(now)), [2, 2, 0]);
}

const KEY: GroupKey = GroupKey { service: 1, group: 0 };

fn question(id: u32, left_ms: u32) -> PlaceRequest {
    PlaceRequest {
        id,
        key: KEY,
        demand: Demand {
            blocks: Vec::new(),
            tokens: 0,
            max_output_tokens: 0,
            max_gap_ms: 0,
            left_ms,
        },
        urgency: 1,
        customer: 0,
        target_ms: 300,
        is_idempotent: true,
        tried: Vec::new(),
    }
}

/// A coordinator sends a request that waited for long to the best engine, whether or not that has room.
#[test]
fn a_coordinator_sends_a_request_beyond_the_room_of_an_endpoint() {
    let known: Vec<KnownEndpoint> = (0..4).map(|n| KnownEndpoint::new(Rc::new(endpoint(n)))).collect();
    let usable: Vec<&KnownEndpoint> = known.iter().collect();
    let service = Service {
        id: "s".to_owned(),
        cold_period: Duration::ZERO,
        cold_rate: 0.0,
        engine_slots: None,
        engine_tokens: None,
        max_connections: None,
        health_path: None,
    };
    // One endpoint has rejected requests of late.
    let room = |n: usize| if n == 0 { 2 } else { SLOTS as u32 };
    let rooms: Rooms = (0..4).map(|n| (id_hash(&format!("e{n}")), room(n))).collect();
    let engines = Engines {
        service: &service,
        usable: &usable,
        rooms: &rooms,
    };
    let mut group = Group::default();
    let (mut placed, mut refused) = (BTreeMap::new(), 0);
    let mut note = |id: u32, verdict: Verdict| match verdict {
        Verdict::Placed(advice) => {
            placed.insert(id, advice.endpoint);
        }
        Verdict::Refused { .. } => refused += 1,
        _ => {}
    };
    for id in 0..100 {
        note(
            id,
            group.place(&question(id, 4_000), instance(id as usize % 60), None, engines, at(0)),
        );
    }
    for ms in (10..2_000).step_by(10) {
        let ended = (ms == 100).then_some(FlightKey {
            from: instance(0),
            id: 0,
        });
        ended.into_iter().for_each(|key| group.note_ended(key));
        for (_, reply) in group.retry_waiting(|_| None, engines, at(ms)) {
            note(reply.id, reply.verdict);
        }
    }
    let mut by_endpoint: BTreeMap<u32, u32> = BTreeMap::new();
    placed
        .values()
        .for_each(|endpoint| *by_endpoint.entry(*endpoint).or_default() += 1);
    let ended = placed.get(&0).copied().expect("the first one is placed");
    *by_endpoint.entry(ended).or_default() -= 1;
    assert_eq!(by_endpoint, rooms, "in flight");
    assert_eq!((placed.len(), refused), (21, 79));
}
