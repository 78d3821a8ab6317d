//! Observes whether the cluster recovers once faults are cleared: convergence, service, final execution
//! statuses of tickets and released permits.

use std::time::{Duration, Instant};

use celerytide_standin::engine::OVERLOADS_PATH;
use celerytide_types::now_unix_ms;
use monoio::time::timeout;

use super::{
    callers::{CHAT_TOKENS, CallSpec, Callers},
    change::{ConfigChange, active_version},
    step::pool_total,
};
use crate::{
    cluster::{Cluster, Daemon, ENGINES, INSTANCES, PLAIN_ENDPOINTS, wait_until},
    history::{History, RecordedRun, RequestKind, TicketOutcome},
};

/// Time within which the newest configuration has to be active everywhere.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(16);
/// Time within which new requests have to be served again.
pub const SERVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which permits, queues and running work have to return to zero.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a ticket has to have its final execution status.
const FINAL_WORD_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time in milliseconds for which traffic continues after a zone was taken out of service.
const EVACUATION_TRAFFIC_MS: u64 = 4000;

/// Waits until every daemon is ready and every pool has a settled owner.
pub(super) async fn wait_ready(cluster: &Cluster, timeout: Duration) -> bool {
    wait_until(timeout, async || {
        all_ready(cluster).await && settled_pools(cluster).await >= 2
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

/// Waits for recovery and returns what was observed.
pub(super) async fn observe_recovery(cluster: &Cluster, callers: &Callers, change: &ConfigChange) -> History {
    let mut history = History {
        newest_version: cluster.manifest.version,
        zone_evacuation: change.zone_evacuation.clone(),
        ..History::default()
    };
    let (convergence_time, unserved, ()) = futures::join!(
        convergence_time(cluster),
        unserved(callers),
        send_evacuation_traffic(callers, change)
    );
    history.convergence_time = convergence_time;
    history.unserved = unserved;
    wait_until(SERVE_TIMEOUT, async || callers.open_requests() == 0).await;
    history.ticket_outcomes = ticket_outcomes(callers).await;
    history.still_held = still_held(cluster).await;
    history.requests = callers.requests.borrow().clone();
    history
}

/// Adds the runs and overloads that the stand-ins recorded.
pub(super) async fn collect_records(cluster: &Cluster, history: &mut History) -> Result<(), String> {
    for index in 0..PLAIN_ENDPOINTS {
        let runs = cluster.runs(index).await;
        let runs = runs.ok_or_else(|| format!("the record of plain service {index} can't be read"))?;
        history
            .runs
            .extend(runs.into_iter().map(|run| RecordedRun { plain: index, run }));
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

async fn convergence_time(cluster: &Cluster) -> Option<Duration> {
    let started = Instant::now();
    let newest_version = cluster.manifest.version;
    let everywhere = async || {
        for index in 0..INSTANCES {
            for daemon in [Daemon::Entry(index), Daemon::Dispatch(index)] {
                if active_version(cluster, daemon).await != newest_version {
                    return false;
                }
            }
        }
        true
    };
    wait_until(CONVERGENCE_TIMEOUT, everywhere)
        .await
        .then(|| started.elapsed())
}

/// Kinds of new requests that are not served through an entry in time.
async fn unserved(callers: &Callers) -> Vec<String> {
    let each = (0..INSTANCES).flat_map(|entry| {
        let kinds = [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get, RequestKind::Protected];
        kinds.map(move |kind| retry_until_served(callers, entry, kind))
    });
    let all = futures::future::join_all(each).await;
    all.into_iter().flatten().collect()
}

async fn retry_until_served(callers: &Callers, entry: usize, kind: RequestKind) -> Option<String> {
    let end = Instant::now() + SERVE_TIMEOUT;
    let mut last = String::new();
    while Instant::now() < end {
        let ticket = match kind {
            RequestKind::Protected => callers.take_ticket(entry).await,
            _ => None,
        };
        let call = callers.call(CallSpec {
            entry,
            request_id: callers.next_id("after"),
            kind,
            ticket,
        });
        let outcome = timeout(SERVE_TIMEOUT, call).await.ok().flatten();
        if outcome.as_ref().is_some_and(|outcome| outcome.is_done()) {
            return None;
        }
        last = format!("{outcome:?}");
        monoio::time::sleep(RETRY_DELAY).await;
    }
    Some(format!("{kind:?} through entry {entry} is not served again: {last}"))
}

/// Sends plain calls through both entries until well after the zone must get no new work.
async fn send_evacuation_traffic(callers: &Callers, change: &ConfigChange) {
    let Some(evacuation) = &change.zone_evacuation else {
        return;
    };
    while now_unix_ms() < evacuation.reachable_unix_ms + EVACUATION_TRAFFIC_MS {
        for entry in 0..INSTANCES {
            callers.send(CallSpec {
                entry,
                request_id: callers.next_id("traffic"),
                kind: RequestKind::Get,
                ticket: None,
            });
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

/// Repeats the call of each ticket through the other entry, then queries its final execution status.
async fn ticket_outcomes(callers: &Callers) -> Vec<TicketOutcome> {
    let requests = callers.requests.borrow().clone();
    let mut tickets: Vec<String> = requests.into_iter().filter_map(|s| s.ticket).collect();
    tickets.sort();
    tickets.dedup();
    let each = tickets.into_iter().map(|ticket| ticket_outcome(callers, ticket));
    futures::future::join_all(each).await
}

async fn ticket_outcome(callers: &Callers, ticket: String) -> TicketOutcome {
    let call = callers.call(CallSpec {
        entry: 1,
        request_id: callers.next_id("retry"),
        kind: RequestKind::Protected,
        ticket: Some(ticket.clone()),
    });
    let _ = timeout(FINAL_WORD_TIMEOUT, call).await;
    let end = Instant::now() + FINAL_WORD_TIMEOUT;
    let mut word = None;
    while word.is_none() && Instant::now() < end {
        for entry in [1, 0] {
            word = word.or(callers.ticket_word(entry, &ticket).await);
        }
        if word.is_none() {
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
    TicketOutcome { ticket, word }
}

/// Permits, queued requests and running work that remain after the timeout.
async fn still_held(cluster: &Cluster) -> Vec<String> {
    let mut held = Vec::new();
    wait_until(DRAIN_TIMEOUT, async || {
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
    note("permits counted".to_owned(), pool_total(cluster, "in_flight").await);
    note("asks queued".to_owned(), pool_total(cluster, "queued").await);
    for index in 0..INSTANCES {
        let status = cluster.status(Daemon::Entry(index)).await;
        for field in ["permits_held", "running"] {
            let count = status["requests"][field].as_u64().unwrap_or(1);
            note(format!("{field} at entry {index}"), count);
        }
        note(
            format!("tickets running at entry {index}"),
            status["tickets"]["running"].as_u64().unwrap_or(1),
        );
    }
    for index in 0..ENGINES {
        let load = cluster
            .control
            .get(cluster.operator_addr(Daemon::Engine(index)), "/load")
            .await
            .unwrap_or_default();
        let count = load["running"].as_u64().unwrap_or(1) + load["waiting"].as_u64().unwrap_or(0);
        note(format!("requests at engine {index}"), count);
    }
    held
}
