//! Relays a stream event by event.
//!
//! Only whole events are passed on, so that a broken stream can continue after the last one at another endpoint if its
//! route allows that. The caller sees one response with the headers of the first endpoint. A stream that can't continue
//! is cut off without its regular end.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use celerytide_catalog::{RouteKind, Service};
use celerytide_http::server::{ChunkWriter, Responder};
use celerytide_http::sse::StallTimer;
use celerytide_http::validate::Framing;
use celerytide_types::{BootTime, now_boot};
use monoio::time::timeout;
use tracing::info;

use super::foreign::has_response_head;
use super::send::{Sent, Upstream, send};
use super::{End, Forwarding, Gap, headers};
use crate::edge::{BY_SELF, Placement};
use crate::events::EventSplitter;
use crate::health::Outcome;
use crate::placement::shared_blocks;
use crate::protocol::Protocol;
use crate::quarantine::{BreakOff, Checkpoints, Reached, is_crash};

/// Cause of a stream that broke off.
const BROKEN: &str = "stream-broken";
/// Cause of a stream with bytes of another response.
const FOREIGN: &str = "stream-foreign";
/// Least time without an event after which a stream that still sends bytes counts as broken.
const MIN_STALL: Duration = Duration::from_secs(2);
/// The same as a multiple of the latency target for the first event.
const STALL_TARGETS: u32 = 4;
/// The same as a multiple of the longest gap that is on time.
const STALL_GAPS: u32 = 8;

/// How a stream at one endpoint ended.
enum StreamEnd {
    /// At an event's border, with the regular end of the body.
    Whole,
    /// The endpoint closed its connection, or ended the body inside an event.
    Broken(BreakOff),
    /// The endpoint sent nothing or no event for too long, one that is too large, or invalid bytes.
    Stopped(&'static str),
    /// The time for the whole request is over.
    Late,
    /// The caller disconnected.
    Gone,
}

/// What came of the attempts to go on with a stream.
#[derive(Debug, Default)]
struct ResumeAttempts {
    has_unreached: bool,
    has_response: bool,
}

impl ResumeAttempts {
    /// Whether no endpoint responded, and one wasn't reached.
    fn reached_none(&self) -> bool {
        self.has_unreached && !self.has_response
    }
}

/// Relays the stream to its end, over several endpoints if allowed.
pub async fn relay<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    out: Responder,
    first: Box<Upstream<P>>,
    service: &Rc<Service>,
) -> End {
    let status = first.response.status;
    let Ok(mut out) = out.stream(status, headers::to_caller(&first.response.headers)).await else {
        return End::new("caller-left", status.as_u16());
    };
    fwd.continuity.begin(status);
    let mut upstream = first;
    loop {
        let ended = copy(fwd, &mut upstream, &mut out).await;
        fwd.may_have_run_count += 1;
        let (cause, may_repeat) = match ended {
            StreamEnd::Whole => {
                upstream.end(Outcome::Good);
                // The caller may have disconnected.
                let _ = out.finish().await;
                return End::new("answered", status.as_u16());
            }
            StreamEnd::Gone => return End::new("caller-left", status.as_u16()),
            StreamEnd::Late => return End::new("stream-late", status.as_u16()),
            StreamEnd::Stopped(cause) => (cause, true),
            StreamEnd::Broken(at) => (BROKEN, fwd.edge.record_break_off(&upstream.service, fwd.request, at)),
        };
        upstream.end(Outcome::Bad);
        let end = End::new(cause, status.as_u16());
        if !may_repeat {
            return end;
        }
        let is_cut_off = fwd.edge.is_cut_off(&service.id);
        if is_cut_off {
            out = match fwd.go_on_at_peer(out, service, status).await {
                Ok(ended) => return ended,
                Err(out) => out,
            };
        }
        let mut tries = ResumeAttempts::default();
        match resume(fwd, service, &mut tries).await {
            Some(next) => upstream = next,
            None if is_cut_off || !tries.reached_none() => return end,
            None => return fwd.go_on_at_peer(out, service, status).await.unwrap_or(end),
        }
    }
}

/// Copies events until the stream ends.
async fn copy<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    upstream: &mut Upstream<P>,
    out: &mut ChunkWriter,
) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let ended = copy_events(fwd, upstream, out, &mut splitter).await;
    fwd.continuity.end_response(splitter.rest_bytes());
    ended
}

async fn copy_events<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    upstream: &mut Upstream<P>,
    out: &mut ChunkWriter,
    splitter: &mut EventSplitter,
) -> StreamEnd {
    let mut stall_timer = StallTimer::new(stall_after(fwd), now_boot());
    let mut last: Option<BootTime> = None;
    let mut checkpoints = Checkpoints::default();
    loop {
        let data = match timeout(fwd.time_left(), upstream.next()).await {
            Err(_) => return StreamEnd::Late,
            Ok(None) => return end_of_body(fwd, upstream, splitter),
            Ok(Some(Ok(data))) => {
                fwd.first_byte
                    .get_or_insert_with(|| now_boot().since(fwd.request.began));
                data
            }
            Ok(Some(Err(error))) => {
                let at = note_break_off(fwd, upstream, splitter, &error);
                return if is_crash(&error.source) {
                    StreamEnd::Broken(at)
                } else {
                    StreamEnd::Stopped(BROKEN)
                };
            }
        };
        if !splitter.push(&data) {
            return StreamEnd::Stopped("event-too-large");
        }
        while let Some(event) = splitter.next_event() {
            let now = now_boot();
            if let Some(last) = last {
                upstream.record_event_gap(now.since(last));
            }
            fwd.record_gap(last.replace(now), now, upstream);
            if event.has_data {
                stall_timer.reset(now);
            }
            if has_response_head(&event, &fwd.edge.protocol.header_names().request_id) {
                return StreamEnd::Stopped(FOREIGN);
            }
            if !fwd.continuity.push(&event) {
                return StreamEnd::Stopped("stream-repeats");
            }
            fwd.bind(upstream);
            if out.send(event.raw).await.is_err() {
                return StreamEnd::Gone;
            }
        }
        if splitter.has_events()
            && let Some(reached) = checkpoints.pass(upstream.head_age())
        {
            fwd.edge.record_good_response(&upstream.service, fwd.request, reached);
        }
        if fwd.time_left().is_zero() {
            return StreamEnd::Late;
        }
        if stall_timer.is_stalled(now_boot()) {
            return StreamEnd::Stopped("stream-stalled");
        }
    }
}

/// Time after which a stream that sends bytes but no event counts as broken: callers stop waiting for an event then.
fn stall_after<P: Protocol>(fwd: &Forwarding<'_, P>) -> Duration {
    let route = &fwd.request.route;
    let by_target = route.latency_target.unwrap_or_default() * STALL_TARGETS;
    let by_gap = route.max_event_gap.unwrap_or_default() * STALL_GAPS;
    by_target.max(by_gap).max(MIN_STALL)
}

impl<P: Protocol> Forwarding<'_, P> {
    /// Whether the stream may go on elsewhere, as far as its route allows.
    pub(super) fn may_go_on(&self) -> bool {
        let route = &self.request.route;
        route.kind == RouteKind::ResumableStream && self.may_have_run_count < route.max_attempts
    }

    /// Binds the stream to the software of the endpoint that wrote its first event.
    fn bind(&mut self, upstream: &Upstream<P>) {
        if std::mem::replace(&mut self.has_events, true) {
            return;
        }
        let bound = *self.bound.get_or_insert(upstream.software);
        if self.request.route.kind == RouteKind::ResumableStream {
            self.edge.record_stream(self.request, bound, &upstream.version);
        }
    }

    /// Keeps the gap from `last` to `now` if it is the longest.
    fn record_gap(&mut self, last: Option<BootTime>, now: BootTime, upstream: &Upstream<P>) {
        let Some(last) = last.filter(|last| now.since(*last) > self.gap.length) else {
            return;
        };
        self.gap = Gap {
            length: now.since(last),
            offset: last.since(self.request.began),
            backlog: upstream.backlog(),
        };
    }
}

/// How a stream ended whose body ended in good order.
fn end_of_body<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    upstream: &Upstream<P>,
    splitter: &EventSplitter,
) -> StreamEnd {
    let needs_event = fwd.continuity.lacks_event() || upstream.response.framing == Framing::UntilClose;
    match splitter.check_end(needs_event) {
        Ok(()) => {
            fwd.rest_bytes = 0;
            if splitter.has_events() {
                fwd.edge
                    .record_good_response(&upstream.service, fwd.request, Reached::End);
            }
            StreamEnd::Whole
        }
        Err(error) => StreamEnd::Broken(note_break_off(fwd, upstream, splitter, &error)),
    }
}

/// Notes how far a stream had come that broke off.
fn note_break_off<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    upstream: &Upstream<P>,
    splitter: &EventSplitter,
    error: &impl Display,
) -> BreakOff {
    fwd.rest_bytes = splitter.rest_bytes();
    let at = upstream.break_off(splitter.has_events());
    info!(
        request = fwd.request.id,
        content = format!("{:x}", fwd.request.content),
        endpoint = fwd.endpoint,
        start = upstream.start,
        version = upstream.version,
        %error,
        framing = upstream.response.framing.name(),
        rest_bytes = fwd.rest_bytes,
        head_ms = at.head_age.map(|age| age.as_millis() as u64),
        has_events = at.has_events,
        parts = ?shared_blocks(&fwd.request.prompt),
        "stream: broke off"
    );
    at
}

/// Continues the stream at another endpoint, if its route allows that and a retry is left.
async fn resume<P: Protocol>(
    fwd: &mut Forwarding<'_, P>,
    service: &Rc<Service>,
    tries: &mut ResumeAttempts,
) -> Option<Box<Upstream<P>>> {
    let edge = fwd.edge;
    while fwd.may_go_on() {
        let placement = match edge.place(fwd.request, service, &fwd.tried, fwd.bound).await {
            Ok(placement) => placement,
            // A stream that has begun isn't refused: this instance places it.
            Err(_) => Placement::by_self(BY_SELF),
        };
        fwd.note_placement(&placement);
        let pick = match edge.pick(fwd.request, service, &fwd.tried, fwd.bound, placement) {
            Ok(pick) => pick,
            Err(error) => {
                info!(
                    request = fwd.request.id,
                    cause = error.cause(),
                    "stream: no endpoint to go on"
                );
                return None;
            }
        };
        if !edge.take_retry(&service.id) {
            info!(request = fwd.request.id, "stream: no repeat left to go on");
            return None;
        }
        fwd.note_pick(&pick);
        let sent = send(fwd, service, pick).await;
        tries.has_response |= matches!(sent, Sent::Response(_) | Sent::Rejected(_));
        tries.has_unreached |= matches!(sent, Sent::Unreached(_));
        match sent {
            Sent::Response(upstream) if upstream.is_success => {
                info!(
                    request = fwd.request.id,
                    endpoint = fwd.endpoint,
                    version = upstream.version,
                    "stream: goes on"
                );
                fwd.framing = Some(upstream.response.framing.name());
                return Some(upstream);
            }
            Sent::Response(upstream) => {
                upstream.end(Outcome::Bad);
                fwd.may_have_run_count += 1;
            }
            Sent::Broken { may_repeat, .. } => {
                fwd.may_have_run_count += 1;
                if !may_repeat {
                    return None;
                }
            }
            Sent::Rejected(_) | Sent::Unreached(_) => fwd.rejected_count += 1,
        }
        if fwd.rejected_count > super::MAX_REJECTIONS {
            return None;
        }
    }
    None
}
