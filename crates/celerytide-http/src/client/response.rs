//! A response whose body is read as it arrives.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celerytide_types::{BootTime, now_boot};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use monoio::time::{sleep, timeout};

use super::answered::hash_id;
use super::conn::Conn;
use super::error::{SendError, Stage, send_error};
use super::pool::Pool;
use super::writing::{RequestWrite, Written};
use super::{Call, Cause};
use crate::h1::{Body, Piece, ResponseHead, yield_now};
use crate::memory::{Holder, current_holder};
use crate::validate::{Framing, response_framing, wants_close};

/// Header in which an endpoint declares how long it keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";
const KEEP_ALIVE_TIMEOUT: &str = "timeout=";

/// Body bytes after which the task yields.
const YIELD_BYTES: usize = 256 * 1024;

/// Size of a response that is a part of its connection's own charge.
const USUAL_RESPONSE_BYTES: usize = 8 * 1024;
/// Interval at which a large response that has no room asks again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Content type of an event stream.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A response whose head has been read. Dropping it before the end of its body closes the connection; after the end, the
/// connection returns to the pool.
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether it names this request by its id. One that names another request is an error of the client.
    pub names_request: bool,
    /// Whether no other request was sent on its connection before.
    pub is_first: bool,
    body: Body,
    conn: Option<Conn>,
    is_reusable: bool,
    http_keep_alive: Option<Duration>,
    body_started: bool,
    addr: SocketAddr,
    first_byte_timeout: Duration,
    between_bytes_timeout: Duration,
    /// Time by which the body must be complete.
    deadline: BootTime,
    bytes_since_yield: usize,
    /// Bytes of the body so far.
    received: usize,
    /// The caller's connection, until a large response is charged to it.
    uncharged: Option<Rc<Holder>>,
    is_event_stream: bool,
    /// The write of the request; `None` once the body is complete.
    write: Option<RequestWrite>,
    pool: Rc<Pool>,
}

impl Response {
    /// Creates a response whose body follows on `conn` and must end by `deadline`. The connection is reused only if the
    /// request was completely written.
    pub(super) fn new(
        head: ResponseHead,
        mut conn: Conn,
        call: &Call,
        write: RequestWrite,
        deadline: BootTime,
        pool: Rc<Pool>,
    ) -> Result<Self, SendError> {
        let names_request = names_id(call, &head.headers, &pool.options().id_header);
        let has_id = call.headers.contains_key(&pool.options().id_header);
        let lacks_id = conn.names_requests && !names_request && has_id;
        if lacks_id || has_foreign_id(call, &head.headers, &pool.options().id_header) {
            return Err(send_error(Stage::Written, Cause::RequestIdMismatch));
        }
        if let Some(id) = call.headers.get(&pool.options().id_header) {
            conn.answered.insert(hash_id(id), head.status);
        }
        conn.names_requests |= names_request;
        let may_reuse = names_request || !has_id || pool.options().reuse_nameless;
        let is_kept = may_reuse && !wants_close(head.version, &head.headers);
        let framing = response_framing(
            &call.method,
            head.status,
            head.version,
            &head.headers,
            pool.options().until_close,
        );
        let framing = framing.map_err(|error| send_error(Stage::Body, error.into()))?;
        let kind = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let is_event_stream = kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM));
        let mut response = Response {
            is_reusable: is_kept && framing != Framing::UntilClose,
            http_keep_alive: keep_alive_timeout(&head.headers),
            status: head.status,
            headers: head.headers,
            framing,
            names_request,
            is_first: !conn.is_used,
            body: Body::new(framing),
            conn: Some(conn),
            body_started: false,
            addr: call.addr,
            first_byte_timeout: call.bounds.first_byte_timeout,
            between_bytes_timeout: call.bounds.between_bytes_timeout,
            deadline,
            bytes_since_yield: 0,
            received: 0,
            uncharged: current_holder(),
            is_event_stream,
            write: Some(write),
            pool,
        };
        if let (Some(_), Some(conn)) = (&response.uncharged, &mut response.conn) {
            conn.reader.allow_large_reads(false);
        }
        Ok(response)
    }

    /// Closes the connection, also if the body is complete.
    pub fn close(mut self) {
        self.conn = None;
    }

    /// Returns the next data of the body, and `None` only once the body is complete. After an error the connection is
    /// closed and every further call returns [`Cause::Closed`].
    pub async fn next(&mut self) -> Option<Result<Bytes, SendError>> {
        if self.body.is_complete() {
            self.return_to_pool();
            return None;
        }
        let Some(mut conn) = self.conn.take() else {
            return Some(Err(send_error(Stage::Body, Cause::Closed)));
        };
        match self.read(&mut conn).await {
            Ok(data) => {
                self.conn = Some(conn);
                if self.body.is_complete() {
                    self.return_to_pool();
                }
                data.map(Ok)
            }
            Err(cause) => Some(Err(send_error(Stage::Body, cause))),
        }
    }

    async fn read(&mut self, conn: &mut Conn) -> Result<Option<Bytes>, Cause> {
        loop {
            match self.body.next_piece(&mut conn.reader)? {
                Piece::End => return Ok(None),
                Piece::Data(data) => {
                    self.body_started = true;
                    self.received += data.len();
                    self.yield_after(data.len()).await;
                    return Ok(Some(data));
                }
                Piece::More => self.fill(conn).await?,
            }
        }
    }

    /// Charges a large response to its caller's connection. An event stream is passed on in small reads without the
    /// charge; another body waits for it, since much of it may be buffered.
    async fn charge(&mut self, conn: &mut Conn) -> Result<(), Cause> {
        let Some(holder) = self.uncharged.as_ref().filter(|_| self.received > USUAL_RESPONSE_BYTES) else {
            return Ok(());
        };
        if self.is_event_stream {
            if !conn.reader.is_filled_fast() || holder.charge_response().is_err() {
                return Ok(());
            }
        } else {
            while holder.charge_response().is_err() {
                if self.deadline.since(now_boot()) < ROOM_POLL_INTERVAL {
                    return Err(Cause::TotalTimeout);
                }
                sleep(ROOM_POLL_INTERVAL).await;
            }
        }
        conn.reader.allow_large_reads(true);
        self.uncharged = None;
        Ok(())
    }

    async fn fill(&mut self, conn: &mut Conn) -> Result<(), Cause> {
        self.charge(conn).await?;
        let (bound, cause) = if self.body_started {
            (self.between_bytes_timeout, Cause::BetweenBytesTimeout)
        } else {
            (self.first_byte_timeout, Cause::FirstByteTimeout)
        };
        let left = self.deadline.since(now_boot());
        // If bytes are always available, the read never waits and the timeout below never fires.
        if left.is_zero() {
            return Err(Cause::TotalTimeout);
        }
        match timeout(bound.min(left), conn.reader.fill()).await {
            Err(_) if left <= bound => Err(Cause::TotalTimeout),
            Err(_) => Err(cause),
            Ok(Ok(0)) => self.end_by_close().await,
            Ok(Ok(_)) => Ok(()),
            Ok(Err(source)) => Err(Cause::Read { source }),
        }
    }

    /// Handles an orderly end of the connection. An endpoint that dies while a request is being written ends the connection
    /// in good order and resets it when further bytes arrive. A body that only its connection delimits is therefore complete
    /// once the request has been written.
    async fn end_by_close(&mut self) -> Result<(), Cause> {
        if self.write.as_ref().is_some_and(RequestWrite::has_failed) {
            return Err(reset());
        }
        if !self.body.is_until_close() {
            return Err(Cause::Closed);
        }
        let written = match &self.write {
            Some(write) => timeout(self.deadline.since(now_boot()), write.ended()).await,
            None => Ok(Written::Whole),
        };
        match written {
            Err(_) => return Err(Cause::TotalTimeout),
            Ok(Written::Failed) => return Err(reset()),
            Ok(Written::Part) => return Err(Cause::RequestUnread),
            Ok(Written::Whole) => self.body.end_by_close(),
        }
        Ok(())
    }

    /// Yields after every [`YIELD_BYTES`], since reads from a fast peer never wait and would starve other tasks.
    async fn yield_after(&mut self, bytes: usize) {
        self.bytes_since_yield += bytes;
        if self.bytes_since_yield < YIELD_BYTES {
            return;
        }
        self.bytes_since_yield = 0;
        yield_now().await;
    }

    pub(super) fn pool(&self) -> Rc<Pool> {
        Rc::clone(&self.pool)
    }

    fn return_to_pool(&mut self) {
        let (Some(mut conn), Some(write)) = (self.conn.take(), self.write.take()) else {
            return;
        };
        conn.is_in_flight = false;
        if let Some(conn) = conn.end_write(write).filter(|_| self.is_reusable) {
            self.pool.put(self.addr, conn, self.http_keep_alive);
        }
    }
}

impl Drop for Response {
    fn drop(&mut self) {
        if self.body.is_complete() {
            self.return_to_pool();
        }
    }
}

/// The connection was reset; its error was reported to the write of the request.
fn reset() -> Cause {
    Cause::Read {
        source: io::ErrorKind::ConnectionReset.into(),
    }
}

fn has_foreign_id(call: &Call, headers: &HeaderMap, id_header: &HeaderName) -> bool {
    let Some(own) = call.headers.get(id_header) else {
        return false;
    };
    headers.get_all(id_header).iter().any(|id| id != own)
}

fn names_id(call: &Call, headers: &HeaderMap, id_header: &HeaderName) -> bool {
    call.headers.contains_key(id_header) && headers.contains_key(id_header)
}

fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix(KEEP_ALIVE_TIMEOUT))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
