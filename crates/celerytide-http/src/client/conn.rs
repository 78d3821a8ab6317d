//! One connection to an endpoint.

use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
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
        let opened = timeout(bound, connect(addr, opts.silence)).await;
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

    /// Writes the request.
    pub(super) async fn write(&mut self, call: &Call) -> Result<(), Cause> {
        let mut head = BytesMut::new();
        let length = match call.method {
            Method::GET | Method::HEAD if call.body.is_empty() => Length::Absent,
            _ => Length::Fixed(call.body.len()),
        };
        request_head(&mut head, &call.method, &call.path, call.addr, &call.headers, length);
        let small = call.body.len() <= COPY_MAX;
        if small {
            head.extend_from_slice(&call.body);
        }
        self.writer.write_all(head.freeze()).await?;
        if !small {
            self.writer.write_all(call.body.clone()).await?;
        }
        Ok(())
    }

    /// Reads the head of the final answer.
    pub(super) async fn read_head(&mut self, call: &Call) -> Result<AnswerHead, Cause> {
        for _ in 0..=MAX_INTERIM {
            let head = self.next_head(call).await?;
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(Cause::Interim);
            }
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
        Err(Cause::Interim)
    }

    async fn next_head(&mut self, call: &Call) -> Result<AnswerHead, Cause> {
        if self.reader.buffered() == 0 {
            self.first_byte(call.bounds.first_byte).await?;
        }
        let read = self.reader.answer_head(call.bounds.max_head);
        let head = timeout(call.bounds.between_bytes, read).await;
        Ok(head.map_err(|_| Cause::BetweenBytesTimeout)??)
    }

    async fn first_byte(&mut self, bound: Duration) -> Result<(), Cause> {
        match timeout(bound, self.reader.fill()).await {
            Err(_) => Err(Cause::FirstByteTimeout),
            Ok(Ok(0)) => Err(Cause::Closed),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(source)) => Err(Cause::Read { source }),
        }
    }
}
