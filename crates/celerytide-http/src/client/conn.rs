//! One connection to an endpoint.

use std::future::Future;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use futures::future::{Either, select};
use http::{Method, StatusCode};
use monoio::io::Splitable;
use monoio::time::timeout;
use socket2::Socket;

use super::answered::Answered;
use super::writing::{OngoingWrite, RequestWrite, Written};
use super::{Call, Cause, Options};
use crate::Payload;
use crate::h1::{BodyLength, Reader, ResponseHead, Writer, connect, put_request_head};

/// Maximum number of interim responses skipped before a final response.
pub const MAX_INTERIM: usize = 8;

/// Maximum size of a body that is copied behind the head and sent in the same write.
const MAX_COPY_BYTES: usize = 16 * 1024;

/// A connection, with a second handle to inspect its socket.
pub(super) struct Conn {
    pub(super) reader: Reader,
    /// `None` while the write of a request goes on in a task.
    pub(super) writer: Option<Writer>,
    socket: Socket,
    /// Whether a request was sent on it before the current one.
    pub(super) is_used: bool,
    /// Whether a request was sent on it whose response hasn't been read to its end.
    pub(super) is_in_flight: bool,
    /// Requests that were answered on it.
    pub(super) answered: Answered,
    /// Whether a response on it named its request.
    pub(super) names_requests: bool,
}

/// A connection with a request in flight is reset: closed in order, the kernel would go on sending bytes that the endpoint
/// hasn't acknowledged, and a request that was given up behind a partition would arrive when it has healed.
impl Drop for Conn {
    fn drop(&mut self) {
        if self.is_in_flight {
            // Fails only on a socket that has no connection left.
            let _ = self.socket.set_linger(Some(Duration::ZERO));
        }
    }
}

impl Conn {
    /// Connects to `addr` within `connect_timeout`.
    pub(super) async fn open(addr: SocketAddr, connect_timeout: Duration, opts: &Options) -> Result<Self, Cause> {
        let opened = timeout(connect_timeout, connect(addr, opts.user_timeout, opts.tcp_keepalive)).await;
        let opened = opened.map_err(|_| Cause::ConnectTimeout)?;
        let (stream, socket) = opened.map_err(|source| Cause::Connect { source })?;
        let (r, w) = stream.into_split();
        Ok(Conn {
            reader: Reader::new(r),
            writer: Some(Writer::new(w, opts.write_timeout)),
            socket,
            is_used: false,
            is_in_flight: false,
            answered: Answered::default(),
            names_requests: false,
        })
    }

    /// Whether the connection is open and holds no unread bytes.
    pub(super) fn is_reusable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = self.socket.peek(&mut byte);
        let empty = matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        empty && self.reader.buffered() == 0
    }

    /// Writes the request and reads the head of the final response. The write of a long body goes on if the head arrives
    /// before its end.
    pub(super) async fn send(&mut self, call: &Call) -> Result<(ResponseHead, RequestWrite), Cause> {
        self.is_in_flight = true;
        let Conn { reader, writer, .. } = self;
        let Some(mut own_writer) = writer.take() else {
            return Err(Cause::Closed);
        };
        if call.body.len() <= MAX_COPY_BYTES {
            let written = write(&mut own_writer, head_of(call), &call.body).await;
            *writer = Some(own_writer);
            return read_head_after(written, read_head(reader, call)).await;
        }
        let write = OngoingWrite::start(write_owned(own_writer, head_of(call), call.body.clone()));
        let ended = Box::pin(write.ended());
        let reading_head = std::pin::pin!(read_head(reader, call));
        match select(ended, reading_head).await {
            Either::Left((_, reading_head)) => {
                let (own_writer, written) = write.into_end();
                *writer = own_writer;
                read_head_after(written, reading_head).await
            }
            Either::Right((head, _)) => Ok((head?, RequestWrite::Ongoing(write))),
        }
    }

    /// Takes back the writer of a request; `None` unless all of it was written.
    pub(super) fn end_write(mut self, write: RequestWrite) -> Option<Conn> {
        match write {
            RequestWrite::Ended(Written::Whole) => Some(self),
            RequestWrite::Ended(_) => None,
            RequestWrite::Ongoing(write) => {
                self.writer = Some(write.into_writer()?);
                Some(self)
            }
        }
    }
}

/// Reads the head after the write has ended. The endpoint may have responded and closed before it had read the complete
/// request; if no response can be read, the write error is reported.
async fn read_head_after(
    written: Result<(), Cause>,
    reading_head: impl Future<Output = Result<ResponseHead, Cause>>,
) -> Result<(ResponseHead, RequestWrite), Cause> {
    match written {
        Ok(()) => Ok((reading_head.await?, RequestWrite::Ended(Written::Whole))),
        Err(cause @ Cause::Write { .. }) => {
            let head = reading_head.await.map_err(|_| cause)?;
            Ok((head, RequestWrite::Ended(Written::Failed)))
        }
        Err(cause) => Err(cause),
    }
}

/// Head of the request, as written.
fn head_of(call: &Call) -> BytesMut {
    let mut head = BytesMut::new();
    let length = match call.method {
        Method::GET | Method::HEAD if call.body.is_empty() => BodyLength::Absent,
        _ => BodyLength::Fixed(call.body.len()),
    };
    put_request_head(&mut head, call, length);
    head
}

/// Writes the head and the body of the request.
async fn write(writer: &mut Writer, mut head: BytesMut, body: &Payload) -> Result<(), Cause> {
    let small = body.len() <= MAX_COPY_BYTES;
    let segments = body.segments();
    if small {
        segments.iter().for_each(|segment| head.extend_from_slice(segment));
    }
    writer.write_all(head.freeze(), || {}).await?;
    if !small {
        for segment in segments {
            writer.write_all(segment.clone(), || {}).await?;
        }
    }
    Ok(())
}

async fn write_owned(mut writer: Writer, head: BytesMut, body: Payload) -> (Writer, Result<(), Cause>) {
    let result = write(&mut writer, head, &body).await;
    (writer, result)
}

/// Reads the head of the final response, skipping up to [`MAX_INTERIM`] interim responses.
async fn read_head(reader: &mut Reader, call: &Call) -> Result<ResponseHead, Cause> {
    for _ in 0..=MAX_INTERIM {
        let head = read_one_head(reader, call).await?;
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Cause::Interim);
        }
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(Cause::Interim)
}

/// Reads one head. After its first byte, `between_bytes_timeout` limits the time to read all the rest of it.
async fn read_one_head(reader: &mut Reader, call: &Call) -> Result<ResponseHead, Cause> {
    if reader.buffered() == 0 {
        wait_first_byte(reader, call.bounds.first_byte_timeout).await?;
    }
    let read = reader.read_response_head(call.bounds.max_head_bytes);
    let head = timeout(call.bounds.between_bytes_timeout, read).await;
    Ok(head.map_err(|_| Cause::BetweenBytesTimeout)??)
}

async fn wait_first_byte(reader: &mut Reader, first_byte_timeout: Duration) -> Result<(), Cause> {
    match timeout(first_byte_timeout, reader.fill()).await {
        Err(_) => Err(Cause::FirstByteTimeout),
        Ok(Ok(0)) => Err(Cause::Closed),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(source)) => Err(Cause::Read { source }),
    }
}
