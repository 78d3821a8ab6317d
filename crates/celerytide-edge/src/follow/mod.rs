//! Follows the platform's store: one list, then watches behind it, or in a large fleet behind an instance that reads it.
//!
//! A watch waits a short time only, so that a connection that went silent, or a store that serves others but not this
//! instance, shows within the time in which a change has to be in force. After a failure the list is read again only if
//! the store no longer keeps the changes behind the view. While the store is away everything known stays in force.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::Update;
use celerytide_types::{Boot, now_boot};
use monoio::time::sleep;
use rand::Rng;
use tracing::{info, warn};

use crate::edge::{Edge, Reading};
use crate::names::Wire;
use crate::peers::readers::Origin;
use crate::peers::relay::{self, News, Told};
use crate::source::{Source, SourceError};

/// Longest wait of one watch, as a share of the time after an outage within which the view has to be up to date: a watch
/// that began before the outage may hear nothing of its end.
const WAIT_SHARE: f64 = 0.75;
/// The same for one that others follow, and for those that follow it, as a share of the time in which a change has to be
/// in force: with the time for an answer, a reader that hears nothing is left while there is time to read without it.
const FOLLOWED_SHARE: f64 = 0.3;
/// Time beyond its wait for the answer to a watch.
const ANSWER: Duration = Duration::from_millis(500);
/// Time for one page of the list.
const PAGE: Duration = Duration::from_millis(1500);
/// The same while nothing is known, by turns with [`PAGE`]: a call that began before the store came back hears nothing of
/// that, and one to a slow store needs longer.
const FIRST_PAGE: Duration = Duration::from_millis(600);
/// First pause after a failure; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Rest after a watch that brought changes, so that changes in a row come in one call, as a share of the time in which a
/// change has to be in force.
const REST_SHARE: f64 = 0.25;
/// Heartbeats without an answer of the store after which entries may have lapsed unseen.
const LAPSE_BEATS: u32 = 2;
/// Time after such an outage in which a lapsed entry may come back.
const RETURN: Duration = Duration::from_millis(1800);

/// How the store has answered of late.
#[derive(Default)]
struct Contact {
    /// Failures in a row.
    failures: u32,
}

/// Follows the store until the process ends.
pub async fn run<W: Wire, S: Source>(edge: Rc<Edge<W>>, source: S) {
    let mut contact = Contact::default();
    let mut listed = false;
    loop {
        let origin = origin(&edge);
        let step = match origin {
            Origin::Peer(reader) if listed => {
                edge.reading.set(Reading::Follows);
                follow(&edge, reader).await;
                continue;
            }
            Origin::Store if listed => watch(&edge, &source, &mut contact).await,
            _ => list(&edge, &source, &mut contact).await,
        };
        // A store that forgot changes answers; the list follows at once.
        edge.reading.set(match step {
            Ok(()) | Err(SourceError::Forgotten) => Reading::Reads,
            Err(_) => Reading::Lost,
        });
        match step {
            Ok(()) => listed = true,
            Err(SourceError::Forgotten) => {
                info!("store: changes were forgotten; the list is read again");
                listed = false;
            }
            Err(error) => {
                edge.changed.notify_waiters();
                contact.fail(&edge, &error);
                sleep(contact.pause()).await;
            }
        }
    }
}

async fn list<W: Wire, S: Source>(edge: &Edge<W>, source: &S, contact: &mut Contact) -> Result<(), SourceError> {
    let short = contact.failures.is_multiple_of(2) && !edge.view.borrow().has_config();
    let page = if short { FIRST_PAGE } else { PAGE };
    let snapshot = source.list(page).await?;
    let now = now_boot();
    let hold = contact.answered(edge, now);
    let update = edge.view.borrow_mut().replace(snapshot, hold, now);
    edge.follow_update(&update, "store");
    Ok(())
}

async fn watch<W: Wire, S: Source>(edge: &Edge<W>, source: &S, contact: &mut Contact) -> Result<(), SourceError> {
    let bounds = &edge.settings.bounds;
    let wait = if edge.members.borrow().is_large(now_boot()) {
        bounds.apply().mul_f64(FOLLOWED_SHARE)
    } else {
        bounds.contact().mul_f64(WAIT_SHARE)
    };
    let revision = edge.view.borrow().revision();
    let changes = source.watch(revision, wait, ANSWER).await?;
    let now = now_boot();
    let hold = contact.answered(edge, now);
    let any = !changes.list.is_empty();
    let update = edge.view.borrow_mut().apply(changes.list, changes.revision, hold, now);
    follow_update(edge, &update, "store", now);
    if any {
        sleep(bounds.apply().mul_f64(REST_SHARE)).await;
    }
    Ok(())
}

/// Takes what `reader` has newer; reads the store itself for a while if that fails.
async fn follow<W: Wire>(edge: &Edge<W>, reader: SocketAddr) {
    let wait = edge.settings.bounds.apply().mul_f64(FOLLOWED_SHARE);
    let revision = edge.view.borrow().revision();
    let told = relay::follow(&edge.links, reader, revision, wait).await;
    let now = now_boot();
    match told {
        Ok(told) => take_told(edge, told, now),
        Err(error) => {
            info!(%reader, %error, "store: the reader gave nothing; read here for a while");
            let mut readers = edge.readers.borrow_mut();
            match error {
                relay::Error::NotYet => readers.not_yet(now),
                _ => readers.failed(reader, now),
            }
        }
    }
}

fn take_told<W: Wire>(edge: &Edge<W>, told: Told, now: Boot) {
    let hold = Duration::from_millis(told.keep_ms);
    let answered = now.since_start().saturating_sub(Duration::from_millis(told.age_ms));
    edge.store_at
        .set(edge.store_at.get().max(Some(Boot::from_start(answered))));
    edge.hold_until.set(Some(now.after(hold)));
    let update = match told.news {
        News::Changes { list, revision } => edge.view.borrow_mut().apply(list, revision, hold, now),
        News::Whole(snapshot) => edge.view.borrow_mut().replace(snapshot, hold, now),
        News::NotYet | News::Lost => return,
    };
    follow_update(edge, &update, "reader", now);
}

/// Follows what an update did, and drops what was kept for long enough.
fn follow_update<W: Wire>(edge: &Edge<W>, update: &Update, from: &'static str, now: Boot) {
    edge.follow_update(update, from);
    let expired = edge.view.borrow_mut().expire(now);
    edge.follow_update(&expired, "expiry");
}

fn origin<W: Wire>(edge: &Edge<W>) -> Origin {
    let now = now_boot();
    let members = edge.members.borrow();
    edge.readers
        .borrow()
        .origin(members.own(), &members.living(now), members.age(now), now)
}

impl Contact {
    /// Notes an answer; returns for how long endpoints whose entries are gone are still kept.
    fn answered<W: Wire>(&mut self, edge: &Edge<W>, now: Boot) -> Duration {
        let before = edge.store_at.replace(Some(now));
        let lapse = edge.settings.bounds.heartbeat() * LAPSE_BEATS;
        if self.failures > 0 && before.is_some_and(|at| now.since(at) > lapse) {
            edge.hold_until.set(Some(now.after(RETURN)));
        }
        if self.failures > 0 {
            info!(failures = self.failures, "store: answers again");
        }
        self.failures = 0;
        edge.hold(now)
    }

    fn fail<W: Wire>(&mut self, edge: &Edge<W>, error: &SourceError) {
        self.failures += 1;
        let age = edge.store_at.get().map(|at| now_boot().since(at).as_millis() as u64);
        if self.failures == 1 {
            warn!(%error, age_ms = age, "store: lost; the view stays in force");
        }
    }

    fn pause(&self) -> Duration {
        let doubled = FIRST_PAUSE.saturating_mul(1 << self.failures.min(6));
        doubled.min(MAX_PAUSE).mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
