//! Bytes waiting to be written: small pieces gather, large ones are handed on without a copy.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// Pieces up to this size are copied to the gathering buffer, in bytes.
const COPY_MAX: usize = 8 * 1024;

/// Bytes waiting to be written, in order.
#[derive(Default)]
pub(super) struct Queue {
    parts: VecDeque<Bytes>,
    parts_len: usize,
    tail: BytesMut,
}

impl Queue {
    /// Bytes waiting.
    pub(super) fn len(&self) -> usize {
        self.parts_len + self.tail.len()
    }

    /// The gathering buffer, for heads and framing.
    pub(super) fn tail(&mut self) -> &mut BytesMut {
        &mut self.tail
    }

    /// Appends data.
    pub(super) fn push(&mut self, data: Bytes) {
        if data.len() <= COPY_MAX {
            self.tail.extend_from_slice(&data);
            return;
        }
        let before = self.tail.split().freeze();
        self.push_part(before);
        self.push_part(data);
    }

    /// Takes what the next write should carry.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        if let Some(part) = self.parts.pop_front() {
            self.parts_len -= part.len();
            return Some(part);
        }
        let tail = self.tail.split().freeze();
        if tail.is_empty() { None } else { Some(tail) }
    }

    /// Drops everything.
    pub(super) fn clear(&mut self) {
        *self = Queue::default();
    }

    fn push_part(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.parts_len += part.len();
            self.parts.push_back(part);
        }
    }
}
