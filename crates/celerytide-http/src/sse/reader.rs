//! Incremental parser for a stream of server-sent events.
//!
//! Lines end with CRLF, LF or CR. Comments and unknown fields are skipped, and so are events without data.

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

const UTF8_BOM: &[u8] = b"\xef\xbb\xbf";

/// A parsed event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of the `event` field; empty if absent.
    pub name: Bytes,
    /// Values of the `data` fields, joined by LF.
    pub data: Bytes,
}

/// Why a stream can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An event exceeds the maximum size of the [`Reader`].
    #[snafu(display("the event is too large"))]
    TooLarge,
}

/// Incremental event parser with a limit on the size of each event.
#[derive(Debug)]
pub struct Reader {
    max: usize,
    buf: BytesMut,
    scanned: usize,
    event_len: usize,
    name: Bytes,
    data: Option<BytesMut>,
    skip_lf: bool,
    bom_checked: bool,
}

impl Reader {
    /// Creates a reader at the start of a stream, for events of at most `max` bytes.
    pub fn new(max: usize) -> Self {
        Reader {
            max,
            buf: BytesMut::new(),
            scanned: 0,
            event_len: 0,
            name: Bytes::new(),
            data: None,
            skip_lf: false,
            bom_checked: false,
        }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty() || self.data.is_some()
    }

    /// Returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        while let Some(line) = self.next_line()? {
            if !line.is_empty() {
                self.process_field(&line);
            } else if let Some(event) = self.dispatch() {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Result<Option<Bytes>, Error> {
        if self.skip_lf && self.buf.starts_with(b"\n") {
            self.buf.advance(1);
        }
        if !self.buf.is_empty() {
            self.skip_lf = false;
        }
        let tail = self.buf.get(self.scanned..).unwrap_or_default();
        let Some(offset) = tail.iter().position(|b| *b == b'\n' || *b == b'\r') else {
            self.scanned = self.buf.len();
            return if self.event_len + self.buf.len() > self.max {
                Err(Error::TooLarge)
            } else {
                Ok(None)
            };
        };
        let line = self.buf.split_to(self.scanned + offset).freeze();
        self.scanned = 0;
        self.skip_lf = self.buf.first() == Some(&b'\r');
        self.buf.advance(1);
        self.event_len += line.len() + 1;
        if self.event_len > self.max {
            return Err(Error::TooLarge);
        }
        Ok(Some(self.strip_bom(line)))
    }

    fn strip_bom(&mut self, mut line: Bytes) -> Bytes {
        if !self.bom_checked && line.starts_with(UTF8_BOM) {
            line.advance(UTF8_BOM.len());
        }
        self.bom_checked = true;
        line
    }

    fn process_field(&mut self, line: &Bytes) {
        let name_len = line.iter().position(|b| *b == b':').unwrap_or(line.len());
        let mut value = line.slice((name_len + 1).min(line.len())..);
        if value.starts_with(b" ") {
            value.advance(1);
        }
        match line.get(..name_len) {
            Some(b"data") => self.add_data(&value),
            Some(b"event") => self.name = value,
            _ => {}
        }
    }

    fn add_data(&mut self, value: &[u8]) {
        match &mut self.data {
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(value);
            }
            None => self.data = Some(BytesMut::from(value)),
        }
    }

    fn dispatch(&mut self) -> Option<Event> {
        self.event_len = 0;
        let name = std::mem::take(&mut self.name);
        let data = self.data.take()?;
        Some(Event {
            name,
            data: data.freeze(),
        })
    }
}
