//! A pool moves to another owner while its streams continue: on a graceful stop, or a kill after
//! which the instance list still shows the owner.

use std::time::Duration;

use celerytide_faults::{Harness, HarnessOptions, wait_until};
use celerytide_standin::launch::Signal;
use monoio::time::sleep;
use serde_json::Value;

/// Timeout for a pool to have a settled owner again.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);
const SERVICE: &str = "assist";

struct Case {
    name: &'static str,
    signal: Signal,
    /// Whether at least one endpoint must still be warm at the new owner.
    stays_warm: bool,
}

fn endpoint_states(harness: &Harness, instance: usize) -> Vec<String> {
    let pools = harness.dispatch_status(instance)["pools"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let pool = pools
        .into_iter()
        .find(|p| p["pool"].as_str().is_some_and(|id| id.starts_with(SERVICE)));
    let endpoints = pool.map(|p| p["status"]["endpoints"].clone()).unwrap_or_default();
    let state = |e: &Value| e["state"].as_str().unwrap_or_default().to_owned();
    endpoints
        .as_array()
        .map(|all| all.iter().map(state).collect())
        .unwrap_or_default()
}

/// Sends requests until the owner considers every engine warm; a cold start lasts at least ten seconds.
async fn warm_up(harness: &Harness, owner: usize) -> bool {
    for round in 0..100 {
        let calls = (0..8).map(|i| {
            let request = format!("warm-{round}-{i}");
            async move { harness.chat(i % 2, &request, 3).await }
        });
        futures::future::join_all(calls).await;
        let states = endpoint_states(harness, owner);
        if !states.is_empty() && states.iter().all(|s| s == "warm") {
            return true;
        }
        sleep(Duration::from_millis(150)).await;
    }
    false
}

#[test]
fn a_pool_is_taken_over_while_its_streams_continue() {
    let cases = [
        Case {
            name: "graceful stop",
            signal: Signal::SIGTERM,
            stays_warm: true,
        },
        Case {
            name: "kill",
            signal: Signal::SIGKILL,
            stays_warm: false,
        },
    ];
    for case in cases {
        let harness = Harness::start(&HarnessOptions {
            decode_ms: 20.0,
            ..HarnessOptions::default()
        })
        .expect(case.name);
        Harness::block_on(async {
            assert!(
                wait_until(TAKEOVER_TIMEOUT, || harness.owner_of(SERVICE).is_some()).await,
                "{}: no owner",
                case.name
            );
            let owner = harness.owner_of(SERVICE).expect("owner");
            assert!(
                warm_up(&harness, owner).await,
                "{}: {:?}",
                case.name,
                endpoint_states(&harness, owner)
            );
            let streams = (0..2).map(|i| {
                let request = format!("stream-{i}");
                let harness = &harness;
                async move { harness.chat(i % 2, &request, 150).await }
            });
            let takeover = async {
                sleep(Duration::from_millis(500)).await;
                harness.fleet.instances[owner]
                    .dispatch
                    .signal(case.signal)
                    .expect("signal");
                let next = 1 - owner;
                let outcome = harness.chat(next, "after", 5).await;
                let pools = &harness.dispatch_status(next)["pools"];
                assert!(outcome.is_done(), "{}: {outcome:?}: {pools}", case.name);
                let is_settled = wait_until(TAKEOVER_TIMEOUT, || harness.owner_of(SERVICE) == Some(next)).await;
                assert!(is_settled, "{}: {}", case.name, harness.dispatch_status(next)["pools"]);
                next
            };
            let (outcomes, next) = futures::join!(futures::future::join_all(streams), takeover);
            for outcome in outcomes {
                assert!(outcome.is_done() && outcome.tokens > 0, "{}: {outcome:?}", case.name);
            }
            if case.stays_warm {
                assert!(
                    endpoint_states(&harness, next).contains(&"warm".to_owned()),
                    "{}: {:?}",
                    case.name,
                    endpoint_states(&harness, next)
                );
            }
            let no_permits_in_flight = || {
                let status = harness.dispatch_status(next);
                let pools = status["pools"].as_array().cloned().unwrap_or_default();
                pools.iter().all(|p| p["status"]["in_flight"] == 0)
            };
            assert!(
                wait_until(TAKEOVER_TIMEOUT, no_permits_in_flight).await,
                "{}: permits left: {}",
                case.name,
                harness.dispatch_status(next)["pools"]
            );
        });
    }
}
