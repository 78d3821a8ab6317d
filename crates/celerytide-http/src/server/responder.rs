//! The handler's side of a response.

use std::rc::Rc;

use bytes::Bytes;
use celerytide_types::ExecutionStatus;
use http::{HeaderMap, StatusCode};
use snafu::Snafu;

use super::error_response::{self, ErrorResponse};
use super::handed::{PartSender, ResponsePart};
use super::outbound::{Outbound, Phase};

/// Error for a response whose caller has disconnected, or whose writer was already closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the caller is gone"))]
pub struct Disconnected;

/// Sends the response to one request. Dropping it unused sends status 500 with `celerytide-word: unknown` and closes
/// the connection; a response in parts then ends without one.
pub struct Responder {
    out: Out,
}

/// Where a response goes.
enum Out {
    /// To the caller's connection.
    Connection(Rc<Outbound>),
    /// To the instance that received the request.
    Parts(PartSender),
    /// Nowhere any more.
    Taken,
}

impl Responder {
    pub(super) fn new(out: Rc<Outbound>) -> Self {
        Responder {
            out: Out::Connection(out),
        }
    }

    pub(super) fn in_parts(parts: PartSender) -> Self {
        Responder { out: Out::Parts(parts) }
    }

    /// Sends a complete response with `content-length`; returns once the kernel has accepted all bytes.
    pub async fn whole(mut self, status: StatusCode, headers: HeaderMap, body: Bytes) -> Result<(), Disconnected> {
        match &mut self.out {
            Out::Connection(out) => {
                out.complete(status, &headers, body, false)?;
                out.flushed().await
            }
            Out::Parts(parts) => parts.send(ResponsePart::Whole { status, headers, body }).await,
            Out::Taken => Err(Disconnected),
        }
    }

    /// Refuses a request that has not run because the process has too few descriptors.
    pub async fn refuse_for_descriptors(self) -> Result<(), Disconnected> {
        self.refuse(error_response::descriptors_full()).await
    }

    /// Refuses a request that has not run because the account has no room for it.
    pub async fn refuse_for_memory(self) -> Result<(), Disconnected> {
        self.refuse(error_response::memory_full()).await
    }

    async fn refuse(self, response: ErrorResponse) -> Result<(), Disconnected> {
        let ErrorResponse { status, headers, body } = response;
        self.whole(status, headers, body).await
    }

    /// Starts a chunked response. The connection of a caller without chunked coding (HTTP/1.0) is closed, and
    /// [`Disconnected`] is returned.
    pub async fn stream(mut self, status: StatusCode, headers: HeaderMap) -> Result<ChunkWriter, Disconnected> {
        match &mut self.out {
            Out::Connection(out) if !out.style().chunked => {
                out.abort();
                return Err(Disconnected);
            }
            Out::Connection(out) => out.start(status, &headers)?,
            Out::Parts(parts) => parts.send(ResponsePart::Head { status, headers }).await?,
            Out::Taken => return Err(Disconnected),
        }
        let out = std::mem::replace(&mut self.out, Out::Taken);
        Ok(ChunkWriter { out })
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        let Out::Connection(out) = &self.out else {
            return;
        };
        if out.phase() == Phase::Head {
            let response = error_response::internal(ExecutionStatus::Unknown);
            // An error means that the caller has disconnected.
            let _ = out.complete(response.status, &response.headers, response.body, true);
        }
    }
}

/// Writes a chunked response. Dropping it before [`ChunkWriter::finish`] closes the connection without the
/// terminating chunk, so that the caller sees a truncated response.
pub struct ChunkWriter {
    out: Out,
}

impl ChunkWriter {
    /// Queues a chunk, after waiting for capacity. At most 4 KiB of small chunks, or one larger chunk, are queued
    /// besides the bytes being written. Empty data is not sent, since an empty chunk would end the body.
    pub async fn send(&mut self, data: Bytes) -> Result<(), Disconnected> {
        match &mut self.out {
            Out::Connection(out) => out.push_chunk(data).await,
            Out::Parts(_) if data.is_empty() => Ok(()),
            Out::Parts(parts) => parts.send(ResponsePart::Chunk(data)).await,
            Out::Taken => Err(Disconnected),
        }
    }

    /// Ends the response; returns once the kernel has accepted all bytes.
    pub async fn finish(mut self) -> Result<(), Disconnected> {
        match &mut self.out {
            Out::Connection(out) => {
                out.finish()?;
                out.flushed().await
            }
            Out::Parts(parts) => parts.send(ResponsePart::End).await,
            Out::Taken => Err(Disconnected),
        }
    }
}

impl Drop for ChunkWriter {
    fn drop(&mut self) {
        if let Out::Connection(out) = &self.out {
            out.abort();
        }
    }
}
