//! Keeps the view up to date with the platform's store: reads a list of all records, then watches for changes. In a large
//! fleet, most instances don't watch the store; they follow an instance that does, by copying its changes.
//!
//! Each watch waits only briefly, so that a silent connection, or a store that responds to others but not to this
//! instance, is detected within the time in which a change has to be in force. After a failure the list is read again
//! only if the store has dropped the changes after the view or was restored from a backup ([`era`]). While the store is
//! unavailable, everything known stays in force.

pub mod era;
pub mod list;
pub mod sync;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Era, Update};
use celerytide_types::{BootTime, now_boot};
use monoio::time::sleep;
use rand::Rng;
use tracing::{debug, info, warn};

use crate::edge::{Edge, StoreAccess};
use crate::peers::digest::id_hash;
use crate::peers::readers::{ChangeSource, Readers};
use crate::peers::relay::{self, FollowReply, FollowResult};
use crate::protocol::Protocol;
use crate::source::{Source, SourceError};

use sync::{NextRead, SyncState};

/// Longest wait of a watch in a small fleet, as a share of the time after an outage within which the view must be up to
/// date: a watch that started before the outage may not notice its end.
const WATCH_SHARE: f64 = 0.75;
/// Longest wait of a watch or of a follower's call in a large fleet, as a share of the time in which a change has to be
/// in force. Together with the margin for the reply it is short enough that a follower leaves a silent reader while there
/// is time to read the store.
const LARGE_FLEET_WATCH_SHARE: f64 = 0.3;
/// Wait of a watch whose response is wanted at once.
const WANTED_WAIT: Duration = Duration::from_millis(1);
/// Time after a possible proof at which the response for it is wanted.
const PROOF_MARGIN: Duration = Duration::from_millis(50);
/// Least time between a response and the next one that is wanted at once, which bounds the calls.
const WANTED_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the response to a watch after its wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Time limit for a page of the list.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for a page while no configuration is known: a call that started before the store came back doesn't notice
/// that, so it ends early.
const FIRST_PAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// One call in this many uses [`PAGE_TIMEOUT`] nevertheless, since a slow store needs longer.
const LONG_TIMEOUT_EVERY: u32 = 3;
/// First delay after a failure; doubles up to [`MAX_DELAY`].
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// Longest delay after a failure.
const MAX_DELAY: Duration = Duration::from_millis(400);
/// Longest wait after a restore before the assigned reader is asked for the new list, which it should have read by
/// then.
const READER_LIST_WAIT: Duration = Duration::from_millis(400);
/// Delay after a watch that returned changes, so that several changes arrive in one call, as a share of the time in
/// which a change has to be in force.
const BATCH_SHARE: f64 = 0.25;
/// Time for endpoints to register again after such an outage, or after a restore of the store. Endpoints whose records
/// are missing in that time aren't removed.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1800);

/// Keeps the view up to date with the store until the process ends.
pub async fn run<P: Protocol, S: Source>(edge: Rc<Edge<P>>, source: S) {
    let mut sync = SyncState::default();
    loop {
        if let ChangeSource::Peer(reader) = change_source(&edge)
            && sync.listed
        {
            edge.store_access.set(StoreAccess::Following);
            if follow(&edge, reader).await {
                sync.record_followed();
            }
            continue;
        }
        let known = edge.view.borrow().position();
        let step = match sync.next(known) {
            NextRead::Page(after) => page(&edge, &source, after.as_deref(), &mut sync).await,
            NextRead::Watch(_) => watch(&edge, &source, &mut sync).await,
        };
        // A store that dropped changes or was restored does respond; the list is read at once.
        edge.store_access.set(match step {
            Ok(()) | Err(SourceError::Compacted | SourceError::Restored { .. }) => StoreAccess::Direct,
            Err(_) => StoreAccess::Lost,
        });
        if let Err(error) = step {
            sync.record_failure(&error);
            handle_failure(&edge, &error, &mut sync).await;
        }
    }
}

/// Logs why a step failed, and waits unless the next step may start at once.
async fn handle_failure<P: Protocol>(edge: &Edge<P>, error: &SourceError, sync: &mut SyncState) {
    match error {
        SourceError::Compacted => {
            let times = sync.compactions;
            info!(
                times,
                "store: the changes after the view were dropped; the list is read again"
            );
            if times > 1 {
                sleep(retry_delay(times)).await;
            }
        }
        SourceError::Restored { from, to } => {
            info!(from, to, "store: the era rose; the list is read again");
            if let Some(reader) = assigned_reader(edge) {
                list_from_reader(edge, reader, *to, sync).await;
            }
        }
        _ => {
            edge.changed.notify_waiters();
            let age = edge
                .store_responded_at
                .get()
                .map(|at| now_boot().since(at).as_millis() as u64);
            if sync.failures == 1 {
                warn!(%error, age_ms = age, "store: lost; the view stays in force");
            }
            sleep(retry_delay(sync.failures)).await;
        }
    }
}

/// Gets the list of a new era from the assigned reader. In a large fleet all instances notice a restore at the same time,
/// since each tried to read the store itself while it was unavailable, and would all read the list.
async fn list_from_reader<P: Protocol>(edge: &Edge<P>, reader: SocketAddr, era: Era, sync: &mut SyncState) {
    sleep(READER_LIST_WAIT.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    let position = edge.view.borrow().position();
    match relay::follow(&edge.connections, reader, position, Duration::ZERO).await {
        Ok(reply) => apply_reply(edge, reply, now_boot()),
        Err(error) => debug!(%reader, %error, "store: the reader has no list yet"),
    }
    sync.listed = edge.view.borrow().position().era >= era;
    sync.restored &= !sync.listed;
}

async fn page<P: Protocol, S: Source>(
    edge: &Edge<P>,
    source: &S,
    after: Option<&str>,
    sync: &mut SyncState,
) -> Result<(), SourceError> {
    let known = edge.view.borrow().position();
    let turn = sync.failures.wrapping_add(id_hash(&edge.settings.instance));
    let limit = if edge.view.borrow().has_config() {
        PAGE_TIMEOUT
    } else {
        first_page_timeout(turn)
    };
    edge.counters.pages.inc();
    let Some(snapshot) = sync.apply_page(source.page(after, limit).await, known)? else {
        return Ok(());
    };
    if snapshot.position < known {
        warn!(?known, listed = ?snapshot.position, "store: the list is older than the view; ignored");
    }
    let now = now_boot();
    let removal_delay = record_response(edge, sync, now);
    sync.restored = false;
    let update = edge.view.borrow_mut().replace(snapshot, removal_delay, now);
    edge.apply_update(&update, "store");
    Ok(())
}

async fn watch<P: Protocol, S: Source>(edge: &Edge<P>, source: &S, sync: &mut SyncState) -> Result<(), SourceError> {
    let bounds = &edge.settings.bounds;
    let wait = if edge.members.borrow().is_large(now_boot()) {
        bounds.apply_time().mul_f64(LARGE_FLEET_WATCH_SHARE)
    } else {
        bounds.recovery_time().mul_f64(WATCH_SHARE)
    };
    let wait = until_proof(edge, wait);
    let known = edge.view.borrow().position();
    let response = monoio::select! {
        response = source.watch(known.revision, wait, RESPONSE_MARGIN) => response,
        () = response_wanted(edge) => source.watch(known.revision, WANTED_WAIT, RESPONSE_MARGIN).await,
    };
    let (changes, position) = sync.apply_changes(response, known)?;
    let now = now_boot();
    let removal_delay = record_response(edge, sync, now);
    let has_changes = !changes.is_empty();
    let update = edge.view.borrow_mut().apply(changes, position, removal_delay, now);
    apply_update(edge, &update, "store", now);
    if has_changes {
        monoio::select! {
            () = sleep(bounds.apply_time().mul_f64(BATCH_SHARE)) => {}
            () = response_wanted(edge) => {}
        }
    }
    Ok(())
}

/// Time until the next response is wanted: `wait` at most, or when it may prove that an endpoint lives.
fn until_proof<P: Protocol>(edge: &Edge<P>, wait: Duration) -> Duration {
    let now = now_boot();
    let proof = edge.view.borrow().next_proof().map(|at| at.since(now) + PROOF_MARGIN);
    proof.map_or(wait, |proof| proof.min(wait))
}

/// Waits until a response of the store is wanted that is later than the last one.
async fn response_wanted<P: Protocol>(edge: &Edge<P>) {
    while edge.store_wanted_at.get() <= edge.store_responded_at.get() {
        edge.store_wanted.notified().await;
    }
    let since = edge.store_responded_at.get().map(|at| now_boot().since(at));
    sleep(WANTED_INTERVAL.saturating_sub(since.unwrap_or_default())).await;
}

/// Gets newer changes from `reader`; reads the store directly for a while if that fails. Returns whether the reader can
/// read the store.
async fn follow<P: Protocol>(edge: &Edge<P>, reader: SocketAddr) -> bool {
    let wait = edge.settings.bounds.apply_time().mul_f64(LARGE_FLEET_WATCH_SHARE);
    let wait = until_proof(edge, wait);
    let position = edge.view.borrow().position();
    let reply = relay::follow(&edge.connections, reader, position, wait).await;
    let now = now_boot();
    match reply {
        Ok(reply) => {
            let has_store = matches!(reply.result, FollowResult::Changes { .. } | FollowResult::Whole(_));
            apply_reply(edge, reply, now);
            has_store
        }
        Err(error) => {
            info!(%reader, %error, "store: the reader gave nothing; read here for a while");
            let mut readers = edge.readers.borrow_mut();
            match error {
                relay::Error::NotYet => readers.reader_not_ready(now),
                _ => readers.reader_failed(reader, now),
            }
            false
        }
    }
}

fn apply_reply<P: Protocol>(edge: &Edge<P>, reply: FollowReply, now: BootTime) {
    let removal_delay = Duration::from_millis(reply.removal_delay_ms);
    let responded_at = now.since_start().saturating_sub(Duration::from_millis(reply.age_ms));
    edge.store_responded_at.set(
        edge.store_responded_at
            .get()
            .max(Some(BootTime::from_start(responded_at))),
    );
    edge.removal_delay_until.set(Some(now.after(removal_delay)));
    let update = match reply.result {
        FollowResult::Changes { changes, position } => {
            edge.view.borrow_mut().apply(changes, position, removal_delay, now)
        }
        FollowResult::Whole(snapshot) => edge.view.borrow_mut().replace(snapshot, removal_delay, now),
        FollowResult::NotYet | FollowResult::Lost => return,
    };
    apply_update(edge, &update, "reader", now);
}

/// Applies the effects of an update, and drops what has been kept for its removal delay.
fn apply_update<P: Protocol>(edge: &Edge<P>, update: &Update, from: &'static str, now: BootTime) {
    edge.apply_update(update, from);
    let expired = edge.view.borrow_mut().expire(now);
    edge.apply_update(&expired, "expiry");
}

/// The instance that this one is to follow in a large fleet.
fn assigned_reader<P: Protocol>(edge: &Edge<P>) -> Option<SocketAddr> {
    let members = edge.members.borrow();
    Readers::assigned_reader(members.own(), &members.live_peers(now_boot()))
}

fn change_source<P: Protocol>(edge: &Edge<P>) -> ChangeSource {
    let now = now_boot();
    let members = edge.members.borrow();
    edge.readers
        .borrow()
        .change_source(members.own(), &members.live_peers(now), members.age(now), now)
}

/// Time limit of the page read in this turn while no configuration is known. Instances start at different turns, so that
/// of those started together some retry soon whenever the store comes back; the others learn from them.
pub fn first_page_timeout(turn: u32) -> Duration {
    if turn.is_multiple_of(LONG_TIMEOUT_EVERY) {
        PAGE_TIMEOUT
    } else {
        FIRST_PAGE_TIMEOUT
    }
}

/// Records a response of the store; returns how long endpoints without a record are still kept.
fn record_response<P: Protocol>(edge: &Edge<P>, sync: &mut SyncState, now: BootTime) -> Duration {
    let before = edge.store_responded_at.replace(Some(now));
    let silence = now.since(before.unwrap_or(edge.started));
    if sync.may_have_expired(silence, edge.settings.bounds.heartbeat()) || sync.restored {
        edge.removal_delay_until.set(Some(now.after(REREGISTRATION_TIME)));
    }
    if sync.failures > 0 {
        info!(failures = sync.failures, "store: responds again");
    }
    sync.failures = 0;
    edge.removal_delay(now)
}

/// Delay after this number of failures in a row.
fn retry_delay(failures: u32) -> Duration {
    let doubled = FIRST_DELAY.saturating_mul(1 << failures.min(6));
    doubled.min(MAX_DELAY).mul_f64(rand::rng().random_range(0.5..1.0))
}
