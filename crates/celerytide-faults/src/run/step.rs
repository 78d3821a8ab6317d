//! Sends requests and holds them at a step by limiting what passes the relay.

use std::time::Duration;

use celerytide_standin::relay::Mode;
use serde_json::Value;

use super::callers::{CHAT_TOKENS, CallSpec, Callers};
use crate::{
    cluster::{Cluster, Daemon, INSTANCES, Link, wait_until},
    history::RequestKind,
    matrix::{Injection, Step},
};

/// Timeout for reaching a step.
const REACH_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests held at a step: a chat call, a plain call and two at-most-once calls.
const BATCH_SIZE: usize = 4;
/// Number of calls that fill the slots of all endpoints of a kind.
const FILLER_COUNT: usize = 6;
/// Part of a request head that is let through: fewer bytes than any head has.
const HEAD_PREFIX_BYTES: u64 = 60;
/// Part of a response that is let through: the first bytes of its status line.
const STATUS_LINE_BYTES: u64 = 12;
/// Part of a response that is let through: more than its head, less than the whole.
const CHAT_PREFIX_BYTES: u64 = 2500;
const PLAIN_PREFIX_BYTES: u64 = 130;

/// Links on which requests or changes are held at `step`.
pub(super) fn step_links(step: Step) -> Vec<Link> {
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

/// Sends a batch of requests and holds them at the step; returns whether all reached it.
pub(super) async fn hold_requests(cluster: &Cluster, callers: &Callers, injection: &Injection) -> bool {
    let tickets = [callers.take_ticket(0).await, callers.take_ticket(1).await];
    if injection.step == Step::Queued {
        fill_slots(cluster, callers).await;
    }
    set_hold(cluster, injection.step);
    for kind in [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get] {
        callers.send(CallSpec {
            entry: 0,
            request_id: callers.next_id("first"),
            kind,
            ticket: None,
        });
    }
    for ticket in tickets.into_iter().flatten() {
        callers.send(CallSpec {
            entry: 0,
            request_id: callers.next_id("first"),
            kind: RequestKind::Protected,
            ticket: Some(ticket),
        });
    }
    wait_until(REACH_TIMEOUT, async || is_reached(cluster, injection.step).await).await
}

fn set_hold(cluster: &Cluster, step: Step) {
    let hold = |up, down, keep| Mode::Hold { up, down, keep };
    let mode = match step {
        Step::Accepted | Step::HeadWritten => hold(Some(HEAD_PREFIX_BYTES), None, 0),
        Step::Classified => hold(Some(0), None, 0),
        Step::Permitted | Step::BodyWritten | Step::AnswerToCaller => hold(None, Some(0), 0),
        Step::Connecting => {
            reset_idle_connections(cluster);
            Mode::Stall
        }
        Step::FirstByte => hold(None, Some(STATUS_LINE_BYTES), 0),
        Step::LastByte => hold(None, None, 1),
        Step::MidAnswer => {
            cluster.set_link_mode(&Link::all_of_kind(Link::Engine), hold(None, Some(CHAT_PREFIX_BYTES), 0));
            return cluster.set_link_mode(&Link::all_of_kind(Link::Plain), hold(None, Some(PLAIN_PREFIX_BYTES), 0));
        }
        _ => return,
    };
    cluster.set_link_mode(&step_links(step), mode);
}

/// Resets idle connections to endpoints, over which a request would not connect; keeps them if requests are held on them.
fn reset_idle_connections(cluster: &Cluster) {
    if held_connections(cluster, Step::Connecting) == 0 {
        cluster.set_link_mode(&step_links(Step::Connecting), Mode::Reset);
    }
}

/// Occupies every slot of every endpoint.
async fn fill_slots(cluster: &Cluster, callers: &Callers) {
    cluster.set_link_mode(
        &Link::endpoints(),
        Mode::Hold {
            up: None,
            down: Some(0),
            keep: 0,
        },
    );
    for index in 0..FILLER_COUNT {
        for kind in [RequestKind::Chat(CHAT_TOKENS), RequestKind::Get] {
            callers.send(CallSpec {
                entry: index % INSTANCES,
                request_id: callers.next_id("filler"),
                kind,
                ticket: None,
            });
        }
    }
    wait_until(REACH_TIMEOUT, async || pool_total(cluster, "queued").await >= 1).await;
}

async fn is_reached(cluster: &Cluster, step: Step) -> bool {
    match step {
        Step::Queued => pool_total(cluster, "queued").await >= BATCH_SIZE as u64,
        Step::Permitted => pool_total(cluster, "in_flight").await >= BATCH_SIZE as u64,
        Step::Connecting => held_permits(cluster).await >= BATCH_SIZE as u64,
        Step::Classified => held_connections(cluster, step) >= 1,
        Step::LastByte => held_connections(cluster, step) >= BATCH_SIZE && engines_idle(cluster).await,
        _ => held_connections(cluster, step) >= BATCH_SIZE,
    }
}

fn held_connections(cluster: &Cluster, step: Step) -> usize {
    let all = cluster.link_states();
    step_links(step).into_iter().map(|link| all[link.index()].held).sum()
}

async fn engines_idle(cluster: &Cluster) -> bool {
    for index in 0..crate::cluster::ENGINES {
        let load = cluster
            .control
            .get(cluster.operator_addr(Daemon::Engine(index)), "/load")
            .await;
        if load.unwrap_or_default()["running"] != 0 {
            return false;
        }
    }
    true
}

async fn held_permits(cluster: &Cluster) -> u64 {
    let mut permits = 0;
    for index in 0..INSTANCES {
        let status = cluster.status(Daemon::Entry(index)).await;
        permits += status["requests"]["permits_held"].as_u64().unwrap_or(0);
    }
    permits
}

/// Sum of a status field (`queued` or `in_flight`) over all pools.
pub(super) async fn pool_total(cluster: &Cluster, field: &str) -> u64 {
    let mut sum = 0;
    for index in 0..INSTANCES {
        for pool in cluster.pools(index).await {
            sum += match field {
                "queued" => queued_in_pool(&pool),
                field => pool["status"][field].as_u64().unwrap_or(0),
            };
        }
    }
    sum
}

fn queued_in_pool(pool: &Value) -> u64 {
    let tiers = pool["status"]["tiers"].as_array().cloned().unwrap_or_default();
    tiers.iter().filter_map(|tier| tier["queued"].as_u64()).sum()
}
