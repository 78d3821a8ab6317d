//! Splits a stream into whole events without changing a byte.
//!
//! An endpoint may stop in the middle of an event; the part of it that arrived is never handed on, so that what a caller
//! has always ends with an event, and a resumed stream goes on behind it.

use bytes::{Bytes, BytesMut};

/// Bytes of one event.
pub const MAX_EVENT: usize = 128 * 1024;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes with the empty line that ends it.
    pub raw: Bytes,
    /// Its id, if it has one.
    pub id: Option<Bytes>,
    /// It has data: comments and empty events bring a caller no further.
    pub has_data: bool,
}

/// Bytes of an event that is not whole yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Adds bytes of the stream; false if an event is larger than [`MAX_EVENT`].
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let raw = self.buf.split_to(end).freeze();
        let id = event_id(&raw);
        let has_data = raw.split(|b| *b == b'\n').any(|line| line.starts_with(b"data"));
        Some(Event { raw, id, has_data })
    }

    /// Bytes of an event that did not become whole.
    pub fn rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Whether nothing is held.
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
