//! One caller's connection, from its start to its end.

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

use super::budget::{Budget, Hold};
use super::out::{Out, Phase, Style};
use super::refuse::{self, Refusal};
use super::{Handler, Request, Responder, Shutdown};
use crate::Limits;
use crate::validate::{Framing, ProtocolError, request_framing, wants_close};
use crate::wire::{Body, HeadError, Length, Piece, Reader, RequestHead, Writer, answer_head};

/// Time for which a connection without a request is still read when the server ends.
pub(super) const LAST_LOOK: Duration = Duration::from_millis(100);
/// Time for which a refused caller's remaining bytes are read, so that it gets to see the answer.
const LINGER: Duration = Duration::from_secs(2);
/// Bytes read and dropped from a refused caller.
const LINGER_BYTES: usize = 8 * 1024 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a connection ends.
enum End {
    /// Nothing is left to say.
    Close,
    /// The caller is told first.
    Refuse(Refusal),
}

impl From<ProtocolError> for End {
    fn from(fault: ProtocolError) -> Self {
        End::Refuse(refuse::fault(fault))
    }
}

impl From<HeadError> for End {
    fn from(e: HeadError) -> Self {
        match e {
            HeadError::Protocol { source } => source.into(),
            HeadError::Closed | HeadError::Io { .. } => End::Close,
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
    stop: Shutdown,
}

/// Serves the requests of one connection.
pub(super) async fn run<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Rc<Cell<Limits>>,
    handler: Rc<H>,
    budget: Budget,
    stop: Shutdown,
) {
    let (r, w) = stream.into_split();
    let mut conn = Conn {
        reader: Reader::new(r),
        writer: Writer::new(w, limits.get().write),
        peer,
        limits,
        handler,
        budget,
        stop,
    };
    let mut idle = conn.limits.get().head;
    let end = loop {
        match conn.exchange(idle).await {
            Ok(()) => idle = conn.limits.get().idle,
            Err(end) => break end,
        }
    };
    if let End::Refuse(answer) = end {
        debug!(status = answer.status.as_u16(), "http: request refused");
        tell(&mut conn.reader, &mut conn.writer, answer).await;
    }
}

/// Refuses a connection beyond the bound.
pub(super) async fn turn_away(stream: TcpStream, limits: Limits) {
    let (r, w) = stream.into_split();
    let (mut reader, mut writer) = (Reader::new(r), Writer::new(w, limits.write));
    tell(&mut reader, &mut writer, refuse::too_many()).await;
}

/// Writes a final answer, then reads what the caller still sends for a while.
async fn tell(reader: &mut Reader, writer: &mut Writer, answer: Refusal) {
    let mut buf = BytesMut::new();
    let length = Length::Fixed(answer.body.len());
    answer_head(&mut buf, answer.status, &answer.headers, length, true);
    buf.extend_from_slice(&answer.body);
    if writer.write_all(buf.freeze()).await.is_err() {
        return;
    }
    writer.shutdown().await;
    // The time bound is the point: whether the caller ended by itself makes no difference.
    let _ = timeout(LINGER, drain(reader)).await;
}

async fn drain(reader: &mut Reader) {
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
    /// Serves one request; `Ok` if the connection is kept.
    async fn exchange(&mut self, idle: Duration) -> Result<(), End> {
        self.wait_first_byte(idle).await?;
        let head = self.read_head().await?;
        let framing = request_framing(&head.method, head.version, &head.headers)?;
        let mut hold = self.budget.hold();
        let body = self.read_body(&head, framing, &mut hold).await?;
        self.answer(head, body).await
    }

    async fn wait_first_byte(&mut self, idle: Duration) -> Result<(), End> {
        if self.reader.buffered() > 0 {
            return Ok(());
        }
        self.reader.release();
        let cancelled = std::pin::pin!(self.stop.end.cancelled());
        let read = std::pin::pin!(timeout(idle, self.reader.fill()));
        let read = match select(read, cancelled).await {
            Either::Left((read, _)) => read,
            // What the caller sent before the end may not have been seen yet.
            Either::Right(((), read)) => timeout(LAST_LOOK, read).await.and_then(|read| read),
        };
        match read {
            Ok(Ok(n)) if n > 0 => Ok(()),
            _ => Err(End::Close),
        }
    }

    async fn read_head(&mut self) -> Result<RequestHead, End> {
        let read = self.reader.request_head(self.limits.get().max_head);
        match timeout(self.limits.get().head, read).await {
            Ok(head) => Ok(head?),
            Err(_) => Err(End::Refuse(refuse::too_slow())),
        }
    }

    async fn read_body(&mut self, head: &RequestHead, framing: Framing, hold: &mut Hold) -> Result<Bytes, End> {
        match framing {
            Framing::Empty => return Ok(Bytes::new()),
            Framing::Length(len) if len > self.limits.get().max_body => return Err(ProtocolError::BodyTooLarge.into()),
            Framing::Length(len) if !hold.grow(len) => return Err(End::Refuse(refuse::too_much())),
            Framing::Length(_) | Framing::Chunked | Framing::UntilClose => {}
        }
        self.welcome_body(&head.headers).await?;
        let max = self.limits.get().max_body;
        let read = collect(&mut self.reader, framing, max, hold);
        match timeout(self.limits.get().body, read).await {
            Ok(body) => body,
            Err(_) => Err(End::Refuse(refuse::too_slow())),
        }
    }

    async fn welcome_body(&mut self, headers: &HeaderMap) -> Result<(), End> {
        let Some(expect) = headers.get(EXPECT) else {
            return Ok(());
        };
        if !expect.as_bytes().eq_ignore_ascii_case(b"100-continue") {
            return Err(ProtocolError::Expectation.into());
        }
        if self.reader.buffered() > 0 {
            return Ok(());
        }
        let sent = self.writer.write_all(Bytes::from_static(CONTINUE)).await;
        sent.map_err(|_| End::Close)
    }

    async fn answer(&mut self, head: RequestHead, body: Bytes) -> Result<(), End> {
        let close = wants_close(head.version, &head.headers);
        let style = Style::new(&head.method, head.version == http::Version::HTTP_11, close);
        let out = Rc::new(Out::new(style, self.stop.drain.clone()));
        let caller = CancellationToken::new();
        let req = Request {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            peer: self.peer,
        };
        let handler = Rc::clone(&self.handler);
        let handled = handler.handle(req, Responder::new(Rc::clone(&out)), caller.clone());
        let handled = out.in_front(handled);
        let work = std::pin::pin!(join(handled, pump(&out, &mut self.writer, &caller)));
        let watch = std::pin::pin!(watch(&mut self.reader, self.limits.get().max_head, &caller));
        select(work, watch).await;
        if out.phase() == Phase::Done && !out.closes() && !caller.is_cancelled() {
            return Ok(());
        }
        Err(End::Close)
    }
}

/// Writes what the handler appends, until the answer's end.
async fn pump(out: &Out, writer: &mut Writer, caller: &CancellationToken) {
    while let Some(part) = out.next().await {
        if let Err(e) = writer.write_all(part).await {
            debug!(error = %e, "http: caller lost");
            out.lose();
            caller.cancel();
            return;
        }
    }
}

/// Reads on while the answer is made, to see the caller go; never ends. A caller that has sent more than `max`
/// bytes ahead is no longer read, and its leaving shows only when it is written to.
async fn watch(reader: &mut Reader, max: usize, caller: &CancellationToken) {
    while reader.buffered() <= max {
        match reader.fill().await {
            Ok(n) if n > 0 => {}
            _ => {
                caller.cancel();
                break;
            }
        }
    }
    pending().await
}

async fn collect(reader: &mut Reader, framing: Framing, max: usize, hold: &mut Hold) -> Result<Bytes, End> {
    if let Framing::Length(len) = framing {
        return collect_fixed(reader, len).await;
    }
    let mut body = Body::new(framing);
    let mut whole = BytesMut::new();
    loop {
        match body.take(reader)? {
            Piece::End => return Ok(whole.freeze()),
            Piece::Data(data) if whole.len() + data.len() > max => return Err(ProtocolError::BodyTooLarge.into()),
            Piece::Data(data) if !hold.grow(data.len()) => return Err(End::Refuse(refuse::too_much())),
            Piece::Data(data) => whole.extend_from_slice(&data),
            Piece::More => fill(reader).await?,
        }
    }
}

/// Gathers the body in the buffer it was read to, so that it is never copied.
async fn collect_fixed(reader: &mut Reader, len: usize) -> Result<Bytes, End> {
    while reader.buffered() < len {
        let missing = len - reader.buffered();
        reader.reserve(missing.min(reader.buffered()));
        fill(reader).await?;
    }
    Ok(reader.framed().read_buffer_mut().split_to(len).freeze())
}

async fn fill(reader: &mut Reader) -> Result<(), End> {
    match reader.fill().await {
        Ok(n) if n > 0 => Ok(()),
        _ => Err(End::Close),
    }
}
