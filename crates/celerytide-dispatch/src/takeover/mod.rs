//! Takeover of a pool: its new owner calls every listed entry, which transfers its permits in flight to the new owner
//! before it replies. So the new owner counts the work that the previous one started, and doesn't overload endpoints
//! that are already in use.

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
/// Timeout of one call, including the transfer of the entry's permits.
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
    /// Round of the takeover ([`TakeoverCall::round`]). An entry is called in a new round although its call of an
    /// earlier one is still active.
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
            // `insert` marks the call as active; false means that it was active already.
            if calls.borrow().len() >= MAX_CALLS || !calls.borrow_mut().insert(key.clone()) {
                continue;
            }
            monoio::spawn(call_entry(node.clone(), pools.clone(), call, key, calls.clone()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn call_entry(node: Rc<Node>, pools: Rc<Pools>, call: TakeoverCall, key: CallKey, calls: ActiveCalls) {
    let entry_reply = timeout(CALL_TIMEOUT, send_call(&node, &call)).await.ok().flatten();
    let reply = entry_reply.as_ref().map(|r| &r.reply);
    tracing::debug!(pool = call.pool, entry = call.entry, ?call.term, ?reply, "muster: called an entry");
    let open_exchange = match entry_reply {
        Some(EntryReply { reply, ex }) => apply_reply(&pools, &call, &reply).then_some(ex),
        None => None,
    };
    if open_exchange.is_none() {
        // The key stays active meanwhile, so that the entry isn't called again before the delay is over.
        sleep(RETRY_DELAY).await;
    }
    calls.borrow_mut().remove(&key);
    if let Some(ex) = open_exchange {
        watch_follower(&pools, &call, ex).await;
    }
}

/// Applies an entry's reply. Returns whether the entry has accepted the term and transferred all its permits.
fn apply_reply(pools: &Pools, call: &TakeoverCall, reply: &TakeoverReply) -> bool {
    if reply.followed && reply.complete {
        // The entry accepted the call, so `other` is the term that it followed before.
        let previous = reply.other.map_or(PreviousOwner::NoOwner, PreviousOwner::Followed);
        pools.record_takeover(call, previous);
        pools.refresh();
        return true;
    }
    // The entry refused the call, so `other` is the higher term that it follows.
    if let Some(highest) = reply.other.filter(|_| !reply.followed) {
        pools.record_higher_term(&call.pool, highest);
    }
    false
}

/// Waits for the end of the exchange, after which the entry may no longer follow this owner. The entry sends nothing
/// more, so the receive returns only when the exchange ends.
async fn watch_follower(pools: &Pools, call: &TakeoverCall, mut ex: Exchange) {
    ex.set_background();
    let ended = ex.recv::<Ack>().await;
    tracing::info!(
        pool = call.pool,
        entry = call.entry,
        ?ended,
        "muster: an entry no longer follows"
    );
    pools.entry_disconnected(&call.entry);
}

/// Reply of an entry with its exchange, which stays open while the entry follows this owner.
struct EntryReply {
    reply: TakeoverReply,
    ex: Exchange,
}

async fn send_call(node: &Node, call: &TakeoverCall) -> Option<EntryReply> {
    let view = node.membership.view();
    let addr = view.instance(&call.entry)?.entry_peer;
    let request = TakeoverRequest {
        pool: call.pool.clone(),
        term: call.term,
        latest_list_version: call.latest_list_version,
        owner: node.instance.clone(),
    };
    let mut ex = node.connections.open(addr, Method::Muster, &request).await.ok()?;
    let reply = ex.recv_required().await.ok()?;
    Some(EntryReply { reply, ex })
}
