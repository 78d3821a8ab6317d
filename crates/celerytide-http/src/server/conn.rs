//! Serves the requests of one connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::future::{Either, join, pending, select};
use http::HeaderMap;
use http::header::EXPECT;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::debug;

use super::budget::{Budget, Reservation};
use super::error_response::{self, ErrorResponse};
use super::outbound::{Outbound, Phase, ResponseStyle};
use super::{Handler, Request, Responder, Shutdown};
use crate::Limits;
use crate::h1::{Body, BodyLength, HeadError, Piece, Reader, RequestHead, Writer, put_response_head};
use crate::validate::{Framing, ProtocolError, request_framing, wants_close};

/// Time for which an idle connection is still read at shutdown.
pub(super) const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which the remaining bytes of a rejected caller are read: closing a socket with unread bytes resets the
/// connection, and the caller might lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes read and dropped from a rejected caller.
const LINGER_BYTES: usize = 8 * 1024 * 1024;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a connection ends.
enum ConnEnd {
    /// Close without a further response.
    Close,
    /// Send an error response first.
    Reject(ErrorResponse),
}

impl From<ProtocolError> for ConnEnd {
    fn from(error: ProtocolError) -> Self {
        ConnEnd::Reject(error_response::protocol_error(error))
    }
}

impl From<HeadError> for ConnEnd {
    fn from(e: HeadError) -> Self {
        match e {
            HeadError::Protocol { source } => source.into(),
            HeadError::Closed | HeadError::Io { .. } => ConnEnd::Close,
        }
    }
}

struct Conn<H> {
    reader: Reader,
    writer: Writer,
    peer: SocketAddr,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    budget: Budget,
    shutdown: Shutdown,
}

/// Serves requests until the connection ends.
pub(super) async fn run<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    budget: Budget,
    shutdown: Shutdown,
) {
    let (r, w) = stream.into_split();
    let mut conn = Conn {
        reader: Reader::new(r),
        writer: Writer::new(w, limits.get().write_timeout),
        peer,
        limits,
        handler,
        budget,
        shutdown,
    };
    let mut first_byte_timeout = conn.limits.get().head_timeout;
    let end = loop {
        match conn.serve_one(first_byte_timeout).await {
            Ok(()) => first_byte_timeout = conn.limits.get().idle_timeout,
            Err(end) => break end,
        }
    };
    if let ConnEnd::Reject(response) = end {
        debug!(status = response.status.as_u16(), "http: request rejected");
        send_final(&mut conn.reader, &mut conn.writer, response).await;
    }
}

/// Sends a 503 response on a connection beyond the limit.
pub(super) async fn reject_connection(stream: TcpStream, limits: Limits) {
    let (r, w) = stream.into_split();
    let (mut reader, mut writer) = (Reader::new(r), Writer::new(w, limits.write_timeout));
    send_final(&mut reader, &mut writer, error_response::connections_full()).await;
}

/// Writes a final response, then reads and drops what the caller still sends, for at most [`LINGER_TIMEOUT`].
async fn send_final(reader: &mut Reader, writer: &mut Writer, response: ErrorResponse) {
    let mut buf = BytesMut::new();
    let length = BodyLength::Fixed(response.body.len());
    put_response_head(&mut buf, response.status, &response.headers, length, true);
    buf.extend_from_slice(&response.body);
    if writer.write_all(buf.freeze()).await.is_err() {
        return;
    }
    writer.shutdown().await;
    // It makes no difference whether the caller closed or the time ran out.
    let _ = timeout(LINGER_TIMEOUT, drain_input(reader)).await;
}

async fn drain_input(reader: &mut Reader) {
    let mut left = LINGER_BYTES;
    while let Ok(n) = reader.fill().await {
        reader.discard();
        if n == 0 || n >= left {
            return;
        }
        left -= n;
    }
}

impl<H: Handler> Conn<H> {
    /// Serves one request, whose first byte must arrive within `first_byte_timeout`; returns `Ok` if the connection stays
    /// open for another.
    async fn serve_one(&mut self, first_byte_timeout: Duration) -> Result<(), ConnEnd> {
        self.wait_first_byte(first_byte_timeout).await?;
        let head = self.read_head().await?;
        let framing = request_framing(&head.method, head.version, &head.headers)?;
        let mut reservation = self.budget.reservation();
        let body = self.read_body(&head, framing, &mut reservation).await?;
        self.respond(head, body).await
    }

    async fn wait_first_byte(&mut self, first_byte_timeout: Duration) -> Result<(), ConnEnd> {
        if self.reader.buffered() > 0 {
            return Ok(());
        }
        self.reader.release_buffer();
        let cancelled = std::pin::pin!(self.shutdown.end.cancelled());
        let read = std::pin::pin!(timeout(first_byte_timeout, self.reader.fill()));
        let read = match select(read, cancelled).await {
            Either::Left((read, _)) => read,
            // A request sent before the shutdown may not have been read yet. Both timeouts end as `Err` below.
            Either::Right(((), read)) => timeout(FINAL_READ_TIMEOUT, read).await.and_then(|read| read),
        };
        match read {
            Ok(Ok(n)) if n > 0 => Ok(()),
            _ => Err(ConnEnd::Close),
        }
    }

    async fn read_head(&mut self) -> Result<RequestHead, ConnEnd> {
        let read = self.reader.read_request_head(self.limits.get().max_head_bytes);
        match timeout(self.limits.get().head_timeout, read).await {
            Ok(head) => Ok(head?),
            Err(_) => Err(ConnEnd::Reject(error_response::request_timeout())),
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        framing: Framing,
        reservation: &mut Reservation,
    ) -> Result<Bytes, ConnEnd> {
        match framing {
            Framing::Empty => return Ok(Bytes::new()),
            Framing::Length(len) if len > self.limits.get().max_body_bytes => {
                return Err(ProtocolError::BodyTooLarge.into());
            }
            Framing::Length(len) if !reservation.try_grow(len) => {
                return Err(ConnEnd::Reject(error_response::memory_full()));
            }
            Framing::Length(_) | Framing::Chunked | Framing::UntilClose => {}
        }
        self.answer_expectation(&head.headers).await?;
        let max_bytes = self.limits.get().max_body_bytes;
        let read = read_framed_body(&mut self.reader, framing, max_bytes, reservation);
        match timeout(self.limits.get().body_timeout, read).await {
            Ok(body) => body,
            Err(_) => Err(ConnEnd::Reject(error_response::request_timeout())),
        }
    }

    async fn answer_expectation(&mut self, headers: &HeaderMap) -> Result<(), ConnEnd> {
        let Some(expect) = headers.get(EXPECT) else {
            return Ok(());
        };
        if !expect.as_bytes().eq_ignore_ascii_case(b"100-continue") {
            return Err(ProtocolError::Expectation.into());
        }
        if self.reader.buffered() > 0 {
            return Ok(());
        }
        let sent = self.writer.write_all(Bytes::from_static(CONTINUE_RESPONSE)).await;
        sent.map_err(|_| ConnEnd::Close)
    }

    async fn respond(&mut self, head: RequestHead, body: Bytes) -> Result<(), ConnEnd> {
        let close = wants_close(head.version, &head.headers);
        let style = ResponseStyle::new(&head.method, head.version == http::Version::HTTP_11, close);
        let out = Rc::new(Outbound::new(style, self.shutdown.drain.clone()));
        let caller_gone = CancellationToken::new();
        let req = Request {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            peer: self.peer,
        };
        let handler = Rc::clone(&self.handler);
        let handled = handler.handle(req, Responder::new(Rc::clone(&out)), caller_gone.clone());
        let handled = out.poll_before_writer(handled);
        let work = std::pin::pin!(join(handled, write_response(&out, &mut self.writer, &caller_gone)));
        let watch = std::pin::pin!(watch_disconnect(
            &mut self.reader,
            self.limits.get().max_head_bytes,
            &caller_gone
        ));
        select(work, watch).await;
        if out.phase() == Phase::Done && !out.closes_connection() && !caller_gone.is_cancelled() {
            return Ok(());
        }
        Err(ConnEnd::Close)
    }
}

/// Writes what the handler appends, until the end of the response.
async fn write_response(out: &Outbound, writer: &mut Writer, caller_gone: &CancellationToken) {
    while let Some(part) = out.next_write().await {
        if let Err(e) = writer.write_all(part).await {
            debug!(error = %e, "http: write to the caller failed");
            out.disconnect();
            caller_gone.cancel();
            return;
        }
    }
}

/// Keeps reading during a response to detect a disconnect; never returns. Reading stops once more than `max_bytes` of
/// pipelined requests are buffered; a disconnect is then only detected by a failed write.
async fn watch_disconnect(reader: &mut Reader, max_bytes: usize, caller_gone: &CancellationToken) {
    while reader.buffered() <= max_bytes {
        match reader.fill().await {
            Ok(n) if n > 0 => {}
            _ => {
                caller_gone.cancel();
                break;
            }
        }
    }
    pending().await
}

async fn read_framed_body(
    reader: &mut Reader,
    framing: Framing,
    max_bytes: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, ConnEnd> {
    if let Framing::Length(len) = framing {
        return read_sized_body(reader, len).await;
    }
    let mut body = Body::new(framing);
    let mut collected = BytesMut::new();
    loop {
        match body.next_piece(reader)? {
            Piece::End => return Ok(collected.freeze()),
            Piece::Data(data) if collected.len() + data.len() > max_bytes => {
                return Err(ProtocolError::BodyTooLarge.into());
            }
            Piece::Data(data) if !reservation.try_grow(data.len()) => {
                return Err(ConnEnd::Reject(error_response::memory_full()));
            }
            Piece::Data(data) => collected.extend_from_slice(&data),
            Piece::More => fill(reader).await?,
        }
    }
}

/// Collects the body in the buffer it was read into, so that it isn't copied into a second one. Each reservation at most
/// doubles the buffer, so that a declared length alone allocates nothing.
async fn read_sized_body(reader: &mut Reader, len: usize) -> Result<Bytes, ConnEnd> {
    while reader.buffered() < len {
        let missing = len - reader.buffered();
        reader.reserve(missing.min(reader.buffered()));
        fill(reader).await?;
    }
    Ok(reader.framed().read_buffer_mut().split_to(len).freeze())
}

async fn fill(reader: &mut Reader) -> Result<(), ConnEnd> {
    match reader.fill().await {
        Ok(n) if n > 0 => Ok(()),
        _ => Err(ConnEnd::Close),
    }
}
