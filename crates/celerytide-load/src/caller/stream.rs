//! Reader for streamed responses: tokens, their times, and the outcome at the end.

use std::time::{Duration, Instant};

use celerytide_http::sse;
use celerytide_types::{ExecutionStatus, RequestOutcome};
use serde::Deserialize;

use super::CallOutcome;

const DONE_DATA: &[u8] = b"[DONE]";
/// Maximum size of one event of a response.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Reads a streamed response as its bytes arrive.
pub(super) struct StreamReader {
    events: sse::Reader,
    last_token_at: Option<Instant>,
    /// Whether the `[DONE]` event arrived.
    pub(super) is_done: bool,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    celerytide: Option<RequestOutcome>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    delta: Delta<'a>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    content: Option<&'a str>,
}

impl StreamReader {
    pub(super) fn new() -> Self {
        Self {
            events: sse::Reader::new(MAX_EVENT_BYTES),
            last_token_at: None,
            is_done: false,
        }
    }

    pub(super) fn feed(&mut self, bytes: &[u8], outcome: &mut CallOutcome, on_token: &mut impl FnMut(&str)) {
        let now = Instant::now();
        self.events.push(bytes);
        loop {
            match self.events.next_event() {
                Ok(Some(event)) => self.handle_event(&event, now, outcome, on_token),
                Ok(None) => return,
                Err(e) => {
                    outcome.cause = e.to_string();
                    return;
                }
            }
        }
    }

    fn handle_event(
        &mut self,
        event: &sse::Event,
        now: Instant,
        outcome: &mut CallOutcome,
        on_token: &mut impl FnMut(&str),
    ) {
        if event.data.as_ref() == DONE_DATA {
            self.is_done = true;
            outcome.word = ExecutionStatus::Done.as_str().to_owned();
            return;
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(&event.data) else {
            outcome.cause = "an event is not a chunk".to_owned();
            return;
        };
        if let Some(reported) = chunk.celerytide {
            return record_error(reported, outcome);
        }
        let text = chunk
            .choices
            .first()
            .and_then(|choice| choice.delta.content)
            .unwrap_or_default();
        if !text.is_empty() {
            self.record_token(text, now, outcome);
            on_token(text);
        }
    }

    fn record_token(&mut self, text: &str, now: Instant, outcome: &mut CallOutcome) {
        match self.last_token_at {
            Some(last) => outcome.gaps.push(now.duration_since(last)),
            None => outcome.first_token_at = Some(now),
        }
        self.last_token_at = Some(now);
        if !is_token(text, outcome.tokens) {
            outcome.cause = format!("token {} is {text:?}", outcome.tokens);
        }
        outcome.tokens += 1;
    }
}

/// Records the error outcome that ends a stream early.
fn record_error(reported: RequestOutcome, outcome: &mut CallOutcome) {
    outcome.word = reported.status.as_str().to_owned();
    outcome.retry_after = reported.retry_after_ms.map(Duration::from_millis);
    outcome.cause = reported.cause;
}

/// Whether `text` is the token with this index in the format of the stand-in engines.
fn is_token(text: &str, index: usize) -> bool {
    let number = text.strip_prefix('w').and_then(|rest| rest.strip_suffix(' '));
    number.and_then(|number| number.parse().ok()) == Some(index)
}
