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

use super::buffered::end_for_error;
use super::{MAX_ATTEMPTS, ModelRequest, attempts_failed, is_retryable};
use crate::chunk_text::has_text;
use crate::entry::Entry;
use crate::headers;
use crate::permit::{Lease, PermitError};
use crate::plain::{CallerResponse, MAX_RESPONSE_BYTES};
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
enum AttemptEnd {
    /// The complete stream was forwarded.
    Complete,
    /// The engine responded with another status than 200.
    ErrorStatus(StatusCode, HeaderMap, Bytes),
    /// The stream failed; the caller has received all tokens counted so far. Holds what to report to the pool's owner,
    /// whether the request may have run, and a description.
    Failed(Ended, bool, String),
    Preempted,
    CallerLeft,
}

/// The stream to the caller, opened with the first event. `tokens` counts the events with text.
struct CallerStream {
    out: Option<Responder>,
    writer: Option<ChunkWriter>,
    tokens: u32,
    reported_tokens: u32,
}

pub(super) async fn serve(entry: &Rc<Entry>, model: ModelRequest, out: Responder, cx: CancellationToken) {
    let mut caller = CallerStream {
        out: Some(out),
        writer: None,
        tokens: 0,
        reported_tokens: 0,
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
    let mut may_have_run = false;
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        if caller.tokens > 0 {
            permit_spec.start_deadline = now_boot().after(model.info.latency_target);
        }
        let lease = match entry.permits.acquire(&permit_spec, cx).await {
            Ok(lease) => lease,
            Err(PermitError::CallerLeft) => return RequestEnd::CallerLeft,
            Err(PermitError::Rejected(_)) if may_have_run => return RequestEnd::Error(Box::new(attempts_failed(true))),
            Err(PermitError::Rejected(err)) => return RequestEnd::Error(Box::new(err)),
        };
        entry.node.trace_log.add_step(request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        if caller.tokens > 0 && !entry.can_resume(&endpoint) {
            lease.release(Ended::Cancelled);
            return RequestEnd::Error(Box::new(attempts_failed(true)));
        }
        match attempt(entry, model, &lease, caller, cx).await {
            AttemptEnd::Complete => {
                lease.release(Ended::Whole { tokens: caller.tokens });
                return RequestEnd::Complete;
            }
            AttemptEnd::CallerLeft => {
                lease.release(Ended::Cancelled);
                return RequestEnd::CallerLeft;
            }
            AttemptEnd::Preempted => {
                may_have_run = true;
                entry.node.trace_log.add_step(request, "preempted", &endpoint);
                lease.release(Ended::Cancelled);
                continue;
            }
            AttemptEnd::ErrorStatus(status, headers, body) if caller.is_unopened() && !can_retry(status, attempts) => {
                lease.release(Ended::Whole { tokens: 0 });
                return RequestEnd::Response(Box::new(engine_error(request, status, headers, body)));
            }
            AttemptEnd::ErrorStatus(status, ..) => {
                entry
                    .node
                    .trace_log
                    .add_step(request, "failed", &format!("{endpoint}: status {status}"));
                lease.release(Ended::Failed);
            }
            AttemptEnd::Failed(ended, maybe_ran, detail) => {
                entry
                    .node
                    .trace_log
                    .add_step(request, "failed", &format!("{endpoint}: {detail}"));
                may_have_run |= maybe_ran;
                lease.release(ended);
            }
        }
        permit_spec.avoid.push(endpoint);
        attempts += 1;
        if caller.tokens == 0 && !entry.retry_limiter.try_take() {
            break;
        }
    }
    RequestEnd::Error(Box::new(attempts_failed(may_have_run)))
}

fn can_retry(status: StatusCode, attempts: usize) -> bool {
    is_retryable(status) && attempts + 1 < MAX_ATTEMPTS
}

fn engine_error(request: &str, status: StatusCode, from: HeaderMap, body: Bytes) -> CallerResponse {
    let outcome = done_outcome("answered");
    let mut headers = headers::caller_headers(&from);
    headers.extend(crate::response::outcome_headers(&outcome, request));
    CallerResponse {
        status,
        headers,
        body,
        outcome,
    }
}

async fn attempt(
    entry: &Entry,
    model: &ModelRequest,
    lease: &Lease,
    caller: &mut CallerStream,
    cx: &CancellationToken,
) -> AttemptEnd {
    let mut call = model.engine_call(entry, lease, caller.tokens);
    // The permit's lifetime doesn't limit a stream: it may last while events arrive, up to the client's default.
    call.bounds.total_timeout = Bounds::default().total_timeout;
    let response = monoio::select! {
        response = entry.client.send(call, cx) => response,
        () = lease.preempted().cancelled() => return AttemptEnd::Preempted,
    };
    let response = match response {
        Ok(response) => response,
        Err(_) if cx.is_cancelled() => return AttemptEnd::CallerLeft,
        Err(error) => return failed(&error),
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

async fn read_error(mut response: Response) -> AttemptEnd {
    let mut body = BytesMut::new();
    while let Some(data) = response.next().await {
        match data {
            Ok(data) if body.len() + data.len() <= MAX_RESPONSE_BYTES => body.extend_from_slice(&data),
            Ok(_) => return AttemptEnd::Failed(Ended::Failed, true, String::from("the error's body is too large")),
            Err(error) => return failed(&error),
        }
    }
    AttemptEnd::ErrorStatus(response.status, response.headers.clone(), body.freeze())
}

async fn forward(
    model: &ModelRequest,
    lease: &Lease,
    mut response: Response,
    caller: &mut CallerStream,
    max_stall: Duration,
    cx: &CancellationToken,
) -> AttemptEnd {
    let mut reader = Reader::new(MAX_EVENT_BYTES);
    let mut stall_timer = StallTimer::new(max_stall, now_boot());
    loop {
        let data = monoio::select! {
            data = response.next() => data,
            () = cx.cancelled() => return AttemptEnd::CallerLeft,
            () = lease.preempted().cancelled() => return AttemptEnd::Preempted,
        };
        let data = match data {
            Some(Ok(data)) => data,
            Some(Err(error)) => return failed(&error),
            None => return AttemptEnd::Failed(Ended::Failed, true, String::from("the stream ended without [DONE]")),
        };
        reader.push(&data);
        let batch = match take_events(&mut reader, caller) {
            Ok(batch) => batch,
            Err(detail) => return AttemptEnd::Failed(Ended::Failed, true, detail),
        };
        let now = now_boot();
        if !batch.bytes.is_empty() {
            stall_timer.reset(now);
        } else if !batch.done && stall_timer.is_stalled(now) {
            return AttemptEnd::Failed(Ended::Failed, true, String::from("bytes came and no event"));
        }
        let finished = batch.done;
        if caller.send(model, batch, &response.headers).await.is_err() {
            return AttemptEnd::CallerLeft;
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

fn take_events(reader: &mut Reader, caller: &mut CallerStream) -> Result<Batch, String> {
    let mut batch = Batch {
        bytes: BytesMut::new(),
        done: false,
    };
    while let Some(event) = reader.next_event().map_err(|error| error.to_string())? {
        if event.data.as_ref() == DONE {
            batch.done = true;
            return Ok(batch);
        }
        caller.tokens = caller.tokens.saturating_add(u32::from(has_text(&event.data)));
        let name = std::str::from_utf8(&event.name).ok().filter(|name| !name.is_empty());
        write_event(&mut batch.bytes, name, &event.data);
    }
    Ok(batch)
}

async fn finish(caller: &mut CallerStream, mut response: Response) -> AttemptEnd {
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
        Ok(()) => AttemptEnd::Complete,
        Err(CallerGone) => AttemptEnd::CallerLeft,
    }
}

fn failed(error: &SendError) -> AttemptEnd {
    AttemptEnd::Failed(end_for_error(error), error.may_have_run(), error.to_string())
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
