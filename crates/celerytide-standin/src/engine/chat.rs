//! The callers' side of an engine: `/v1/chat/completions` and `/v1/completions`, streamed and whole.

use std::time::Duration;

use celerytide_http::server::{Request, Responder};
use celerytide_types::{RequestId, new_request_id};
use futures::{
    StreamExt,
    channel::mpsc::{self, UnboundedReceiver},
};
use http::StatusCode;
use monoio::time;
use tokio_util::sync::CancellationToken;

use super::{
    Engine, Job, Progress, Prompt,
    answer::{Identity, Sender},
    cache::BLOCK_TOKENS,
};
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
