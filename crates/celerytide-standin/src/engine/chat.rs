//! The callers' side of an engine: `/v1/chat/completions` and `/v1/completions`, streamed and whole.

use std::{
    fmt::Write,
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use bytes::Bytes;
use celerytide_http::server::{ChunkWriter, Request, Responder};
use celerytide_types::{RequestId, new_request_id};
use futures::{
    StreamExt,
    channel::{
        mpsc::{self, UnboundedReceiver},
        oneshot,
    },
};
use http::StatusCode;
use monoio::time;
use tokio_util::sync::CancellationToken;

use super::{Engine, Job, Progress, Prompt, cache::BLOCK_TOKENS};
use crate::{
    fault::Fault,
    reply::{self, Closed},
};

/// Path of chat calls.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of text calls.
pub const TEXT_PATH: &str = "/v1/completions";
const PRIORITY: &str = "x-priority";
/// Priority of a request that names none.
const LOWEST_PRIORITY: u8 = u8::MAX;
/// A warm engine refuses requests past this many for each slot.
const REQUESTS_PER_SLOT: usize = 2;
/// A step that is later than this starts the schedule anew.
const MAX_LAG: Duration = Duration::from_millis(50);

/// What an answer is made from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    id: RequestId,
    model: String,
    is_chat: bool,
    prompt_tokens: usize,
    /// Length of the whole answer, tokens sent elsewhere included.
    end: usize,
    is_cut: bool,
}

/// Runs the batch for as long as the process lives.
pub async fn drive(engine: Rc<Engine>) {
    let mut due = Instant::now();
    loop {
        let step = engine.batch.borrow_mut().begin_step();
        let Some(step) = step else {
            sleep_until_work(&engine).await;
            due = Instant::now();
            continue;
        };
        due += step + engine.faults.slow();
        pause(&mut due).await;
        if let Some(left) = engine.faults.frozen_for() {
            time::sleep(left).await;
        }
        let tokens = engine.batch.borrow_mut().end_step();
        engine.load.borrow_mut().count(tokens);
    }
}

async fn sleep_until_work(engine: &Engine) {
    let (tx, rx) = oneshot::channel();
    *engine.wake.borrow_mut() = Some(tx);
    // An error says that a newer sleeper took over, which a single driver never sees.
    let _ = rx.await;
}

/// Sleeps to `due`, or lets other tasks run once if it has passed.
async fn pause(due: &mut Instant) {
    let now = Instant::now();
    if *due > now {
        return time::sleep(*due - now).await;
    }
    if now.duration_since(*due) > MAX_LAG {
        *due = now;
    }
    give_way().await;
}

/// Lets other tasks run once; a sleep of no length would wait for the timer's next step.
async fn give_way() {
    let mut was_polled = false;
    poll_fn(|cx| {
        if was_polled {
            return Poll::Ready(());
        }
        was_polled = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Answers one call.
pub async fn serve(engine: &Engine, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Closed> {
    let peer = req.peer;
    engine.faults.meet(peer);
    engine.faults.pass(peer, cx).await?;
    let id = Some(reply::header_text(&req.headers, reply::REQUEST_ID)).filter(|id| !id.is_empty());
    let id = id.map_or_else(new_request_id, str::to_owned);
    let fault = engine.faults.take_next();
    if let Some(Fault::Status { code }) = fault {
        let status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        reply::error(out, status, &id, "refused without running").await;
        return Ok(());
    }
    let Some(prompt) = Prompt::read(&req.body) else {
        reply::error(out, StatusCode::BAD_REQUEST, &id, "the body is not JSON with a prompt").await;
        return Ok(());
    };
    let life = engine.life.borrow().clone();
    if !admit(engine) {
        reply::error(out, StatusCode::SERVICE_UNAVAILABLE, &id, "the engine is full").await;
        return Ok(());
    }
    if life.is_cancelled() {
        return Err(Closed);
    }
    monoio::select! {
        done = answer(engine, &req, prompt, id, fault, out, cx) => done,
        () = life.cancelled() => Err(Closed),
        () = cx.cancelled() => Err(Closed),
    }
}

/// Whether one more request is taken; one too many while cold makes the engine fall over.
fn admit(engine: &Engine) -> bool {
    let mut batch = engine.batch.borrow_mut();
    batch.prune();
    let present = batch.running() + batch.waiting();
    drop(batch);
    if engine.is_cold() && present >= engine.options.cold_slots {
        engine.fall_over();
        // The request that was one too many is reset with the others.
        return true;
    }
    present < REQUESTS_PER_SLOT * engine.options.slots
}

async fn answer(
    engine: &Engine,
    req: &Request,
    prompt: Prompt,
    id: RequestId,
    fault: Option<Fault>,
    out: Responder,
    cx: &CancellationToken,
) -> Result<(), Closed> {
    let drawn = engine.lengths.draw(&id, None);
    let end = engine.lengths.draw(&id, prompt.max_tokens);
    let mut own = Identity {
        is_chat: req.uri.path() == CHAT_PATH,
        model: prompt.model.clone(),
        prompt_tokens: prompt.tokens,
        is_cut: end < drawn,
        end,
        id,
    };
    match fault {
        Some(Fault::Crossed) => own = engine.crossing.exchange(own).await,
        Some(Fault::Late { ms }) => time::sleep(Duration::from_millis(ms)).await,
        _ => {}
    }
    let priority = reply::header_text(&req.headers, PRIORITY)
        .parse()
        .unwrap_or(LOWEST_PRIORITY);
    let rx = submit(engine, &prompt, priority, own.end);
    let mut sender = Sender {
        engine,
        peer: req.peer,
        cut_after: None,
        cx,
    };
    if let Some(Fault::CutMidAnswer { after }) = fault {
        sender.cut_after = Some(after);
    }
    if fault == Some(Fault::Reset) {
        let _ran = rx.collect::<Vec<_>>().await;
        return Err(Closed);
    }
    match prompt.stream {
        true => sender.stream(&own, prompt.resume_from, rx, out).await,
        false => sender.whole(&own, rx, out).await,
    }
}

/// Puts the request into the batch and wakes it.
fn submit(engine: &Engine, prompt: &Prompt, priority: u8, end: usize) -> UnboundedReceiver<Progress> {
    let held = engine.cache.borrow_mut().read(&prompt.blocks) * BLOCK_TOKENS;
    // Tokens that were sent elsewhere have to be read like the prompt.
    let prefill = prompt.tokens.saturating_sub(held) + prompt.resume_from;
    let (tx, rx) = mpsc::unbounded();
    let job = Job {
        priority,
        prefill,
        next: prompt.resume_from,
        end,
        tx,
    };
    engine.batch.borrow_mut().add(job);
    if let Some(wake) = engine.wake.borrow_mut().take() {
        let _ = wake.send(());
    }
    rx
}

struct Sender<'a> {
    engine: &'a Engine,
    peer: std::net::SocketAddr,
    cut_after: Option<usize>,
    cx: &'a CancellationToken,
}

impl Sender<'_> {
    async fn stream(
        &self,
        own: &Identity,
        first: usize,
        mut rx: UnboundedReceiver<Progress>,
        out: Responder,
    ) -> Result<(), Closed> {
        let mut headers = reply::headers("text/event-stream", &own.id);
        headers.insert(http::header::CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
        self.engine.faults.pass(self.peer, self.cx).await?;
        let mut chunks = out.stream(StatusCode::OK, headers).await?;
        let (head, tail) = (own.event_head(), own.event_tail());
        while let Some(Progress::Token(i)) = rx.next().await {
            if self.cut_after.is_some_and(|after| i >= first + after) {
                return Ok(());
            }
            self.send(&mut chunks, format!("{head}w{i} {tail}")).await?;
        }
        self.send(&mut chunks, own.last_event()).await?;
        self.send(&mut chunks, "data: [DONE]\n\n".to_owned()).await?;
        Ok(chunks.finish().await?)
    }

    async fn send(&self, chunks: &mut ChunkWriter, event: String) -> Result<(), Closed> {
        if !self.engine.faults.is_calm() {
            self.engine.faults.pass(self.peer, self.cx).await?;
        }
        Ok(chunks.send(Bytes::from(event)).await?)
    }

    async fn whole(&self, own: &Identity, mut rx: UnboundedReceiver<Progress>, out: Responder) -> Result<(), Closed> {
        let mut text = String::new();
        let mut tokens = 0;
        while let Some(Progress::Token(i)) = rx.next().await {
            // Writing to a string does not fail.
            let _ = write!(text, "w{i} ");
            tokens += 1;
        }
        self.engine.faults.pass(self.peer, self.cx).await?;
        let body = reply::to_json(&own.whole(&text, tokens));
        let headers = reply::headers("application/json", &own.id);
        let Some(after) = self.cut_after else {
            return Ok(out.whole(StatusCode::OK, headers, body).await?);
        };
        let mut chunks = out.stream(StatusCode::OK, headers).await?;
        chunks.send(body.slice(..after.min(body.len()))).await?;
        Ok(())
    }
}

impl Identity {
    fn finish(&self) -> &'static str {
        if self.is_cut { "length" } else { "stop" }
    }

    /// The last event before `[DONE]`.
    fn last_event(&self) -> String {
        let choice = match self.is_chat {
            true => serde_json::json!({ "index": 0, "delta": {}, "finish_reason": self.finish() }),
            false => serde_json::json!({ "index": 0, "text": "", "finish_reason": self.finish() }),
        };
        let event = serde_json::json!({
            "id": self.id,
            "object": self.chunk_object(),
            "model": self.model,
            "choices": [choice],
        });
        format!("data: {event}\n\n")
    }

    /// What stands before the text in each event; made once, because an answer has many.
    fn event_head(&self) -> String {
        let (id, model) = (serde_json::json!(self.id), serde_json::json!(self.model));
        let object = self.chunk_object();
        let text = if self.is_chat {
            r#""delta":{"role":"assistant","content":""#
        } else {
            r#""text":""#
        };
        format!(r#"data: {{"id":{id},"object":"{object}","model":{model},"choices":[{{"index":0,{text}"#)
    }

    /// What stands after the text in each event.
    fn event_tail(&self) -> &'static str {
        if self.is_chat {
            "\"},\"finish_reason\":null}]}\n\n"
        } else {
            "\",\"finish_reason\":null}]}\n\n"
        }
    }

    fn chunk_object(&self) -> &'static str {
        if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn whole(&self, text: &str, tokens: usize) -> serde_json::Value {
        let choice = match self.is_chat {
            true => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": self.finish(),
            }),
            false => serde_json::json!({ "index": 0, "text": text, "finish_reason": self.finish() }),
        };
        serde_json::json!({
            "id": self.id,
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": self.prompt_tokens + tokens,
            },
        })
    }
}
