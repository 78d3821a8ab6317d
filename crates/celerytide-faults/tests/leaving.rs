//! Endpoints that leave the endpoint list while they have work: they get no new work, and running requests are not cut.

use std::time::Duration;

use celerytide_faults::{CallOutcome, Harness, HarnessOptions, wait_until};
use celerytide_load::fleet::{EndpointInfo, Fleet, documents};
use celerytide_standin::{config::TEST_LIST_PATH, plain::Run, probe};
use celerytide_types::now_unix_ms;
use futures::future::join_all;
use http::Method;
use monoio::time::sleep;
use serde_json::{Value, json};

/// Time in milliseconds after which an endpoint that leaves gets no new work.
const NO_NEW_WORK_MS: u64 = 3000;
/// Duration of the traffic.
const TRAFFIC_DURATION: Duration = Duration::from_secs(7);
/// Time between arrivals.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(150);
/// Duration of a run of the plain service in milliseconds.
const RUN_MS: u64 = 400;
/// Cold slots of an engine: one engine can carry the whole traffic, so that nothing is rejected for lack of room.
const COLD_SLOTS: u32 = 8;
const ENDPOINT_LIST: &str = "celerytide-endpoints";

struct Case {
    name: &'static str,
    /// Changes the list entries of the endpoints that leave.
    leave: fn(Vec<Value>, &[&str]) -> Vec<Value>,
}

fn mark_leaving(mut list: Vec<Value>, ids: &[&str]) -> Vec<Value> {
    for entry in list.iter_mut().filter(|entry| is_one_of(entry, ids)) {
        entry["Service"]["Meta"]["state"] = json!("leaving");
    }
    list
}

fn drop_entries(mut list: Vec<Value>, ids: &[&str]) -> Vec<Value> {
    list.retain(|entry| !is_one_of(entry, ids));
    list
}

fn is_one_of(entry: &Value, ids: &[&str]) -> bool {
    entry["Service"]["ID"].as_str().is_some_and(|id| ids.contains(&id))
}

fn publish(fleet: &Fleet, leave: fn(Vec<Value>, &[&str]) -> Vec<Value>, ids: &[&str]) {
    let infos = |all: &[celerytide_load::fleet::Endpoint]| -> Vec<EndpointInfo> {
        all.iter().map(|endpoint| endpoint.info.clone()).collect()
    };
    let (engines, plain_endpoints) = (infos(&fleet.engines), infos(&fleet.plain_endpoints));
    let deployment = &fleet.deployment;
    let mut list = documents::endpoint_list(deployment, &deployment.engines.service, &engines);
    list.extend(documents::endpoint_list(
        deployment,
        &deployment.plain.service,
        &plain_endpoints,
    ));
    let list = leave(list, ids);
    let path = format!("{TEST_LIST_PATH}{ENDPOINT_LIST}");
    let body = Value::Array(list).to_string();
    probe::put(fleet.config.addr(), &path, body.as_bytes())
        .expect("the configuration service accepts what tests publish");
}

/// Sends a call of each kind at each arrival, alternating between the entries.
async fn send_traffic(harness: &Harness, time: Duration) -> Vec<CallOutcome> {
    let count = u32::try_from(time.as_millis() / ARRIVAL_INTERVAL.as_millis()).expect("a short test");
    let calls = (0..count).map(|index| async move {
        sleep(ARRIVAL_INTERVAL * index).await;
        let entry = index as usize % harness.fleet.instances.len();
        let (chat, read) = (format!("chat-{index}"), format!("read-{index}"));
        let read = harness.plain(entry, &read, Method::GET, "/services/forms/read");
        let (chat, read) = futures::join!(harness.chat(entry, &chat, 40), read);
        [chat, read]
    });
    join_all(calls).await.concat()
}

fn running_requests(harness: &Harness, engine: usize) -> u64 {
    let load: Value = probe::get_json(harness.fleet.engines[engine].process.addr(), "/load").expect("load report");
    load["running"].as_u64().unwrap_or(0) + load["waiting"].as_u64().unwrap_or(0)
}

#[test]
fn endpoints_that_leave_get_no_new_work_and_nothing_in_flight_is_cut() {
    let cases = [
        Case {
            name: "marked as leaving",
            leave: mark_leaving,
        },
        Case {
            name: "dropped from the list",
            leave: drop_entries,
        },
    ];
    for case in cases {
        let harness = Harness::start(&HarnessOptions {
            plain_endpoints: 2,
            decode_ms: 10.0,
            delay_ms: RUN_MS,
            cold_slots: COLD_SLOTS,
            ..HarnessOptions::default()
        })
        .expect(case.name);
        Harness::block_on(async {
            let leave_under_load = async {
                let both_busy = || running_requests(&harness, 0) > 0 && !runs(&harness, 0).is_empty();
                assert!(
                    wait_until(TRAFFIC_DURATION, both_busy).await,
                    "{}: no work at first",
                    case.name
                );
                publish(&harness.fleet, case.leave, &["assist-0", "forms-0"]);
                let published = now_unix_ms();
                sleep(Duration::from_millis(NO_NEW_WORK_MS)).await;
                let is_idle = wait_until(TRAFFIC_DURATION, || running_requests(&harness, 0) == 0).await;
                assert!(is_idle, "{}: the engine's work doesn't end", case.name);
                published
            };
            let (outcomes, published) = futures::join!(send_traffic(&harness, TRAFFIC_DURATION), leave_under_load);
            let incomplete: Vec<&CallOutcome> = outcomes.iter().filter(|t| !t.is_done()).collect();
            assert!(incomplete.is_empty(), "{}: {incomplete:?}", case.name);
            let late: Vec<u64> = runs(&harness, 0)
                .iter()
                .filter(|run| run.at_unix_ms > published + NO_NEW_WORK_MS)
                .map(|run| run.at_unix_ms - published)
                .collect();
            assert!(late.is_empty(), "{}: new work after {late:?} ms", case.name);
            let other_busy = runs(&harness, 1)
                .iter()
                .any(|run| run.at_unix_ms > published + NO_NEW_WORK_MS);
            assert!(other_busy, "{}: the other service gets no work", case.name);
        });
    }
}

fn runs(harness: &Harness, plain: usize) -> Vec<Run> {
    probe::runs(harness.fleet.plain_endpoints[plain].process.addr()).expect("record of runs")
}
