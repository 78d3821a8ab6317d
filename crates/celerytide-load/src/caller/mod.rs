//! A caller: sends one request to an entry and follows its answer to the end.

mod stream;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use celerytide_http::client::{Bounds, Call, Client, Response};
use celerytide_types::{ClassName, RequestId};
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use stream::Stream;

/// Path of chat calls.
pub const CHAT_PATH: &str = "/v1/chat/completions";
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const CLASS: HeaderName = HeaderName::from_static("celerytide-class");
const TICKET: HeaderName = HeaderName::from_static("celerytide-ticket");
const WORD: &str = "celerytide-word";
const CAUSE: &str = "celerytide-cause";
const RETRY_AFTER_MS: &str = "celerytide-retry-after-ms";
/// Longest wait for the first byte: beyond any queue of the entry.
const FIRST_BYTE: Duration = Duration::from_secs(120);
const BETWEEN_BYTES: Duration = Duration::from_secs(60);

/// One request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// Whom to ask.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The customer's key.
    pub key: String,
    /// The class, if the request names one.
    pub class: Option<ClassName>,
    /// Request id.
    pub request: RequestId,
    /// Ticket of an at-most-once action.
    pub ticket: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl CallerRequest {
    /// A streamed chat call.
    pub fn chat(
        addr: SocketAddr,
        key: &str,
        request: &str,
        model: &str,
        prompt: &str,
        max_tokens: Option<usize>,
    ) -> Self {
        let mut body = json!({ "model": model, "stream": true, "messages": [{ "role": "user", "content": prompt }] });
        if let Some(max_tokens) = max_tokens {
            body["max_tokens"] = json!(max_tokens);
        }
        let body = Bytes::from(body.to_string());
        Self {
            body,
            ..Self::plain(addr, key, request, Method::POST, CHAT_PATH)
        }
    }

    /// A call with an empty body.
    pub fn plain(addr: SocketAddr, key: &str, request: &str, method: Method, path: &str) -> Self {
        Self {
            addr,
            method,
            path: path.to_owned(),
            key: key.to_owned(),
            class: None,
            request: request.to_owned(),
            ticket: None,
            body: Bytes::new(),
        }
    }

    fn call(&self) -> Call {
        let mut call = Call::new(self.addr, self.method.clone(), &self.path);
        call.body = self.body.clone();
        call.bounds = Bounds {
            first_byte_timeout: FIRST_BYTE,
            between_bytes_timeout: BETWEEN_BYTES,
            ..Bounds::default()
        };
        let headers = &mut call.headers;
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let bearer = format!("Bearer {}", self.key);
        let texts = [
            (header::AUTHORIZATION, Some(bearer.as_str())),
            (REQUEST_ID, Some(self.request.as_str())),
            (CLASS, self.class.as_deref()),
            (TICKET, self.ticket.as_deref()),
        ];
        for (name, value) in texts {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
        call
    }
}

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallOutcome {
    /// HTTP status; 0 if no answer came.
    pub status: u16,
    /// Final word: `done`, `not-run` or `unknown`; empty if none was said.
    pub word: String,
    /// Cause of the final word, or of a broken answer.
    pub cause: String,
    /// Time to come back, if one was named.
    pub retry_after: Option<Duration>,
    /// When the first token came.
    pub first_token: Option<Instant>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Tokens that came.
    pub tokens: usize,
    /// Whether the whole answer came, every token in its place.
    pub is_complete: bool,
    /// When the answer ended.
    pub ended: Option<Instant>,
    /// Body of an answer that is no stream.
    pub body: Bytes,
}

impl CallOutcome {
    /// Whether the request was served to its end.
    pub fn is_done(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// The gap below which 95 of 100 lie; zero without gaps.
    pub fn gap_p95(&self) -> Duration {
        let mut gaps = self.gaps.clone();
        gaps.sort_unstable();
        let at = gaps.len() * 95 / 100;
        gaps.get(at.min(gaps.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

/// Sends a request and follows its answer; `each` sees every token as it comes.
pub async fn send(
    client: &Client,
    ask: &CallerRequest,
    cx: &CancellationToken,
    mut each: impl FnMut(&str),
) -> CallOutcome {
    let mut outcome = CallOutcome::default();
    match client.send(ask.call(), cx).await {
        Ok(answer) => follow(answer, &mut outcome, &mut each).await,
        Err(e) => outcome.cause = e.to_string(),
    }
    outcome.ended = Some(Instant::now());
    outcome
}

async fn follow(mut answer: Response, outcome: &mut CallOutcome, each: &mut impl FnMut(&str)) {
    outcome.status = answer.status.as_u16();
    read_word(&answer.headers, outcome);
    let content = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let is_stream = content.is_some_and(|content| content.starts_with("text/event-stream"));
    let mut stream = Stream::new();
    let mut body = Vec::new();
    while let Some(part) = answer.next().await {
        match part {
            Ok(part) if is_stream => stream.take(&part, outcome, each),
            Ok(part) => body.extend_from_slice(&part),
            Err(e) => {
                outcome.cause = e.to_string();
                return;
            }
        }
    }
    outcome.body = Bytes::from(body);
    outcome.is_complete = !is_stream || (stream.done && outcome.cause.is_empty());
}

fn read_word(headers: &HeaderMap, outcome: &mut CallOutcome) {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    outcome.word = text(WORD).to_owned();
    outcome.cause = text(CAUSE).to_owned();
    outcome.retry_after = text(RETRY_AFTER_MS).parse().ok().map(Duration::from_millis);
}
