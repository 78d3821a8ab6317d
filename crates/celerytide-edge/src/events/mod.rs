//! Splits an event stream into whole events without changing a byte.
//!
//! An endpoint may stop in the middle of an event. The incomplete event is never passed on, so that the caller's data
//! always ends with a whole event and a resumed stream continues after it.

use bytes::{Bytes, BytesMut};

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

/// Buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
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
        let raw = self.buf.split_to(end).freeze();
        let id = event_id(&raw);
        let has_data = raw.split(|b| *b == b'\n').any(|line| line.starts_with(b"data"));
        Some(Event { raw, id, has_data })
    }

    /// Takes the bytes of the incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(step) = self.buf.get(at..)?.iter().position(|b| *b == b'\n') {
            let lf = at + step;
            let after = self.buf.get(lf + 1..).unwrap_or_default();
            if after.first() == Some(&b'\n') {
                return Some(lf + 2);
            }
            if after.starts_with(b"\r\n") {
                return Some(lf + 3);
            }
            if after.len() < 2 {
                self.scanned = lf;
                return None;
            }
            at = lf + 1;
        }
        self.scanned = self.buf.len();
        None
    }
}

fn event_id(raw: &Bytes) -> Option<Bytes> {
    let mut start = 0;
    for line in raw.split(|b| *b == b'\n') {
        let len = line.len();
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = line.strip_prefix(b"id:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            let end = start + line.len();
            return Some(raw.slice(end - value.len()..end));
        }
        start += len + 1;
    }
    None
}
