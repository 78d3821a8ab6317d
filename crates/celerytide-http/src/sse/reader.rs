//! Splits a byte stream into events.
//!
//! Lines end with CRLF, LF or CR. Comments and unknown fields are skipped; an event without data is not given.

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

const BOM: &[u8] = b"\xef\xbb\xbf";

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of its `event` field; empty where there is none.
    pub name: Bytes,
    /// Its data, lines joined by LF.
    pub data: Bytes,
}

/// The stream can't be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An event is larger than the bound.
    #[snafu(display("the event is too large"))]
    TooLarge,
}

/// Splits a byte stream into events, each at most `max` bytes.
#[derive(Debug)]
pub struct Reader {
    max: usize,
    buf: BytesMut,
    scanned: usize,
    size: usize,
    name: Bytes,
    data: Option<BytesMut>,
    skip_lf: bool,
    started: bool,
}

impl Reader {
    /// A reader at the start of a stream.
    pub fn new(max: usize) -> Self {
        Reader {
            max,
            buf: BytesMut::new(),
            scanned: 0,
            size: 0,
            name: Bytes::new(),
            data: None,
            skip_lf: false,
            started: false,
        }
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty() || self.data.is_some()
    }

    /// The next whole event; `None` until more bytes are pushed.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        while let Some(line) = self.next_line()? {
            if !line.is_empty() {
                self.field(&line);
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
        let Some(step) = tail.iter().position(|b| *b == b'\n' || *b == b'\r') else {
            self.scanned = self.buf.len();
            return if self.size + self.buf.len() > self.max {
                Err(Error::TooLarge)
            } else {
                Ok(None)
            };
        };
        let line = self.buf.split_to(self.scanned + step).freeze();
        self.scanned = 0;
        self.skip_lf = self.buf.first() == Some(&b'\r');
        self.buf.advance(1);
        self.size += line.len() + 1;
        if self.size > self.max {
            return Err(Error::TooLarge);
        }
        Ok(Some(self.without_mark(line)))
    }

    fn without_mark(&mut self, mut line: Bytes) -> Bytes {
        if !self.started && line.starts_with(BOM) {
            line.advance(BOM.len());
        }
        self.started = true;
        line
    }

    fn field(&mut self, line: &Bytes) {
        let colon = line.iter().position(|b| *b == b':').unwrap_or(line.len());
        let mut value = line.slice((colon + 1).min(line.len())..);
        if value.starts_with(b" ") {
            value.advance(1);
        }
        match line.get(..colon) {
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
        self.size = 0;
        let name = std::mem::take(&mut self.name);
        let data = self.data.take()?;
        Some(Event {
            name,
            data: data.freeze(),
        })
    }
}
