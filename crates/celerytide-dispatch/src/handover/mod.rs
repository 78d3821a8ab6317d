//! Handing a pool to its next owner: the former one stops granting first, then says so.

use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::Instance;
use celerytide_membership::ownership::owner_of;
use celerytide_node::Node;
use celerytide_policy::Warmth;
use celerytide_types::{RegionId, Term};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Ack, Handover, Method, WarmEndpoint};
use monoio::time::{sleep, timeout};

use crate::pools::Pools;
use crate::slot::Slot;

/// Attempts to reach the next owner; it may learn of its ownership later.
const ATTEMPTS: u32 = 10;
/// Time between attempts.
const WAIT: Duration = Duration::from_millis(300);
/// Time between looks at permits that have not ended or moved.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time for one attempt.
const ATTEMPT_TIME: Duration = Duration::from_secs(1);

/// Tells the next owner of the pool in `slot`, in a task of its own: at once that nothing more is granted, and later that
/// every permit has ended or moved. Cold endpoints wait for the second word, because an entry that the next owner's list
/// doesn't show keeps its permits here.
pub fn send(node: Rc<Node>, slot: Rc<Slot>, region: RegionId, term: Term) {
    monoio::spawn(async move {
        if !send_until_taken(&node, &slot, &region, term).await {
            tracing::info!(
                pool = slot.id,
                "handover: the next owner was not reached; it waits out its hold"
            );
            return;
        }
        if slot.in_flight() == 0 {
            return;
        }
        while slot.in_flight() > 0 {
            sleep(DRAIN_LOOK).await;
        }
        send_until_taken(&node, &slot, &region, term).await;
    });
}

async fn send_until_taken(node: &Node, slot: &Slot, region: &str, term: Term) -> bool {
    for _ in 0..ATTEMPTS {
        let told = timeout(ATTEMPT_TIME, send_once(node, slot, region, term)).await;
        if told == Ok(true) {
            return true;
        }
        sleep(WAIT).await;
    }
    false
}

async fn send_once(node: &Node, slot: &Slot, region: &str, term: Term) -> bool {
    let view = node.membership.view();
    let others: Vec<Instance> = view
        .instances
        .iter()
        .filter(|i| i.id != node.instance)
        .cloned()
        .collect();
    let Some(next) = owner_of(&slot.id, region, &others) else {
        return false;
    };
    let message = Handover {
        pool: slot.id.clone(),
        from: node.instance.clone(),
        term,
        drained: slot.in_flight() == 0,
        stopping: node.stop.is_cancelled(),
        warm: warm_of(slot),
    };
    let answer = node
        .connections
        .call::<_, Ack>(next.dispatch_peer, Method::Handover, &message)
        .await;
    matches!(answer, Ok(Ack { taken: true }))
}

fn warm_of(slot: &Slot) -> Vec<WarmEndpoint> {
    let warm = slot.warmth().into_iter().map(|w| WarmEndpoint {
        endpoint: w.endpoint,
        limit: w.limit,
        started_unix_ms: w.started_unix_ms,
    });
    warm.collect()
}

/// Serves a former owner's handover.
pub async fn serve(pools: &Pools, mut ex: Exchange) {
    let Ok(handover) = ex.recv_required::<Handover>().await else {
        return;
    };
    if handover.stopping {
        pools.stopped(&handover.from);
    }
    let taken = pools.handed_over(&handover.pool, handover.term, handover.drained);
    if let Some(slot) = pools.owned(&handover.pool).filter(|_| taken) {
        slot.take_over(&warmth_of(&handover.warm));
    }
    if ex.send_last(&Ack { taken }).await.is_err() {
        tracing::debug!(pool = handover.pool, "handover: the former owner is gone");
    }
}

fn warmth_of(warm: &[WarmEndpoint]) -> Vec<Warmth> {
    let warmth = warm.iter().map(|w| Warmth {
        endpoint: w.endpoint.clone(),
        limit: w.limit,
        started_unix_ms: w.started_unix_ms,
    });
    warmth.collect()
}
