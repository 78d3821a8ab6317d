//! Brings requests to a step and holds them there.

use std::time::Duration;

use celerytide_standin::relay::Mode;
use serde_json::Value;

use super::callers::{CHAT_TOKENS, Callers, Request};
use crate::{
    cluster::{Cluster, Daemon, INSTANCES, Link, wait_until},
    history::RequestKind,
    matrix::{Injection, Step},
};

/// Time in which a step must be reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(5);
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
        Step::Classified | Step::Queued | Step::Permitted => Link::all_of_kind(Link::DispatchPeer),
        Step::Connecting
        | Step::HeadWritten
        | Step::BodyWritten
        | Step::FirstByte
        | Step::MidAnswer
        | Step::LastByte => Link::endpoints(),
        Step::VersionSeen | Step::Fetched | Step::Checked => Link::all_of_kind(Link::Config),
        Step::Applied | Step::Spread => {
            let mut peers = Link::all_of_kind(Link::EntryPeer);
            peers.extend(Link::all_of_kind(Link::DispatchPeer));
            peers
        }
    }
}

/// Sends one request of each kind and holds them at the step; whether all reached it.
pub(super) async fn bring(cluster: &Cluster, callers: &Callers, injection: &Injection) -> bool {
    let tickets = [callers.ticket(0).await, callers.ticket(1).await];
    if injection.step == Step::Queued {
        fill(cluster, callers).await;
    }
    hold(cluster, injection.step);
    for kind in [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get] {
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
            kind: RequestKind::Protected,
            ticket: Some(ticket),
        });
    }
    wait_until(REACH_TIMEOUT, async || reached(cluster, injection.step).await).await
}

fn hold(cluster: &Cluster, step: Step) {
    let held = |up, down, keep| Mode::Hold { up, down, keep };
    let mode = match step {
        Step::Accepted | Step::HeadWritten => held(Some(HEAD_PART), None, 0),
        Step::Classified => held(Some(0), None, 0),
        Step::Permitted | Step::BodyWritten | Step::AnswerToCaller => held(None, Some(0), 0),
        Step::Connecting => {
            close_idle(cluster);
            Mode::Stall
        }
        Step::FirstByte => held(None, Some(FIRST_BYTES), 0),
        Step::LastByte => held(None, None, 1),
        Step::MidAnswer => {
            cluster.set_link_mode(&Link::all_of_kind(Link::Engine), held(None, Some(MOST_OF_CHAT), 0));
            return cluster.set_link_mode(&Link::all_of_kind(Link::Plain), held(None, Some(MOST_OF_PLAIN), 0));
        }
        _ => return,
    };
    cluster.set_link_mode(&links(step), mode);
}

/// Closes the connections to endpoints, unless requests rest on them: a request over an idle one doesn't connect.
fn close_idle(cluster: &Cluster) {
    if held(cluster, Step::Connecting) == 0 {
        cluster.set_link_mode(&links(Step::Connecting), Mode::Reset);
    }
}

/// Takes every slot of every endpoint.
async fn fill(cluster: &Cluster, callers: &Callers) {
    cluster.set_link_mode(
        &Link::endpoints(),
        Mode::Hold {
            up: None,
            down: Some(0),
            keep: 0,
        },
    );
    for at in 0..FILLERS {
        for kind in [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get] {
            callers.send(Request {
                entry: at % INSTANCES,
                request: callers.name("filler"),
                kind,
                ticket: None,
            });
        }
    }
    wait_until(REACH_TIMEOUT, async || in_pools(cluster, "queued").await >= 1).await;
}

async fn reached(cluster: &Cluster, step: Step) -> bool {
    match step {
        Step::Queued => in_pools(cluster, "queued").await >= BATCH as u64,
        Step::Permitted => in_pools(cluster, "in_flight").await >= BATCH as u64,
        Step::Connecting => permits(cluster).await >= BATCH as u64,
        Step::Classified => held(cluster, step) >= 1,
        Step::LastByte => held(cluster, step) >= BATCH && engines_idle(cluster).await,
        _ => held(cluster, step) >= BATCH,
    }
}

fn held(cluster: &Cluster, step: Step) -> usize {
    let all = cluster.link_states();
    links(step).into_iter().map(|link| all[link.index()].held).sum()
}

async fn engines_idle(cluster: &Cluster) -> bool {
    for at in 0..crate::cluster::ENGINES {
        let load = cluster
            .control
            .get(cluster.operator_addr(Daemon::Engine(at)), "/load")
            .await;
        if load.unwrap_or_default()["running"] != 0 {
            return false;
        }
    }
    true
}

async fn permits(cluster: &Cluster) -> u64 {
    let mut held = 0;
    for at in 0..INSTANCES {
        let status = cluster.status(Daemon::Entry(at)).await;
        held += status["requests"]["permits_held"].as_u64().unwrap_or(0);
    }
    held
}

/// Asks queued or permits in flight over all pools.
pub(super) async fn in_pools(cluster: &Cluster, what: &str) -> u64 {
    let mut sum = 0;
    for at in 0..INSTANCES {
        for pool in cluster.pools(at).await {
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
