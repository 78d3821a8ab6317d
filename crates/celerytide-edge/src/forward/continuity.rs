//! Whether a response continues a stream.
//!
//! A success proves that its endpoint ran the request, not that the body goes on where the caller's part ends. A
//! continuation states that it is a stream, with the status that the caller was told, and begins behind the last event
//! that was passed on. This holds for streams that the router resumes and for those that callers take up.

use bytes::Bytes;
use celerytide_http::validate::Framing;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};

use crate::events::Event;

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What the caller has of a stream.
#[derive(Debug, Default)]
pub struct Continuity {
    /// Status that the caller was told; `None` before.
    status: Option<StatusCode>,
    /// Id of the last event that the caller has.
    last_event: Option<Bytes>,
    /// Whether the next event with an id is the first one of its response.
    is_first: bool,
    /// Whether the stream broke off inside an event and none has followed.
    lacks_event: bool,
}

impl Continuity {
    /// Creates the state of a stream of which the caller has the events up to `last_event`, if any.
    pub fn new(last_event: Option<Bytes>) -> Continuity {
        Continuity {
            last_event,
            is_first: true,
            ..Continuity::default()
        }
    }

    /// Id of the last event that the caller has.
    pub fn last_event(&self) -> Option<&[u8]> {
        self.last_event.as_deref()
    }

    /// Whether a success with this head may continue the stream; anything may begin one.
    pub fn accepts(&self, status: StatusCode, headers: &HeaderMap, framing: Framing) -> bool {
        let is_continuation = self.status.is_some() || self.last_event.is_some();
        let media_type = headers.get(CONTENT_TYPE).map(|value| value.as_bytes());
        let is_stream = media_type.is_some_and(|media| {
            let prefix = media.get(..EVENT_STREAM.len());
            prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(EVENT_STREAM))
        });
        let has_body = framing != Framing::Empty;
        let has_status = status == self.status.unwrap_or(StatusCode::OK);
        !is_continuation || (has_status && has_body && is_stream)
    }

    /// Records the status that the caller is told.
    pub fn begin(&mut self, status: StatusCode) {
        self.status = Some(status);
    }

    /// Takes an event that is to be passed on; false if it doesn't follow the last one that the caller has.
    pub fn push(&mut self, event: &Event) -> bool {
        if let Some(id) = &event.id {
            let follows = self.last_event.as_ref().is_none_or(|last| is_after(id, last));
            if std::mem::take(&mut self.is_first) && !follows {
                return false;
            }
            self.last_event = Some(id.clone());
        }
        self.lacks_event &= !event.has_data;
        true
    }

    /// Records the end of a response that left `rest_bytes` of an event.
    pub fn end_response(&mut self, rest_bytes: usize) {
        self.is_first = true;
        self.lacks_event |= rest_bytes > 0;
    }

    /// Whether the stream isn't whole without one more event.
    pub fn lacks_event(&self) -> bool {
        self.lacks_event
    }
}

/// Whether an event may follow another one: ids increase; of ids that aren't numbers it is only known that they differ.
fn is_after(id: &[u8], last: &[u8]) -> bool {
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id > last,
        _ => id != last,
    }
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
