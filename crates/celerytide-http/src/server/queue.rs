//! Queue of bytes to write: small pieces are merged, large ones are passed on without a copy.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// Maximum size of a piece that is copied into the merge buffer.
const MAX_COPY_BYTES: usize = 8 * 1024;

/// Queued bytes, in order.
#[derive(Default)]
pub(super) struct WriteQueue {
    parts: VecDeque<Bytes>,
    parts_len: usize,
    tail: BytesMut,
}

impl WriteQueue {
    /// Number of queued bytes.
    pub(super) fn len(&self) -> usize {
        self.parts_len + self.tail.len()
    }

    /// The merge buffer, to which heads and framing are appended directly.
    pub(super) fn tail(&mut self) -> &mut BytesMut {
        &mut self.tail
    }

    /// Appends data.
    pub(super) fn push(&mut self, data: Bytes) {
        if data.len() <= MAX_COPY_BYTES {
            self.tail.extend_from_slice(&data);
            return;
        }
        let merged = self.tail.split().freeze();
        self.push_part(merged);
        self.push_part(data);
    }

    /// Takes the bytes for the next write.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        if let Some(part) = self.parts.pop_front() {
            self.parts_len -= part.len();
            return Some(part);
        }
        let tail = self.tail.split().freeze();
        if tail.is_empty() { None } else { Some(tail) }
    }

    /// Drops all queued bytes.
    pub(super) fn clear(&mut self) {
        *self = WriteQueue::default();
    }

    fn push_part(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.parts_len += part.len();
            self.parts.push_back(part);
        }
    }
}
