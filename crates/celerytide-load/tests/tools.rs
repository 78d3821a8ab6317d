//! Scenario runner and comparison with real processes.
//!
//! Requires the binaries of the daemons: `cargo build --workspace --bins`.

use std::{fs, path::PathBuf, process::Command};

use celerytide_load::{compare, fleet::TempDir, report, run};

fn run_tool(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_celerytide-load"))
        .args(args)
        .output()
        .expect("run");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn scenario_results_add_up() {
    let dir = TempDir::create().expect("temporary directory");
    let out = dir.path().join("out");
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/smoke.yaml");
    run_tool(&[
        "run",
        scenario.to_str().expect("path"),
        "--out",
        out.to_str().expect("path"),
    ]);

    let results = fs::read(out.join("results.json")).expect("results");
    let results: run::Results = serde_json::from_slice(&results).expect("json");
    assert_eq!(results.classes.len(), 3 * (4 + 1));
    for class in &results.classes {
        let ended = class.done + class.not_run + class.unknown + class.wordless;
        assert_eq!(class.sent, ended, "{} in {:?}", class.class, class.phase);
        assert!(
            class.attained <= class.done && class.done > 0,
            "{} in {:?}",
            class.class,
            class.phase
        );
    }
    for total in results.classes.iter().filter(|class| class.phase.is_none()) {
        let parts = results
            .classes
            .iter()
            .filter(|part| part.class == total.class && part.phase.is_some());
        assert_eq!(parts.map(|part| part.sent).sum::<u64>(), total.sent, "{}", total.class);
        let seconds = results.seconds.iter().filter(|second| second.class == total.class);
        assert_eq!(
            seconds.map(|second| second.sent).sum::<u64>(),
            total.sent,
            "{}",
            total.class
        );
    }
    assert!(results.delivered_tokens > 0 && results.good_tokens <= results.delivered_tokens);
    assert!(results.delivered_tokens <= results.generated_tokens);
    assert!(
        results
            .samples
            .iter()
            .any(|sample| sample.in_flight.values().sum::<u64>() > 0)
    );
    assert!(results.config_calls.total > 0);
    assert!(results.stopped);

    let report = fs::read_to_string(out.join("report.md")).expect("report");
    for plot in ["attainment.svg", "queue.svg", "zones.svg"] {
        assert!(report.contains(plot), "{plot}");
        let svg = fs::read_to_string(out.join(plot)).expect(plot);
        assert!(svg.starts_with("<svg") && svg.contains("<polyline"), "{plot}");
    }
}

#[test]
fn policies_are_compared_on_the_same_scenario() {
    let dir = TempDir::create().expect("temporary directory");
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/smoke.yaml");
    let (scenario, out) = (scenario.to_str().expect("path"), dir.path().to_str().expect("path"));
    let arguments = [
        "--policy",
        "celerytide",
        "--policy",
        "first-come",
        "--scale-time",
        "0.5",
        "--obey-retry",
    ];
    let printed = run_tool(&[["run", scenario, "--out", out].as_slice(), &arguments].concat());
    assert!(
        printed.contains("| class | tier | phase | celerytide | first-come |"),
        "{printed}"
    );
    let results = fs::read(dir.path().join("results.json")).expect("results");
    let results: Vec<run::Results> = serde_json::from_slice(&results).expect("json");
    let names: Vec<&str> = results
        .iter()
        .map(|results| report::policy_name(results.policy))
        .collect();
    assert_eq!(names, ["celerytide", "first-come"]);
    for (name, run) in names.iter().zip(&results) {
        assert!(dir.path().join(name).join("attainment.svg").exists(), "{name}");
        assert!(
            run.bound.tokens > 0.0 && run.good_tokens as f64 <= run.bound.tokens * 1.001,
            "{name}"
        );
        assert_eq!(run.zones.len(), 2, "{name}");
    }
}

#[test]
fn comparison_measures_direct_and_routed_calls() {
    let dir = TempDir::create().expect("temporary directory");
    let out = dir.path().to_str().expect("path");
    let arguments = [
        "--seconds",
        "0.5",
        "--rate",
        "40",
        "--callers",
        "4",
        "--streams",
        "8",
        "--threads",
        "1",
    ];
    let table = run_tool(&[["compare", "--out", out].as_slice(), &arguments].concat());
    assert!(table.contains("| first token | **added** |"), "{table}");
    let results = fs::read(dir.path().join("compare.json")).expect("results");
    let results: compare::Results = serde_json::from_slice(&results).expect("json");
    for latency in [&results.first_token, &results.between_tokens] {
        assert!(latency.direct.count > 0 && latency.through.count > 0);
        assert_eq!(latency.failed, [0, 0], "{}", latency.first_failure);
    }
    for both in [&results.plain, &results.streamed] {
        assert!(both.direct.requests > 0 && both.through.requests > 0);
        assert_eq!(
            (both.direct.failed, both.through.failed),
            (0, 0),
            "{}",
            both.through.first_failure
        );
        assert!(both.entry_resident_bytes > 0 && both.dispatch_resident_bytes > 0);
    }
    assert!(results.streamed.through.tokens_per_second > 0.0);
}
