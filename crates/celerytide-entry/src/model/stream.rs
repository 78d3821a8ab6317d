//! Model requests whose response is streamed to the caller, and resumed at another engine when one fails.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use celerytide_http::client::{Bounds, Response, SendError};
use celerytide_http::server::{ChunkWriter, Responder};
use celerytide_http::sse::{DONE, Reader, StallTimer, write_event};
use celerytide_types::{ExecutionStatus, now_boot};
use celerytide_wire::messages::Ended;
use http::StatusCode;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderMap, HeaderValue};
use monoio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::ModelRequest;
use crate::attempts::{AttemptEnd, Attempts, Stop, is_gateway_status};
use crate::chunk_text::has_text;
use crate::engine_version::StreamVersion;
use crate::entry::Entry;
use crate::headers;
use crate::permit::{Lease, PermitError};
use crate::plain::{CallerResponse, MAX_RESPONSE_BYTES, end_for_error};
use crate::response::{ErrorResponse, REQUEST_ID_HEADER, done_outcome, error_event, insert_text, outcome_comment};

/// Largest event accepted from an engine's stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Most bytes of the body that are read after the `[DONE]` event.
const MAX_BYTES_AFTER_DONE: usize = 1024;
/// Longest wait for the end of the body after the `[DONE]` event.
const AFTER_DONE_TIMEOUT: Duration = Duration::from_millis(500);
/// Tokens between two progress reports to the pool's owner.
const PROGRESS_INTERVAL_TOKENS: u32 = 64;

/// How one attempt at one engine ended.
enum StreamEnd {
    /// The complete stream was forwarded.
    Complete,
    /// The engine responded with another status than 200.
    ErrorStatus(StatusCode, HeaderMap, Bytes),
    /// The call or the stream failed; the caller has received all tokens counted so far.
    Failed(SendError),
    /// The stream broke a rule, described here; the caller has received all tokens counted so far.
    Broken(String),
    /// The engine's version isn't the one from which the caller has received text.
    OtherVersion,
    Preempted,
    CallerLeft,
}

/// The stream to the caller, opened with the first event. `tokens` counts the events with text.
struct CallerStream {
    out: Option<Responder>,
    writer: Option<ChunkWriter>,
    tokens: u32,
    reported_tokens: u32,
    version: StreamVersion,
}

pub(super) async fn serve(entry: &Rc<Entry>, model: ModelRequest, out: Responder, cx: CancellationToken) {
    let mut caller = CallerStream {
        out: Some(out),
        writer: None,
        tokens: 0,
        reported_tokens: 0,
        version: StreamVersion::default(),
    };
    let ended = run(entry, &model, &mut caller, &cx).await;
    let request = &model.info.request;
    match ended {
        RequestEnd::Complete => entry.record_outcome(request, ExecutionStatus::Done, "answered"),
        RequestEnd::CallerLeft => entry.record_caller_left(request),
        RequestEnd::Response(response) => caller.send_response(entry, request, response).await,
        RequestEnd::Error(err) => caller.send_error(entry, request, &err).await,
    }
}

/// How the request ended, and what remains to be sent.
enum RequestEnd {
    Complete,
    CallerLeft,
    Response(Box<CallerResponse>),
    Error(Box<ErrorResponse>),
}

async fn run(entry: &Rc<Entry>, model: &ModelRequest, caller: &mut CallerStream, cx: &CancellationToken) -> RequestEnd {
    let request = &model.info.request;
    let mut permit_spec = model.permit_spec();
    let mut attempts = Attempts::default();
    loop {
        if caller.tokens > 0 {
            permit_spec.start_deadline = model.renewed_deadline(entry);
        }
        let lease = match entry.permits.acquire(&permit_spec, &mut attempts, cx).await {
            Ok(lease) => lease,
            Err(PermitError::CallerLeft) => return RequestEnd::CallerLeft,
            Err(PermitError::Rejected(err)) => return RequestEnd::Error(Box::new(err)),
        };
        entry.node.trace_log.add_step(request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        if caller.tokens > 0 && !entry.can_resume(&endpoint) {
            attempts.end(&AttemptEnd::Unused);
            lease.settle(Ended::Cancelled);
            return RequestEnd::Error(Box::new(attempts.stopped(Stop::CannotResume)));
        }
        match attempt(entry, model, &lease, caller, cx).await {
            StreamEnd::Complete => {
                lease.settle(Ended::Whole { tokens: caller.tokens });
                return RequestEnd::Complete;
            }
            StreamEnd::CallerLeft => {
                lease.settle(Ended::Cancelled);
                return RequestEnd::CallerLeft;
            }
            StreamEnd::Preempted => {
                attempts.end(&AttemptEnd::Preempted);
                model.requeue_preempted(entry, &mut permit_spec, lease);
                continue;
            }
            StreamEnd::ErrorStatus(status, headers, body) => {
                let proof = attempts.end(&model.response_end(status, &headers));
                if caller.is_unopened() && (!is_gateway_status(status) || attempts.are_used_up()) {
                    lease.settle(Ended::Whole { tokens: 0 });
                    let outcome = attempts.response_outcome(proof);
                    let response = CallerResponse::passed_on(status, &headers, body, outcome, request);
                    return RequestEnd::Response(Box::new(response));
                }
                entry.record_failure(request, &endpoint, &format!("status {status}"));
                lease.settle(Ended::Failed);
            }
            StreamEnd::Failed(error) => {
                attempts.end(&AttemptEnd::of_error(&error, caller.tokens));
                entry.record_failure(request, &endpoint, &error.to_string());
                lease.settle(end_for_error(&error, caller.tokens));
            }
            StreamEnd::OtherVersion => {
                attempts.end(&AttemptEnd::Broken);
                entry.node.trace_log.add_step(request, "other-version", &endpoint);
                lease.settle(Ended::Cancelled);
            }
            StreamEnd::Broken(detail) => {
                attempts.end(&AttemptEnd::Broken);
                entry.record_failure(request, &endpoint, &detail);
                lease.settle(Ended::Failed);
            }
        }
        permit_spec.avoid.push(endpoint);
        if attempts.are_used_up() {
            return RequestEnd::Error(Box::new(attempts.stopped(Stop::AttemptsUsed)));
        }
        if caller.tokens == 0 && !entry.retry_limiter.try_take() {
            return RequestEnd::Error(Box::new(attempts.stopped(Stop::NoRetryLeft)));
        }
    }
}

async fn attempt(
    entry: &Entry,
    model: &ModelRequest,
    lease: &Lease,
    caller: &mut CallerStream,
    cx: &CancellationToken,
) -> StreamEnd {
    let mut call = model.engine_call(entry, lease, caller.tokens);
    // The permit's lifetime doesn't limit a stream: it may last while events arrive, up to the client's default.
    call.bounds.total_timeout = Bounds::default().total_timeout;
    let response = monoio::select! {
        response = entry.client.send(call, cx) => response,
        () = lease.preempted().cancelled() => return StreamEnd::Preempted,
    };
    let response = match response {
        Ok(response) => response,
        Err(_) if cx.is_cancelled() => return StreamEnd::CallerLeft,
        Err(error) => return StreamEnd::Failed(error),
    };
    if response.status != StatusCode::OK {
        return read_error(response).await;
    }
    forward(
        model,
        lease,
        response,
        caller,
        entry.settings.timeouts.between_bytes,
        cx,
    )
    .await
}

async fn read_error(mut response: Response) -> StreamEnd {
    let mut body = BytesMut::new();
    while let Some(data) = response.next().await {
        match data {
            Ok(data) if body.len() + data.len() <= MAX_RESPONSE_BYTES => body.extend_from_slice(&data),
            Ok(_) => return StreamEnd::Broken(String::from("the error's body is too large")),
            Err(error) => return StreamEnd::Failed(error),
        }
    }
    StreamEnd::ErrorStatus(response.status, response.headers.clone(), body.freeze())
}

async fn forward(
    model: &ModelRequest,
    lease: &Lease,
    mut response: Response,
    caller: &mut CallerStream,
    max_stall: Duration,
    cx: &CancellationToken,
) -> StreamEnd {
    let mut reader = Reader::new(MAX_EVENT_BYTES);
    let mut stall_timer = StallTimer::new(max_stall, now_boot());
    let mut is_checked = false;
    loop {
        let data = monoio::select! {
            data = response.next() => data,
            () = cx.cancelled() => return StreamEnd::CallerLeft,
            () = lease.preempted().cancelled() => return StreamEnd::Preempted,
        };
        let data = match data {
            Some(Ok(data)) => data,
            Some(Err(error)) => return StreamEnd::Failed(error),
            None => return StreamEnd::Broken(String::from("the stream ended without [DONE]")),
        };
        reader.push(&data);
        let batch = match take_events(&mut reader, caller, &mut is_checked) {
            Ok(batch) => batch,
            Err(Rejected::Broken(detail)) => return StreamEnd::Broken(detail),
            Err(Rejected::OtherVersion) => return StreamEnd::OtherVersion,
        };
        let now = now_boot();
        if !batch.bytes.is_empty() {
            stall_timer.reset(now);
        } else if !batch.done && stall_timer.is_stalled(now) {
            return StreamEnd::Broken(String::from("bytes came and no event"));
        }
        let finished = batch.done;
        if caller.send(model, batch, &response.headers).await.is_err() {
            return StreamEnd::CallerLeft;
        }
        caller.report_progress(lease);
        if finished {
            return finish(caller, response).await;
        }
    }
}

/// Events of one read, encoded for the caller.
struct Batch {
    bytes: BytesMut,
    done: bool,
}

/// Why a stream isn't forwarded any further.
enum Rejected {
    /// It broke a rule, described here.
    Broken(String),
    /// It comes from another version than the text that the caller has.
    OtherVersion,
}

/// Takes the events that have arrived; the first one of an attempt tells whether the stream may go on with it.
fn take_events(reader: &mut Reader, caller: &mut CallerStream, is_checked: &mut bool) -> Result<Batch, Rejected> {
    let mut batch = Batch {
        bytes: BytesMut::new(),
        done: false,
    };
    let broken = |error: celerytide_http::sse::Error| Rejected::Broken(error.to_string());
    while let Some(event) = reader.next_event().map_err(broken)? {
        if event.data.as_ref() == DONE {
            batch.done = true;
            return Ok(batch);
        }
        if !std::mem::replace(is_checked, true) && !caller.version.admits(&event.data, caller.tokens) {
            return Err(Rejected::OtherVersion);
        }
        caller.tokens = caller.tokens.saturating_add(u32::from(has_text(&event.data)));
        let name = std::str::from_utf8(&event.name).ok().filter(|name| !name.is_empty());
        write_event(&mut batch.bytes, name, &event.data);
    }
    Ok(batch)
}

async fn finish(caller: &mut CallerStream, mut response: Response) -> StreamEnd {
    let ended = caller.end().await;
    // Reading the end of the body lets the connection be reused. More bytes or a longer wait mean that the body doesn't
    // end here.
    let mut extra_bytes = 0;
    let read = async {
        while let Some(Ok(data)) = response.next().await {
            extra_bytes += data.len();
            if extra_bytes > MAX_BYTES_AFTER_DONE {
                return;
            }
        }
    };
    let _ = timeout(AFTER_DONE_TIMEOUT, read).await;
    match ended {
        Ok(()) => StreamEnd::Complete,
        Err(CallerGone) => StreamEnd::CallerLeft,
    }
}

/// The caller closed its connection.
struct CallerGone;

impl CallerStream {
    fn is_unopened(&self) -> bool {
        self.writer.is_none()
    }

    async fn send(&mut self, model: &ModelRequest, batch: Batch, engine: &HeaderMap) -> Result<(), CallerGone> {
        let request = &model.info.request;
        let mut bytes = batch.bytes;
        if batch.done {
            bytes.extend_from_slice(&outcome_comment(&done_outcome("answered"), request));
            write_event(&mut bytes, None, DONE);
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let writer = self.open(request, engine).await?;
        writer.send(bytes.freeze()).await.map_err(|_| CallerGone)
    }

    async fn open(&mut self, request: &str, engine: &HeaderMap) -> Result<&mut ChunkWriter, CallerGone> {
        if let Some(out) = self.out.take() {
            let headers = stream_headers(request, engine);
            self.writer = Some(out.stream(StatusCode::OK, headers).await.map_err(|_| CallerGone)?);
        }
        self.writer.as_mut().ok_or(CallerGone)
    }

    fn report_progress(&mut self, lease: &Lease) {
        let unreported = self.tokens - self.reported_tokens;
        if unreported == 0 || (self.reported_tokens > 0 && unreported < PROGRESS_INTERVAL_TOKENS) {
            return;
        }
        lease.report_progress(self.tokens);
        self.reported_tokens = self.tokens;
    }

    async fn end(&mut self) -> Result<(), CallerGone> {
        let writer = self.writer.take().ok_or(CallerGone)?;
        writer.finish().await.map_err(|_| CallerGone)
    }

    async fn send_response(mut self, entry: &Entry, request: &str, response: Box<CallerResponse>) {
        if let Some(out) = self.out.take() {
            entry.send_response(request, out, *response).await;
        }
    }

    /// Ends with an error: as a complete response if the head wasn't sent yet, otherwise as an error event.
    async fn send_error(mut self, entry: &Entry, request: &str, err: &ErrorResponse) {
        if let Some(out) = self.out.take() {
            return entry.send_error(request, out, err).await;
        }
        entry.record_outcome(request, err.outcome.status, &err.outcome.cause);
        let Some(mut writer) = self.writer.take() else {
            return;
        };
        if writer.send(error_event(err, request)).await.is_ok() && writer.finish().await.is_err() {
            tracing::debug!(request, "entry: the caller left during the error event");
        }
    }
}

fn stream_headers(request: &str, engine: &HeaderMap) -> HeaderMap {
    let mut headers = headers::caller_headers(engine);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    insert_text(&mut headers, REQUEST_ID_HEADER, request);
    headers
}
