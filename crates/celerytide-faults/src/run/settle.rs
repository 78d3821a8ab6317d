//! What must come about once faults have passed.

use std::time::{Duration, Instant};

use celerytide_standin::engine::OVERLOADS_PATH;
use celerytide_types::now_unix_ms;
use monoio::time::timeout;

use super::{
    callers::{Callers, Request, TOKENS},
    change::{Change, in_force},
    step::in_pools,
};
use crate::{
    history::{Final, History, Kind, Ran},
    world::{Daemon, ENGINES, INSTANCES, PLAINS, World, until},
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
const AGAIN: Duration = Duration::from_millis(100);
/// Traffic goes on for this long after a zone was taken out, in milliseconds.
const TRAFFIC_MS: u64 = 4000;

/// Waits until every daemon is ready and every pool has a settled owner.
pub(super) async fn ready(world: &World, bound: Duration) -> bool {
    until(bound, async || all_ready(world).await && settled(world).await >= 2).await
}

async fn all_ready(world: &World) -> bool {
    for at in 0..INSTANCES {
        for daemon in [Daemon::Entry(at), Daemon::Dispatch(at)] {
            if world.http.status(world.operator(daemon), "/readyz").await != 200 {
                return false;
            }
        }
    }
    true
}

async fn settled(world: &World) -> usize {
    let mut count = 0;
    for at in 0..INSTANCES {
        let pools = world.pools(at).await;
        count += pools.iter().filter(|pool| pool["standing"] == "settled").count();
    }
    count
}

/// Follows everything to its end.
pub(super) async fn settle(world: &World, callers: &Callers, change: &Change) -> History {
    let mut history = History {
        newest: world.manifest.version,
        zone_out: change.zone_out.clone(),
        ..History::default()
    };
    let (converged, unserved, ()) = futures::join!(converged(world), unserved(callers), traffic(callers, change));
    history.converged = converged;
    history.unserved = unserved;
    until(SERVE_AGAIN, async || callers.open() == 0).await;
    history.finals = finals(callers).await;
    history.left = left(world).await;
    history.sent = callers.sent.borrow().clone();
    history
}

/// Adds what the stand-ins recorded.
pub(super) async fn gather(world: &World, history: &mut History) -> Result<(), String> {
    for at in 0..PLAINS {
        let runs = world.runs(at).await;
        let runs = runs.ok_or_else(|| format!("the record of plain service {at} can't be read"))?;
        history.runs.extend(runs.into_iter().map(|run| Ran { plain: at, run }));
    }
    for at in 0..ENGINES {
        let falls = world.http.get(world.operator(Daemon::Engine(at)), OVERLOADS_PATH).await;
        let falls = falls.and_then(|f| f.as_u64());
        history.falls += falls.ok_or_else(|| format!("the record of engine {at} can't be read"))?;
    }
    Ok(())
}

async fn converged(world: &World) -> Option<Duration> {
    let began = Instant::now();
    let newest = world.manifest.version;
    let everywhere = async || {
        for at in 0..INSTANCES {
            for daemon in [Daemon::Entry(at), Daemon::Dispatch(at)] {
                if in_force(world, daemon).await != newest {
                    return false;
                }
            }
        }
        true
    };
    until(CONVERGE, everywhere).await.then(|| began.elapsed())
}

/// Kinds of new requests that are not served through an entry in time.
async fn unserved(callers: &Callers) -> Vec<String> {
    let each = (0..INSTANCES).flat_map(|entry| {
        let kinds = [Kind::Chat(TOKENS), Kind::Get, Kind::Protected];
        kinds.map(move |kind| served(callers, entry, kind))
    });
    let all = futures::future::join_all(each).await;
    all.into_iter().flatten().collect()
}

async fn served(callers: &Callers, entry: usize, kind: Kind) -> Option<String> {
    let end = Instant::now() + SERVE_AGAIN;
    let mut last = String::new();
    while Instant::now() < end {
        let ticket = match kind {
            Kind::Protected => callers.ticket(entry).await,
            _ => None,
        };
        let call = callers.call(Request {
            entry,
            request: callers.name("after"),
            kind,
            ticket,
        });
        let told = timeout(SERVE_AGAIN, call).await.ok().flatten();
        if told.as_ref().is_some_and(|told| told.is_done()) {
            return None;
        }
        last = format!("{told:?}");
        monoio::time::sleep(AGAIN).await;
    }
    Some(format!("{kind:?} through entry {entry} is not served again: {last}"))
}

/// Plain calls through both entries until well after a zone must have no new work.
async fn traffic(callers: &Callers, change: &Change) {
    let Some(out) = &change.zone_out else {
        return;
    };
    while now_unix_ms() < out.reachable_unix_ms + TRAFFIC_MS {
        for entry in 0..INSTANCES {
            callers.send(Request {
                entry,
                request: callers.name("traffic"),
                kind: Kind::Get,
                ticket: None,
            });
        }
        monoio::time::sleep(AGAIN).await;
    }
}

/// Each ticket's caller repeats its call through the other entry, then asks what became of it.
async fn finals(callers: &Callers) -> Vec<Final> {
    let sent = callers.sent.borrow().clone();
    let mut tickets: Vec<String> = sent.into_iter().filter_map(|s| s.ticket).collect();
    tickets.sort();
    tickets.dedup();
    let each = tickets.into_iter().map(|ticket| one_final(callers, ticket));
    futures::future::join_all(each).await
}

async fn one_final(callers: &Callers, ticket: String) -> Final {
    let call = callers.call(Request {
        entry: 1,
        request: callers.name("retry"),
        kind: Kind::Protected,
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
            monoio::time::sleep(AGAIN).await;
        }
    }
    Final { ticket, word }
}

/// What is still held after the bound.
async fn left(world: &World) -> Vec<String> {
    let mut held = Vec::new();
    until(DRAIN, async || {
        held = held_now(world).await;
        held.is_empty()
    })
    .await;
    held
}

async fn held_now(world: &World) -> Vec<String> {
    let mut held = Vec::new();
    let mut note = |what: String, count: u64| {
        if count > 0 {
            held.push(format!("{what}: {count}"));
        }
    };
    note("permits counted".to_owned(), in_pools(world, "in_flight").await);
    note("asks queued".to_owned(), in_pools(world, "queued").await);
    for at in 0..INSTANCES {
        let status = world.status(Daemon::Entry(at)).await;
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
        let load = world
            .http
            .get(world.operator(Daemon::Engine(at)), "/load")
            .await
            .unwrap_or_default();
        let count = load["running"].as_u64().unwrap_or(1) + load["waiting"].as_u64().unwrap_or(0);
        note(format!("requests at engine {at}"), count);
    }
    held
}
