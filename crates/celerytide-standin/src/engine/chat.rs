//! Requests to `/v1/chat/completions` and `/v1/completions`, with streamed and buffered responses.

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
    cache::BLOCK_TOKENS,
    response::{ResponseSpec, ResponseWriter},
};
use crate::{
    fault::Fault,
    plain::Run,
    respond::{self, Abort},
};

/// Path of chat requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of completion requests.
pub const COMPLETION_PATH: &str = "/v1/completions";
const PRIORITY_HEADER: &str = "x-priority";
/// Priority of a request without the priority header.
const LOWEST_PRIORITY: u8 = u8::MAX;
/// A warm engine refuses requests beyond this number per slot, running and waiting.
const MAX_REQUESTS_PER_SLOT: usize = 2;

/// Serves one request.
pub async fn serve(engine: &Engine, req: Request, out: Responder, cx: &CancellationToken) -> Result<(), Abort> {
    let peer = req.peer;
    engine.faults.record_peer(peer);
    engine.faults.wait_to_send(peer, cx).await?;
    let id = Some(respond::header_text(&req.headers, respond::REQUEST_ID_HEADER)).filter(|id| !id.is_empty());
    let id = id.map_or_else(new_request_id, str::to_owned);
    let fault = engine.faults.take_next();
    if let Some(Fault::Status {
        code,
        ran: false,
        stated,
    }) = fault
    {
        respond::status_fault(out, code, &id, stated).await;
        return Ok(());
    }
    let Some(prompt) = Prompt::parse(&req.body.to_bytes()) else {
        respond::error(out, StatusCode::BAD_REQUEST, &id, "the body is not JSON with a prompt").await;
        return Ok(());
    };
    let running_cx = engine.running_cx.borrow().clone();
    if !admit(engine) {
        respond::error(out, StatusCode::SERVICE_UNAVAILABLE, &id, "the engine is full").await;
        return Ok(());
    }
    if running_cx.is_cancelled() {
        return Err(Abort);
    }
    monoio::select! {
        done = run_request(engine, &req, prompt, id, fault, out, cx) => done,
        () = running_cx.cancelled() => Err(Abort),
        () = cx.cancelled() => Err(Abort),
    }
}

/// Whether one more request is admitted; one too many on a cold engine overloads it.
fn admit(engine: &Engine) -> bool {
    let mut batch = engine.batch.borrow_mut();
    batch.drop_disconnected();
    let present = batch.running() + batch.waiting();
    drop(batch);
    if engine.is_cold() && present >= engine.options.cold_slots {
        engine.overload();
        // The request that overloads the engine is reset with the others.
        return true;
    }
    present < MAX_REQUESTS_PER_SLOT * engine.options.slots
}

async fn run_request(
    engine: &Engine,
    req: &Request,
    prompt: Prompt,
    id: RequestId,
    fault: Option<Fault>,
    out: Responder,
    cx: &CancellationToken,
) -> Result<(), Abort> {
    let drawn = engine.lengths.draw(&id, None);
    let total_tokens = engine.lengths.draw(&id, prompt.max_tokens);
    let mut spec = ResponseSpec {
        is_chat: req.uri.path() == CHAT_PATH,
        model: prompt.model.clone(),
        prompt_tokens: prompt.tokens,
        is_truncated: total_tokens < drawn,
        total_tokens,
        version: engine.faults.version(),
        id,
    };
    match fault {
        Some(Fault::Crossed) => spec = engine.swap.exchange(spec).await,
        Some(Fault::Late { ms }) => time::sleep(Duration::from_millis(ms)).await,
        _ => {}
    }
    let priority = respond::header_text(&req.headers, PRIORITY_HEADER)
        .parse()
        .unwrap_or(LOWEST_PRIORITY);
    engine.runs.borrow_mut().push(Run::of(req, &spec.id));
    if engine.faults.is_deadly(&req.body.to_bytes()) {
        engine.overload();
        return Err(Abort);
    }
    let rx = submit(engine, &prompt, priority, spec.total_tokens);
    let mut writer = ResponseWriter {
        engine,
        peer: req.peer,
        cut_after: None,
        pause_after_head: Duration::ZERO,
        cx,
    };
    match fault {
        Some(Fault::CutMidAnswer { after }) => writer.cut_after = Some(after),
        Some(Fault::Stall { ms, after_head: true }) => writer.pause_after_head = Duration::from_millis(ms),
        Some(Fault::Stall { ms, after_head: false }) => time::sleep(Duration::from_millis(ms)).await,
        Some(Fault::Status { code, stated, .. }) => {
            let _ran = rx.collect::<Vec<_>>().await;
            respond::status_fault(out, code, &spec.id, stated).await;
            return Ok(());
        }
        Some(Fault::Reset) => {
            let _ran = rx.collect::<Vec<_>>().await;
            return Err(Abort);
        }
        _ => {}
    }
    match prompt.stream {
        true => writer.send_stream(&spec, prompt.resume_from, rx, out).await,
        false => writer.send_buffered(&spec, rx, out).await,
    }
}

/// Adds the request to the batch and wakes the decode loop.
fn submit(engine: &Engine, prompt: &Prompt, priority: u8, end_token: usize) -> UnboundedReceiver<Progress> {
    let held = engine.cache.borrow_mut().lookup_and_store(&prompt.blocks) * BLOCK_TOKENS;
    // Tokens that another engine has sent are read like the prompt.
    let prefill_left = prompt.tokens.saturating_sub(held) + prompt.resume_from;
    let (tx, rx) = mpsc::unbounded();
    let job = Job {
        priority,
        prefill_left,
        next_token: prompt.resume_from,
        end_token,
        tx,
    };
    engine.batch.borrow_mut().add(job);
    if let Some(wake) = engine.wake.borrow_mut().take() {
        let _ = wake.send(());
    }
    rx
}
