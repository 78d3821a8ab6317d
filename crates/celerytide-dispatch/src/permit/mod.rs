//! Permit exchanges with entries.

use std::rc::Rc;

use celerytide_membership::ownership::OwnershipState;
use celerytide_policy::{Ended, PermitRequest, Refused, WarmLimit};
use celerytide_types::{ExecutionStatus, PermitId, RequestOutcome, Term, millis, now_boot};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{self, Ack, Adopt, Granted, PermitReply, PermitUpdate};
use std::time::Duration;

use crate::dispatch::Dispatch;
use crate::owned_pool::{Decision, OwnedPool, QueuedRequest};

/// Serves a permit request of an entry until it is refused or its permit has ended. A request for a pool of another
/// owner, or from an entry that doesn't follow this one, gets the reply `NotOwner`.
pub async fn serve_permit(dispatch: &Rc<Dispatch>, mut ex: Exchange) {
    let Ok(req) = ex.recv_required::<messages::PermitRequest>().await else {
        return;
    };
    let Some(owned_pool) = owned(dispatch, &req.pool) else {
        dispatch.pools.report_misdirected_request(&req.pool);
        return send_not_owner(dispatch, ex).await;
    };
    if !dispatch.pools.may_grant_to(&owned_pool, &req.from) {
        return send_not_owner(dispatch, ex).await;
    }
    dispatch.metrics.count_request();
    match owned_pool.offer(permit_request_from(req)) {
        Ok(queued) => wait_for_decision(dispatch, &owned_pool, ex, queued).await,
        Err(refused) => send_refusal(dispatch, ex, &refused).await,
    }
}

/// Serves an entry that moves a permit of a previous owner to this process.
pub async fn serve_adopt(dispatch: &Rc<Dispatch>, mut ex: Exchange) {
    let Ok(adopt) = ex.recv_required::<Adopt>().await else {
        return;
    };
    let Some(owned_pool) = owned(dispatch, &adopt.pool) else {
        return acknowledge(ex, false).await;
    };
    let permit = owned_pool.adopt(&adopt.endpoint, &adopt.class, &adopt.customer);
    dispatch.metrics.count_adoption();
    if let Some(limit) = adopt.warm_limit {
        let endpoint = adopt.endpoint.clone();
        owned_pool.restore_warm_limits(&[WarmLimit {
            endpoint,
            limit,
            started_unix_ms: None,
        }]);
    }
    if ex.send(&Ack { accepted: true }).await.is_err() {
        return owned_pool.orphan(permit);
    }
    follow_permit(&owned_pool, ex, permit).await;
}

/// The pool, if this process owns it according to both the pools and the current ownership state.
fn owned(dispatch: &Dispatch, pool: &str) -> Option<Rc<OwnedPool>> {
    let ownership_state = dispatch.pools.ownership_state(pool);
    dispatch
        .pools
        .owned(pool)
        .filter(|_| ownership_state != OwnershipState::NotOwner)
}

async fn acknowledge(mut ex: Exchange, accepted: bool) {
    if ex.send_last(&Ack { accepted }).await.is_err() {
        tracing::debug!("permit: acknowledgement not sent");
    }
}

/// Replies that this process doesn't own the pool, with the version of its instance list and its own incarnation.
async fn send_not_owner(dispatch: &Dispatch, mut ex: Exchange) {
    let list_version = dispatch.node.membership.view().list_version;
    let term = Term {
        list_version,
        incarnation: dispatch.node.incarnation,
    };
    if ex.send_last(&PermitReply::NotOwner(term)).await.is_err() {
        tracing::debug!("permit: reply `not owner` not sent");
    }
}

async fn wait_for_decision(
    dispatch: &Rc<Dispatch>,
    owned_pool: &Rc<OwnedPool>,
    mut ex: Exchange,
    mut queued: QueuedRequest,
) {
    let decision = monoio::select! {
        decision = &mut queued.decision => Some(decision),
        // An entry sends nothing before it has its permit, so this is its withdrawal or the end of the exchange.
        _ = ex.recv::<PermitUpdate>() => None,
    };
    match decision {
        None => owned_pool.withdraw(queued),
        Some(Ok(Decision::Granted(grant))) => send_grant(dispatch, owned_pool, ex, grant).await,
        Some(Ok(Decision::Refused(refused))) => send_refusal(dispatch, ex, &refused).await,
        Some(Ok(Decision::NotOwner) | Err(_)) => send_not_owner(dispatch, ex).await,
    }
}

async fn send_grant(
    dispatch: &Dispatch,
    owned_pool: &Rc<OwnedPool>,
    mut ex: Exchange,
    grant: celerytide_policy::Grant,
) {
    let Some(address) = owned_pool.endpoint_address(&grant.endpoint) else {
        // The configuration has changed since the grant; after this reply the entry requests a permit again.
        owned_pool.settle(grant.permit, Ended::Cancelled);
        return send_not_owner(dispatch, ex).await;
    };
    let granted = Granted {
        permit: grant.permit,
        pool: owned_pool.id.clone(),
        warm_limit: owned_pool.warm_limit(&grant.endpoint),
        endpoint: grant.endpoint,
        address,
        term: owned_pool.term(),
        permit_age_ms: millis(dispatch.settings.timeouts.permit_age),
    };
    dispatch.metrics.count_grant();
    if let Err(error) = ex.send(&PermitReply::Granted(granted)).await {
        return end_on_error(owned_pool, grant.permit, &error);
    }
    follow_permit(owned_pool, ex, grant.permit).await;
}

/// Follows a permit until its entry settles or resets the exchange, or until the connection to the entry is lost.
async fn follow_permit(owned_pool: &Rc<OwnedPool>, mut ex: Exchange, permit: PermitId) {
    let preempted = owned_pool.track(permit);
    let mut is_notified = false;
    loop {
        let update = monoio::select! {
            update = ex.recv::<PermitUpdate>() => update,
            () = preempted.cancelled(), if !is_notified => {
                is_notified = true;
                if let Err(error) = ex.send(&PermitReply::Preempt).await {
                    return end_on_error(owned_pool, permit, &error);
                }
                continue;
            }
        };
        match update {
            Ok(Some(PermitUpdate::Progress(tokens))) => owned_pool.progress(permit, tokens),
            Ok(Some(PermitUpdate::Settle(messages::Ended::Moved))) => return owned_pool.move_to_next_owner(permit),
            Ok(Some(PermitUpdate::Settle(ended))) => return owned_pool.settle(permit, ended_from(ended)),
            Ok(None) => return owned_pool.settle(permit, Ended::Cancelled),
            Err(error) => return end_on_error(owned_pool, permit, &error),
        }
    }
}

/// Ends a permit after an error. A reset by the entry settles it. A lost connection proves nothing about the request,
/// which may continue, so the permit becomes an orphan.
fn end_on_error(owned_pool: &OwnedPool, permit: PermitId, error: &celerytide_wire::Error) {
    if error.is_reset_by_peer() {
        owned_pool.settle(permit, Ended::Cancelled);
    } else {
        owned_pool.orphan(permit);
    }
}

async fn send_refusal(dispatch: &Dispatch, mut ex: Exchange, refused: &Refused) {
    dispatch.metrics.count_refusal(refused.cause);
    let outcome = RequestOutcome {
        status: ExecutionStatus::NotRun,
        cause: refused.cause.as_str().to_owned(),
        retry_after_ms: Some(millis(refused.retry_after)),
    };
    if ex.send_last(&PermitReply::Refused(outcome)).await.is_err() {
        tracing::debug!("permit: refusal not sent");
    }
}

fn permit_request_from(req: messages::PermitRequest) -> PermitRequest {
    let now = now_boot();
    let waited = Duration::from_millis(req.waited_ms);
    PermitRequest {
        request: req.request,
        class: req.class,
        customer: req.customer,
        deadline: now.after(Duration::from_millis(req.start_within_ms)),
        arrived: celerytide_types::BootTime::from_start(now.since_start().saturating_sub(waited)),
        prompt_tokens: req.prompt_tokens,
        max_tokens: req.max_tokens,
        prefix: req.prefix,
        avoid: req.avoid,
        content: req.content,
    }
}

fn ended_from(ended: messages::Ended) -> Ended {
    match ended {
        messages::Ended::Whole { tokens } => Ended::Whole { tokens },
        messages::Ended::Failed => Ended::Failed,
        messages::Ended::Slow => Ended::Slow,
        // `follow_permit` handles `Moved` itself.
        messages::Ended::Cancelled | messages::Ended::Moved => Ended::Cancelled,
        messages::Ended::NotStarted => Ended::NotStarted,
        messages::Ended::BrokeOff => Ended::BrokeOff,
    }
}
