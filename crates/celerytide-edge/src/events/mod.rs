//! Splits an event stream into whole events without changing a byte.
//!
//! An endpoint may stop in the middle of an event. The incomplete event is never passed on, so that the caller's data
//! always ends with a whole event and a resumed stream continues after it. A body that ends in good order doesn't show
//! that its stream is whole: [`EventSplitter::check_end`] does.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Largest event, in bytes.
pub const MAX_EVENT: usize = 128 * 1024;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, including the empty line that ends it.
    pub raw: Bytes,
    /// The value of its `id` field.
    pub id: Option<Bytes>,
    /// Whether it has a `data` field; comments and empty events are no progress for a caller.
    pub has_data: bool,
}

/// Why a stream was broken off though its body ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Torn {
    /// The body ended inside an event.
    #[snafu(display("it ended inside an event"))]
    InsideEvent,
    /// The body had no event, though its stream lacks one.
    #[snafu(display("it ended before the first event"))]
    NoEvent,
}

/// Buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    has_events: bool,
    scanned: usize,
    line: Line,
}

impl EventSplitter {
    /// Appends bytes of the stream; false if an event exceeds [`MAX_EVENT`].
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        self.has_events = true;
        let raw = self.buf.split_to(end).freeze();
        let id = event_id(&raw);
        let has_data = raw.split(is_line_end).any(|line| line.starts_with(b"data"));
        Some(Event { raw, id, has_data })
    }

    /// Whether an event has been taken.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Number of bytes of the incomplete event.
    pub fn rest_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Checks at the end of the body that the stream is whole. With `needs_event`, a body without an event is no stream: only
    /// the end of the connection delimits it, and its endpoint may have crashed before the first one; or the stream broke
    /// off inside an event before, so that one more is due.
    pub fn check_end(&self, needs_event: bool) -> Result<(), Torn> {
        if !self.buf.is_empty() {
            return Err(Torn::InsideEvent);
        }
        if needs_event && !self.has_events {
            return Err(Torn::NoEvent);
        }
        Ok(())
    }

    fn find_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buf.get(self.scanned) {
            let ends = self.line.push(*byte);
            self.scanned += usize::from(ends != Some(EventEnd::Before));
            if ends.is_some() {
                self.line = Line::default();
                return Some(self.scanned);
            }
        }
        None
    }
}

/// Where an event ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventEnd {
    /// With this byte.
    With,
    /// Before this byte.
    Before,
}

/// How far the current line is. Lines end with CRLF, LF or CR.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    /// Nothing of it is there.
    #[default]
    Start,
    /// It has text.
    Text,
    /// Nothing of it is there, and the line before ended with a CR; an LF that follows belongs to that end.
    StartAfterCr,
    /// It is empty and ended with a CR; an LF that follows belongs to its end.
    EmptyCr,
}

impl Line {
    /// Takes the next byte; tells if an empty line and with it the event ends here.
    fn push(&mut self, byte: u8) -> Option<EventEnd> {
        let (next, end) = match (*self, byte) {
            (Line::Text, b'\r') => (Line::StartAfterCr, None),
            (Line::Text, b'\n') | (Line::StartAfterCr, b'\n') => (Line::Start, None),
            (Line::Start | Line::EmptyCr, b'\n') | (Line::StartAfterCr, b'\r') => (Line::Start, Some(EventEnd::With)),
            (Line::Start, b'\r') => (Line::EmptyCr, None),
            (Line::EmptyCr, _) => (Line::Start, Some(EventEnd::Before)),
            _ => (Line::Text, None),
        };
        *self = next;
        end
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn event_id(raw: &Bytes) -> Option<Bytes> {
    let mut start = 0;
    for line in raw.split(is_line_end) {
        let end = start + line.len();
        if let Some(value) = line.strip_prefix(b"id:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            return Some(raw.slice(end - value.len()..end));
        }
        start = end + 1;
    }
    None
}
