//! Builds and sends the response to a chat or completion request, streamed or buffered.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use bytes::Bytes;
use celerytide_http::server::{ChunkWriter, Responder};
use celerytide_types::RequestId;
use futures::{StreamExt, channel::mpsc::UnboundedReceiver};
use http::StatusCode;
use monoio::time;
use tokio_util::sync::CancellationToken;

use super::{Engine, Progress};
use crate::respond::{self, Abort};

/// Everything that a response is built from except its tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseSpec {
    pub(super) id: RequestId,
    pub(super) model: String,
    pub(super) is_chat: bool,
    pub(super) prompt_tokens: usize,
    /// Length of the whole response, including tokens that another engine has sent.
    pub(super) total_tokens: usize,
    pub(super) is_truncated: bool,
    /// Version that each event of a stream names.
    pub(super) version: Option<String>,
}

/// Sends one response.
pub(super) struct ResponseWriter<'a> {
    pub(super) engine: &'a Engine,
    pub(super) peer: SocketAddr,
    pub(super) cut_after: Option<usize>,
    /// Pause between the head of the response and its body.
    pub(super) pause_after_head: Duration,
    pub(super) cx: &'a CancellationToken,
}

impl ResponseWriter<'_> {
    pub(super) async fn send_stream(
        &self,
        spec: &ResponseSpec,
        first: usize,
        mut rx: UnboundedReceiver<Progress>,
        out: Responder,
    ) -> Result<(), Abort> {
        let mut headers = respond::headers("text/event-stream", &spec.id);
        headers.insert(http::header::CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
        self.engine.faults.wait_to_send(self.peer, self.cx).await?;
        let mut chunks = out.stream(StatusCode::OK, headers).await?;
        time::sleep(self.pause_after_head).await;
        let (prefix, suffix) = (spec.event_prefix(), spec.event_suffix());
        while let Some(Progress::Token(i)) = rx.next().await {
            if self.cut_after.is_some_and(|after| i >= first + after) {
                return Ok(());
            }
            self.send(&mut chunks, format!("{prefix}w{i} {suffix}")).await?;
        }
        self.send(&mut chunks, spec.finish_event()).await?;
        self.send(&mut chunks, "data: [DONE]\n\n".to_owned()).await?;
        Ok(chunks.finish().await?)
    }

    async fn send(&self, chunks: &mut ChunkWriter, event: String) -> Result<(), Abort> {
        if !self.engine.faults.is_unrestricted() {
            self.engine.faults.wait_to_send(self.peer, self.cx).await?;
        }
        Ok(chunks.send(Bytes::from(event)).await?)
    }

    pub(super) async fn send_buffered(
        &self,
        spec: &ResponseSpec,
        mut rx: UnboundedReceiver<Progress>,
        out: Responder,
    ) -> Result<(), Abort> {
        let mut text = String::new();
        let mut tokens = 0;
        while let Some(Progress::Token(i)) = rx.next().await {
            // Writing to a string can't fail.
            let _ = write!(text, "w{i} ");
            tokens += 1;
        }
        self.engine.faults.wait_to_send(self.peer, self.cx).await?;
        let body = respond::to_json(&spec.buffered_body(&text, tokens));
        let headers = respond::headers("application/json", &spec.id);
        if self.cut_after.is_none() && self.pause_after_head.is_zero() {
            return Ok(out.whole(StatusCode::OK, headers, body).await?);
        }
        let mut chunks = out.stream(StatusCode::OK, headers).await?;
        time::sleep(self.pause_after_head).await;
        let Some(after) = self.cut_after else {
            chunks.send(body).await?;
            return Ok(chunks.finish().await?);
        };
        chunks.send(body.slice(..after.min(body.len()))).await?;
        Ok(())
    }
}

impl ResponseSpec {
    fn finish_reason(&self) -> &'static str {
        if self.is_truncated { "length" } else { "stop" }
    }

    /// The last event before `[DONE]`.
    fn finish_event(&self) -> String {
        let choice = match self.is_chat {
            true => serde_json::json!({ "index": 0, "delta": {}, "finish_reason": self.finish_reason() }),
            false => serde_json::json!({ "index": 0, "text": "", "finish_reason": self.finish_reason() }),
        };
        let mut event = serde_json::json!({
            "id": self.id,
            "object": self.chunk_object(),
            "model": self.model,
            "choices": [choice],
        });
        if let Some(version) = &self.version {
            event["system_fingerprint"] = serde_json::json!(version);
        }
        format!("data: {event}\n\n")
    }

    /// The part of each event before its text; built once, because a response has many events.
    fn event_prefix(&self) -> String {
        let (id, model) = (serde_json::json!(self.id), serde_json::json!(self.model));
        let object = self.chunk_object();
        let text = if self.is_chat {
            r#""delta":{"role":"assistant","content":""#
        } else {
            r#""text":""#
        };
        let version = self.version.as_ref();
        let version = version.map_or_else(String::new, |version| {
            format!(r#""system_fingerprint":{},"#, serde_json::json!(version))
        });
        format!(r#"data: {{"id":{id},"object":"{object}","model":{model},{version}"choices":[{{"index":0,{text}"#)
    }

    /// The part of each event after its text.
    fn event_suffix(&self) -> &'static str {
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

    fn buffered_body(&self, text: &str, tokens: usize) -> serde_json::Value {
        let choice = match self.is_chat {
            true => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": self.finish_reason(),
            }),
            false => serde_json::json!({ "index": 0, "text": text, "finish_reason": self.finish_reason() }),
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
