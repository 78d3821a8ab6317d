//! Scenario files of the repository, their validation, and the generated arrivals.

use std::{fs, path::PathBuf, time::Duration};

use celerytide_load::{
    fleet::{EndpointInfo, documents, yaml},
    open_loop,
    scenario::{Scenario, arrivals},
};
use celerytide_manifest::{ServiceKind, check_manifest};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

fn scenario_files() -> Vec<PathBuf> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = fs::read_dir(dir).expect("directory").flatten();
    entries.map(|entry| entry.path()).collect()
}

fn smoke_scenario() -> Scenario {
    let path = scenario_files()
        .into_iter()
        .find(|path| path.ends_with("smoke.yaml"))
        .expect("smoke.yaml");
    Scenario::load(&path).expect("scenario")
}

#[test]
fn every_scenario_file_is_valid_and_yields_a_valid_manifest() {
    let files = scenario_files();
    assert!(files.len() >= 3);
    for path in files {
        let scenario = Scenario::load(&path).unwrap_or_else(|e| panic!("{e}"));
        let deployment = &scenario.deployment;
        let endpoint_infos = |name: &str, count: usize| -> Vec<EndpointInfo> {
            let one = |i: usize| EndpointInfo {
                id: format!("{name}-{i}"),
                zone: deployment.zone(i),
                addr: ([127, 0, 0, 1], 20_000 + i as u16).into(),
            };
            (0..count).map(one).collect()
        };
        let engines = endpoint_infos(&deployment.engines.service, deployment.engines.count);
        let plain_endpoints: Vec<EndpointInfo> = endpoint_infos(&deployment.plain.service, deployment.plain.count)
            .into_iter()
            .map(|plain| EndpointInfo {
                addr: (plain.addr.ip(), plain.addr.port() + 1000).into(),
                ..plain
            })
            .collect();
        let manifest = documents::manifest(deployment, 1, &engines, &plain_endpoints);
        let text = yaml::to_yaml(&manifest).expect("yaml");
        check_manifest("manifest.yaml", &text).unwrap_or_else(|faults| panic!("{}: {faults:?}", path.display()));
    }
}

#[test]
fn undefined_names_are_rejected() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        want: &'static str,
    }
    let cases = [
        Case {
            name: "zone",
            from: "zone-in: { zone: zone-b }",
            to: "zone-in: { zone: zone-x }",
            want: "zone-x",
        },
        Case {
            name: "rate",
            from: "{ lookup: 5, draft: 2, form: 5 }",
            to: "{ nothing: 5 }",
            want: "nothing",
        },
        Case {
            name: "traffic",
            from: "class: draft, prompt",
            to: "class: drift, prompt",
            want: "drift",
        },
        Case {
            name: "field",
            from: "hold: 500ms",
            to: "hald: 500ms",
            want: "hald",
        },
    ];
    let path = scenario_files()
        .into_iter()
        .find(|path| path.ends_with("smoke.yaml"))
        .expect("smoke.yaml");
    let text = fs::read_to_string(path).expect("text");
    let dir = celerytide_load::fleet::TempDir::create().expect("directory");
    for case in &cases {
        assert!(text.contains(case.from), "{}", case.name);
        let file = dir
            .write("scenario.yaml", &text.replace(case.from, case.to))
            .expect("file");
        let error = Scenario::load(&file).expect_err(case.name).to_string();
        assert!(error.contains(case.want), "{}: {error}", case.name);
    }
}

#[test]
fn same_seed_gives_the_same_arrivals() {
    for seed in SEEDS {
        let scenario = Scenario {
            seed,
            ..smoke_scenario()
        };
        let all = arrivals(&scenario);
        assert_eq!(all, arrivals(&scenario));
        assert_ne!(
            all,
            arrivals(&Scenario {
                seed: seed + 100,
                ..smoke_scenario()
            })
        );
        assert!(all.is_sorted_by_key(|arrival| arrival.at));
        assert!(all.iter().all(|arrival| arrival.at < scenario.duration()));
        for arrival in &all {
            let before: f64 = scenario.phases[..arrival.phase].iter().map(|phase| phase.seconds).sum();
            let at = arrival.at.as_secs_f64();
            assert!(at >= before && at < before + scenario.phases[arrival.phase].seconds);
            assert_eq!(arrival.prompt.is_empty(), arrival.kind == ServiceKind::Plain);
        }
    }
}

#[test]
fn arrivals_match_their_rate() {
    for seed in SEEDS {
        let times = open_loop::poisson_arrivals(100.0, Duration::from_secs(100), seed);
        // Five standard deviations of a Poisson count of 10,000.
        assert!((9_500..=10_500).contains(&times.len()), "seed {seed}: {}", times.len());
    }
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert!(open_loop::poisson_arrivals(rate, Duration::from_secs(1), 1).is_empty());
    }
}

#[test]
fn customers_with_more_weight_send_more_requests() {
    let scenario = smoke_scenario();
    let all = arrivals(&scenario);
    let count = |customer: usize| all.iter().filter(|arrival| arrival.customer == customer).count();
    assert!(count(0) > 2 * count(1), "{} against {}", count(0), count(1));
}
