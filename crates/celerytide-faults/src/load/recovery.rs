//! Observes whether the cluster recovers once the load has ended and the disruption is reverted.

use std::time::{Duration, Instant};

use celerytide_standin::engine::OVERLOADS_PATH;
use futures::future::join_all;
use monoio::time::sleep;

use super::callers::Callers;
use crate::{
    cluster::{Cluster, Daemon, ENGINES, INSTANCES, PLAIN_ENDPOINTS, wait_until},
    history::{History, RecordedRun, RequestKind, TicketOutcome},
};

/// Time within which open calls end, new calls are served, tickets have a final execution
/// status, and permits are released.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum tokens of a chat call.
const CHAT_TOKENS: usize = 10;
/// Number of pools in a cluster.
const POOLS: usize = 2;

/// Waits until every daemon is ready and every pool has a settled owner.
pub(super) async fn wait_ready(cluster: &Cluster, timeout: Duration) -> bool {
    wait_until(timeout, async || {
        all_ready(cluster).await && settled_pools(cluster).await >= POOLS
    })
    .await
}

async fn all_ready(cluster: &Cluster) -> bool {
    for index in 0..INSTANCES {
        for daemon in [Daemon::Entry(index), Daemon::Dispatch(index)] {
            if cluster.control.status(cluster.operator_addr(daemon), "/readyz").await != 200 {
                return false;
            }
        }
    }
    true
}

async fn settled_pools(cluster: &Cluster) -> usize {
    let mut count = 0;
    for index in 0..INSTANCES {
        let pools = cluster.pools(index).await;
        count += pools.iter().filter(|pool| pool["standing"] == "settled").count();
    }
    count
}

/// Waits for recovery and returns the recorded history.
pub(super) async fn observe_recovery(cluster: &Cluster, callers: &Callers) -> Result<History, String> {
    let unserved = unserved(callers).await;
    wait_until(RECOVERY_TIMEOUT, async || callers.open_tasks() == 0).await;
    let ticket_outcomes = ticket_outcomes(callers).await;
    let mut history = History {
        newest_version: cluster.manifest.version,
        convergence_time: Some(Duration::ZERO),
        ticket_outcomes,
        unserved,
        still_held: still_held(cluster).await,
        requests: callers.requests(),
        ..History::default()
    };
    collect_records(cluster, &mut history).await?;
    Ok(history)
}

async fn collect_records(cluster: &Cluster, history: &mut History) -> Result<(), String> {
    for plain in 0..PLAIN_ENDPOINTS {
        let runs = cluster.runs(plain).await;
        let runs = runs.ok_or_else(|| format!("the record of plain service {plain} can't be read"))?;
        history
            .runs
            .extend(runs.into_iter().map(|run| RecordedRun { plain, run }));
    }
    for index in 0..ENGINES {
        let overloads = cluster
            .control
            .get(cluster.operator_addr(Daemon::Engine(index)), OVERLOADS_PATH)
            .await;
        let overloads = overloads.and_then(|f| f.as_u64());
        history.overloads += overloads.ok_or_else(|| format!("the record of engine {index} can't be read"))?;
    }
    Ok(())
}

/// Kinds of new requests that are not served through an entry in time.
async fn unserved(callers: &Callers) -> Vec<String> {
    let kinds = [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get, RequestKind::Protected];
    let each = (0..INSTANCES).flat_map(|entry| kinds.map(move |kind| retry_until_served(callers, entry, kind)));
    join_all(each).await.into_iter().flatten().collect()
}

async fn retry_until_served(callers: &Callers, entry: usize, kind: RequestKind) -> Option<String> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let mut last = None;
    while Instant::now() < end {
        let ticket = match kind {
            RequestKind::Protected => callers.take_ticket(entry).await,
            _ => None,
        };
        last = callers.call(entry, kind, ticket).await;
        if last.as_ref().is_some_and(|outcome| outcome.is_done()) {
            return None;
        }
        sleep(RETRY_DELAY).await;
    }
    Some(format!("{kind:?} through entry {entry} is not served again: {last:?}"))
}

/// Final execution status of each ticket at each entry.
async fn ticket_outcomes(callers: &Callers) -> Vec<TicketOutcome> {
    let mut tickets: Vec<String> = callers.requests().into_iter().filter_map(|s| s.ticket).collect();
    tickets.sort();
    tickets.dedup();
    let mut ticket_outcomes = Vec::new();
    for ticket in tickets {
        // A ticket whose action was not started has no final execution status until it is used or expires.
        if callers.ticket_word(0, &ticket).await.is_none() {
            callers.call(0, RequestKind::Protected, Some(ticket.clone())).await;
        }
        for entry in 0..INSTANCES {
            let word = wait_for_word(callers, entry, &ticket).await;
            ticket_outcomes.push(TicketOutcome {
                ticket: ticket.clone(),
                word,
            });
        }
    }
    ticket_outcomes
}

async fn wait_for_word(callers: &Callers, entry: usize, ticket: &str) -> Option<String> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < end {
        let word = callers.ticket_word(entry, ticket).await;
        if word.is_some() {
            return word;
        }
        sleep(RETRY_DELAY).await;
    }
    None
}

/// Permits and running work that remain after the timeout.
async fn still_held(cluster: &Cluster) -> Vec<String> {
    let mut held = Vec::new();
    wait_until(RECOVERY_TIMEOUT, async || {
        held = current_holds(cluster).await;
        held.is_empty()
    })
    .await;
    held
}

async fn current_holds(cluster: &Cluster) -> Vec<String> {
    let mut held = Vec::new();
    let mut note = |what: String, count: u64| {
        if count > 0 {
            held.push(format!("{what}: {count}"));
        }
    };
    for index in 0..INSTANCES {
        for pool in cluster.pools(index).await {
            let in_flight = pool["status"]["in_flight"].as_u64().unwrap_or(0);
            note(format!("permits counted at dispatch {index}"), in_flight);
        }
        let status = cluster.status(Daemon::Entry(index)).await;
        for (group, field) in [
            ("requests", "permits_held"),
            ("requests", "running"),
            ("tickets", "running"),
        ] {
            let count = status[group][field].as_u64().unwrap_or(1);
            note(format!("{group} {field} at entry {index}"), count);
        }
    }
    held
}
