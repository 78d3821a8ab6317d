//! Caller of the system: sends one request to an entry and reads the response to its end.

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

use stream::StreamReader;

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const CLASS_HEADER: HeaderName = HeaderName::from_static("celerytide-class");
const TICKET_HEADER: HeaderName = HeaderName::from_static("celerytide-ticket");
const OUTCOME_HEADER: &str = "celerytide-word";
const CAUSE_HEADER: &str = "celerytide-cause";
const RETRY_AFTER_MS_HEADER: &str = "celerytide-retry-after-ms";
/// Timeout for the first byte of the response; longer than a request may wait in the queue of an entry.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout between two reads of the response.
const BETWEEN_BYTES_TIMEOUT: Duration = Duration::from_secs(60);

/// Request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// Address of the entry or endpoint.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// API key of the customer.
    pub key: String,
    /// Class named by the request, if any.
    pub class: Option<ClassName>,
    /// Request id.
    pub request: RequestId,
    /// Ticket of an at-most-once action.
    pub ticket: Option<String>,
    /// Request body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Creates a streamed chat request.
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

    /// Creates a request with an empty body.
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

    fn to_call(&self) -> Call {
        let mut call = Call::new(self.addr, self.method.clone(), &self.path);
        call.body = self.body.clone().into();
        call.bounds = Bounds {
            first_byte_timeout: FIRST_BYTE_TIMEOUT,
            between_bytes_timeout: BETWEEN_BYTES_TIMEOUT,
            ..Bounds::default()
        };
        let headers = &mut call.headers;
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let bearer = format!("Bearer {}", self.key);
        let headers_to_set = [
            (header::AUTHORIZATION, Some(bearer.as_str())),
            (REQUEST_ID_HEADER, Some(self.request.as_str())),
            (CLASS_HEADER, self.class.as_deref()),
            (TICKET_HEADER, self.ticket.as_deref()),
        ];
        for (name, value) in headers_to_set {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
        call
    }
}

/// Outcome of a request as its caller saw it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallOutcome {
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Execution status: `done`, `not-run` or `unknown`; empty if the response had none.
    pub word: String,
    /// Cause of the execution status, or why the response broke off.
    pub cause: String,
    /// Time to wait before a retry, if the response has one.
    pub retry_after: Option<Duration>,
    /// Time of the first token.
    pub first_token_at: Option<Instant>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Number of tokens received.
    pub tokens: usize,
    /// Whether the complete response arrived, with all tokens in order.
    pub is_complete: bool,
    /// Time at which the response ended.
    pub ended_at: Option<Instant>,
    /// Response body; empty for a stream.
    pub body: Bytes,
}

impl CallOutcome {
    /// Whether the request was served completely, with status 200.
    pub fn is_done(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// 95th percentile of the time between tokens; zero with fewer than two tokens.
    pub fn gap_p95(&self) -> Duration {
        let mut gaps = self.gaps.clone();
        gaps.sort_unstable();
        let at = gaps.len() * 95 / 100;
        gaps.get(at.min(gaps.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

/// Sends a request and reads its response; `on_token` is called with each token as it arrives.
pub async fn send(
    client: &Client,
    req: &CallerRequest,
    cx: &CancellationToken,
    mut on_token: impl FnMut(&str),
) -> CallOutcome {
    let mut outcome = CallOutcome::default();
    match client.send(req.to_call(), cx).await {
        Ok(response) => read_response(response, &mut outcome, &mut on_token).await,
        Err(e) => outcome.cause = e.to_string(),
    }
    outcome.ended_at = Some(Instant::now());
    outcome
}

async fn read_response(mut response: Response, outcome: &mut CallOutcome, on_token: &mut impl FnMut(&str)) {
    outcome.status = response.status.as_u16();
    read_outcome(&response.headers, outcome);
    let content = response
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let is_stream = content.is_some_and(|content| content.starts_with("text/event-stream"));
    let mut stream = StreamReader::new();
    let mut body = Vec::new();
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) if is_stream => stream.feed(&chunk, outcome, on_token),
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(e) => {
                outcome.cause = e.to_string();
                return;
            }
        }
    }
    outcome.body = Bytes::from(body);
    outcome.is_complete = !is_stream || (stream.is_done && outcome.cause.is_empty());
}

fn read_outcome(headers: &HeaderMap, outcome: &mut CallOutcome) {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    outcome.word = text(OUTCOME_HEADER).to_owned();
    outcome.cause = text(CAUSE_HEADER).to_owned();
    outcome.retry_after = text(RETRY_AFTER_MS_HEADER).parse().ok().map(Duration::from_millis);
}
