//! A new owner calls every listed entry for its permits in flight; each moves them here before it answers.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::ownership::{MusterCall, PreviousOwner};
use celerytide_node::Node;
use celerytide_types::{InstanceId, PoolId};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Ack, Method, Muster, MusterReply};
use monoio::time::{sleep, timeout};

use crate::pools::Pools;

/// Time between looks at whom to call.
const LOOK: Duration = Duration::from_millis(50);
/// Time for one call.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Wait after a call that failed.
const FAILED_WAIT: Duration = Duration::from_millis(100);
/// Calls at once.
const MAX_CALLS: usize = 32;

type Calls = Rc<RefCell<HashSet<CallKey>>>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CallKey {
    pool: PoolId,
    entry: InstanceId,
    round: u64,
}

/// Calls until the process ends.
pub async fn run(node: Rc<Node>, pools: Rc<Pools>) {
    let calls = Calls::default();
    while !node.abort.is_cancelled() {
        for call in pools.musters() {
            let key = CallKey {
                pool: call.pool.clone(),
                entry: call.entry.clone(),
                round: call.round,
            };
            if calls.borrow().len() >= MAX_CALLS || !calls.borrow_mut().insert(key.clone()) {
                continue;
            }
            monoio::spawn(one(node.clone(), pools.clone(), call, key, calls.clone()));
        }
        sleep(LOOK).await;
    }
}

async fn one(node: Rc<Node>, pools: Rc<Pools>, call: MusterCall, key: CallKey, calls: Calls) {
    let answered = timeout(CALL_TIME, ask(&node, &call)).await.ok().flatten();
    let answer = answered.as_ref().map(|a| &a.mustered);
    tracing::debug!(pool = call.pool, entry = call.entry, ?call.term, ?answer, "muster: an entry was called");
    let followed = match answered {
        Some(Answered { mustered, ex }) => took(&pools, &call, &mustered).then_some(ex),
        None => None,
    };
    if followed.is_none() {
        sleep(FAILED_WAIT).await;
    }
    calls.borrow_mut().remove(&key);
    if let Some(ex) = followed {
        watch(&pools, &call, ex).await;
    }
}

/// Whether the entry follows.
fn took(pools: &Pools, call: &MusterCall, mustered: &MusterReply) -> bool {
    if mustered.followed && mustered.complete {
        let former = mustered.other.map_or(PreviousOwner::NoOwner, PreviousOwner::Followed);
        pools.mustered(call, former);
        pools.refresh();
        return true;
    }
    if let Some(highest) = mustered.other.filter(|_| !mustered.followed) {
        pools.refused(&call.pool, highest);
    }
    false
}

/// Waits for the end of the exchange on which the entry follows.
async fn watch(pools: &Pools, call: &MusterCall, mut ex: Exchange) {
    ex.set_background();
    let ended = ex.recv::<Ack>().await;
    tracing::info!(
        pool = call.pool,
        entry = call.entry,
        ?ended,
        "muster: an entry no longer follows"
    );
    pools.entry_lost(&call.entry);
}

struct Answered {
    mustered: MusterReply,
    ex: Exchange,
}

async fn ask(node: &Node, call: &MusterCall) -> Option<Answered> {
    let view = node.membership.view();
    let addr = view.instance(&call.entry)?.entry_peer;
    let muster = Muster {
        pool: call.pool.clone(),
        term: call.term,
        seen_list: call.seen_list,
        owner: node.instance.clone(),
    };
    let mut ex = node.connections.open(addr, Method::Muster, &muster).await.ok()?;
    let mustered = ex.recv_required().await.ok()?;
    Some(Answered { mustered, ex })
}
