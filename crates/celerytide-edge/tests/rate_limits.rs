//! Rates shared by several instances, and what they know of named limits.

use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use celerytide_catalog::Endpoint;
use celerytide_edge::peers::digest::{Backlog, Digest, ServiceTokens};
use celerytide_edge::rate_limit::{Change, LimitEntry, NamedLimits, RateLimiter, StatedLimit, usable_rate};
use celerytide_seeds::each_seed;
use celerytide_types::BootTime;

fn at(ms: u64) -> BootTime {
    BootTime::from_start(Duration::from_secs(1000) + Duration::from_millis(ms))
}

fn instance(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n / 200) as u8, (n % 200) as u8 + 1], 8229))
}

fn endpoint(id: &str, start: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([10, 2, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 8,
        leaving: false,
        cold_remaining: Duration::ZERO,
        start: Some(start),
        version: String::new(),
        sequence: None,
    }
}

/// Window in which requests are counted, and how many more than one and a half times the rate it may have.
const WINDOW_MS: u64 = 4000;
const SLACK: f64 = 5.0;
/// Step of the simulation.
const STEP_MS: usize = 100;
/// Time after its start from which an instance sends to limited endpoints.
const STARTUP_MS: u64 = 4000;
/// Length of a simulation.
const LENGTH_MS: u64 = 20_000;

/// An instance that has a request waiting at any time.
struct Sender {
    limiter: RateLimiter,
    address: SocketAddr,
    /// Ranks of its next requests in turn: in a third of the instances all are most urgent, in a third all are least urgent.
    ranks: [f64; 2],
}

impl Sender {
    fn new(n: usize, started: BootTime) -> Sender {
        Sender {
            limiter: RateLimiter::new(instance(n), started),
            address: instance(n),
            ranks: [[0.0, 0.0], [1.0, 0.0], [1.0, 1.0]][n % 3],
        }
    }
}

fn most_in_window(sent: &[u64]) -> usize {
    let in_window = |last: &u64| {
        sent.iter()
            .filter(|ms| **ms <= *last && **ms + WINDOW_MS > *last)
            .count()
    };
    sent.iter().map(in_window).max().unwrap_or(0)
}

/// All instances know the limit from the start of the simulation. One after the other fails and is replaced; the others
/// miss it for a while, each for its own time, and the new one learns of the others when it starts.
fn check_sum(u: &mut Unstructured<'_>) -> Result<()> {
    let count = u.int_in_range(1..=12)?;
    let rate = *u.choose(&[0.0, 0.1, 0.5, 1.5, 2.0, 6.0, 20.0])?;
    let per_s = usable_rate(None, Some(rate)).expect("a rate");
    let mut senders: Vec<Sender> = (0..count).map(|n| Sender::new(n, at(0))).collect();
    let all: Vec<SocketAddr> = senders.iter().map(|s| s.address).collect();
    let mut known: Vec<Vec<SocketAddr>> = vec![all; count];
    for sender in &mut senders {
        let view = &known[0];
        sender.limiter.begin("e", per_s, view, at(STARTUP_MS));
    }
    let mut replaced = count;
    let mut next_failure = STARTUP_MS + u.int_in_range(0..=4000)?;
    let mut sent = Vec::new();
    for ms in (STARTUP_MS..LENGTH_MS).step_by(STEP_MS) {
        if ms >= next_failure {
            next_failure = ms + u.int_in_range(2000..=6000)?;
            let lost = u.int_in_range(0..=count - 1)?;
            senders[lost] = Sender::new(replaced, at(ms));
            replaced += 1;
            let address = senders[lost].address;
            // The lost instance stays in all views; its successor is heard of at once by a part of the others.
            for (n, view) in known.iter_mut().enumerate() {
                if n == lost || u.ratio(2, 3)? {
                    view.push(address);
                }
            }
        }
        for (sender, view) in senders.iter_mut().zip(&known) {
            if sender.limiter.allows_rank("e", per_s, view, sender.ranks[0], at(ms)) {
                sender.limiter.record_rank("e", per_s, view, sender.ranks[0], at(ms));
                sender.ranks.swap(0, 1);
                sent.push(ms);
            }
        }
    }
    let most = most_in_window(&sent) as f64;
    let allowed = rate * 1.5 * WINDOW_MS as f64 / 1000.0 + SLACK;
    assert!(
        most <= allowed,
        "{count} instances, {rate} a second: {most} of {allowed}"
    );
    Ok(())
}

#[test]
fn instances_that_are_replaced_exceed_a_rate() {
    each_seed(400, 8, check_sum);
}

#[test]
fn a_rate_without_sense_ends_a_process() {
    for rate in [1e-300, 0.0, -1.0, 1e300, f64::INFINITY, f64::NAN] {
        for per_s in [Some(rate), usable_rate(Some(rate), None), usable_rate(None, Some(rate))] {
            let per_s = per_s.expect("a rate");
            let all = [instance(0), instance(1)];
            let mut limiter = RateLimiter::new(all[0], at(0));
            limiter.begin("e", per_s, &all, at(5000));
            limiter.record("e", per_s, &all, at(5000));
            assert!(limiter.allows("e", per_s, &all, at(60_000)), "{rate}: asked again");
        }
    }
}

/// What one instance learns of an endpoint's limit, one event after the other.
struct KnowledgeCase {
    name: &'static str,
    events: &'static [Event],
    /// The limit that holds after them at the endpoint's start 1.
    per_s: Option<f64>,
}

enum Event {
    /// A response that states a limit: start of the endpoint, statement, when its request was sent and when it came.
    Response(u64, StatedLimit, u64, u64),
    /// A peer's entry: start, limit, version.
    Told(u64, Option<f64>, u32),
}

use Event::{Response, Told};
use StatedLimit::{Absent, PerSecond, Unreadable};

const KNOWLEDGE: [KnowledgeCase; 14] = [
    KnowledgeCase {
        name: "named",
        events: &[Response(1, PerSecond(2.0), 0, 10)],
        per_s: Some(2.0),
    },
    KnowledgeCase {
        name: "ended by a later request",
        events: &[Response(1, PerSecond(2.0), 0, 10), Response(1, Absent, 20, 30)],
        per_s: None,
    },
    KnowledgeCase {
        name: "not ended by an earlier request",
        events: &[Response(1, PerSecond(2.0), 5, 10), Response(1, Absent, 0, 30)],
        per_s: Some(2.0),
    },
    KnowledgeCase {
        name: "not ended by a request that was sent before the last statement",
        events: &[
            Response(1, PerSecond(2.0), 0, 10),
            Response(1, PerSecond(2.0), 5, 50),
            Response(1, Absent, 20, 60),
        ],
        per_s: Some(2.0),
    },
    KnowledgeCase {
        name: "a value that can't be read leaves what was known",
        events: &[Response(1, PerSecond(2.0), 0, 10), Response(1, Unreadable, 20, 30)],
        per_s: Some(2.0),
    },
    KnowledgeCase {
        name: "a value that can't be read is no limit",
        events: &[Response(1, Unreadable, 20, 30)],
        per_s: None,
    },
    KnowledgeCase {
        name: "of another start",
        events: &[Response(2, PerSecond(2.0), 0, 10)],
        per_s: None,
    },
    KnowledgeCase {
        name: "a late word of an earlier start",
        events: &[Response(2, PerSecond(2.0), 0, 10), Response(1, PerSecond(3.0), 0, 20)],
        per_s: None,
    },
    KnowledgeCase {
        name: "told",
        events: &[Told(1, Some(2.0), 1)],
        per_s: Some(2.0),
    },
    KnowledgeCase {
        name: "told of another start",
        events: &[Told(2, Some(2.0), 1)],
        per_s: None,
    },
    KnowledgeCase {
        name: "an older word undoes nothing",
        events: &[
            Told(1, Some(2.0), 3),
            Response(1, Absent, 50, 60),
            Told(1, Some(2.0), 3),
            Told(1, Some(9.0), 2),
        ],
        per_s: None,
    },
    KnowledgeCase {
        name: "of two words with one version the lower holds",
        events: &[
            Told(1, Some(2.0), 3),
            Told(1, None, 3),
            Told(1, Some(1.0), 3),
            Told(1, Some(5.0), 3),
        ],
        per_s: Some(1.0),
    },
    KnowledgeCase {
        name: "a newer word holds",
        events: &[Response(1, PerSecond(2.0), 0, 10), Told(1, None, 2)],
        per_s: None,
    },
    KnowledgeCase {
        name: "told values that no endpoint can name",
        events: &[
            Told(1, Some(f64::NAN), 1),
            Told(1, Some(-2.0), 2),
            Told(1, Some(f64::INFINITY), 3),
        ],
        per_s: None,
    },
];

fn told(start: u64, per_s: Option<f64>, version: u32) -> LimitEntry {
    LimitEntry {
        endpoint: 0,
        start: Some(start),
        per_s,
        version,
    }
}

#[test]
fn an_older_word_undoes_a_newer_one() {
    for case in &KNOWLEDGE {
        let mut limits = NamedLimits::default();
        for event in case.events {
            match *event {
                Response(start, stated, sent_ms, ms) => {
                    limits.record(&endpoint("e", start), stated, at(sent_ms), at(ms));
                }
                Told(start, per_s, version) => {
                    limits.learn(&endpoint("e", 1), told(start, per_s, version), at(40));
                }
            }
        }
        assert_eq!(limits.per_s(&endpoint("e", 1)), case.per_s, "{}", case.name);
    }
}

#[test]
fn a_change_is_told_late_or_for_ever() {
    let known = endpoint("e", 1);
    let mut limits = NamedLimits::default();
    assert!(limits.entries(|_| Some(&known), at(0)).is_empty(), "nothing is known");
    let change = limits.record(&known, PerSecond(2.0), at(0), at(10));
    assert_eq!(
        change,
        Some(Change::Limit {
            from: None,
            to: Some(2.0)
        })
    );
    let told = |limits: &mut NamedLimits, ms| limits.entries(|_| Some(&known), at(ms)).len();
    assert_eq!([20, 500, 800].map(|ms| told(&mut limits, ms)), [1; 3], "news");
    assert_eq!([820, 900].map(|ms| told(&mut limits, ms)), [0; 2], "no longer news");
    assert_eq!(
        [1100, 1200, 2200].map(|ms| told(&mut limits, ms)),
        [1, 0, 1],
        "repeated"
    );
    assert!(limits.entries(|_| None, at(9000)).is_empty(), "not listed");
    limits.sweep(|_| Some(&known), at(10_000));
    limits.sweep(|_| None, at(300_000));
    assert_eq!(limits.count(), 1, "kept for a while without a record");
    limits.sweep(|_| None, at(700_000));
    assert_eq!(limits.count(), 0, "dropped");
}

/// Rows of a digest are few, however many endpoints name limits.
#[test]
fn many_limits_fill_a_digest() {
    let endpoints: Vec<Endpoint> = (0..100).map(|n| endpoint(&format!("e{n}"), 1)).collect();
    let mut limits = NamedLimits::default();
    for endpoint in &endpoints {
        limits.record(endpoint, PerSecond(2.0), at(0), at(10));
    }
    let listed = |id: &str| endpoints.iter().find(|e| e.id == id);
    assert_eq!(limits.entries(listed, at(20)).len(), 4);
}

#[test]
fn limits_make_a_digest_larger_than_a_datagram() {
    let backlog = Backlog {
        endpoint: u32::MAX,
        queued_tokens: 400_000,
        running: 1000,
    };
    let tokens = ServiceTokens {
        service: u32::MAX,
        tokens: u32::MAX,
    };
    let digest = Digest::new(vec![backlog; 200], vec![tokens; 5]);
    let limit = LimitEntry {
        endpoint: u32::MAX,
        start: Some(u64::MAX),
        per_s: Some(2.0),
        version: 100,
    };
    let config = bincode::config::standard();
    let size =
        |bytes: std::result::Result<Vec<u8>, _>| bytes.map_err(|_: bincode::error::EncodeError| ()).map(|b| b.len());
    let digest = size(bincode::serde::encode_to_vec(&digest, config)).expect("a digest");
    let limits = size(bincode::serde::encode_to_vec(vec![limit; 4], config)).expect("limits");
    assert_eq!(limits, 101, "bytes of four rows");
    // Rejection limits are rows of the same kind.
    assert!(digest + limits * 2 < 1400, "{digest} and twice {limits} bytes");
}
