//! Model calls that are streamed.

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

use super::whole::ended;
use super::{MAX_ATTEMPTS, ModelRequest, failed, try_elsewhere};
use crate::answer::{Final, REQUEST_ID, done, error_event, insert_text, word_comment};
use crate::chunk::carries_text;
use crate::entry::Entry;
use crate::headers;
use crate::permit::{Denied, Lease};
use crate::plain::{MAX_ANSWER_BYTES, Reply};

/// Largest event of an engine's stream in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Bytes that an engine may send behind the last event.
const MAX_BEHIND_BYTES: usize = 1024;
/// Time for the end of an engine's answer behind the last event.
const BEHIND: Duration = Duration::from_millis(500);
/// Tokens between two notes to the pool's owner.
const NOTE_EVERY_TOKENS: u32 = 64;

/// How one attempt at one engine ended.
enum Tried {
    /// The whole stream was forwarded.
    Whole,
    /// The engine answered with an error of its own.
    Error(StatusCode, HeaderMap, Bytes),
    /// It broke; the caller has all tokens counted so far.
    Broke(Ended, bool, String),
    Preempted,
    Left,
}

/// The caller's side of the stream.
struct Sink {
    out: Option<Responder>,
    writer: Option<ChunkWriter>,
    tokens: u32,
    noted: u32,
}

pub(super) async fn serve(entry: &Rc<Entry>, model: ModelRequest, out: Responder, cx: CancellationToken) {
    let mut sink = Sink {
        out: Some(out),
        writer: None,
        tokens: 0,
        noted: 0,
    };
    let end = run(entry, &model, &mut sink, &cx).await;
    let request = &model.facts.request;
    match end {
        End::Whole => entry.said(request, ExecutionStatus::Done, "answered"),
        End::Left => entry.left(request),
        End::Reply(reply) => sink.reply(entry, request, reply).await,
        End::Final(end) => sink.fail(entry, request, &end).await,
    }
}

enum End {
    Whole,
    Left,
    Reply(Box<Reply>),
    Final(Box<Final>),
}

async fn run(entry: &Rc<Entry>, model: &ModelRequest, sink: &mut Sink, cx: &CancellationToken) -> End {
    let request = &model.facts.request;
    let mut wanted = model.wanted();
    let mut may_have_run = false;
    let mut tries = 0;
    while tries < MAX_ATTEMPTS {
        if sink.tokens > 0 {
            wanted.begin_by = now_boot().after(model.facts.target);
        }
        let lease = match entry.acquire.permit(&wanted, cx).await {
            Ok(lease) => lease,
            Err(Denied::Left) => return End::Left,
            Err(Denied::Final(_)) if may_have_run => return End::Final(Box::new(failed(true))),
            Err(Denied::Final(end)) => return End::Final(Box::new(end)),
        };
        entry.node.trail.add_step(request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        if sink.tokens > 0 && !entry.resumes(&endpoint) {
            lease.settle(Ended::Cancelled);
            return End::Final(Box::new(failed(true)));
        }
        match once(entry, model, &lease, sink, cx).await {
            Tried::Whole => {
                lease.settle(Ended::Whole { tokens: sink.tokens });
                return End::Whole;
            }
            Tried::Left => {
                lease.settle(Ended::Cancelled);
                return End::Left;
            }
            Tried::Preempted => {
                may_have_run = true;
                entry.node.trail.add_step(request, "preempted", &endpoint);
                lease.settle(Ended::Cancelled);
                continue;
            }
            Tried::Error(status, headers, body) if sink.unopened() && !retry(status, tries) => {
                lease.settle(Ended::Whole { tokens: 0 });
                return End::Reply(Box::new(engine_error(request, status, headers, body)));
            }
            Tried::Error(status, ..) => {
                entry
                    .node
                    .trail
                    .add_step(request, "failed", &format!("{endpoint}: status {status}"));
                lease.settle(Ended::Failed);
            }
            Tried::Broke(ended, may, detail) => {
                entry
                    .node
                    .trail
                    .add_step(request, "failed", &format!("{endpoint}: {detail}"));
                may_have_run |= may;
                lease.settle(ended);
            }
        }
        wanted.avoid.push(endpoint);
        tries += 1;
        if sink.tokens == 0 && !entry.retries.take() {
            break;
        }
    }
    End::Final(Box::new(failed(may_have_run)))
}

fn retry(status: StatusCode, tries: usize) -> bool {
    try_elsewhere(status) && tries + 1 < MAX_ATTEMPTS
}

fn engine_error(request: &str, status: StatusCode, from: HeaderMap, body: Bytes) -> Reply {
    let word = done("answered");
    let mut headers = headers::to_caller(&from);
    headers.extend(crate::answer::word_headers(&word, request));
    Reply {
        status,
        headers,
        body,
        word,
    }
}

async fn once(entry: &Entry, model: &ModelRequest, lease: &Lease, sink: &mut Sink, cx: &CancellationToken) -> Tried {
    let mut call = model.call_for(entry, lease, sink.tokens);
    // A stream lasts as long as it brings events.
    call.bounds.whole = Bounds::default().whole;
    let answer = monoio::select! {
        answer = entry.client.send(call, cx) => answer,
        () = lease.preempted().cancelled() => return Tried::Preempted,
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(_) if cx.is_cancelled() => return Tried::Left,
        Err(error) => return broke(&error),
    };
    if answer.status != StatusCode::OK {
        return read_error(answer).await;
    }
    forward(model, lease, answer, sink, entry.settings.timeouts.between_bytes, cx).await
}

async fn read_error(mut answer: Response) -> Tried {
    let mut body = BytesMut::new();
    while let Some(data) = answer.next().await {
        match data {
            Ok(data) if body.len() + data.len() <= MAX_ANSWER_BYTES => body.extend_from_slice(&data),
            Ok(_) => return Tried::Broke(Ended::Failed, true, String::from("the error's body is too large")),
            Err(error) => return broke(&error),
        }
    }
    Tried::Error(answer.status, answer.headers.clone(), body.freeze())
}

async fn forward(
    model: &ModelRequest,
    lease: &Lease,
    mut answer: Response,
    sink: &mut Sink,
    stall: Duration,
    cx: &CancellationToken,
) -> Tried {
    let mut reader = Reader::new(MAX_EVENT_BYTES);
    let mut progress = StallTimer::new(stall, now_boot());
    loop {
        let data = monoio::select! {
            data = answer.next() => data,
            () = cx.cancelled() => return Tried::Left,
            () = lease.preempted().cancelled() => return Tried::Preempted,
        };
        let data = match data {
            Some(Ok(data)) => data,
            Some(Err(error)) => return broke(&error),
            None => return Tried::Broke(Ended::Failed, true, String::from("the stream ended without [DONE]")),
        };
        reader.push(&data);
        let batch = match take_events(&mut reader, sink) {
            Ok(batch) => batch,
            Err(detail) => return Tried::Broke(Ended::Failed, true, detail),
        };
        let now = now_boot();
        if !batch.bytes.is_empty() {
            progress.event(now);
        } else if !batch.done && progress.is_stalled(now) {
            return Tried::Broke(Ended::Failed, true, String::from("bytes came and no event"));
        }
        let finished = batch.done;
        if sink.send(model, batch, &answer.headers).await.is_err() {
            return Tried::Left;
        }
        sink.note(lease);
        if finished {
            return finish(sink, answer).await;
        }
    }
}

/// Events of one read, ready for the caller.
struct Batch {
    bytes: BytesMut,
    done: bool,
}

fn take_events(reader: &mut Reader, sink: &mut Sink) -> Result<Batch, String> {
    let mut batch = Batch {
        bytes: BytesMut::new(),
        done: false,
    };
    while let Some(event) = reader.next_event().map_err(|error| error.to_string())? {
        if event.data.as_ref() == DONE {
            batch.done = true;
            return Ok(batch);
        }
        sink.tokens = sink.tokens.saturating_add(u32::from(carries_text(&event.data)));
        let name = std::str::from_utf8(&event.name).ok().filter(|name| !name.is_empty());
        write_event(&mut batch.bytes, name, &event.data);
    }
    Ok(batch)
}

async fn finish(sink: &mut Sink, mut answer: Response) -> Tried {
    let ended = sink.end().await;
    // The body's own end follows; reading it lets the connection be used again. What is longer or later is no end.
    let mut behind = 0;
    let read = async {
        while let Some(Ok(data)) = answer.next().await {
            behind += data.len();
            if behind > MAX_BEHIND_BYTES {
                return;
            }
        }
    };
    let _ = timeout(BEHIND, read).await;
    match ended {
        Ok(()) => Tried::Whole,
        Err(Gone) => Tried::Left,
    }
}

fn broke(error: &SendError) -> Tried {
    Tried::Broke(ended(error), error.may_have_run(), error.to_string())
}

/// The caller has left.
struct Gone;

impl Sink {
    fn unopened(&self) -> bool {
        self.writer.is_none()
    }

    async fn send(&mut self, model: &ModelRequest, batch: Batch, engine: &HeaderMap) -> Result<(), Gone> {
        let request = &model.facts.request;
        let mut bytes = batch.bytes;
        if batch.done {
            bytes.extend_from_slice(&word_comment(&done("answered"), request));
            write_event(&mut bytes, None, DONE);
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let writer = self.open(request, engine).await?;
        writer.send(bytes.freeze()).await.map_err(|_| Gone)
    }

    async fn open(&mut self, request: &str, engine: &HeaderMap) -> Result<&mut ChunkWriter, Gone> {
        if let Some(out) = self.out.take() {
            let headers = stream_headers(request, engine);
            self.writer = Some(out.stream(StatusCode::OK, headers).await.map_err(|_| Gone)?);
        }
        self.writer.as_mut().ok_or(Gone)
    }

    fn note(&mut self, lease: &Lease) {
        let new = self.tokens - self.noted;
        if new == 0 || (self.noted > 0 && new < NOTE_EVERY_TOKENS) {
            return;
        }
        lease.progress(self.tokens);
        self.noted = self.tokens;
    }

    async fn end(&mut self) -> Result<(), Gone> {
        let writer = self.writer.take().ok_or(Gone)?;
        writer.finish().await.map_err(|_| Gone)
    }

    async fn reply(mut self, entry: &Entry, request: &str, reply: Box<Reply>) {
        if let Some(out) = self.out.take() {
            entry.reply(request, out, *reply).await;
        }
    }

    /// Ends with a final answer: whole if the head is not out yet, as an error event otherwise.
    async fn fail(mut self, entry: &Entry, request: &str, end: &Final) {
        if let Some(out) = self.out.take() {
            return entry.finish(request, out, end).await;
        }
        entry.said(request, end.word.word, &end.word.cause);
        let Some(mut writer) = self.writer.take() else {
            return;
        };
        if writer.send(error_event(end, request)).await.is_ok() && writer.finish().await.is_err() {
            tracing::debug!(request, "entry: the caller left during the error event");
        }
    }
}

fn stream_headers(request: &str, engine: &HeaderMap) -> HeaderMap {
    let mut headers = headers::to_caller(engine);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    insert_text(&mut headers, REQUEST_ID, request);
    headers
}
