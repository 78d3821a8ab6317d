//! Computed results of a run: goodput bound, guaranteed shares, zone transitions, retries and policy comparison.

use std::{collections::BTreeMap, time::Duration};

use celerytide_load::{
    fleet::Deployment,
    machine::Machine,
    report,
    run::{
        ClassSample, Observations, Refusal, RequestRecord, Sample, goodput_bound, min_guaranteed_shares, retry_peak,
        summarize, zone_transitions,
    },
    scenario::Scenario,
};
use celerytide_manifest::PolicyName;
use celerytide_standin::config::Calls;

const SECOND: Duration = Duration::from_secs(1);

/// Scenario on the demo deployment with requests of its first class.
fn scenario(rate: f64, events: &str) -> Scenario {
    let text = format!("[{{ name: p, seconds: 20, rates: {{ lookup: {rate} }}, events: [{events}] }}]");
    Scenario {
        name: "made-up".to_owned(),
        about: String::new(),
        seed: 1,
        deployment: Deployment::demo(2).expect("deployment"),
        retry: Default::default(),
        traffic: serde_saphyr::from_str("[{ class: lookup, prompt_tokens: 50, max_tokens: 100 }]").expect("traffic"),
        phases: serde_saphyr::from_str(&text).expect("phases"),
    }
}

fn first_zone_out() -> String {
    let zone = Deployment::demo(2).expect("deployment").zone(0);
    format!("{{ at: 0, do: {{ zone-out: {{ zone: {zone} }} }} }}")
}

#[test]
fn goodput_bound_equals_the_demand_until_the_engines_are_full() {
    let light = goodput_bound(&scenario(1.0, ""));
    assert!(light.demand > 0.0 && (light.tokens - light.demand).abs() < 1e-6 * light.demand);
    assert!((light.attainment_by_tier["lookup"] - 1.0).abs() < 1e-9);

    let full = goodput_bound(&scenario(500.0, ""));
    let engines = scenario(1.0, "").deployment.engines;
    let step = engines.decode_ms * (1.0 + engines.batch_slowdown * f64::from(engines.slots - 1)) / 1e3;
    let per_second = engines.count as f64 * f64::from(engines.slots) / step;
    assert!(full.tokens < full.demand / 2.0);
    // Requests that arrive within 20 s may run some seconds longer: targets, responses and whole bins.
    assert!(
        full.tokens > 0.5 * 20.0 * per_second && full.tokens < 30.0 * per_second,
        "{full:?}"
    );
    assert!(full.tokens_by_tier <= full.tokens + 1e-6 && full.attainment_by_tier["lookup"] < 0.5);

    let reduced = goodput_bound(&scenario(500.0, &first_zone_out()));
    assert!(reduced.tokens < 0.75 * full.tokens, "without one zone: {reduced:?}");
}

fn sample(at: u64, queued: u64, granted: [u64; 2]) -> Sample {
    let one = |queued, granted| ClassSample { queued, granted };
    let classes = [
        ("lookup".to_owned(), one(queued, granted[0])),
        ("draft".to_owned(), one(0, granted[1])),
    ];
    Sample {
        at: Duration::from_millis(500) * u32::try_from(at).expect("small"),
        classes: BTreeMap::from(classes),
        ..Sample::default()
    }
}

#[test]
fn min_share_counts_only_windows_in_which_the_class_waited() {
    struct Case {
        name: &'static str,
        queued: fn(u64) -> u64,
        granted: fn(u64) -> [u64; 2],
        want: Option<f64>,
    }
    let cases = [
        Case {
            name: "a tenth of the grants while waiting",
            queued: |_| 1,
            granted: |at| [at, 9 * at],
            want: Some(0.1),
        },
        Case {
            name: "once without queued requests",
            queued: |at| u64::from(at % 20 != 0),
            granted: |at| [at, 9 * at],
            want: None,
        },
        Case {
            name: "new pool owner restarts the counts",
            queued: |_| 1,
            granted: |at| [at % 20, 9 * at],
            want: None,
        },
    ];
    let classes = Deployment::demo(2).expect("deployment").classes;
    let share = classes
        .iter()
        .find(|class| class.name == "lookup")
        .expect("class")
        .guaranteed_share;
    for case in &cases {
        let samples: Vec<Sample> = (0..30)
            .map(|at| sample(at, (case.queued)(at), (case.granted)(at)))
            .collect();
        let min_share = min_guaranteed_shares(&classes, &samples).get("lookup").copied();
        let want = case.want.map(|part| part / share);
        assert_eq!(min_share.is_some(), want.is_some(), "{}", case.name);
        let error = (min_share.unwrap_or(0.0) - want.unwrap_or(0.0)).abs();
        assert!(error < 1e-9, "{}: {min_share:?}", case.name);
    }
}

#[test]
fn zone_transitions_follow_from_the_samples() {
    let scenario = scenario(
        1.0,
        "{ at: 5, do: { zone-out: { zone: ZONE } } }, { at: 10, do: { zone-in: { zone: ZONE } } }"
            .replace("ZONE", &Deployment::demo(2).expect("deployment").zone(0))
            .as_str(),
    );
    let [own, other] = [0, 1].map(|at| scenario.deployment.zone(at));
    let in_flight_at = |at: u32| match at {
        0..=5 => 4,
        6 | 7 => 1,
        9 => 2,
        8 | 10 | 11 => 0,
        _ => 4,
    };
    let samples: Vec<Sample> = (0..20)
        .map(|at| Sample {
            at: SECOND * at,
            in_flight: BTreeMap::from([(own.clone(), in_flight_at(at)), (other.clone(), 5)]),
            endpoints: BTreeMap::from([
                ("assist-0".to_owned(), in_flight_at(at)),
                ("assist-1".to_owned(), 5 + u64::from(at)),
            ]),
            ..Sample::default()
        })
        .collect();
    let transitions = zone_transitions(&scenario, &samples, &[]);
    assert_eq!(transitions.len(), 2);
    assert_eq!(
        (transitions[0].new_work, transitions[0].idle_after),
        (2, None),
        "work at 9 s, 4 s after the zone was out"
    );
    assert_eq!(transitions[1].share_after, Some(2.0));
}

#[test]
fn simultaneous_retries_raise_the_peak() {
    let even = retry_peak((0..100).map(|at| Duration::from_millis(100 * at)));
    assert_eq!((even.count, even.peak), (100, 1));
    let burst = retry_peak((0..100).map(|_| SECOND));
    assert_eq!((burst.count, burst.peak), (100, 100));
    assert!(burst.peak as f64 / burst.mean > 50.0);
}

#[test]
fn policy_comparison_has_one_column_per_policy() {
    let scenario = scenario(1.0, "");
    let refusal = Refusal {
        cause: "queue-full".to_owned(),
        after: Duration::from_millis(3),
        returned: Some(SECOND),
    };
    let record = RequestRecord {
        phase: 0,
        class: scenario
            .deployment
            .classes
            .iter()
            .position(|class| class.name == "lookup")
            .expect("class"),
        customer: 0,
        at: SECOND,
        status: 503,
        word: "not-run".to_owned(),
        cause: "queue-full".to_owned(),
        done: false,
        first: None,
        gap_p95: Duration::ZERO,
        total: SECOND,
        tokens: 0,
        refusals: vec![refusal],
    };
    let run = |policy, seed| {
        let mut scenario = scenario.clone();
        scenario.deployment.policy = policy;
        scenario.seed = seed;
        let observed = Observations {
            machine: Machine::read(),
            samples: Vec::new(),
            generated_tokens: 100,
            falls: 2,
            config_calls: Calls::default(),
            stopped: true,
        };
        summarize(&scenario, std::slice::from_ref(&record), observed)
    };
    let all = [PolicyName::Celerytide, PolicyName::FirstCome].map(|policy| [run(policy, 1), run(policy, 2)]);
    let first = &all[0][0];
    assert_eq!((first.refusals.at_arrival.count, first.refusals.returns.count), (1, 1));
    let text = report::policies(&all.concat());
    assert!(
        text.contains("| class | tier | phase | celerytide | first-come |"),
        "{text}"
    );
    assert!(
        text.contains("| lookup | 1 | **all** | 0.0 (100.0) | 0.0 (100.0) |"),
        "{text}"
    );
    assert!(text.contains("(first-come/seed-2/report.md)"), "{text}");
}
