//! Model calls that are answered whole.

use std::rc::Rc;

use celerytide_http::client::{BufferedResponse, SendError, Stage};
use celerytide_http::server::Responder;
use celerytide_wire::messages::Ended;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::{MAX_ATTEMPTS, ModelRequest, failed, try_elsewhere};
use crate::answer::{done, word_headers};
use crate::entry::Entry;
use crate::headers;
use crate::permit::{Denied, Lease};
use crate::plain::{MAX_ANSWER_BYTES, Reply};

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
}

#[derive(Deserialize)]
struct Answer {
    usage: Option<Usage>,
}

enum Tried {
    Answered(BufferedResponse),
    Broke(SendError),
    Preempted,
    Left,
}

pub(super) async fn serve(entry: &Rc<Entry>, model: ModelRequest, out: Responder, cx: CancellationToken) {
    let request = model.facts.request.clone();
    if let Some(reply) = run(entry, &model, &cx).await {
        entry.reply(&request, out, reply).await;
    } else {
        entry.left(&request);
    }
}

/// `None` if the caller left.
async fn run(entry: &Rc<Entry>, model: &ModelRequest, cx: &CancellationToken) -> Option<Reply> {
    let request = &model.facts.request;
    let mut wanted = model.wanted();
    let mut may_have_run = false;
    let mut tries = 0;
    while tries < MAX_ATTEMPTS {
        let lease = match entry.acquire.permit(&wanted, cx).await {
            Ok(lease) => lease,
            Err(Denied::Left) => return None,
            Err(Denied::Final(_)) if may_have_run => return Some(Reply::of(&failed(true), request)),
            Err(Denied::Final(end)) => return Some(Reply::of(&end, request)),
        };
        entry.node.trail.add_step(request, "permitted", lease.endpoint());
        let endpoint = lease.endpoint().clone();
        match once(entry, model, &lease, cx).await {
            Tried::Left => {
                lease.settle(Ended::Cancelled);
                return None;
            }
            Tried::Preempted => lease.settle(Ended::Cancelled),
            Tried::Answered(whole) if !try_elsewhere(whole.status) || tries + 1 == MAX_ATTEMPTS => {
                lease.settle(Ended::Whole {
                    tokens: tokens_of(&whole),
                });
                return Some(answered(model, whole));
            }
            Tried::Answered(_) => {
                lease.settle(Ended::Failed);
                wanted.avoid.push(endpoint);
                tries += 1;
            }
            Tried::Broke(error) => {
                entry
                    .node
                    .trail
                    .add_step(request, "failed", &format!("{endpoint}: {error}"));
                may_have_run |= error.may_have_run();
                lease.settle(ended(&error));
                wanted.avoid.push(endpoint);
                tries += 1;
            }
        }
        if !entry.retries.take() {
            break;
        }
    }
    Some(Reply::of(&failed(may_have_run), request))
}

async fn once(entry: &Entry, model: &ModelRequest, lease: &Lease, cx: &CancellationToken) -> Tried {
    let call = model.call_for(entry, lease, 0);
    let answer = monoio::select! {
        answer = entry.client.send_buffered(call, MAX_ANSWER_BYTES, cx) => answer,
        () = lease.preempted().cancelled() => return Tried::Preempted,
    };
    match answer {
        Ok(whole) => Tried::Answered(whole),
        Err(_) if cx.is_cancelled() => Tried::Left,
        Err(error) => Tried::Broke(error),
    }
}

pub(super) fn ended(error: &SendError) -> Ended {
    match error.stage {
        Stage::Connect => Ended::NotStarted,
        Stage::Written | Stage::Body => Ended::Failed,
    }
}

fn answered(model: &ModelRequest, whole: BufferedResponse) -> Reply {
    let word = done("answered");
    let mut out = headers::to_caller(&whole.headers);
    out.extend(word_headers(&word, &model.facts.request));
    Reply {
        status: whole.status,
        headers: out,
        body: whole.body,
        word,
    }
}

fn tokens_of(whole: &BufferedResponse) -> u32 {
    let answer: Option<Answer> = serde_json::from_slice(&whole.body).ok();
    answer.and_then(|a| a.usage).map_or(0, |u| u.completion_tokens)
}
