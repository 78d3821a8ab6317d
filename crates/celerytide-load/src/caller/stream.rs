//! Reads a streamed answer: its tokens, their times, and its end.

use std::time::{Duration, Instant};

use celerytide_http::sse;
use celerytide_types::{ExecutionStatus, RequestOutcome};
use serde::Deserialize;

use super::CallOutcome;

const DONE: &[u8] = b"[DONE]";
/// Bound on one event of an answer.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A streamed answer as far as it has come.
pub(super) struct Stream {
    events: sse::Reader,
    last: Option<Instant>,
    /// Whether the end was seen.
    pub(super) done: bool,
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

impl Stream {
    pub(super) fn new() -> Self {
        Self {
            events: sse::Reader::new(MAX_EVENT_BYTES),
            last: None,
            done: false,
        }
    }

    pub(super) fn take(&mut self, part: &[u8], outcome: &mut CallOutcome, each: &mut impl FnMut(&str)) {
        let now = Instant::now();
        self.events.push(part);
        loop {
            match self.events.next_event() {
                Ok(Some(event)) => self.event(&event, now, outcome, each),
                Ok(None) => return,
                Err(e) => {
                    outcome.cause = e.to_string();
                    return;
                }
            }
        }
    }

    fn event(&mut self, event: &sse::Event, now: Instant, outcome: &mut CallOutcome, each: &mut impl FnMut(&str)) {
        if event.data.as_ref() == DONE {
            self.done = true;
            outcome.word = ExecutionStatus::Done.as_str().to_owned();
            return;
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(&event.data) else {
            outcome.cause = "an event is not a chunk".to_owned();
            return;
        };
        if let Some(word) = chunk.celerytide {
            return broken(word, outcome);
        }
        let text = chunk
            .choices
            .first()
            .and_then(|choice| choice.delta.content)
            .unwrap_or_default();
        if !text.is_empty() {
            self.token(text, now, outcome);
            each(text);
        }
    }

    fn token(&mut self, text: &str, now: Instant, outcome: &mut CallOutcome) {
        match self.last {
            Some(last) => outcome.gaps.push(now.duration_since(last)),
            None => outcome.first_token = Some(now),
        }
        self.last = Some(now);
        if !is_token(text, outcome.tokens) {
            outcome.cause = format!("token {} is {text:?}", outcome.tokens);
        }
        outcome.tokens += 1;
    }
}

/// The stream ends with an error in place of the rest of the answer.
fn broken(word: RequestOutcome, outcome: &mut CallOutcome) {
    outcome.word = word.status.as_str().to_owned();
    outcome.retry_after = word.retry_after_ms.map(Duration::from_millis);
    outcome.cause = word.cause;
}

/// Whether `text` is the token with this index, as the stand-in engines write it.
fn is_token(text: &str, index: usize) -> bool {
    let number = text.strip_prefix('w').and_then(|rest| rest.strip_suffix(' '));
    number.and_then(|number| number.parse().ok()) == Some(index)
}
