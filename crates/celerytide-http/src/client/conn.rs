//! One connection to an endpoint.

use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use futures::future::{Either, select};
use http::{Method, StatusCode};
use monoio::io::Splitable;
use monoio::time::timeout;
use socket2::Socket;

use super::{Call, Cause, Options};
use crate::wire::{AnswerHead, Length, Reader, Writer, connect, request_head};

/// Interim answers skipped in front of one final answer.
pub const MAX_INTERIM: usize = 8;

/// Bodies up to this size leave in the head's write, in bytes.
const COPY_MAX: usize = 16 * 1024;

/// A connection and a second handle to look at its socket.
pub(super) struct Conn {
    pub(super) reader: Reader,
    writer: Writer,
    probe: Socket,
}

impl Conn {
    /// Connects within `bound`.
    pub(super) async fn open(addr: SocketAddr, bound: Duration, opts: &Options) -> Result<Self, Cause> {
        let opened = timeout(bound, connect(addr, opts.silence, opts.probe)).await;
        let opened = opened.map_err(|_| Cause::ConnectTimeout)?;
        let (stream, probe) = opened.map_err(|source| Cause::Connect { source })?;
        let (r, w) = stream.into_split();
        Ok(Conn {
            reader: Reader::new(r),
            writer: Writer::new(w, opts.write),
            probe,
        })
    }

    /// Whether the connection is open and silent.
    pub(super) fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let looked = self.probe.peek(&mut byte);
        let empty = matches!(looked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        empty && self.reader.buffered() == 0
    }

    /// Writes the request and reads the head of its final answer; also tells whether the whole request was written.
    /// An endpoint may answer before it has read a long body: then the rest is not written, and the connection can't
    /// be kept.
    pub(super) async fn ask(&mut self, call: &Call) -> Result<(AnswerHead, bool), Cause> {
        let Conn { reader, writer, .. } = self;
        if call.body.len() <= COPY_MAX {
            return match write(writer, call).await {
                Ok(()) => Ok((read_head(reader, call).await?, true)),
                // The endpoint may have answered and closed before it had read everything.
                Err(cause @ Cause::Write { .. }) => Ok((read_head(reader, call).await.map_err(|_| cause)?, false)),
                Err(cause) => Err(cause),
            };
        }
        let writing = std::pin::pin!(write(writer, call));
        let early = std::pin::pin!(read_head(reader, call));
        match select(writing, early).await {
            Either::Left((Ok(()), early)) => Ok((early.await?, true)),
            Either::Left((Err(cause @ Cause::Write { .. }), early)) => Ok((early.await.map_err(|_| cause)?, false)),
            Either::Left((Err(cause), _)) => Err(cause),
            Either::Right((head, _)) => Ok((head?, false)),
        }
    }
}

/// Writes the request.
async fn write(writer: &mut Writer, call: &Call) -> Result<(), Cause> {
    let mut head = BytesMut::new();
    let length = match call.method {
        Method::GET | Method::HEAD if call.body.is_empty() => Length::Absent,
        _ => Length::Fixed(call.body.len()),
    };
    request_head(&mut head, call, length);
    let small = call.body.len() <= COPY_MAX;
    if small {
        head.extend_from_slice(&call.body);
    }
    writer.write_all(head.freeze()).await?;
    if !small {
        writer.write_all(call.body.clone()).await?;
    }
    Ok(())
}

/// Reads the head of the final answer.
async fn read_head(reader: &mut Reader, call: &Call) -> Result<AnswerHead, Cause> {
    for _ in 0..=MAX_INTERIM {
        let head = next_head(reader, call).await?;
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Cause::Interim);
        }
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(Cause::Interim)
}

async fn next_head(reader: &mut Reader, call: &Call) -> Result<AnswerHead, Cause> {
    if reader.buffered() == 0 {
        first_byte(reader, call.bounds.first_byte).await?;
    }
    let read = reader.answer_head(call.bounds.max_head);
    let head = timeout(call.bounds.between_bytes, read).await;
    Ok(head.map_err(|_| Cause::BetweenBytesTimeout)??)
}

async fn first_byte(reader: &mut Reader, bound: Duration) -> Result<(), Cause> {
    match timeout(bound, reader.fill()).await {
        Err(_) => Err(Cause::FirstByteTimeout),
        Ok(Ok(0)) => Err(Cause::Closed),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(source)) => Err(Cause::Read { source }),
    }
}
