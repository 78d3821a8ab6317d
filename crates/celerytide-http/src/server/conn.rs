//! Serves the requests of one connection.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
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

use super::error_response::{self, ErrorResponse};
use super::outbound::{Outbound, Phase, ResponseStyle};
use super::{Handler, Request, Responder, Shutdown};
use crate::Limits;
use crate::h1::{
    Body, BodyLength, HeadError, Piece, Reader, RequestHead, WriteError, Writer, put_response_head, yield_now,
};
use crate::memory::{Closing, Collector, Holder, INLINE_BYTES, NoRoom, Payload, Refusal, with_holder};
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
    /// Refuse the request for lack of memory.
    NoRoom(Refusal),
    /// Others need the connection's memory.
    Evicted,
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
            HeadError::Io { source } if source.kind() == io::ErrorKind::OutOfMemory => ConnEnd::NoRoom(Refusal::Head),
            HeadError::Closed | HeadError::Io { .. } => ConnEnd::Close,
        }
    }
}

impl From<NoRoom> for ConnEnd {
    fn from(_: NoRoom) -> Self {
        ConnEnd::NoRoom(Refusal::Body)
    }
}

struct Conn<H> {
    reader: Reader,
    writer: Writer,
    peer: SocketAddr,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    /// The connection in the memory account.
    holder: Rc<Holder>,
    /// Whether a part of a request has arrived.
    is_receiving: bool,
    shutdown: Shutdown,
}

/// Serves requests until the connection ends.
pub(super) async fn run<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    holder: Rc<Holder>,
    shutdown: Shutdown,
) {
    let (r, w) = stream.into_split();
    let mut conn = Conn {
        reader: Reader::for_caller(r, Rc::clone(&holder)),
        writer: Writer::new(w, limits.get().write_timeout),
        peer,
        limits,
        handler,
        holder,
        is_receiving: false,
        shutdown,
    };
    let mut first_byte_timeout = conn.limits.get().head_timeout;
    let end = loop {
        match conn.serve_one(first_byte_timeout).await {
            Ok(()) => first_byte_timeout = conn.limits.get().idle_timeout,
            Err(end) => break end,
        }
    };
    let Some(response) = conn.final_response(end) else {
        return;
    };
    debug!(status = response.status.as_u16(), "http: request rejected");
    conn.holder.end_request();
    conn.holder.wait();
    conn.reader.discard();
    let sending = std::pin::pin!(send_final(&mut conn.reader, &mut conn.writer, response));
    let evicted = std::pin::pin!(conn.holder.evicted());
    select(sending, evicted).await;
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
    if writer.write_all(buf.freeze(), || {}).await.is_err() {
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
        let (head, body) = self.receive_or_evict(first_byte_timeout).await?;
        self.holder.run();
        let responded = self.respond(head, body).await;
        self.holder.end_request();
        responded
    }

    /// Receives one request unless others need the connection's memory.
    async fn receive_or_evict(&mut self, first_byte_timeout: Duration) -> Result<(RequestHead, Payload), ConnEnd> {
        let holder = Rc::clone(&self.holder);
        holder.wait();
        let receiving = std::pin::pin!(self.receive(first_byte_timeout));
        let evicted = std::pin::pin!(holder.evicted());
        match select(receiving, evicted).await {
            Either::Left((received, _)) => received,
            Either::Right(_) => Err(ConnEnd::Evicted),
        }
    }

    /// Receives one request.
    async fn receive(&mut self, first_byte_timeout: Duration) -> Result<(RequestHead, Payload), ConnEnd> {
        self.wait_first_byte(first_byte_timeout).await?;
        let head = self.read_head().await?;
        let framing = request_framing(&head.method, head.version, &head.headers)?;
        let body = self.read_body(&head, framing).await?;
        Ok((head, body))
    }

    /// The response with which the connection ends, if any.
    fn final_response(&self, end: ConnEnd) -> Option<ErrorResponse> {
        match end {
            ConnEnd::Close => None,
            ConnEnd::Reject(response) => Some(response),
            ConnEnd::NoRoom(refusal) => {
                self.holder.note_refusal(refusal);
                Some(error_response::memory_full())
            }
            ConnEnd::Evicted if self.is_receiving => {
                self.holder.note_closing(Closing::Receiving);
                Some(error_response::memory_full())
            }
            ConnEnd::Evicted => {
                self.holder.note_closing(Closing::Idle);
                None
            }
        }
    }

    async fn wait_first_byte(&mut self, first_byte_timeout: Duration) -> Result<(), ConnEnd> {
        self.is_receiving = self.reader.buffered() > 0;
        if self.is_receiving {
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
        self.is_receiving = matches!(read, Ok(Ok(n)) if n > 0);
        if self.is_receiving {
            return Ok(());
        }
        Err(ConnEnd::Close)
    }

    async fn read_head(&mut self) -> Result<RequestHead, ConnEnd> {
        let read = self.reader.read_request_head(self.limits.get().max_head_bytes);
        match timeout(self.limits.get().head_timeout, read).await {
            Ok(head) => Ok(head?),
            Err(_) => Err(ConnEnd::Reject(error_response::request_timeout())),
        }
    }

    async fn read_body(&mut self, head: &RequestHead, framing: Framing) -> Result<Payload, ConnEnd> {
        let max_bytes = self.limits.get().max_body_bytes;
        match framing {
            Framing::Empty => return Ok(Payload::default()),
            Framing::Length(len) if len > max_bytes => return Err(ProtocolError::BodyTooLarge.into()),
            // Small bodies aren't charged to the customer.
            Framing::Length(len) if len <= INLINE_BYTES => {}
            Framing::Length(_) | Framing::Chunked | Framing::UntilClose => {
                self.holder.set_customer(self.handler.customer(&head.headers));
            }
        }
        self.answer_expectation(&head.headers).await?;
        let read = read_framed_body(&mut self.reader, &self.holder, framing, max_bytes);
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
        let sent = self
            .writer
            .write_all(Bytes::from_static(CONTINUE_RESPONSE), || {})
            .await;
        sent.map_err(|_| ConnEnd::Close)
    }

    async fn respond(&mut self, head: RequestHead, body: Payload) -> Result<(), ConnEnd> {
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
        // Pinned here and passed on by reference: each future that took it by value would hold two copies of it.
        let handled = std::pin::pin!(handler.handle(req, Responder::new(Rc::clone(&out)), caller_gone.clone()));
        let handled = with_holder(Rc::clone(&self.holder), out.poll_before_writer(handled));
        let writing = write_response(&out, &mut self.writer, &self.holder, &caller_gone);
        let work = std::pin::pin!(join(handled, writing));
        let max_bytes = self.limits.get().max_head_bytes;
        let watch = std::pin::pin!(watch_disconnect(
            &mut self.reader,
            &self.holder,
            max_bytes,
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
async fn write_response(out: &Outbound, writer: &mut Writer, holder: &Holder, caller_gone: &CancellationToken) {
    while let Some(part) = out.next_write().await {
        if let Err(e) = write_part(part, writer, holder).await {
            debug!(error = %e, "http: write to the caller failed");
            out.disconnect();
            caller_gone.cancel();
            return;
        }
    }
}

/// Writes a part of a response; fails if the caller reads nothing while others need the memory.
async fn write_part(part: Bytes, writer: &mut Writer, holder: &Holder) -> Result<(), WriteError> {
    let mut writing = std::pin::pin!(writer.write_all(part, || holder.wait()));
    let first = poll_fn(|cx| Poll::Ready(writing.as_mut().poll(cx))).await;
    if let Poll::Ready(written) = first {
        return written;
    }
    holder.wait();
    let evicted = std::pin::pin!(holder.evicted());
    let written = match select(writing, evicted).await {
        Either::Left((written, _)) => written,
        Either::Right(_) => {
            holder.note_closing(Closing::Reader);
            return Err(WriteError::Stalled);
        }
    };
    holder.run();
    written
}

/// Keeps reading during a response to detect a disconnect; never returns. Reading stops once more than `max_bytes` of
/// pipelined requests are buffered; a disconnect is then only detected by a failed write.
async fn watch_disconnect(reader: &mut Reader, holder: &Holder, max_bytes: usize, caller_gone: &CancellationToken) {
    while reader.buffered() <= max_bytes {
        match reader.fill().await {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::OutOfMemory => break,
            _ => {
                caller_gone.cancel();
                return pending().await;
            }
        }
    }
    if holder.charge_unread().is_err() {
        holder.note_closing(Closing::Unread);
        caller_gone.cancel();
    }
    pending().await
}

async fn read_framed_body(
    reader: &mut Reader,
    holder: &Rc<Holder>,
    framing: Framing,
    max_bytes: usize,
) -> Result<Payload, ConnEnd> {
    if let Framing::Length(len) = framing {
        return read_sized_body(reader, holder, len).await;
    }
    let mut body = Body::joining_chunks(framing);
    let mut collector = Collector::new(Rc::clone(holder));
    loop {
        match body.next_piece(reader)? {
            Piece::End => return Ok(collector.finish()),
            Piece::Data(data) if collector.len() + data.len() > max_bytes => {
                return Err(ProtocolError::BodyTooLarge.into());
            }
            Piece::Data(data) => collector.push(&data).await?,
            Piece::More => {
                fill(reader).await?;
                yield_now().await;
            }
        }
    }
}

/// Collects a small body in the buffer it was read into, so that it isn't copied into a second one. A large one is read
/// into blocks once as much of it has arrived, so that a declared length alone allocates nothing.
async fn read_sized_body(reader: &mut Reader, holder: &Rc<Holder>, len: usize) -> Result<Payload, ConnEnd> {
    while reader.buffered() < len && reader.buffered() <= INLINE_BYTES {
        let missing = len - reader.buffered();
        reader.reserve(missing.min(reader.buffered()).min(INLINE_BYTES));
        fill(reader).await?;
    }
    if reader.buffered() >= len {
        return Ok(reader.framed().read_buffer_mut().split_to(len).freeze().into());
    }
    let mut collector = Collector::new(Rc::clone(holder));
    collector.push_to_blocks(&reader.take_buffered()).await?;
    while collector.len() < len {
        let missing = len - collector.len();
        let block = collector.open_block().await?;
        match reader.fill_block(block, missing).await {
            Ok(n) if n > 0 => yield_now().await,
            _ => return Err(ConnEnd::Close),
        }
    }
    Ok(collector.finish())
}

async fn fill(reader: &mut Reader) -> Result<(), ConnEnd> {
    match reader.fill().await {
        Ok(n) if n > 0 => Ok(()),
        Err(e) if e.kind() == io::ErrorKind::OutOfMemory => Err(ConnEnd::NoRoom(Refusal::Body)),
        _ => Err(ConnEnd::Close),
    }
}
