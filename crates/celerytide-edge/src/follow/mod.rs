//! Follows the platform's store: one list, then watches behind it, or in a large fleet behind an instance that reads it.
//!
//! A watch waits a short time only, so that a connection that went silent, or a store that serves others but not this
//! instance, shows within the time in which a change has to be in force. After a failure the list is read again only if
//! the store no longer keeps the changes behind the view, or came back from a copy ([`era`]). While the store is away
//! everything known stays in force.

pub mod course;
pub mod era;
pub mod listing;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{Era, Update};
use celerytide_types::{BootTime, now_boot};
use monoio::time::sleep;
use rand::Rng;
use tracing::{debug, info, warn};

use crate::edge::{Edge, Reading};
use crate::names::Wire;
use crate::peers::digest::id_hash;
use crate::peers::readers::{Origin, Readers};
use crate::peers::relay::{self, News, Told};
use crate::source::{Source, SourceError};

use course::{Ask, Course};

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
/// The same while nothing is known, but for each third call: one that began before the store came back hears nothing of
/// that, and one to a slow store needs longer.
const FIRST_PAGE: Duration = Duration::from_millis(600);
const LONG_TURNS: u32 = 3;
/// First pause after a failure; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Time in which a reader has read the list that follows a restore.
const LISTED: Duration = Duration::from_millis(400);
/// Rest after a watch that brought changes, so that changes in a row come in one call, as a share of the time in which a
/// change has to be in force.
const REST_SHARE: f64 = 0.25;
/// Heartbeats without an answer of the store after which entries may have lapsed unseen.
const LAPSE_BEATS: u32 = 2;
/// Time after such an outage, or after a restore of the store, in which an entry may come back.
const RETURN: Duration = Duration::from_millis(1800);

/// Follows the store until the process ends.
pub async fn run<W: Wire, S: Source>(edge: Rc<Edge<W>>, source: S) {
    let mut course = Course::default();
    loop {
        if let Origin::Peer(reader) = origin(&edge)
            && course.listed
        {
            edge.reading.set(Reading::Follows);
            follow(&edge, reader).await;
            continue;
        }
        let known = edge.view.borrow().position();
        let step = match course.next(known) {
            Ask::Page(after) => page(&edge, &source, after.as_deref(), &mut course).await,
            Ask::Watch(_) => watch(&edge, &source, &mut course).await,
        };
        // A store that forgot changes, or came back, answers; the list follows at once.
        edge.reading.set(match step {
            Ok(()) | Err(SourceError::Forgotten | SourceError::Restored { .. }) => Reading::Reads,
            Err(_) => Reading::Lost,
        });
        if let Err(error) = step {
            course.failed(&error);
            recover(&edge, &error, &mut course).await;
        }
    }
}

/// Says why a step gave nothing, and pauses unless the next one may follow at once.
async fn recover<W: Wire>(edge: &Edge<W>, error: &SourceError, course: &mut Course) {
    match error {
        SourceError::Forgotten => {
            let times = course.forgotten;
            info!(times, "store: changes were forgotten; the list is read again");
            if times > 1 {
                sleep(pause(times)).await;
            }
        }
        SourceError::Restored { from, to } => {
            info!(from, to, "store: the era rose; the list is read again");
            if let Some(reader) = reader(edge) {
                relearn(edge, reader, *to, course).await;
            }
        }
        _ => {
            edge.changed.notify_waiters();
            let age = edge.store_at.get().map(|at| now_boot().since(at).as_millis() as u64);
            if course.failures == 1 {
                warn!(%error, age_ms = age, "store: lost; the view stays in force");
            }
            sleep(pause(course.failures)).await;
        }
    }
}

/// Takes the list of a new era from the instance that reads for this one: in a large fleet all meet a restore at once,
/// since all read for themselves while the store was away.
async fn relearn<W: Wire>(edge: &Edge<W>, reader: SocketAddr, era: Era, course: &mut Course) {
    sleep(LISTED.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    let position = edge.view.borrow().position();
    match relay::follow(&edge.links, reader, position, Duration::ZERO).await {
        Ok(told) => take_told(edge, told, now_boot()),
        Err(error) => debug!(%reader, %error, "store: the reader has no list yet"),
    }
    course.listed = edge.view.borrow().position().era >= era;
    course.restored &= !course.listed;
}

async fn page<W: Wire, S: Source>(
    edge: &Edge<W>,
    source: &S,
    after: Option<&str>,
    course: &mut Course,
) -> Result<(), SourceError> {
    let known = edge.view.borrow().position();
    let turn = course.failures.wrapping_add(id_hash(&edge.settings.instance));
    let bound = if edge.view.borrow().has_config() {
        PAGE
    } else {
        first_page(turn)
    };
    edge.counters.pages.inc();
    let Some(snapshot) = course.page(source.page(after, bound).await, known)? else {
        return Ok(());
    };
    if snapshot.position < known {
        warn!(?known, listed = ?snapshot.position, "store: a list is older than the view, which stays");
    }
    let now = now_boot();
    let hold = answered(edge, course, now);
    course.restored = false;
    let update = edge.view.borrow_mut().replace(snapshot, hold, now);
    edge.follow_update(&update, "store");
    Ok(())
}

async fn watch<W: Wire, S: Source>(edge: &Edge<W>, source: &S, course: &mut Course) -> Result<(), SourceError> {
    let bounds = &edge.settings.bounds;
    let wait = if edge.members.borrow().is_large(now_boot()) {
        bounds.apply().mul_f64(FOLLOWED_SHARE)
    } else {
        bounds.contact().mul_f64(WAIT_SHARE)
    };
    let known = edge.view.borrow().position();
    let answer = source.watch(known.revision, wait, ANSWER).await;
    let (changes, position) = course.changes(answer, known)?;
    let now = now_boot();
    let hold = answered(edge, course, now);
    let any = !changes.is_empty();
    let update = edge.view.borrow_mut().apply(changes, position, hold, now);
    follow_update(edge, &update, "store", now);
    if any {
        sleep(bounds.apply().mul_f64(REST_SHARE)).await;
    }
    Ok(())
}

/// Takes what `reader` has newer; reads the store itself for a while if that fails.
async fn follow<W: Wire>(edge: &Edge<W>, reader: SocketAddr) {
    let wait = edge.settings.bounds.apply().mul_f64(FOLLOWED_SHARE);
    let position = edge.view.borrow().position();
    let told = relay::follow(&edge.links, reader, position, wait).await;
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

fn take_told<W: Wire>(edge: &Edge<W>, told: Told, now: BootTime) {
    let hold = Duration::from_millis(told.keep_ms);
    let answered = now.since_start().saturating_sub(Duration::from_millis(told.age_ms));
    edge.store_at
        .set(edge.store_at.get().max(Some(BootTime::from_start(answered))));
    edge.hold_until.set(Some(now.after(hold)));
    let update = match told.news {
        News::Changes { list, position } => edge.view.borrow_mut().apply(list, position, hold, now),
        News::Whole(snapshot) => edge.view.borrow_mut().replace(snapshot, hold, now),
        News::NotYet | News::Lost => return,
    };
    follow_update(edge, &update, "reader", now);
}

/// Follows what an update did, and drops what was kept for long enough.
fn follow_update<W: Wire>(edge: &Edge<W>, update: &Update, from: &'static str, now: BootTime) {
    edge.follow_update(update, from);
    let expired = edge.view.borrow_mut().expire(now);
    edge.follow_update(&expired, "expiry");
}

/// The instance that reads for this one, in a large fleet.
fn reader<W: Wire>(edge: &Edge<W>) -> Option<SocketAddr> {
    let members = edge.members.borrow();
    Readers::reader(members.own(), &members.living(now_boot()))
}

fn origin<W: Wire>(edge: &Edge<W>) -> Origin {
    let now = now_boot();
    let members = edge.members.borrow();
    edge.readers
        .borrow()
        .origin(members.own(), &members.living(now), members.age(now), now)
}

/// Time for a page while nothing is known, by turns. Turns begin at another one at each instance, so that of those that
/// started together some ask anew soon, whenever the store comes back; the others learn from them.
pub fn first_page(turn: u32) -> Duration {
    if turn.is_multiple_of(LONG_TURNS) {
        PAGE
    } else {
        FIRST_PAGE
    }
}

/// Notes an answer; returns for how long endpoints whose entries are gone are still kept.
fn answered<W: Wire>(edge: &Edge<W>, course: &mut Course, now: BootTime) -> Duration {
    let before = edge.store_at.replace(Some(now));
    let lapse = edge.settings.bounds.heartbeat() * LAPSE_BEATS;
    let lapsed = course.failures > 0 && before.is_some_and(|at| now.since(at) > lapse);
    if lapsed || course.restored {
        edge.hold_until.set(Some(now.after(RETURN)));
    }
    if course.failures > 0 {
        info!(failures = course.failures, "store: answers again");
    }
    course.failures = 0;
    edge.hold(now)
}

/// Pause after so many failures in a row.
fn pause(failures: u32) -> Duration {
    let doubled = FIRST_PAUSE.saturating_mul(1 << failures.min(6));
    doubled.min(MAX_PAUSE).mul_f64(rand::rng().random_range(0.5..1.0))
}
