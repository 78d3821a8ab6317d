//! Permit exchanges with entries.

use std::rc::Rc;

use celerytide_membership::ownership::OwnershipState;
use celerytide_policy::{Ask, Ended, Refused, Warmth};
use celerytide_types::{ExecutionStatus, PermitId, RequestOutcome, Term, millis, now_boot};
use celerytide_wire::Exchange;
use celerytide_wire::messages::{self, Ack, Adopt, Granted, PermitReply, PermitUpdate};
use std::time::Duration;

use crate::dispatch::Dispatch;
use crate::slot::{Decision, Slot, Waiting};

/// Serves an entry's ask to the end of its permit.
pub async fn serve_permit(dispatch: &Rc<Dispatch>, mut ex: Exchange) {
    let Ok(ask) = ex.recv_required::<messages::PermitRequest>().await else {
        return;
    };
    let Some(slot) = owned(dispatch, &ask.pool) else {
        dispatch.pools.asked_in_vain(&ask.pool);
        return not_owner(dispatch, ex).await;
    };
    if !dispatch.pools.may_ask(&slot, &ask.from) {
        return not_owner(dispatch, ex).await;
    }
    dispatch.metrics.ask();
    match slot.offer(policy_ask(ask)) {
        Ok(waiting) => wait(dispatch, &slot, ex, waiting).await,
        Err(refused) => refuse(dispatch, ex, &refused).await,
    }
}

/// Serves an entry that brings a permit of a former owner.
pub async fn serve_adopt(dispatch: &Rc<Dispatch>, mut ex: Exchange) {
    let Ok(adopt) = ex.recv_required::<Adopt>().await else {
        return;
    };
    let Some(slot) = owned(dispatch, &adopt.pool) else {
        return acknowledge(ex, false).await;
    };
    let permit = slot.adopt(&adopt.endpoint, &adopt.class, &adopt.customer);
    dispatch.metrics.adopted();
    if let Some(limit) = adopt.warm_limit {
        let endpoint = adopt.endpoint.clone();
        slot.take_over(&[Warmth {
            endpoint,
            limit,
            started_unix_ms: None,
        }]);
    }
    if ex.send(&Ack { taken: true }).await.is_err() {
        return slot.orphan(permit);
    }
    hold(&slot, ex, permit).await;
}

fn owned(dispatch: &Dispatch, pool: &str) -> Option<Rc<Slot>> {
    let standing = dispatch.pools.standing(pool);
    dispatch
        .pools
        .owned(pool)
        .filter(|_| standing != OwnershipState::NotOwner)
}

async fn acknowledge(mut ex: Exchange, taken: bool) {
    if ex.send_last(&Ack { taken }).await.is_err() {
        tracing::debug!("permit: the entry is gone");
    }
}

async fn not_owner(dispatch: &Dispatch, mut ex: Exchange) {
    let list_version = dispatch.node.membership.view().list_version;
    let term = Term {
        list_version,
        incarnation: dispatch.node.incarnation,
    };
    if ex.send_last(&PermitReply::NotOwner(term)).await.is_err() {
        tracing::debug!("permit: the entry is gone");
    }
}

async fn wait(dispatch: &Rc<Dispatch>, slot: &Rc<Slot>, mut ex: Exchange, mut waiting: Waiting) {
    let decided = monoio::select! {
        decided = &mut waiting.decision => Some(decided),
        // An entry says nothing before it has its permit: this is its withdrawal, or its end.
        _ = ex.recv::<PermitUpdate>() => None,
    };
    match decided {
        None => slot.withdraw(waiting),
        Some(Ok(Decision::Granted(grant))) => grant_to(dispatch, slot, ex, grant).await,
        Some(Ok(Decision::Refused(refused))) => refuse(dispatch, ex, &refused).await,
        Some(Ok(Decision::NotOwner) | Err(_)) => not_owner(dispatch, ex).await,
    }
}

async fn grant_to(dispatch: &Dispatch, slot: &Rc<Slot>, mut ex: Exchange, grant: celerytide_policy::Grant) {
    let Some(address) = slot.address(&grant.endpoint) else {
        slot.settle(grant.permit, Ended::Cancelled);
        return not_owner(dispatch, ex).await;
    };
    let granted = Granted {
        permit: grant.permit,
        pool: slot.id.clone(),
        warm_limit: slot.warm_limit(&grant.endpoint),
        endpoint: grant.endpoint,
        address,
        term: slot.term(),
        lasts_ms: millis(dispatch.settings.timeouts.permit_age),
    };
    dispatch.metrics.granted();
    if let Err(error) = ex.send(&PermitReply::Granted(granted)).await {
        return ended_without_word(slot, grant.permit, &error);
    }
    hold(slot, ex, grant.permit).await;
}

/// Follows a permit until it is settled, reset, or its holder's connection is lost.
async fn hold(slot: &Rc<Slot>, mut ex: Exchange, permit: PermitId) {
    let preempted = slot.run(permit);
    let mut told = false;
    loop {
        let noted = monoio::select! {
            noted = ex.recv::<PermitUpdate>() => noted,
            () = preempted.cancelled(), if !told => {
                told = true;
                if let Err(error) = ex.send(&PermitReply::Preempt).await {
                    return ended_without_word(slot, permit, &error);
                }
                continue;
            }
        };
        match noted {
            Ok(Some(PermitUpdate::Progress(tokens))) => slot.progress(permit, tokens),
            Ok(Some(PermitUpdate::Settle(messages::Ended::Moved))) => return slot.moved(permit),
            Ok(Some(PermitUpdate::Settle(ended))) => return slot.settle(permit, policy_ended(ended)),
            Ok(None) => return slot.settle(permit, Ended::Cancelled),
            Err(error) => return ended_without_word(slot, permit, &error),
        }
    }
}

/// A reset by the holder ends its permit; a lost connection says nothing of the request, which may go on.
fn ended_without_word(slot: &Slot, permit: PermitId, error: &celerytide_wire::Error) {
    if error.is_reset_by_peer() {
        slot.settle(permit, Ended::Cancelled);
    } else {
        slot.orphan(permit);
    }
}

async fn refuse(dispatch: &Dispatch, mut ex: Exchange, refused: &Refused) {
    dispatch.metrics.refused(refused.why);
    let word = RequestOutcome {
        word: ExecutionStatus::NotRun,
        cause: refused.why.as_str().to_owned(),
        retry_after_ms: Some(millis(refused.retry_after)),
    };
    if ex.send_last(&PermitReply::Refused(word)).await.is_err() {
        tracing::debug!("permit: the entry is gone");
    }
}

fn policy_ask(ask: messages::PermitRequest) -> Ask {
    let now = now_boot();
    let waited = Duration::from_millis(ask.waited_ms);
    Ask {
        request: ask.request,
        class: ask.class,
        customer: ask.customer,
        deadline: now.after(Duration::from_millis(ask.begin_within_ms)),
        arrived: celerytide_types::BootTime::from_start(now.since_start().saturating_sub(waited)),
        prompt_tokens: ask.prompt_tokens,
        max_tokens: ask.max_tokens,
        prefix: ask.prefix,
        avoid: ask.avoid,
    }
}

fn policy_ended(ended: messages::Ended) -> Ended {
    match ended {
        messages::Ended::Whole { tokens } => Ended::Whole { tokens },
        messages::Ended::Failed => Ended::Failed,
        messages::Ended::Slow => Ended::Slow,
        messages::Ended::Cancelled | messages::Ended::Moved => Ended::Cancelled,
        messages::Ended::NotStarted => Ended::NotStarted,
    }
}
