//! The handler's side of an answer.

use std::rc::Rc;

use bytes::Bytes;
use celerytide_types::ExecutionStatus;
use http::{HeaderMap, StatusCode};
use snafu::Snafu;

use super::out::{Out, Phase};
use super::refuse;

/// The caller is gone: nothing further reaches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the caller is gone"))]
pub struct Disconnected;

/// The right to answer one request. Dropped unused, it answers 500 with the word `unknown` and closes.
pub struct Responder {
    out: Rc<Out>,
}

impl Responder {
    pub(super) fn new(out: Rc<Out>) -> Self {
        Responder { out }
    }

    /// Answers whole, with a length; returns once the system has taken all bytes.
    pub async fn whole(self, status: StatusCode, headers: HeaderMap, body: Bytes) -> Result<(), Disconnected> {
        self.out.whole(status, &headers, body, false)?;
        self.out.drained().await
    }

    /// Starts a chunked answer. A caller that can't read chunks (HTTP/1.0) is dropped: [`Disconnected`].
    pub async fn stream(self, status: StatusCode, headers: HeaderMap) -> Result<ChunkWriter, Disconnected> {
        if !self.out.style().chunked {
            self.out.cut();
            return Err(Disconnected);
        }
        self.out.head(status, &headers)?;
        Ok(ChunkWriter {
            out: Rc::clone(&self.out),
        })
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.out.phase() == Phase::Head {
            let answer = refuse::internal(ExecutionStatus::Unknown);
            // A caller that is gone needs no answer.
            let _ = self.out.whole(answer.status, &answer.headers, answer.body, true);
        }
    }
}

/// Writes a chunked answer. Dropped before [`ChunkWriter::finish`], it closes the connection without the
/// terminating chunk, so that the caller sees a cut answer.
pub struct ChunkWriter {
    out: Rc<Out>,
}

impl ChunkWriter {
    /// Sends a chunk; returns when there is room for the next. At most 4 KiB of small chunks, or one larger chunk,
    /// wait beside the bytes being written. Empty data is no chunk and sends nothing.
    pub async fn send(&mut self, data: Bytes) -> Result<(), Disconnected> {
        self.out.chunk(data).await
    }

    /// Ends the answer properly; returns once the system has taken all bytes.
    pub async fn finish(self) -> Result<(), Disconnected> {
        self.out.end()?;
        self.out.drained().await
    }
}

impl Drop for ChunkWriter {
    fn drop(&mut self) {
        self.out.cut();
    }
}
