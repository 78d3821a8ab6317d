//! Collects the permits of a previous owner. A new owner calls every listed entry, which moves its permits in flight
//! here before it answers, so that the new owner doesn't overload endpoints that are already in use.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::ownership::{PreviousOwner, TakeoverCall};
use celerytide_node::Node;
use celerytide_types::{InstanceId, PoolId};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Ack, Method, TakeoverReply, TakeoverRequest};
use monoio::time::{sleep, timeout};

use crate::pools::Pools;

/// Time between two checks for entries to call.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound on concurrent calls.
const MAX_CALLS: usize = 32;

type ActiveCalls = Rc<RefCell<HashSet<CallKey>>>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CallKey {
    pool: PoolId,
    entry: InstanceId,
    round: u64,
}

/// Calls entries until the process ends.
pub async fn run(node: Rc<Node>, pools: Rc<Pools>) {
    let calls = ActiveCalls::default();
    while !node.abort.is_cancelled() {
        for call in pools.pending_takeovers() {
            let key = CallKey {
                pool: call.pool.clone(),
                entry: call.entry.clone(),
                round: call.round,
            };
            if calls.borrow().len() >= MAX_CALLS || !calls.borrow_mut().insert(key.clone()) {
                continue;
            }
            monoio::spawn(call_entry(node.clone(), pools.clone(), call, key, calls.clone()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn call_entry(node: Rc<Node>, pools: Rc<Pools>, call: TakeoverCall, key: CallKey, calls: ActiveCalls) {
    let called = timeout(CALL_TIMEOUT, send_call(&node, &call)).await.ok().flatten();
    let answer = called.as_ref().map(|a| &a.reply);
    tracing::debug!(pool = call.pool, entry = call.entry, ?call.term, ?answer, "muster: called an entry");
    let following = match called {
        Some(Answer { reply, ex }) => apply_answer(&pools, &call, &reply).then_some(ex),
        None => None,
    };
    if following.is_none() {
        sleep(RETRY_DELAY).await;
    }
    calls.borrow_mut().remove(&key);
    if let Some(ex) = following {
        watch_follower(&pools, &call, ex).await;
    }
}

/// Applies an entry's answer. Returns whether the entry follows this owner.
fn apply_answer(pools: &Pools, call: &TakeoverCall, reply: &TakeoverReply) -> bool {
    if reply.followed && reply.complete {
        let previous = reply.other.map_or(PreviousOwner::NoOwner, PreviousOwner::Followed);
        pools.record_takeover(call, previous);
        pools.refresh();
        return true;
    }
    if let Some(highest) = reply.other.filter(|_| !reply.followed) {
        pools.record_higher_term(&call.pool, highest);
    }
    false
}

/// Waits for the end of the exchange, which means that the entry no longer follows this owner.
async fn watch_follower(pools: &Pools, call: &TakeoverCall, mut ex: Exchange) {
    ex.set_background();
    let ended = ex.recv::<Ack>().await;
    tracing::info!(
        pool = call.pool,
        entry = call.entry,
        ?ended,
        "muster: an entry no longer follows"
    );
    pools.record_disconnected_entry(&call.entry);
}

struct Answer {
    reply: TakeoverReply,
    ex: Exchange,
}

async fn send_call(node: &Node, call: &TakeoverCall) -> Option<Answer> {
    let view = node.membership.view();
    let addr = view.instance(&call.entry)?.entry_peer;
    let muster = TakeoverRequest {
        pool: call.pool.clone(),
        term: call.term,
        latest_list_version: call.latest_list_version,
        owner: node.instance.clone(),
    };
    let mut ex = node.connections.open(addr, Method::Muster, &muster).await.ok()?;
    let reply = ex.recv_required().await.ok()?;
    Some(Answer { reply, ex })
}
