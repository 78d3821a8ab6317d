//! What must come about once faults have passed.

use std::time::{Duration, Instant};

use celerytide_standin::engine::OVERLOADS_PATH;
use celerytide_types::now_unix_ms;
use monoio::time::timeout;

use super::{
    callers::{CHAT_TOKENS, Callers, Request},
    change::{Change, active_version},
    step::in_pools,
};
use crate::{
    cluster::{Cluster, Daemon, ENGINES, INSTANCES, PLAIN_ENDPOINTS, wait_until},
    history::{History, RecordedRun, RequestKind, TicketOutcome},
};

/// Bound within which the newest configuration is in force everywhere.
pub const CONVERGE: Duration = Duration::from_secs(16);
/// Bound within which new requests are served again.
pub const SERVE_AGAIN: Duration = Duration::from_secs(20);
/// Bound within which nothing is held any more.
pub const DRAIN: Duration = Duration::from_secs(20);
/// Bound within which a ticket has its final word.
const WORD: Duration = Duration::from_secs(20);
/// Wait between repetitions of a call.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Traffic goes on for this long after a zone was taken out, in milliseconds.
const TRAFFIC_MS: u64 = 4000;

/// Waits until every daemon is ready and every pool has a settled owner.
pub(super) async fn ready(cluster: &Cluster, bound: Duration) -> bool {
    wait_until(bound, async || {
        all_ready(cluster).await && settled_pools(cluster).await >= 2
    })
    .await
}

async fn all_ready(cluster: &Cluster) -> bool {
    for at in 0..INSTANCES {
        for daemon in [Daemon::Entry(at), Daemon::Dispatch(at)] {
            if cluster.control.status(cluster.operator_addr(daemon), "/readyz").await != 200 {
                return false;
            }
        }
    }
    true
}

async fn settled_pools(cluster: &Cluster) -> usize {
    let mut count = 0;
    for at in 0..INSTANCES {
        let pools = cluster.pools(at).await;
        count += pools.iter().filter(|pool| pool["standing"] == "settled").count();
    }
    count
}

/// Follows everything to its end.
pub(super) async fn observe_recovery(cluster: &Cluster, callers: &Callers, change: &Change) -> History {
    let mut history = History {
        newest_version: cluster.manifest.version,
        zone_evacuation: change.zone_evacuation.clone(),
        ..History::default()
    };
    let (convergence_time, unserved, ()) =
        futures::join!(convergence_time(cluster), unserved(callers), traffic(callers, change));
    history.convergence_time = convergence_time;
    history.unserved = unserved;
    wait_until(SERVE_AGAIN, async || callers.open() == 0).await;
    history.ticket_outcomes = ticket_outcomes(callers).await;
    history.still_held = still_held(cluster).await;
    history.requests = callers.requests.borrow().clone();
    history
}

/// Adds what the stand-ins recorded.
pub(super) async fn gather(cluster: &Cluster, history: &mut History) -> Result<(), String> {
    for at in 0..PLAIN_ENDPOINTS {
        let runs = cluster.runs(at).await;
        let runs = runs.ok_or_else(|| format!("the record of plain service {at} can't be read"))?;
        history
            .runs
            .extend(runs.into_iter().map(|run| RecordedRun { plain: at, run }));
    }
    for at in 0..ENGINES {
        let overloads = cluster
            .control
            .get(cluster.operator_addr(Daemon::Engine(at)), OVERLOADS_PATH)
            .await;
        let overloads = overloads.and_then(|f| f.as_u64());
        history.overloads += overloads.ok_or_else(|| format!("the record of engine {at} can't be read"))?;
    }
    Ok(())
}

async fn convergence_time(cluster: &Cluster) -> Option<Duration> {
    let started = Instant::now();
    let newest_version = cluster.manifest.version;
    let everywhere = async || {
        for at in 0..INSTANCES {
            for daemon in [Daemon::Entry(at), Daemon::Dispatch(at)] {
                if active_version(cluster, daemon).await != newest_version {
                    return false;
                }
            }
        }
        true
    };
    wait_until(CONVERGE, everywhere).await.then(|| started.elapsed())
}

/// Kinds of new requests that are not served through an entry in time.
async fn unserved(callers: &Callers) -> Vec<String> {
    let each = (0..INSTANCES).flat_map(|entry| {
        let kinds = [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get, RequestKind::Protected];
        kinds.map(move |kind| served(callers, entry, kind))
    });
    let all = futures::future::join_all(each).await;
    all.into_iter().flatten().collect()
}

async fn served(callers: &Callers, entry: usize, kind: RequestKind) -> Option<String> {
    let end = Instant::now() + SERVE_AGAIN;
    let mut last = String::new();
    while Instant::now() < end {
        let ticket = match kind {
            RequestKind::Protected => callers.ticket(entry).await,
            _ => None,
        };
        let call = callers.call(Request {
            entry,
            request: callers.name("after"),
            kind,
            ticket,
        });
        let outcome = timeout(SERVE_AGAIN, call).await.ok().flatten();
        if outcome.as_ref().is_some_and(|outcome| outcome.is_done()) {
            return None;
        }
        last = format!("{outcome:?}");
        monoio::time::sleep(RETRY_DELAY).await;
    }
    Some(format!("{kind:?} through entry {entry} is not served again: {last}"))
}

/// Plain calls through both entries until well after a zone must have no new work.
async fn traffic(callers: &Callers, change: &Change) {
    let Some(out) = &change.zone_evacuation else {
        return;
    };
    while now_unix_ms() < out.reachable_unix_ms + TRAFFIC_MS {
        for entry in 0..INSTANCES {
            callers.send(Request {
                entry,
                request: callers.name("traffic"),
                kind: RequestKind::Get,
                ticket: None,
            });
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

/// Each ticket's caller repeats its call through the other entry, then asks what became of it.
async fn ticket_outcomes(callers: &Callers) -> Vec<TicketOutcome> {
    let record = callers.requests.borrow().clone();
    let mut tickets: Vec<String> = record.into_iter().filter_map(|s| s.ticket).collect();
    tickets.sort();
    tickets.dedup();
    let each = tickets.into_iter().map(|ticket| ticket_outcome(callers, ticket));
    futures::future::join_all(each).await
}

async fn ticket_outcome(callers: &Callers, ticket: String) -> TicketOutcome {
    let call = callers.call(Request {
        entry: 1,
        request: callers.name("retry"),
        kind: RequestKind::Protected,
        ticket: Some(ticket.clone()),
    });
    let _ = timeout(WORD, call).await;
    let end = Instant::now() + WORD;
    let mut word = None;
    while word.is_none() && Instant::now() < end {
        for entry in [1, 0] {
            word = word.or(callers.look(entry, &ticket).await);
        }
        if word.is_none() {
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
    TicketOutcome { ticket, word }
}

/// What is still held after the bound.
async fn still_held(cluster: &Cluster) -> Vec<String> {
    let mut held = Vec::new();
    wait_until(DRAIN, async || {
        held = held_now(cluster).await;
        held.is_empty()
    })
    .await;
    held
}

async fn held_now(cluster: &Cluster) -> Vec<String> {
    let mut held = Vec::new();
    let mut note = |what: String, count: u64| {
        if count > 0 {
            held.push(format!("{what}: {count}"));
        }
    };
    note("permits counted".to_owned(), in_pools(cluster, "in_flight").await);
    note("asks queued".to_owned(), in_pools(cluster, "queued").await);
    for at in 0..INSTANCES {
        let status = cluster.status(Daemon::Entry(at)).await;
        for field in ["permits_held", "running"] {
            let count = status["requests"][field].as_u64().unwrap_or(1);
            note(format!("{field} at entry {at}"), count);
        }
        note(
            format!("tickets running at entry {at}"),
            status["tickets"]["running"].as_u64().unwrap_or(1),
        );
    }
    for at in 0..ENGINES {
        let load = cluster
            .control
            .get(cluster.operator_addr(Daemon::Engine(at)), "/load")
            .await
            .unwrap_or_default();
        let count = load["running"].as_u64().unwrap_or(1) + load["waiting"].as_u64().unwrap_or(0);
        note(format!("requests at engine {at}"), count);
    }
    held
}
