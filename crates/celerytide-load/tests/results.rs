//! Results computed from request records, and the tables written from them.

use std::time::Duration;

use celerytide_load::{
    fleet::Deployment,
    machine::{Machine, Usage},
    report,
    run::{Observations, RequestRecord, Results, meets_targets, summarize},
    scenario::{Retry, Scenario},
};
use celerytide_standin::config::Calls;

fn scenario() -> Scenario {
    Scenario {
        name: "made-up".to_owned(),
        about: String::new(),
        seed: 1,
        deployment: Deployment::demo(2).expect("deployment"),
        retry: Retry::Never,
        traffic: Vec::new(),
        phases: serde_saphyr::from_str("[{ name: p, seconds: 10, rates: {} }]").expect("phases"),
    }
}

/// Request that meets the targets of the demo's first class: 1 s to the first token, 100 ms between tokens.
fn served_request() -> RequestRecord {
    RequestRecord {
        phase: 0,
        class: 0,
        customer: 0,
        at: Duration::from_millis(1500),
        status: 200,
        word: "done".to_owned(),
        cause: String::new(),
        done: true,
        first: Some(Duration::from_millis(900)),
        gap_p95: Duration::from_millis(90),
        total: Duration::from_secs(2),
        tokens: 10,
        refusals: Vec::new(),
    }
}

fn refused_request() -> RequestRecord {
    let word = "not-run".to_owned();
    let cause = "queue-full".to_owned();
    RequestRecord {
        status: 503,
        word,
        cause,
        done: false,
        first: None,
        tokens: 0,
        ..served_request()
    }
}

fn results(seed: u64, records: &[RequestRecord]) -> Results {
    let scenario = Scenario { seed, ..scenario() };
    let observed = Observations {
        machine: Machine::read(),
        samples: Vec::new(),
        generated_tokens: 100,
        falls: 0,
        config_calls: Calls::default(),
        stopped: true,
    };
    summarize(&scenario, records, observed)
}

#[test]
fn request_that_misses_any_target_does_not_attain() {
    struct Case {
        name: &'static str,
        record: RequestRecord,
        want: bool,
    }
    let late = Duration::from_millis(1001);
    let cases = [
        Case {
            name: "all targets met",
            record: served_request(),
            want: true,
        },
        Case {
            name: "first token late",
            record: RequestRecord {
                first: Some(late),
                ..served_request()
            },
            want: false,
        },
        Case {
            name: "time between tokens too long",
            record: RequestRecord {
                gap_p95: Duration::from_millis(101),
                ..served_request()
            },
            want: false,
        },
        Case {
            name: "incomplete response",
            record: RequestRecord {
                done: false,
                ..served_request()
            },
            want: false,
        },
        Case {
            name: "refused",
            record: refused_request(),
            want: false,
        },
    ];
    let class = &scenario().deployment.classes[0];
    for case in &cases {
        assert_eq!(meets_targets(class, &case.record), case.want, "{}", case.name);
    }
}

#[test]
fn results_sum_up_all_requests() {
    let unknown = RequestRecord {
        word: "unknown".to_owned(),
        status: 502,
        ..refused_request()
    };
    let wordless = RequestRecord {
        word: String::new(),
        status: 0,
        ..refused_request()
    };
    let slow = RequestRecord {
        first: Some(Duration::from_secs(3)),
        ..served_request()
    };
    let records = [
        served_request(),
        slow,
        refused_request(),
        refused_request(),
        unknown,
        wordless,
    ];
    let results = results(1, &records);
    let whole = results
        .classes
        .iter()
        .find(|class| class.phase.is_none())
        .expect("first class");
    assert_eq!(
        (whole.sent, whole.done, whole.not_run, whole.unknown, whole.wordless),
        (6, 2, 2, 1, 1)
    );
    assert_eq!((whole.attained, whole.first.count, whole.refusal.count), (1, 2, 2));
    assert!((whole.attainment - 1.0 / 6.0).abs() < 1e-9);
    assert_eq!(whole.causes.get("503 not-run: queue-full"), Some(&2));
    assert_eq!((results.delivered_tokens, results.good_tokens), (20, 10));
    assert_eq!(
        (
            results.seconds[0].second,
            results.seconds[0].sent,
            results.seconds[0].attained
        ),
        (1, 6, 1)
    );
    let text = report::markdown(&results);
    assert!(text.contains("80.00 % wasted"), "{text}");
    assert!(
        text.contains("| lookup | 1 | **all** | 6 | 2 | 2 | 1 | 1 | 16.7 |"),
        "{text}"
    );
}

#[test]
fn seed_comparison_uses_medians() {
    let one = results(1, &[served_request(), served_request()]);
    let two = results(2, &[served_request(), refused_request()]);
    let three = results(3, &[refused_request(), refused_request()]);
    let text = report::seeds(&[two, three, one]);
    assert!(text.contains("seeds 2, 3, 1"), "{text}");
    assert!(text.contains("| lookup | 1 | **all** | 50.0 | 0.0 | 100.0 |"), "{text}");
}

#[test]
fn resource_usage_of_a_process_can_be_read() {
    let before = Usage::read(std::process::id());
    assert!(before.resident_bytes > 0);
    let mut sum = 0_u64;
    while Usage::read(std::process::id()).since(&before) < Duration::from_millis(30) {
        sum = (0..100_000_u64).fold(sum, u64::wrapping_add);
    }
    assert_eq!(Usage::read(u32::MAX).resident_bytes, 0, "no such process");
}
