//! The word that a caller is told after its request was preempted, on real processes.
//!
//! Preemption ends an attempt after its bytes were sent, so the engine has begun the request: `not-run` would let the
//! caller send it again. What a preemption costs is the same for buffered and streamed responses.

mod told;

use std::net::TcpStream;
use std::time::Duration;

use celerytide_faults::{CallOutcome, Harness, wait_until};
use celerytide_load::caller::CallerRequest;
use celerytide_load::fleet::Deployment;
use told::{Kind, MAX_BROKEN_OFF, PATIENT_CLASS, RETRY_DRAIN_REQUESTS, TEST_CLASS, long_chat, start};

/// First-token target of the urgent class; its requests preempt in the last 300 ms before it.
const URGENT_FIRST_TOKEN: Duration = Duration::from_millis(400);
/// First-token target of the preemptible class: a request of it waits 2 s for its first permit.
const FIRST_TOKEN: Duration = Duration::from_millis(500);
/// Time that a request runs before it is preempted: its first deadline has passed, so only a renewed one allows another
/// permit.
const RUN_TIME: Duration = Duration::from_millis(2200);
/// Time for a request to reach an engine or to be answered.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time of the engine's pause around the head of its response; longer than a cell lasts.
const STALL: [&str; 2] = [
    r#"{"kind":"stall","ms":10000}"#,
    r#"{"kind":"stall","ms":10000,"after_head":true}"#,
];
const KINDS: [Kind; 2] = [Kind::Buffered, Kind::Stream];

struct Cell {
    name: &'static str,
    kind: Kind,
    stall: &'static str,
}

fn cells() -> Vec<Cell> {
    let cell = |kind| {
        let [before, after] = STALL;
        [("before the head", before), ("after the head", after)].map(|(name, stall)| Cell { name, kind, stall })
    };
    KINDS.into_iter().flat_map(cell).collect()
}

/// Two slots of one engine; both hold preemptible work when the urgent request arrives.
fn preemptible(deployment: &mut Deployment) {
    deployment.engines.slots = 2;
    deployment.engines.cold_slots = 2;
    deployment.plain.count = RETRY_DRAIN_REQUESTS * MAX_BROKEN_OFF;
    for class in &mut deployment.classes {
        if class.name == PATIENT_CLASS {
            class.first_token = FIRST_TOKEN;
            class.preemptible = true;
            class.guaranteed_share = 0.0;
        }
    }
}

fn in_class(class: &str, req: CallerRequest) -> CallerRequest {
    CallerRequest {
        class: Some(class.to_owned()),
        ..req
    }
}

/// Sends a preemptible request behind another one, and an urgent one once it runs. `release` gets the connections of
/// the other two.
async fn preempt(
    harness: &Harness,
    cell: &Cell,
    id: &str,
    release: impl AsyncFnOnce(TcpStream, TcpStream) -> Vec<TcpStream>,
) -> CallOutcome {
    let first = in_class(PATIENT_CLASS, long_chat(harness, &format!("{id}-first")));
    let first_held = harness.hold(&first).expect("entry");
    let runs = |id: &str| harness.engine_runs_of(id) > 0;
    assert!(
        wait_until(TIMEOUT, || runs(&first.request)).await,
        "the first request runs"
    );
    cell.kind.set_fault(harness, cell.stall);
    let req = in_class(PATIENT_CLASS, cell.kind.request(harness, id));
    let urgent = in_class(TEST_CLASS, long_chat(harness, &format!("{id}-urgent")));
    let others = async {
        assert!(wait_until(TIMEOUT, || runs(id)).await, "the request runs");
        monoio::time::sleep(RUN_TIME).await;
        let urgent_held = harness.hold(&urgent).expect("entry");
        assert!(
            wait_until(TIMEOUT, || runs(&urgent.request)).await,
            "the urgent request runs"
        );
        release(first_held, urgent_held).await
    };
    let (outcome, held) = futures::join!(harness.send(&req), others);
    drop(held);
    outcome
}

async fn keep(first: TcpStream, urgent: TcpStream) -> Vec<TcpStream> {
    vec![first, urgent]
}

async fn free(_first: TcpStream, urgent: TcpStream) -> Vec<TcpStream> {
    vec![urgent]
}

fn permits(harness: &Harness, id: &str) -> usize {
    harness.steps(0, id).iter().filter(|step| *step == "permitted").count()
}

#[test]
fn a_preempted_request_without_another_permit_is_not_called_not_run() {
    let mut found = Vec::new();
    for cell in cells() {
        let harness = start(1, URGENT_FIRST_TOKEN, preemptible);
        let outcome = Harness::block_on(async {
            cell.kind.warm_up(&harness, "first").await;
            preempt(&harness, &cell, "r", keep).await
        });
        let (runs, permits) = (harness.engine_runs_of("r"), permits(&harness, "r"));
        let text = String::from_utf8_lossy(&outcome.body);
        if outcome.word != "unknown" || (runs, permits) != (1, 1) || text.contains("nothing was sent") {
            found.push(format!(
                "{:?} x preempted {} x permit refused: told {} ({}), began {runs} times, {permits} permits: {text}",
                cell.kind, cell.name, outcome.word, outcome.cause
            ));
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A preempted request that is given up although a slot is free has lost its work for nothing.
#[test]
fn a_preemption_costs_no_retry_and_renews_the_deadline() {
    let mut found = Vec::new();
    for cell in cells() {
        let harness = start(1, URGENT_FIRST_TOKEN, preemptible);
        let outcome = Harness::block_on(async {
            cell.kind.warm_up(&harness, "first").await;
            Kind::Get.warm_up(&harness, "plain").await;
            Kind::Get.use_up_retries(&harness).await;
            preempt(&harness, &cell, "r", free).await
        });
        let (runs, permits) = (harness.engine_runs_of("r"), permits(&harness, "r"));
        if !outcome.is_done() || outcome.word != "done" || (runs, permits) != (2, 2) {
            found.push(format!(
                "{:?} x preempted {} x no retry left: told {} ({}), began {runs} times, {permits} permits",
                cell.kind, cell.name, outcome.word, outcome.cause
            ));
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}
