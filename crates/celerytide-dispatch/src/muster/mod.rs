//! A new owner calls every listed entry for its permits in flight; each moves them here before it answers.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::ownership::{Former, MusterCall};
use celerytide_node::Node;
use celerytide_types::{InstanceId, PoolId};
use celerytide_wire::messages::{Method, Muster, Mustered};
use monoio::time::{sleep, timeout};

use crate::handover::{owner_term, wire_term};
use crate::pools::Pools;

/// Time between looks at whom to call.
const LOOK: Duration = Duration::from_millis(50);
/// Time for one call.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Wait after a call that failed.
const FAILED_WAIT: Duration = Duration::from_millis(500);
/// Calls at once.
const MAX_CALLS: usize = 32;

type Calls = Rc<RefCell<HashSet<CallKey>>>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CallKey {
    pool: PoolId,
    entry: InstanceId,
    round: u64,
}

/// Calls until the process ends. `own` is where this process listens for adoptions.
pub async fn run(node: Rc<Node>, pools: Rc<Pools>, own: SocketAddr) {
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
            monoio::spawn(one(node.clone(), pools.clone(), own, call, key, calls.clone()));
        }
        sleep(LOOK).await;
    }
}

async fn one(node: Rc<Node>, pools: Rc<Pools>, own: SocketAddr, call: MusterCall, key: CallKey, calls: Calls) {
    let answered = timeout(CALL_TIME, ask(&node, own, &call)).await.ok().flatten();
    match answered {
        Some(Mustered {
            followed: true,
            complete: true,
            other,
            ..
        }) => {
            let former = other.map_or(Former::Nobody, |term| Former::Seen(owner_term(term)));
            pools.mustered(&call, former);
            pools.refresh();
        }
        Some(Mustered {
            followed: false,
            other: Some(highest),
            ..
        }) => {
            pools.refused(&call.pool, owner_term(highest));
            sleep(FAILED_WAIT).await;
        }
        Some(_) | None => sleep(FAILED_WAIT).await,
    }
    calls.borrow_mut().remove(&key);
}

async fn ask(node: &Node, own: SocketAddr, call: &MusterCall) -> Option<Mustered> {
    let view = node.membership.view();
    let addr = view.instance(&call.entry)?.entry_peer;
    let muster = Muster {
        pool: call.pool.clone(),
        term: wire_term(call.term),
        owner: own,
    };
    node.links.call(addr, Method::Muster, &muster).await.ok()
}
