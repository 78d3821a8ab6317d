//! Passes a stream on, event by event.
//!
//! Only whole events are handed on, so that a stream that breaks off can go on behind the last one at another endpoint
//! where its route allows that. The caller sees one answer with the headers of the first endpoint. A stream that can't
//! go on is cut without its end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_catalog::{Kind, Service};
use celerytide_http::server::{ChunkWriter, Responder};
use celerytide_http::sse::StallTimer;
use celerytide_types::{BootTime, now_boot};
use monoio::time::timeout;
use tracing::info;

use super::send::{Reached, Sent, send};
use super::{End, Gap, Run, headers};
use crate::events::Splitter;
use crate::health::Sign;
use crate::names::Wire;

/// Least time without an event after which a stream whose bytes come counts as broken.
const LEAST_STALL: Duration = Duration::from_secs(2);
/// The same as multiples of the objective for the first event, and of the longest pause that is on time.
const STALL_TARGETS: u32 = 4;
const STALL_PAUSES: u32 = 8;

/// How a stream at one endpoint ended.
enum Ended {
    /// In good order.
    Whole,
    /// The endpoint broke it off, or was silent for too long.
    Broken(&'static str),
    /// The time for the whole request is over.
    Late,
    /// The caller is gone.
    Gone,
}

/// Passes the stream on to its end, over several endpoints where that is allowed.
pub async fn pass<W: Wire>(run: &mut Run<'_, W>, out: Responder, first: Box<Reached<W>>, service: &Rc<Service>) -> End {
    let status = first.answer.status;
    let Ok(mut out) = out.stream(status, headers::to_caller(&first.answer.headers)).await else {
        return End::of("caller-left", status.as_u16());
    };
    let mut last_event: Option<Bytes> = None;
    let mut reached = first;
    loop {
        let ended = copy(run, &mut reached, &mut out, &mut last_event).await;
        run.ran += 1;
        let cause = match ended {
            Ended::Whole => {
                reached.end(Sign::Good);
                // A caller that is gone needs no end.
                let _ = out.finish().await;
                return End::of("answered", status.as_u16());
            }
            Ended::Gone => return End::of("caller-left", status.as_u16()),
            Ended::Late => return End::of("stream-late", status.as_u16()),
            Ended::Broken(cause) => cause,
        };
        reached.end(Sign::Bad);
        match resume(run, service, last_event.as_deref()).await {
            Some(next) => reached = next,
            None => return End::of(cause, status.as_u16()),
        }
    }
}

/// Copies events until the stream ends in one way or another.
async fn copy<W: Wire>(
    run: &mut Run<'_, W>,
    reached: &mut Reached<W>,
    out: &mut ChunkWriter,
    last_event: &mut Option<Bytes>,
) -> Ended {
    let mut split = Splitter::default();
    let mut progress = StallTimer::new(stall_after(run), now_boot());
    let mut last: Option<BootTime> = None;
    loop {
        let data = match timeout(run.left(), reached.next()).await {
            Err(_) => return Ended::Late,
            Ok(None) => return finish(&mut split, out).await,
            Ok(Some(Ok(data))) => {
                run.first_byte.get_or_insert_with(|| now_boot().since(run.intake.began));
                data
            }
            Ok(Some(Err(error))) => {
                info!(request = run.intake.id, endpoint = run.endpoint, %error, "stream: broke off");
                return Ended::Broken("stream-broken");
            }
        };
        if !split.push(&data) {
            return Ended::Broken("event-too-large");
        }
        while let Some(event) = split.next_event() {
            let now = now_boot();
            if let Some(last) = last {
                reached.event_gap(now.since(last));
            }
            run.note_gap(last.replace(now), now, reached);
            if event.has_data {
                progress.event(now);
            }
            if event.id.is_some() {
                *last_event = event.id;
            }
            if out.send(event.raw).await.is_err() {
                return Ended::Gone;
            }
        }
        if run.left().is_zero() {
            return Ended::Late;
        }
        if progress.is_stalled(now_boot()) {
            return Ended::Broken("stream-stalled");
        }
    }
}

/// Time after which a stream whose bytes bring no event counts as broken: callers that wait for one leave then.
fn stall_after<W: Wire>(run: &Run<'_, W>) -> Duration {
    let route = &run.intake.route;
    let by_target = route.target.unwrap_or_default() * STALL_TARGETS;
    let by_pause = route.pause.unwrap_or_default() * STALL_PAUSES;
    by_target.max(by_pause).max(LEAST_STALL)
}

impl<W: Wire> Run<'_, W> {
    /// An event came at `now`, the one before it at `last`.
    fn note_gap(&mut self, last: Option<BootTime>, now: BootTime, reached: &Reached<W>) {
        let Some(last) = last.filter(|last| now.since(*last) > self.gap.lasted) else {
            return;
        };
        self.gap = Gap {
            lasted: now.since(last),
            began: last.since(self.intake.began),
            beside: reached.beside(),
        };
    }
}

/// The endpoint ended its answer in good order: what follows the last whole event belongs to the body, too.
async fn finish(split: &mut Splitter, out: &mut ChunkWriter) -> Ended {
    if split.is_empty() {
        return Ended::Whole;
    }
    match out.send(split.rest()).await {
        Ok(()) => Ended::Whole,
        Err(_) => Ended::Gone,
    }
}

/// Continues the stream at another endpoint, if its route allows that and a repeat is left.
async fn resume<W: Wire>(
    run: &mut Run<'_, W>,
    service: &Rc<Service>,
    last_event: Option<&[u8]>,
) -> Option<Box<Reached<W>>> {
    let edge = run.edge;
    while run.intake.route.kind == Kind::ResumableStream && run.ran < run.intake.route.most_runs {
        let pick = edge.pick(run.intake, service, &run.tried).ok()?;
        if !edge.take_repeat(&service.id) {
            info!(request = run.intake.id, "stream: no repeat left to go on");
            return None;
        }
        run.tried.push(pick.endpoint.id.clone());
        run.endpoint.clone_from(&pick.endpoint.id);
        match send(run, service, pick, last_event).await {
            Sent::Answer(reached) if reached.answer.status.is_success() => {
                info!(request = run.intake.id, endpoint = run.endpoint, "stream: goes on");
                return Some(reached);
            }
            Sent::Answer(reached) => {
                reached.end(Sign::Bad);
                run.ran += 1;
            }
            Sent::Broken(_) => run.ran += 1,
            Sent::Rejected(_) | Sent::Unreached(_) => run.rejected += 1,
        }
        if run.rejected > super::MAX_REJECTED {
            return None;
        }
    }
    None
}
