//! Injects faults into the cluster and clears them again.

use std::time::Duration;

use celerytide_standin::{engine::OVERLOADS_PATH, relay::Mode};

use super::{
    callers::{CHAT_TOKENS, CallSpec, Callers},
    change::ConfigChange,
    step::step_links,
};
use crate::{
    cluster::{Cluster, Daemon, ENGINES, Error, INSTANCES, Link, PLAIN_ENDPOINTS},
    history::{RecordedRun, RequestKind, RequestRecord},
    matrix::{Fault, Injection, Step},
};

/// Time for which the daemons run with a changed configuration service, list or load before the run continues.
const FAULT_EXPOSURE: Duration = Duration::from_millis(600);
/// Chat calls sent to engines that have become cold.
const COLD_CALLS: usize = 6;

/// Faults that are active, and the records of the processes that were killed.
#[derive(Default)]
pub(super) struct ActiveFaults {
    killed: Vec<Daemon>,
    paused: Vec<Daemon>,
    pub(super) saved_runs: Vec<RecordedRun>,
    pub(super) saved_overloads: u64,
}

/// Whether the fault has to last for longer than every timeout.
pub(super) fn is_lasting(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::PauseEntry
            | Fault::PauseDispatch
            | Fault::PauseEndpoint
            | Fault::CutOneWay
            | Fault::CutBoth
            | Fault::Late
    )
}

/// Injects a fault at the step where requests or a change are held.
pub(super) async fn inject(
    cluster: &mut Cluster,
    callers: &Callers,
    change: &mut ConfigChange,
    injection: Injection,
    active: &mut ActiveFaults,
) {
    let targets = step_links(injection.step);
    match injection.fault {
        Fault::KillEntry => kill(cluster, Daemon::Entry(0), active).await,
        Fault::KillDispatch => {
            for daemon in pool_owners(cluster, injection.step).await {
                kill(cluster, daemon, active).await;
            }
        }
        Fault::KillEndpoint => {
            for daemon in busy_endpoints(cluster) {
                kill(cluster, daemon, active).await;
            }
        }
        Fault::PauseEntry => pause(cluster, Daemon::Entry(0), active),
        Fault::PauseDispatch => {
            for daemon in pool_owners(cluster, injection.step).await {
                pause(cluster, daemon, active);
            }
        }
        Fault::PauseEndpoint => busy_endpoints(cluster)
            .into_iter()
            .for_each(|daemon| pause(cluster, daemon, active)),
        Fault::Reset => cluster.set_link_mode(&targets, Mode::Reset),
        Fault::Silent => {
            cluster.set_link_mode(&targets, Mode::Silent);
            if targets.contains(&Link::Caller(0)) {
                callers.mark_open_lost();
            }
        }
        Fault::CutOneWay => cluster.set_link_mode(&targets, Mode::Cut { up: false, down: true }),
        Fault::CutBoth => cluster.set_link_mode(&targets, Mode::Cut { up: true, down: true }),
        Fault::ServiceDown => inject_config_fault(cluster, r#"{"kind":"down"}"#).await,
        Fault::ServiceStale => inject_config_fault(cluster, r#"{"kind":"stale"}"#).await,
        Fault::ListLagging => drop_from_one_list(cluster).await,
        Fault::Duplicate | Fault::Reordered => repeat(cluster, callers, change, injection).await,
        Fault::Late => {}
        Fault::Cold => turn_engines_cold(cluster, callers).await,
    }
}

/// Clears all faults: resumes and restarts processes, restores the links, and publishes the lists and the manifest again.
pub(super) async fn clear_faults(cluster: &mut Cluster, active: &mut ActiveFaults) -> Result<(), Error> {
    for daemon in active.paused.drain(..) {
        let _ = cluster.process(daemon).resume();
    }
    cluster.restore_links();
    cluster.config_fault(r#"{"kind":"none"}"#).await;
    for daemon in active.killed.drain(..) {
        cluster.restart(daemon)?;
    }
    cluster.publish_instances(&[true; INSTANCES])?;
    cluster.publish_manifest()
}

async fn kill(cluster: &mut Cluster, daemon: Daemon, active: &mut ActiveFaults) {
    if let Some(paused) = active.paused.iter().position(|p| *p == daemon) {
        active.paused.remove(paused);
        // A stand-in has to be running so that its record can be read before it is killed.
        let _ = cluster.process(daemon).resume();
    }
    if active.killed.contains(&daemon) {
        return;
    }
    match daemon {
        Daemon::Plain(index) => {
            let runs = cluster.runs(index).await.unwrap_or_default();
            active
                .saved_runs
                .extend(runs.into_iter().map(|run| RecordedRun { plain: index, run }));
        }
        Daemon::Engine(_) => {
            let overloads = cluster.control.get(cluster.operator_addr(daemon), OVERLOADS_PATH).await;
            active.saved_overloads += overloads.and_then(|f| f.as_u64()).unwrap_or(0);
        }
        Daemon::Entry(_) | Daemon::Dispatch(_) => {}
    }
    cluster.process_mut(daemon).kill();
    active.killed.push(daemon);
}

fn pause(cluster: &Cluster, daemon: Daemon, active: &mut ActiveFaults) {
    if !active.killed.contains(&daemon) && cluster.process(daemon).pause().is_ok() {
        active.paused.push(daemon);
    }
}

/// Dispatches that own pools; for a configuration change, the dispatch of the first instance.
async fn pool_owners(cluster: &Cluster, step: Step) -> Vec<Daemon> {
    if step.is_change() {
        return vec![Daemon::Dispatch(0)];
    }
    let mut pool_owners = Vec::new();
    for index in 0..INSTANCES {
        if !cluster.pools(index).await.is_empty() {
            pool_owners.push(Daemon::Dispatch(index));
        }
    }
    pool_owners
}

/// Endpoints that hold requests; if there are none, one of each kind.
fn busy_endpoints(cluster: &Cluster) -> Vec<Daemon> {
    let engines = (0..ENGINES).map(|index| (Daemon::Engine(index), Link::Engine(index)));
    let plain_endpoints = (0..PLAIN_ENDPOINTS).map(|index| (Daemon::Plain(index), Link::Plain(index)));
    let holding: Vec<Daemon> = engines
        .chain(plain_endpoints)
        .filter(|(_, link)| cluster.link_state(*link).held > 0)
        .map(|(daemon, _)| daemon)
        .collect();
    match holding.is_empty() {
        true => vec![Daemon::Engine(0), Daemon::Plain(0)],
        false => holding,
    }
}

async fn inject_config_fault(cluster: &Cluster, json: &str) {
    cluster.config_fault(json).await;
    monoio::time::sleep(FAULT_EXPOSURE).await;
}

/// Publishes an instance list without the first instance that only the second instance can read.
async fn drop_from_one_list(cluster: &Cluster) {
    cluster.set_link_mode(&[Link::Config(0)], Mode::Cut { up: true, down: true });
    let result = cluster.publish_instances(&[false, true]);
    result.expect("the configuration service accepts what tests publish");
    monoio::time::sleep(FAULT_EXPOSURE).await;
}

/// Repeats open requests through the other entry, or publishes a change a second time.
async fn repeat(cluster: &mut Cluster, callers: &Callers, change: &mut ConfigChange, injection: Injection) {
    if injection.step.is_change() {
        return republish(cluster, change, injection.fault);
    }
    let first: Vec<RequestRecord> = callers
        .requests
        .borrow()
        .iter()
        .filter(|s| s.outcome.is_none())
        .cloned()
        .collect();
    for record in first {
        let call = CallSpec {
            entry: 1,
            request_id: callers.next_id("again"),
            kind: record.kind,
            ticket: record.ticket,
        };
        match injection.fault {
            Fault::Reordered => drop(callers.call(call).await),
            _ => callers.send(call),
        }
    }
    monoio::time::sleep(FAULT_EXPOSURE).await;
}

fn republish(cluster: &mut Cluster, change: &mut ConfigChange, fault: Fault) {
    if fault == Fault::Duplicate {
        cluster
            .publish_manifest()
            .expect("the configuration service accepts what tests publish");
        // The same version with different content must be rejected.
        let mut other = cluster.manifest.clone();
        other.event.name.push_str("-other");
        let original = std::mem::replace(&mut cluster.manifest, other);
        cluster
            .publish_manifest()
            .expect("the configuration service accepts what tests publish");
        cluster.manifest = original;
        return;
    }
    change.publish(cluster);
    let newest = cluster.manifest.clone();
    cluster.manifest.version -= 1;
    cluster
        .publish_manifest()
        .expect("the configuration service accepts what tests publish");
    cluster.manifest = newest;
}

async fn turn_engines_cold(cluster: &Cluster, callers: &Callers) {
    for index in 0..ENGINES {
        let addr = cluster.operator_addr(Daemon::Engine(index));
        cluster
            .control
            .set_fault(addr, r#"{"kind":"cold","signal":false}"#)
            .await;
    }
    for index in 0..COLD_CALLS {
        callers.send(CallSpec {
            entry: index % INSTANCES,
            request_id: callers.next_id("more"),
            kind: RequestKind::Chat(CHAT_TOKENS),
            ticket: None,
        });
    }
    monoio::time::sleep(FAULT_EXPOSURE).await;
}
