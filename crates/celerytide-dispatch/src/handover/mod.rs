//! Planned handover of a pool to its next owner. Two owners must not fill the same endpoints, so the previous owner
//! stops granting before it sends the handover.

use std::rc::Rc;
use std::time::Duration;

use celerytide_membership::Instance;
use celerytide_membership::ownership::owner_of;
use celerytide_node::Node;
use celerytide_policy::WarmLimit;
use celerytide_types::{RegionId, Term};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{Ack, Handover, Method, WarmEndpoint};
use monoio::time::{sleep, timeout};

use crate::owned_pool::OwnedPool;
use crate::pools::Pools;

/// Number of attempts; the next owner may learn of its ownership later than this process and refuses until then.
const ATTEMPTS: u32 = 10;
/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time between two checks for permits that have not ended or moved.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells the next owner of `owned_pool`, in a separate task, that this process grants nothing more. While permits are
/// in flight, a second message follows once all have ended or moved. Only a drained handover lets the next owner use
/// cold endpoints before the hold ends, because an entry that is missing in its list keeps its permits here.
pub fn send(node: Rc<Node>, owned_pool: Rc<OwnedPool>, region: RegionId, term: Term) {
    monoio::spawn(async move {
        if !send_with_retries(&node, &owned_pool, &region, term).await {
            tracing::info!(
                pool = owned_pool.id,
                "handover: next owner not reached; it will wait for the hold to end"
            );
            return;
        }
        if owned_pool.in_flight() == 0 {
            return;
        }
        while owned_pool.in_flight() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        send_with_retries(&node, &owned_pool, &region, term).await;
    });
}

/// Returns whether the next owner accepted the handover.
async fn send_with_retries(node: &Node, owned_pool: &OwnedPool, region: &str, term: Term) -> bool {
    for _ in 0..ATTEMPTS {
        let sent = timeout(ATTEMPT_TIMEOUT, send_once(node, owned_pool, region, term)).await;
        if sent == Ok(true) {
            return true;
        }
        sleep(RETRY_DELAY).await;
    }
    false
}

async fn send_once(node: &Node, owned_pool: &OwnedPool, region: &str, term: Term) -> bool {
    let view = node.membership.view();
    let others: Vec<Instance> = view
        .instances
        .iter()
        .filter(|i| i.id != node.instance)
        .cloned()
        .collect();
    let Some(next) = owner_of(&owned_pool.id, region, &others) else {
        return false;
    };
    let message = Handover {
        pool: owned_pool.id.clone(),
        from: node.instance.clone(),
        term,
        drained: owned_pool.in_flight() == 0,
        stopping: node.stop.is_cancelled(),
        warm_endpoints: wire_warm_limits(owned_pool),
    };
    let reply = node
        .connections
        .call::<_, Ack>(next.dispatch_peer, Method::Handover, &message)
        .await;
    matches!(reply, Ok(Ack { accepted: true }))
}

fn wire_warm_limits(owned_pool: &OwnedPool) -> Vec<WarmEndpoint> {
    let warm = owned_pool.warm_limits().into_iter().map(|w| WarmEndpoint {
        endpoint: w.endpoint,
        limit: w.limit,
        started_unix_ms: w.started_unix_ms,
    });
    warm.collect()
}

/// Serves the handover message of a previous owner.
pub async fn serve(pools: &Pools, mut ex: Exchange) {
    let Ok(handover) = ex.recv_required::<Handover>().await else {
        return;
    };
    if handover.stopping {
        pools.record_stopping_owner(&handover.from);
    }
    let accepted = pools.record_handover(&handover.pool, handover.term, handover.drained);
    if let Some(owned_pool) = pools.owned(&handover.pool).filter(|_| accepted) {
        owned_pool.restore_warm_limits(&warm_limits_from(&handover.warm_endpoints));
    }
    if ex.send_last(&Ack { accepted }).await.is_err() {
        tracing::debug!(pool = handover.pool, "handover: connection to the previous owner lost");
    }
}

fn warm_limits_from(warm: &[WarmEndpoint]) -> Vec<WarmLimit> {
    let warm_limits = warm.iter().map(|w| WarmLimit {
        endpoint: w.endpoint.clone(),
        limit: w.limit,
        started_unix_ms: w.started_unix_ms,
    });
    warm_limits.collect()
}
