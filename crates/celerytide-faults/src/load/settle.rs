//! What must come about once the load has ended and everything passes again.

use std::time::{Duration, Instant};

use celerytide_standin::engine::OVERLOADS_PATH;
use futures::future::join_all;
use monoio::time::sleep;

use super::callers::Callers;
use crate::{
    history::{Final, History, Kind, Ran},
    world::{Daemon, ENGINES, INSTANCES, PLAINS, World, until},
};

/// Bound within which calls end, new ones are served, tickets have words, and nothing is held.
const BOUND: Duration = Duration::from_secs(20);
/// Wait between repetitions.
const AGAIN: Duration = Duration::from_millis(100);
/// Tokens of a chat call.
const TOKENS: usize = 10;
/// Pools of a world.
const POOLS: usize = 2;

/// Waits until every daemon is ready and every pool has a settled owner.
pub(super) async fn ready(world: &World, bound: Duration) -> bool {
    until(bound, async || all_ready(world).await && settled(world).await >= POOLS).await
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

/// Follows everything to its end and gathers the record.
pub(super) async fn settle(world: &World, callers: &Callers) -> Result<History, String> {
    let unserved = unserved(callers).await;
    until(BOUND, async || callers.open() == 0).await;
    let finals = finals(callers).await;
    let mut history = History {
        newest: world.manifest.version,
        converged: Some(Duration::ZERO),
        finals,
        unserved,
        left: left(world).await,
        sent: callers.sent(),
        ..History::default()
    };
    gather(world, &mut history).await?;
    Ok(history)
}

async fn gather(world: &World, history: &mut History) -> Result<(), String> {
    for plain in 0..PLAINS {
        let runs = world.runs(plain).await;
        let runs = runs.ok_or_else(|| format!("the record of plain service {plain} can't be read"))?;
        history.runs.extend(runs.into_iter().map(|run| Ran { plain, run }));
    }
    for at in 0..ENGINES {
        let falls = world.http.get(world.operator(Daemon::Engine(at)), OVERLOADS_PATH).await;
        let falls = falls.and_then(|f| f.as_u64());
        history.falls += falls.ok_or_else(|| format!("the record of engine {at} can't be read"))?;
    }
    Ok(())
}

/// Kinds of new requests that are not served through an entry in time.
async fn unserved(callers: &Callers) -> Vec<String> {
    let kinds = [Kind::Chat(TOKENS), Kind::Get, Kind::Protected];
    let each = (0..INSTANCES).flat_map(|entry| kinds.map(move |kind| served(callers, entry, kind)));
    join_all(each).await.into_iter().flatten().collect()
}

async fn served(callers: &Callers, entry: usize, kind: Kind) -> Option<String> {
    let end = Instant::now() + BOUND;
    let mut last = None;
    while Instant::now() < end {
        let ticket = match kind {
            Kind::Protected => callers.ticket(entry).await,
            _ => None,
        };
        last = callers.call(entry, kind, ticket).await;
        if last.as_ref().is_some_and(|told| told.is_done()) {
            return None;
        }
        sleep(AGAIN).await;
    }
    Some(format!("{kind:?} through entry {entry} is not served again: {last:?}"))
}

/// The words of each ticket, asked for at each entry.
async fn finals(callers: &Callers) -> Vec<Final> {
    let mut tickets: Vec<String> = callers.sent().into_iter().filter_map(|s| s.ticket).collect();
    tickets.sort();
    tickets.dedup();
    let mut finals = Vec::new();
    for ticket in tickets {
        // A ticket that no entry has begun has no word until it is used or expires.
        if callers.look(0, &ticket).await.is_none() {
            callers.call(0, Kind::Protected, Some(ticket.clone())).await;
        }
        for entry in 0..INSTANCES {
            let word = word(callers, entry, &ticket).await;
            finals.push(Final {
                ticket: ticket.clone(),
                word,
            });
        }
    }
    finals
}

async fn word(callers: &Callers, entry: usize, ticket: &str) -> Option<String> {
    let end = Instant::now() + BOUND;
    while Instant::now() < end {
        let word = callers.look(entry, ticket).await;
        if word.is_some() {
            return word;
        }
        sleep(AGAIN).await;
    }
    None
}

/// What is still held after the bound.
async fn left(world: &World) -> Vec<String> {
    let mut held = Vec::new();
    until(BOUND, async || {
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
    for at in 0..INSTANCES {
        for pool in world.pools(at).await {
            let in_flight = pool["status"]["in_flight"].as_u64().unwrap_or(0);
            note(format!("permits counted at dispatch {at}"), in_flight);
        }
        let status = world.status(Daemon::Entry(at)).await;
        for (group, field) in [
            ("requests", "permits_held"),
            ("requests", "running"),
            ("tickets", "running"),
        ] {
            let count = status[group][field].as_u64().unwrap_or(1);
            note(format!("{group} {field} at entry {at}"), count);
        }
    }
    held
}
