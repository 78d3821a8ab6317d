//! Brings requests to a step and holds them there.

use std::time::Duration;

use celerytide_standin::relay::Mode;
use serde_json::Value;

use super::callers::{Callers, Request, TOKENS};
use crate::{
    history::Kind,
    matrix::{Step, Strike},
    world::{Daemon, INSTANCES, Link, World, until},
};

/// Time in which a step must be reached.
const REACH: Duration = Duration::from_secs(5);
/// Requests brought to a step: a chat, a get and two protected calls.
const BATCH: usize = 4;
/// Calls that fill the slots of all endpoints of a kind.
const FILLERS: usize = 6;
/// Bytes of a head, fewer than any head has.
const HEAD_PART: u64 = 60;
/// Bytes of an answer's first line.
const FIRST_BYTES: u64 = 12;
/// Bytes of an answer, more than its head and fewer than all.
const MOST_OF_CHAT: u64 = 2500;
const MOST_OF_PLAIN: u64 = 130;

/// The links at which a step rests.
pub(super) fn links(step: Step) -> Vec<Link> {
    match step {
        Step::Accepted | Step::AnswerToCaller => vec![Link::Caller(0)],
        Step::Classified | Step::Queued | Step::Permitted => Link::both(Link::DispatchPeer),
        Step::Connecting
        | Step::HeadWritten
        | Step::BodyWritten
        | Step::FirstByte
        | Step::MidAnswer
        | Step::LastByte => Link::endpoints(),
        Step::Seen | Step::Fetched | Step::Checked => Link::both(Link::Config),
        Step::Applied | Step::Spread => {
            let mut peers = Link::both(Link::EntryPeer);
            peers.extend(Link::both(Link::DispatchPeer));
            peers
        }
    }
}

/// Sends one request of each kind and holds them at the step; whether all reached it.
pub(super) async fn bring(world: &World, callers: &Callers, strike: &Strike) -> bool {
    let tickets = [callers.ticket(0).await, callers.ticket(1).await];
    if strike.step == Step::Queued {
        fill(world, callers).await;
    }
    hold(world, strike.step);
    for kind in [Kind::Chat(TOKENS), Kind::Get] {
        callers.send(Request {
            entry: 0,
            request: callers.name("first"),
            kind,
            ticket: None,
        });
    }
    for ticket in tickets.into_iter().flatten() {
        callers.send(Request {
            entry: 0,
            request: callers.name("first"),
            kind: Kind::Protected,
            ticket: Some(ticket),
        });
    }
    until(REACH, async || reached(world, strike.step).await).await
}

fn hold(world: &World, step: Step) {
    let held = |up, down, keep| Mode::Hold { up, down, keep };
    let mode = match step {
        Step::Accepted | Step::HeadWritten => held(Some(HEAD_PART), None, 0),
        Step::Classified => held(Some(0), None, 0),
        Step::Permitted | Step::BodyWritten | Step::AnswerToCaller => held(None, Some(0), 0),
        Step::Connecting => {
            close_idle(world);
            Mode::Stall
        }
        Step::FirstByte => held(None, Some(FIRST_BYTES), 0),
        Step::LastByte => held(None, None, 1),
        Step::MidAnswer => {
            world.set(&Link::both(Link::Engine), held(None, Some(MOST_OF_CHAT), 0));
            return world.set(&Link::both(Link::Plain), held(None, Some(MOST_OF_PLAIN), 0));
        }
        _ => return,
    };
    world.set(&links(step), mode);
}

/// Closes the connections to endpoints, unless requests rest on them: a request over an idle one doesn't connect.
fn close_idle(world: &World) {
    if held(world, Step::Connecting) == 0 {
        world.set(&links(Step::Connecting), Mode::Reset);
    }
}

/// Takes every slot of every endpoint.
async fn fill(world: &World, callers: &Callers) {
    world.set(
        &Link::endpoints(),
        Mode::Hold {
            up: None,
            down: Some(0),
            keep: 0,
        },
    );
    for at in 0..FILLERS {
        for kind in [Kind::Chat(TOKENS), Kind::Get] {
            callers.send(Request {
                entry: at % INSTANCES,
                request: callers.name("filler"),
                kind,
                ticket: None,
            });
        }
    }
    until(REACH, async || in_pools(world, "queued").await >= 1).await;
}

async fn reached(world: &World, step: Step) -> bool {
    match step {
        Step::Queued => in_pools(world, "queued").await >= BATCH as u64,
        Step::Permitted => in_pools(world, "in_flight").await >= BATCH as u64,
        Step::Connecting => permits(world).await >= BATCH as u64,
        Step::Classified => held(world, step) >= 1,
        Step::LastByte => held(world, step) >= BATCH && engines_idle(world).await,
        _ => held(world, step) >= BATCH,
    }
}

fn held(world: &World, step: Step) -> usize {
    let all = world.links();
    links(step).into_iter().map(|link| all[link.index()].held).sum()
}

async fn engines_idle(world: &World) -> bool {
    for at in 0..crate::world::ENGINES {
        let load = world.http.get(world.operator(Daemon::Engine(at)), "/load").await;
        if load.unwrap_or_default()["running"] != 0 {
            return false;
        }
    }
    true
}

async fn permits(world: &World) -> u64 {
    let mut held = 0;
    for at in 0..INSTANCES {
        let status = world.status(Daemon::Entry(at)).await;
        held += status["requests"]["permits_held"].as_u64().unwrap_or(0);
    }
    held
}

/// Asks queued or permits in flight over all pools.
pub(super) async fn in_pools(world: &World, what: &str) -> u64 {
    let mut sum = 0;
    for at in 0..INSTANCES {
        for pool in world.pools(at).await {
            sum += match what {
                "queued" => queued(&pool),
                field => pool["status"][field].as_u64().unwrap_or(0),
            };
        }
    }
    sum
}

fn queued(pool: &Value) -> u64 {
    let tiers = pool["status"]["tiers"].as_array().cloned().unwrap_or_default();
    tiers.iter().filter_map(|tier| tier["queued"].as_u64()).sum()
}
